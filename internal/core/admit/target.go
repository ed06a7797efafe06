package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// Untuned first values; reportLife is many report intervals, so that lost reports
// do no harm.
const (
	// reportLife is how long a peer's report of its load counts.
	reportLife = 1500 * time.Millisecond
	// sumLife is how long a sum of reports holds without a look at their age.
	sumLife = 250 * time.Millisecond
	// slowWeight is the weight of one observation in a target's slowness.
	slowWeight = 0.1
	// slowHalfLife is the time in which a difference from the others halves where
	// nothing is observed.
	slowHalfLife = 5 * time.Second
	// slowMost bounds the slowness.
	slowMost = 20
)

// flight is a request at a target.
type flight struct {
	// candidate is the target as it was judged at the sending.
	candidate
	req   *Request
	sent  time.Time
	began bool
}

// target is what is known of one run of a back end.
type target struct {
	routing.Target
	hash uint64

	// running, pending and memory are this router's own load there.
	running, pending, memory int
	// sending are the tokens that other engines take from its cache for this router.
	sending int
	peers   map[ids.Instance]peerLoad
	// sum of the peers' loads, as of sumAt.
	sum   Load
	sumAt time.Time

	cache  prefixCache
	health health

	slow   float64
	slowAt time.Time
}

type peerLoad struct {
	at time.Time
	Load
}

func newTarget(t routing.Target) *target {
	return &target{
		Target: t,
		hash:   hashOf(string(t.ID)),
		peers:  make(map[ids.Instance]peerLoad),
		slow:   1,
	}
}

// load returns the fleet's load at the target.
func (t *target) load(now time.Time) (running, pending, memory int) {
	if now.Sub(t.sumAt) > sumLife {
		t.sumPeers(now)
	}
	return t.running + t.sum.Running, t.pending + t.sum.Pending, t.memory + t.sum.Memory
}

// sumPeers sums the peers' loads and forgets those that are too old.
func (t *target) sumPeers(now time.Time) {
	t.sum, t.sumAt = Load{}, now
	for peer, l := range t.peers {
		if now.Sub(l.at) > reportLife {
			delete(t.peers, peer)
			continue
		}
		t.sum.add(l.Load, 1)
	}
}

// setPeerLoad takes a peer's load in place of the one before.
func (t *target) setPeerLoad(now time.Time, peer ids.Instance, l Load) {
	t.dropPeerLoad(peer)
	t.peers[peer] = peerLoad{at: now, Load: l}
	t.sum.add(l, 1)
}

func (t *target) dropPeerLoad(peer ids.Instance) {
	if old, known := t.peers[peer]; known {
		t.sum.add(old.Load, -1)
		delete(t.peers, peer)
	}
}

func (l *Load) add(o Load, sign int) {
	l.Running += sign * o.Running
	l.Pending += sign * o.Pending
	l.Memory += sign * o.Memory
}

// cached returns the tokens of a prompt that the engine need not read, and those
// of its shared parts that it must. A part is cached only where all parts before
// it are.
func (t *target) cached(now time.Time, r *Request) (held, sharedMissing int) {
	missing := false
	for i, p := range r.Parts {
		missing = missing || !t.cache.hold(now, p.Key)
		switch {
		case !missing:
			held += p.Tokens
		case i < len(r.Parts)-1:
			sharedMissing += p.Tokens
		}
	}
	return min(held, r.Prompt), sharedMissing
}

func (t *target) slowness(now time.Time) float64 {
	if t.slow == 1 {
		return 1
	}
	halves := now.Sub(t.slowAt).Seconds() / slowHalfLife.Seconds()
	return 1 + (t.slow-1)/(1+max(0, halves))
}

func (t *target) observeSlowness(now time.Time, took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, time.Millisecond))
	ratio = min(max(ratio, 0.25), slowMost)
	t.slow = t.slowness(now)*(1-slowWeight) + ratio*slowWeight
	t.slowAt = now
}

func (t *target) usable(now time.Time, r *Request) bool {
	return !t.Leaving && t.health.open(now) && !slices.Contains(r.Exclude, t.ID)
}

// home returns the target at which a shared part is kept by agreement of all
// routers: the one with the highest random weight.
func home(targets []*target, key uint64) *target {
	var best *target
	var top uint64
	for _, t := range targets {
		if t.Leaving {
			continue
		}
		if w := rendezvous.Mix(key ^ t.hash); best == nil || w > top {
			best, top = t, w
		}
	}
	return best
}
