// Package catchup decides how a router obtains state of the platform's store that it lacks:
// which peers it calls, and when it reads the store itself. It has no I/O and no clock.
//
// A peer reports the revision that it holds, and the time as of which what it holds is
// complete. Two things follow. A revision above the router's own is one that the router lacks.
// A claim to be complete holds for the router, too, once it holds that revision.
//
// Invariants: a router counts as complete as of a time only if it has read the store since, or
// holds all that a peer held which had. What is lacked is read in the store before half of the
// bound is over, whatever peers do. A peer has at most one call at a time, and at most
// maxCalls are in progress.
package catchup

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/freshness"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// firstCallDelay is how long a router that lacks state waits for its own watch of the
	// store before it calls a peer.
	firstCallDelay = 100 * time.Millisecond
	// hedgeDelay is how long a call may take before another peer is called as well. Calls
	// that are answered take some tens of milliseconds.
	hedgeDelay = 250 * time.Millisecond
	// maxCalls is the number of peers that are called at a time: the hubs of a domain.
	maxCalls = 2
	// readShare and readSpreadShare bound, as fractions of the bound, when a router that
	// lacks state reads the store: half of the bound, less the time until it knows of the
	// change and that of the read. Routers spread their reads over readSpreadShare.
	readShare       = 0.2
	readSpreadShare = 0.15
	// retryDelay is the delay after a call or read that failed. It doubles with each further
	// one, up to maxRetryDelay, which leaves several attempts within a bound of seconds.
	retryDelay    = 300 * time.Millisecond
	maxRetryDelay = time.Second
	// maxUselessDelay bounds the same delay after reads that succeeded although the store has
	// nothing of what is lacked. Only a peer can have it then.
	maxUselessDelay = time.Minute
	// maxBackoffSteps bounds how often retryDelay doubles.
	maxBackoffSteps = 10
	// maxPending bounds the revisions that a router knows of and lacks. Beyond it the two
	// latest count as one.
	maxPending = 16
)

// Settings are the settings of a Tracker.
type Settings struct {
	// Self is the name of this router.
	Self ids.Instance
	// Bound is the time within which a change must be in force.
	Bound time.Duration
	// Origin identifies this process in claims, 0 if it does not name its reads.
	Origin uint64
}

// Report is what a peer says of one kind of state.
type Report struct {
	// Revision is the revision that the peer holds.
	Revision uint64
	// CompleteAt is the time as of which that state is complete, zero if the peer does not
	// tell.
	CompleteAt time.Time
	// Read is the read by which it is.
	Read freshness.Read
}

func (r Report) claim() freshness.Claim { return freshness.Claim{Read: r.Read, At: r.CompleteAt} }

// Action is what the router is to do now. Each is to be followed by
// RecordCall, or by RecordRead or RecordReadFailure.
type Action struct {
	// Call is the peer to call, empty for none.
	Call ids.Instance
	// Read is set if the store is to be read.
	Read bool
}

// Change describes how a revision came to be held.
type Change struct {
	// KnownFor is for how long the router knew of a revision that it lacked, 0 if it did not
	// know of one.
	KnownFor time.Duration
	// MaxDelay is the time for which the revision may have existed: that since the state
	// before was complete, 0 if that is not known.
	MaxDelay time.Duration
}

// Tracker tracks one kind of state at one router. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	spread   float64

	held uint64
	// complete is as of when the state held is complete; claimed is the same by claims of peers
	// alone.
	complete, claimed freshness.Freshness
	// ownReadAt is when this router's latest read began, and reads counts these.
	ownReadAt time.Time
	reads     uint64
	// pending are the revisions that peers hold and this router lacks, in ascending order.
	pending []pendingRevision
	peers   map[ids.Instance]*peerState
	read    attempt
	// readFor is the latest revision that was lacked when the last read for it began.
	readFor uint64
}

// pendingRevision is a revision that the router lacks.
type pendingRevision struct {
	revision uint64
	namedAt  time.Time
	// claim is as of when the router will be complete once it holds the revision.
	claim freshness.Claim
}

// peerState is what is known of a peer.
type peerState struct {
	revision uint64
	call     attempt
}

// attempt is the state of repeated calls to one party.
type attempt struct {
	// startedAt is the start of the call in progress, zero for none.
	startedAt time.Time
	// failures counts calls in a row that did not help, and notBefore is when the next one
	// may begin.
	failures  int
	notBefore time.Time
}

func (a *attempt) isRunning() bool { return !a.startedAt.IsZero() }

func (a *attempt) mayStart(now time.Time) bool {
	return !a.isRunning() && !now.Before(a.notBefore)
}

// end records the end of a call. helped is set if it returned later state than was held.
func (a *attempt) end(now time.Time, helped bool, maxDelay time.Duration) {
	a.startedAt = time.Time{}
	if helped {
		a.failures, a.notBefore = 0, time.Time{}
		return
	}
	delay := min(retryDelay<<min(a.failures, maxBackoffSteps), maxDelay)
	a.failures++
	a.notBefore = now.Add(delay)
}

// New returns a tracker of state of which nothing is held yet.
func New(s Settings) *Tracker {
	return &Tracker{settings: s, spread: SpreadOf(s.Self), peers: make(map[ids.Instance]*peerState)}
}

// SpreadOf returns the place, in [0, 1), of a router among those that do the same at the same
// time.
func SpreadOf(i ids.Instance) float64 {
	hash := rendezvous.Mix(xxhash.Sum64String(string(i)))
	return float64(hash>>32) / (1 << 32)
}

// Held returns the revision that the router holds.
func (t *Tracker) Held() uint64 { return t.held }

// Newest returns the latest revision that the router knows of.
func (t *Tracker) Newest() uint64 {
	if n := len(t.pending); n > 0 {
		return t.pending[n-1].revision
	}
	return t.held
}

// CompleteAt returns the time as of which the state held is complete, zero if it is not known.
func (t *Tracker) CompleteAt() time.Time { return t.complete.Latest().At }

// Complete returns that time, and the read by which it is known.
func (t *Tracker) Complete() freshness.Claim { return t.complete.Latest() }

// ClaimedAt returns the latest time as of which the state of a peer is complete that this
// router holds, or lacks for so short a time that it has not read the store for it.
func (t *Tracker) ClaimedAt(now time.Time) time.Time {
	claimed := t.claimed.Latest()
	if since := t.LackedSince(); !since.IsZero() && now.Before(t.readAt(since)) {
		for _, p := range t.pending {
			claimed = freshness.Later(claimed, p.claim)
		}
	}
	return claimed.At
}

// LackedSince returns since when the router has known of a revision that it lacks, zero if it
// knows of none.
func (t *Tracker) LackedSince() time.Time {
	var since time.Time
	for _, p := range t.pending {
		if since.IsZero() || p.namedAt.Before(since) {
			since = p.namedAt
		}
	}
	return since
}

// RecordReport records what a peer says of its state.
func (t *Tracker) RecordReport(now time.Time, peer ids.Instance, r Report) {
	p := t.peers[peer]
	if p == nil {
		p = new(peerState)
		t.peers[peer] = p
	}
	p.revision = r.Revision
	if r.Revision <= t.held {
		t.claim(r.claim())
		return
	}
	i, known := slices.BinarySearchFunc(t.pending, r.Revision, func(e pendingRevision, revision uint64) int {
		return cmp.Compare(e.revision, revision)
	})
	if known {
		t.pending[i].claim = freshness.Later(t.pending[i].claim, r.claim())
		return
	}
	t.pending = slices.Insert(t.pending, i, pendingRevision{revision: r.Revision, namedAt: now, claim: r.claim()})
	if n := len(t.pending); n > maxPending {
		before, last := t.pending[n-2], &t.pending[n-1]
		last.claim = freshness.Later(last.claim, before.claim)
		if before.namedAt.Before(last.namedAt) {
			last.namedAt = before.namedAt
		}
		t.pending = slices.Delete(t.pending, n-2, n-1)
	}
}

// claim records that the state held is complete as of a time, according to a peer.
func (t *Tracker) claim(c freshness.Claim) {
	t.claimed.Record(c)
	t.complete.Record(c)
}

// RecordLinkEnd forgets a peer. What it held may still be lacked.
func (t *Tracker) RecordLinkEnd(peer ids.Instance) { delete(t.peers, peer) }

// RecordHeld records that the router holds a revision.
func (t *Tracker) RecordHeld(now time.Time, revision uint64) Change {
	if revision <= t.held {
		return Change{}
	}
	var c Change
	if since := t.LackedSince(); !since.IsZero() {
		c.KnownFor = now.Sub(since)
	}
	if at := t.CompleteAt(); !at.IsZero() {
		c.MaxDelay = now.Sub(at)
	}
	t.held = revision
	obtained := 0
	for obtained < len(t.pending) && t.pending[obtained].revision <= revision {
		t.claim(t.pending[obtained].claim)
		obtained++
	}
	t.pending = slices.Delete(t.pending, 0, obtained)
	if obtained > 0 && len(t.pending) > 0 {
		// The next lack is another one.
		t.read.failures, t.read.notBefore = 0, time.Time{}
	}
	return c
}

// RecordComplete records that the state held is complete as of the start of a read of the store.
func (t *Tracker) RecordComplete(at time.Time) {
	if !at.After(t.ownReadAt) {
		return
	}
	t.ownReadAt = at
	t.reads++
	t.complete.Record(freshness.Claim{Read: freshness.Read{Origin: t.settings.Origin, Number: t.reads}, At: at})
}

// RecordCall records that a call to a peer has ended. helped is set if it returned later state
// than was held.
func (t *Tracker) RecordCall(now time.Time, peer ids.Instance, helped bool) {
	if p := t.peers[peer]; p != nil {
		p.call.end(now, helped, maxRetryDelay)
	}
}

// RecordReadFailure records that a read of the store for lacked state has failed.
func (t *Tracker) RecordReadFailure(now time.Time) { t.read.end(now, false, maxRetryDelay) }

// RecordRead records that a read of the store for lacked state has succeeded, after what it
// returned has come to be held.
func (t *Tracker) RecordRead(now time.Time) {
	startedAt := t.read.startedAt
	t.read.end(now, t.held >= t.readFor, maxUselessDelay)
	// What the store lacks and no peer holds any more does not exist.
	var newestAtPeers uint64
	for _, p := range t.peers {
		newestAtPeers = max(newestAtPeers, p.revision)
	}
	t.pending = slices.DeleteFunc(t.pending, func(p pendingRevision) bool {
		return p.namedAt.Before(startedAt) && p.revision > newestAtPeers
	})
}

// Next returns what the router is to do now, and records that it has begun.
func (t *Tracker) Next(now time.Time) Action {
	since := t.LackedSince()
	if since.IsZero() {
		return Action{}
	}
	// A router that starts has its watches to read the store.
	isStarting := t.held == 0
	if !isStarting && !now.Before(t.readAt(since)) && t.read.mayStart(now) {
		t.read.startedAt, t.readFor = now, t.Newest()
		return Action{Read: true}
	}
	if now.Sub(since) < firstCallDelay {
		return Action{}
	}
	running := 0
	for _, p := range t.peers {
		if !p.call.isRunning() {
			continue
		}
		running++
		if now.Sub(p.call.startedAt) < hedgeDelay {
			return Action{}
		}
	}
	if running >= maxCalls {
		return Action{}
	}
	name := t.nextPeer(now)
	if name != "" {
		t.peers[name].call.startedAt = now
	}
	return Action{Call: name}
}

// readAt returns when the store is read for state that is lacked since a time.
func (t *Tracker) readAt(since time.Time) time.Time {
	return since.Add(time.Duration((readShare + readSpreadShare*t.spread) * float64(t.settings.Bound)))
}

// nextPeer returns the peer to call, empty for none. Peers of which calls did not help come
// last, and routers differ in which of equal peers they call first.
func (t *Tracker) nextPeer(now time.Time) ids.Instance {
	var best ids.Instance
	for name, p := range t.peers {
		if p.revision <= t.held || !p.call.mayStart(now) {
			continue
		}
		if best == "" || t.isPreferred(name, best) {
			best = name
		}
	}
	return best
}

func (t *Tracker) isPreferred(a, b ids.Instance) bool {
	pa, pb := t.peers[a], t.peers[b]
	return cmp.Or(
		cmp.Compare(pa.call.failures, pb.call.failures),
		cmp.Compare(pb.revision, pa.revision),
		cmp.Compare(t.weight(a), t.weight(b)),
		cmp.Compare(a, b),
	) < 0
}

// weight orders peers differently at each router.
func (t *Tracker) weight(peer ids.Instance) uint64 {
	return rendezvous.Mix(xxhash.Sum64String(string(t.settings.Self)) ^ xxhash.Sum64String(string(peer)))
}
