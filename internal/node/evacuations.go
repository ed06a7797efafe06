package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/evacuation"
	"github.com/umberhill/umberhill/internal/core/freshness"
	"github.com/umberhill/umberhill/internal/core/revision"
	"github.com/umberhill/umberhill/internal/ids"
)

// startWaitShare is the fraction of the settings' bound for which a router that starts awaits
// the set of evacuated domains before it uses targets without it. With a bound of 5 s that
// covers two calls of 1 s each and a follower's delay of up to 2.65 s between them. The rest
// is for the targets to come into use.
const startWaitShare = 0.95

// The sources of a change in metrics. Logs name the peer.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

// Evacuations is the controller of the set of evacuated failure domains. Updates are
// received from the platform's store and from peers. It is inactive unless the settings
// bound the time until an evacuation is in force.
type Evacuations struct {
	node *Node
	// isAwaited is set while the router does not know the set and awaits it.
	isAwaited atomic.Bool

	// freshness tracks as of when the set is complete, claimed the same by claims of peers
	// alone.
	freshness, claimed sharedFreshness
	// reads counts the reads of the set by this router.
	reads atomic.Uint64
	// refresher, if set, starts a read of the set.
	refresher func()

	mu  sync.Mutex
	set evacuation.Set
}

func newEvacuations(n *Node) *Evacuations {
	e := &Evacuations{node: n}
	e.isAwaited.Store(e.isActive())
	e.gauge(0)
	for _, source := range []string{sourceStore, sourcePeer} {
		e.countChange(source, 0)
	}
	return e
}

func (e *Evacuations) isActive() bool { return e.node.settings.EvacuationDelay > 0 }

// startWait returns how long a router that starts awaits the set.
func (e *Evacuations) startWait() time.Duration {
	return time.Duration(startWaitShare * float64(e.node.settings.EvacuationDelay))
}

// Replace replaces the set by the store's at revision asOf, which was read age ago.
func (e *Evacuations) Replace(domains []ids.Domain, asOf uint64, age time.Duration) {
	e.update(sourceStore, age, asOf, func(now time.Time) evacuation.Diff { return e.set.Replace(now, domains, asOf) })
}

// Apply applies events of the store, which are complete up to revision asOf.
func (e *Evacuations) Apply(changes []evacuation.Change, asOf uint64) {
	e.update(sourceStore, 0, asOf, func(now time.Time) evacuation.Diff { return e.set.Apply(now, changes, asOf) })
}

// SetRefresher sets the function that starts a read of the set. It must be called before
// Run.
func (e *Evacuations) SetRefresher(v func()) { e.refresher = v }

// RecordRefresh records that this router has read the set again, in a read that began at a time.
func (e *Evacuations) RecordRefresh(start time.Time) {
	e.freshness.record(freshness.Claim{Read: freshness.Read{Origin: e.node.readOrigin(), Number: e.reads.Add(1)}, At: start})
}

// isUpdatedByHub reports whether this router is a follower and its set is recent enough that
// it need not watch the store itself.
func (e *Evacuations) isUpdatedByHub() bool {
	return e.node.isFollower() && e.claimed.age(time.Now()) < e.node.refreshAgeOf(maxRefreshRank)
}

// receive applies the set in a peer's report, which was sent at a time.
func (e *Evacuations) receive(sentAt time.Time, from ids.Instance, r *fleetv1.Report) {
	received := r.GetEvacuations()
	if received == nil {
		return
	}
	domains := make([]ids.Domain, 0, len(received.GetDomains()))
	for _, d := range received.GetDomains() {
		domains = append(domains, ids.Domain(d))
	}
	asOf := revision.Join(received.GetEra(), received.GetRevision())
	age := time.Since(sentAt) + time.Duration(received.GetAgeMs())*time.Millisecond
	e.update(string(from), age, asOf, func(now time.Time) evacuation.Diff { return e.set.Replace(now, domains, asOf) })
	e.mu.Lock()
	holdsAll := e.set.State().AsOf >= asOf
	e.mu.Unlock()
	// Only a peer that sends the set tells how old its set is.
	if received.AgeMs != nil && holdsAll {
		c := freshness.Claim{Read: decodeRead(received.GetRead()), At: time.Now().Add(-age)}
		e.freshness.record(c)
		e.claimed.record(c)
	}
}

// update applies a change of the set to the scheduler, logs it, and releases the targets
// that await the set. source is sourceStore or the name of a peer.
func (e *Evacuations) update(source string, age time.Duration, asOf uint64, change func(now time.Time) evacuation.Diff) {
	if !e.isActive() {
		return
	}
	e.mu.Lock()
	diff := change(time.Now())
	if !diff.IsEmpty() {
		domains := e.set.State().Domains
		e.node.scheduler.SetEvacuated(domains, diff.Ended)
		e.gauge(len(domains))
		e.record(source, age, asOf, diff, domains)
	}
	isKnown := e.set.IsKnown()
	e.mu.Unlock()
	if isKnown && e.isAwaited.CompareAndSwap(true, false) {
		e.node.releaseTargets()
	}
}

// stopWaiting makes the router use targets although it does not know the set.
func (e *Evacuations) stopWaiting() {
	if e.isAwaited.CompareAndSwap(true, false) {
		e.node.logger.WithField("wait_ms", e.startWait().Milliseconds()).
			Warn("evacuations unknown; using the targets without them")
		e.node.releaseTargets()
	}
}

// record writes a change to the log and the metrics. domains are those that are evacuated
// from now on.
func (e *Evacuations) record(source string, age time.Duration, asOf uint64, diff evacuation.Diff, domains []ids.Domain) {
	kind := sourcePeer
	if source == sourceStore {
		kind = sourceStore
	}
	e.countChange(kind, int64(len(diff.Begun)+len(diff.Ended)))
	era, ownRevision := revision.Split(asOf)
	e.node.logger.WithFields(logrus.Fields{
		"evacuated": domains, "begun": diff.Begun, "ended": diff.Ended,
		"source": source, "age_ms": age.Milliseconds(), "era": era, "revision": ownRevision,
	}).Info("evacuated domains changed")
}

func (e *Evacuations) gauge(domains int) {
	e.node.scope.Gauge("evacuated_domains").Update(float64(domains))
}

func (e *Evacuations) countChange(source string, n int64) {
	e.node.scope.Tagged(map[string]string{"source": source}).Counter("evacuation_changes").Inc(n)
}

// takeReport returns the set for the report that is sent now, nil if it is left out.
func (e *Evacuations) takeReport(now time.Time) *fleetv1.Evacuations {
	if !e.isActive() {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	complete := e.freshness.latest()
	state, ok := e.set.TakeReport(now)
	if !ok {
		return nil
	}
	out := &fleetv1.Evacuations{AgeMs: encodeAge(now.Sub(complete.At)), Read: encodeRead(complete.Read)}
	out.Era, out.Revision = revision.Split(state.AsOf)
	for _, d := range state.Domains {
		out.Domains = append(out.Domains, string(d))
	}
	return out
}

// addEvacuations adds the set in a hub's own report to its sums. It is the latest that the
// hub has received.
func addEvacuations(own *fleetv1.Report, sums ...*fleetv1.Report) {
	for _, sum := range sums {
		sum.Evacuations = own.GetEvacuations()
	}
}

// recordPeerJoined records that a router has joined, which may not know the set.
func (e *Evacuations) recordPeerJoined() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.set.RecordPeerJoined(time.Now())
}
