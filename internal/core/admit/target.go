package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/core/speed"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// peerReportTTL is how long a peer's reported load counts: many report intervals,
	// so that lost reports do no harm.
	peerReportTTL = 1500 * time.Millisecond
	// peerSumTTL is how long the sum over peers is used before expired reports are
	// removed from it.
	peerSumTTL = 250 * time.Millisecond
	// slownessWeight is the weight of one observation in a target's slowness.
	slownessWeight = 0.1
	// slownessHalfLife is the time after which half of the difference from 1 is left if
	// nothing is observed.
	slownessHalfLife = 5 * time.Second
	// maxSlowness bounds one observation of slowness.
	maxSlowness = 20
)

// attempt is a request at a target.
type attempt struct {
	// candidate is the target as it was evaluated when the request was sent.
	candidate
	req             *Request
	sentAt          time.Time
	responseStarted bool
	// isUnaccepted is set while the request counts as unaccepted in the target's turnAway.
	isUnaccepted bool
	// sentCold is set if the target was cold when the request was sent. The time that it takes
	// says nothing of its speed then.
	sentCold bool
}

// target is the state of one run of a back end.
type target struct {
	routing.Target
	hash uint64
	run  targetlimit.Run
	// isEvacuated is set while the target's failure domain is evacuated.
	isEvacuated bool
	// limits are those of the target's service.
	limits *targetlimit.Limiter

	// running, pendingTokens and memoryTokens are the load from this router.
	running, pendingTokens, memoryTokens int
	// reported is that load in this router's last reports.
	reported reportedLoads
	// sampledLoad is the sum of the fleet's requests here over the service's loadSamples.
	sampledLoad int
	// sendingTokens are the tokens that other engines are fetching from its cache for
	// this router.
	sendingTokens int
	peers         map[ids.Instance]peerLoad
	// peerSum is the sum of the peers' loads as of peerSumAt.
	peerSum   Load
	peerSumAt time.Time

	cache  prefixCache
	health health
	// stated is what this run has said of itself.
	stated *statements
	// hasMalformedLimit is set once the target has named a limit that is not valid.
	hasMalformedLimit bool

	// lastSlowness is the smoothed ratio of observed to expected latency as of slownessAt,
	// as this router observed it. Unlike speed it includes load that reports do not show.
	lastSlowness float64
	slownessAt   time.Time
	// speed is what all routers have observed of the target's speed.
	speed speed.Target

	// listedAt is when an entry of this run was first read, zero if unknown. domainColdUntil is
	// until when the target is cold because its failure domain gets requests again.
	listedAt, domainColdUntil time.Time
	// peersColdUntil is until when the target is cold as other routers have read in its entry
	// and said at peersColdAt.
	peersColdUntil, peersColdAt time.Time
}

type peerLoad struct {
	at time.Time
	Load
}

func newTarget(t routing.Target) *target {
	return &target{
		Target:       t,
		hash:         hashString(string(t.ID)),
		run:          targetlimit.NewRun(t.ID, t.StartTimeMS),
		peers:        make(map[ids.Instance]peerLoad),
		lastSlowness: 1,
		stated:       new(statements),
		listedAt:     t.ReadAt,
	}
}

// fleetLoad returns the load of the whole fleet at the target.
func (t *target) fleetLoad(now time.Time) (running, pending, memory int) {
	if now.Sub(t.peerSumAt) > peerSumTTL {
		t.sumPeers(now)
	}
	return t.running + t.peerSum.Running, t.pendingTokens + t.peerSum.PendingTokens, t.memoryTokens + t.peerSum.MemoryTokens
}

// sumPeers recomputes the sum of the peers' loads and removes expired ones.
func (t *target) sumPeers(now time.Time) {
	t.peerSum, t.peerSumAt = Load{}, now
	for peer, l := range t.peers {
		if now.Sub(l.at) > peerReportTTL {
			delete(t.peers, peer)
			continue
		}
		t.peerSum.add(l.Load, 1)
	}
}

// setPeerLoad replaces the load of a peer.
func (t *target) setPeerLoad(now time.Time, peer ids.Instance, l Load) {
	t.removePeerLoad(peer)
	t.peers[peer] = peerLoad{at: now, Load: l}
	t.peerSum.add(l, 1)
}

func (t *target) removePeerLoad(peer ids.Instance) {
	if old, ok := t.peers[peer]; ok {
		t.peerSum.add(old.Load, -1)
		delete(t.peers, peer)
	}
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.PendingTokens += sign * o.PendingTokens
	l.MemoryTokens += sign * o.MemoryTokens
}

// cachedTokens returns the tokens of a prompt that the engine need not prefill, and
// those of its shared parts that it must. A part counts as cached only if all parts
// before it do.
func (t *target) cachedTokens(now time.Time, r *Request) (cached, sharedMissing int) {
	missing := false
	for i, p := range r.Parts {
		missing = missing || !t.cache.holds(now, p.Key)
		switch {
		case !missing:
			cached += p.Tokens
		case i < len(r.Parts)-1:
			sharedMissing += p.Tokens
		}
	}
	return min(cached, r.PromptTokens), sharedMissing
}

// slowness returns the ratio of observed to expected latency, decayed toward 1 since
// the last observation.
func (t *target) slowness(now time.Time) float64 {
	if t.lastSlowness == 1 {
		return 1
	}
	halfLives := now.Sub(t.slownessAt).Seconds() / slownessHalfLife.Seconds()
	return 1 + (t.lastSlowness-1)/(1+max(0, halfLives))
}

func (t *target) observeSlowness(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	ratio = min(max(ratio, 0.25), maxSlowness)
	t.lastSlowness = t.slowness(now)*(1-slownessWeight) + ratio*slownessWeight
	t.slownessAt = now
}

// isUsable reports whether the request may be sent to the target now.
func (t *target) isUsable(now time.Time, r *Request) bool {
	return !t.isLeaving() && t.mayTake(now, r) && t.hasPermit(now)
}

// hasPermit reports whether the target takes a request now, as far as its limit and the
// requests are concerned that it has turned away.
func (t *target) hasPermit(now time.Time) bool {
	return t.stated.turnAway.hasRoom() && t.limits.HasPermit(now, t.run)
}

// mayTake is like isUsable for a target that leaves, or that takes no request now.
func (t *target) mayTake(now time.Time, r *Request) bool {
	return r.accepts(t.Target) && t.health.isAvailable(now) && !t.stated.turnAway.isActive(now) && !slices.Contains(r.Exclude, t.ID)
}

// homeTarget returns the target at which all routers place a shared part: the one with
// the highest rendezvous weight of those that the request may use as far as their region
// is concerned, nil if all of them leave.
func homeTarget(targets []*target, r *Request, key uint64) *target {
	var best *target
	var top uint64
	for _, t := range targets {
		if t.isLeaving() || !r.allowsRegionOf(t.Target) {
			continue
		}
		if w := rendezvous.Mix(key ^ t.hash); best == nil || w > top {
			best, top = t, w
		}
	}
	return best
}
