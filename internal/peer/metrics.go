package peer

import "github.com/uber-go/tally/v4"

// metrics of the links, traffic apart.
type metrics struct {
	scope tally.Scope
	// live is the number of live peers.
	live tally.Gauge
	// opened and closed count links.
	opened, closed tally.Counter
	// dialFailures counts dials that ended before the greeting.
	dialFailures tally.Counter
	// malformed counts links closed for malformed or oversized input.
	malformed tally.Counter
	// timeouts counts links closed for silence.
	timeouts tally.Counter
	// callFailures counts outgoing calls without a good answer.
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

// refused counts a refused link; the reasons are few and fixed.
func (m *metrics) refused(reason refusal) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}
