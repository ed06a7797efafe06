package admit

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/speed"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// shortestObjectiveTTL is how long the shortest observed objective applies.
const shortestObjectiveTTL = 10 * time.Second

// service is the state of one service.
type service struct {
	name    string
	conf    *routing.Service
	targets []*target
	subset  subset
	// draw and throttle apply to plain targets while isViewOld is set.
	draw     draw
	throttle throttle
	// loadSamples is the number of samples in the targets' sampledLoad.
	loadSamples int
	// isViewOld is set while the load of the fleet comes from the sums of hubs.
	isViewOld bool
	latency   *latencyModel
	center    speed.Center
	// lastResortTime is how long a leaving target is used if there is no other.
	lastResortTime time.Duration

	// shortestObjective and shortestGapObjective are the shortest objectives of requests for
	// the start of a response and for the gaps of a stream.
	shortestObjective, shortestGapObjective recentMinimum

	// recentRefusals holds the last refusal of each kind, valid for refusalTTL.
	recentRefusals map[refusalKind]refusal

	random *rand.Rand
	// sourcesBuf is a buffer reused by selections.
	sourcesBuf []*target

	queue        queue
	limits       *targetlimit.Limiter
	peerBacklogs map[ids.Instance]peerBacklog
	// reportedBacklog is that of this router in its last report.
	reportedBacklog Backlog
}

type peerBacklog struct {
	at time.Time
	Backlog
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

func (s *service) isEngine() bool { return s.conf != nil && s.conf.Engine != nil }

// recentMinimum is the shortest of the objectives recorded within shortestObjectiveTTL.
type recentMinimum struct {
	duration time.Duration
	at       time.Time
}

// record records an objective, 0 for none.
func (m *recentMinimum) record(now time.Time, objective time.Duration) {
	if objective > 0 && (objective <= m.duration || now.Sub(m.at) > shortestObjectiveTTL) {
		m.duration, m.at = objective, now
	}
}

// excessBoundScale returns the fraction of its bounds that a workspace beyond its fair
// share may use while requests of others wait at any router: none if as many wait as
// there are targets.
func (s *service) excessBoundScale(now time.Time) float64 {
	requests, _ := s.fleetBacklog(now)
	return max(0, 1-float64(requests)/float64(max(1, len(s.targets))))
}

// BacklogStatus is what waits for an engine service, for logs.
type BacklogStatus struct {
	Service string
	// Waiting counts the requests that wait at this router, FleetWaiting those that do at all
	// routers as last reported.
	Waiting, FleetWaiting int
	// Paused counts the targets that get no requests from this router since connections to them
	// failed.
	Paused int
	// ExcessBound is the fraction of the bounds of engines that is open to workspaces beyond
	// their fair share, before that of their rank.
	ExcessBound float64
}

// Backlogs returns what waits for each engine service.
func (ac *Controller) Backlogs(now time.Time) []BacklogStatus {
	var all []BacklogStatus
	for name, s := range ac.services {
		if !s.isEngine() {
			continue
		}
		status := BacklogStatus{Service: name, Waiting: s.queue.len(), ExcessBound: s.excessBoundScale(now)}
		status.FleetWaiting, _ = s.fleetBacklog(now)
		for _, t := range s.targets {
			if !t.health.isAvailable(now) {
				status.Paused++
			}
		}
		all = append(all, status)
	}
	return all
}

// fleetBacklog returns the requests and prompt tokens that wait at all routers
// together.
func (s *service) fleetBacklog(now time.Time) (requests, tokens int) {
	requests, tokens = s.queue.len(), s.queue.tokens()
	for peer, b := range s.peerBacklogs {
		if now.Sub(b.at) > peerReportTTL {
			delete(s.peerBacklogs, peer)
			continue
		}
		requests += b.Requests
		tokens += b.Tokens
	}
	return requests, tokens
}

// adaptThrottle adapts the throttle to the load of all usable targets.
func (s *service) adaptThrottle(now time.Time) {
	requests, slots := 0, 0
	for _, t := range s.targets {
		if !t.isLeaving() && t.health.isAvailable(now) {
			running, _, _ := t.fleetLoad(now)
			requests += running
			slots += max(1, t.Slots)
		}
	}
	s.throttle.observe(requests, slots)
}

// expectedQueueWait returns the expected time until the requests that wait now, at all
// routers together, have been sent.
func (s *service) expectedQueueWait(now time.Time) time.Duration {
	requests, tokens := s.fleetBacklog(now)
	// speeds is the sum of the speeds of the available targets.
	perSecond, speeds, available := 0.0, 0.0, 0
	for _, t := range s.targets {
		if !t.isLeaving() && t.health.isAvailable(now) && !t.stated.turnAway.isActive(now) {
			speed := 1 / s.speedFactor(now, t)
			perSecond += s.acceptedPerSecond(now, t, speed)
			speeds += speed
			available++
		}
	}
	if available == 0 {
		return 0
	}
	wait := time.Duration(float64(requests) / perSecond * float64(time.Second))
	if s.isEngine() {
		prefill := time.Duration(float64(tokens) * s.latency.msPerToken * float64(time.Millisecond) / speeds)
		wait = max(wait, prefill)
	}
	return wait
}

// acceptedPerSecond returns the requests per second that a target can serve at a speed, at its
// limit at most.
func (s *service) acceptedPerSecond(now time.Time, t *target, speed float64) float64 {
	perSecond := float64(max(1, t.Slots)) / max(s.latency.meanDuration(), time.Millisecond).Seconds() * speed
	if limit, limited := s.limits.PerSecond(now, t.run); limited {
		return min(perSecond, limit)
	}
	return perSecond
}
