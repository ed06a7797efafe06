package peer

import "github.com/uber-go/tally/v4"

// metrics are the metrics of the links; those of the traffic are in traffic.
type metrics struct {
	scope tally.Scope
	// live is the number of live peers.
	live tally.Gauge
	// opened and closed count links.
	opened, closed tally.Counter
	// dialFailures counts dials and handshakes that failed other than by a
	// refusal or malformed input.
	dialFailures tally.Counter
	// malformed counts links closed for malformed or oversized input.
	malformed tally.Counter
	// timeouts counts links closed because no message arrived within the
	// timeout.
	timeouts tally.Counter
	// callFailures counts outgoing calls that returned an error.
	callFailures tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:        scope,
		live:         scope.Gauge("live"),
		opened:       scope.Counter("links_opened"),
		closed:       scope.Counter("links_closed"),
		dialFailures: scope.Counter("dial_failures"),
		malformed:    scope.Counter("malformed"),
		timeouts:     scope.Counter("timeouts"),
		callFailures: scope.Counter("call_failures"),
	}
}

// countRefused counts a refused link or call by reason. The reasons are a small
// fixed set, which bounds the number of series.
func (m *metrics) countRefused(reason refusalReason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}
