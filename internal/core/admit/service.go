package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// tightestLife, untuned, is how long the tightest objective seen holds.
const tightestLife = 10 * time.Second

// service is the state of one service.
type service struct {
	name    string
	conf    *routing.Service
	targets []*target
	latency *latencyModel

	// tightest is the shortest latency objective seen lately.
	tightest   time.Duration
	tightestAt time.Time

	// refused remembers the last refusals for a moment.
	refused map[refusalKind]refusal

	// sources is memory for looks.
	sources []*target

	queue   queue
	backlog map[ids.Instance]peerBacklog
}

type peerBacklog struct {
	at time.Time
	Backlog
}

func hashOf(s string) uint64 { return xxhash.Sum64String(s) }

func (s *service) engine() bool { return s.conf != nil && s.conf.Engine != nil }

func (s *service) noteObjective(now time.Time, objective time.Duration) {
	if objective <= 0 {
		return
	}
	if objective <= s.tightest || now.Sub(s.tightestAt) > tightestLife {
		s.tightest = objective
		s.tightestAt = now
	}
}

// excessScale is the part of its bounds that a workspace beyond its share may use while
// requests within theirs wait, at any router: nothing where as many wait as there
// are targets.
func (s *service) excessScale(now time.Time) float64 {
	requests, _ := s.backlogs(now)
	return max(0, 1-float64(requests)/float64(max(1, len(s.targets))))
}

// backlogs are the requests and tokens that wait at all routers together.
func (s *service) backlogs(now time.Time) (requests, tokens int) {
	requests, tokens = s.queue.len(), s.queue.tokens()
	for peer, b := range s.backlog {
		if now.Sub(b.at) > reportLife {
			delete(s.backlog, peer)
			continue
		}
		requests += b.Requests
		tokens += b.Tokens
	}
	return requests, tokens
}

// queueWait is the expected time until what waits before a new request has been
// sent, at all routers together.
func (s *service) queueWait(now time.Time) time.Duration {
	requests, tokens := s.backlogs(now)
	slots, open := 0, 0
	for _, t := range s.targets {
		if !t.Leaving && t.health.open(now) {
			slots += max(1, t.Slots)
			open++
		}
	}
	if open == 0 {
		return 0
	}
	wait := s.latency.duration() * time.Duration(requests) / time.Duration(slots)
	if s.engine() {
		reading := time.Duration(float64(tokens) * s.latency.msPerToken * float64(time.Millisecond) / float64(open))
		wait = max(wait, reading)
	}
	return wait
}
