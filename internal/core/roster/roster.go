// Package roster maintains the list of targets that the platform's store
// publishes. It keeps the list usable during outages of the store, and accepts
// it from peers that still reach the store. It is a deterministic state machine
// without I/O or clock.
//
// Invariants: a target whose entry lapses in an outage of the store is kept until it has had
// time to write its entry again. The time for which a target is used counts from when a router
// first knew that the store lacks its entry; only a later entry ends it, and nothing begins it
// anew. An update with an older revision than the recorded one has no effect; revisions
// are ordered as in package revision. After the store has returned from an older copy, an
// entry in it that its target has changed since does not replace the newer one.
package roster

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/revision"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// tombstoneTTL is how long the tombstone of a removed entry is kept, so that
	// updates with an older revision cannot add the entry again. It is far above any delay of a read.
	tombstoneTTL = time.Minute
	// olderCopyTTL is how long after the store's return from an older copy an entry of a
	// removed target may be from that copy. Without its target it lapses within three
	// check-ins.
	olderCopyTTL = 5 * time.Second
)

// Entry is a target as recorded in the store.
type Entry struct {
	routing.Target
	// Revision is the store revision of the entry's last change.
	Revision uint64
	// Seq counts the changes of the entry by this run of the target, 0 if unknown.
	Seq uint64
	// ColdLeft is for how long the target is cold from now on, if the entry states it.
	ColdLeft time.Duration
}

// startTimes sets the times that count from the reading of the entry. If it was read before
// in the same state, they are those of then.
func (e *Entry) startTimes(now time.Time, current *state) {
	e.EntryRevision, e.EntrySeq = e.Revision, e.Seq
	if current != nil && e.isSameState(current.Entry) {
		e.ReadAt, e.StatesCold, e.ColdUntil = current.ReadAt, current.StatesCold, current.ColdUntil
		return
	}
	e.ReadAt, e.ColdUntil = now, time.Time{}
	if e.StatesCold && e.ColdLeft > 0 {
		e.ColdUntil = now.Add(e.ColdLeft)
	}
}

// isSameState reports whether the entry is the same state as o of the same target. After the
// store's return from an older copy the state has a revision of the later era.
func (e Entry) isSameState(o Entry) bool {
	if !e.IsSameRun(o.Target) {
		return false
	}
	return e.Revision == o.Revision || e.Seq > 0 && e.Seq == o.Seq && revision.IsLaterEra(e.Revision, o.Revision)
}

// isOlderThan reports whether the entry is an earlier state than o of the same target:
// an earlier run, or an earlier change by the same run.
func (e Entry) isOlderThan(o Entry) bool {
	if e.StartTimeMS != o.StartTimeMS {
		return e.StartTimeMS < o.StartTimeMS
	}
	return e.Seq < o.Seq
}

// Change is an update or the removal of one entry.
type Change struct {
	Entry
	// Removed is true if the entry was removed, or no longer describes a target.
	Removed bool
}

// Roster is the list of targets.
type Roster struct {
	retention  retention
	outages    outages
	entries    map[ids.Target]*state
	tombstones map[ids.Target]tombstone
	// asOf is the store revision at which the list last changed.
	asOf uint64
	// settledAsOf is the last revision whose list is settled: it came from the store
	// at this router or at a peer, after SettleTime had passed since the store's
	// recovery. Targets that are not on a settled list have been removed.
	settledAsOf uint64
	// eraSince is when the store was first seen to have returned from an older copy, zero
	// if it never has.
	eraSince time.Time
	// arePeersReporting is set while peers report when the store was last read.
	arePeersReporting bool
	news              News
}

type state struct {
	Entry
	lack lack
}

type tombstone struct {
	revision uint64
	at       time.Time
	// last is the entry that was removed.
	last Entry
}

// Option is an option of New.
type Option func(*Roster)

// WithCheckInInterval sets the interval at which targets write their entries, which lapse after
// three without a write. Without it any loss of contact counts as an outage of the store.
func WithCheckInInterval(d time.Duration) Option {
	return func(r *Roster) { r.outages.minSilence = time.Duration(lapseIntervals * float64(d)) }
}

// New returns an empty roster. A draining target must get no more requests after
// drainTimeout, which therefore bounds how long a removed entry is kept.
func New(drainTimeout time.Duration, options ...Option) *Roster {
	r := &Roster{retention: newRetention(drainTimeout), entries: make(map[ids.Target]*state), tombstones: make(map[ids.Target]tombstone)}
	for _, o := range options {
		o(r)
	}
	return r
}

// AsOf returns the store revision at which the list last changed.
func (r *Roster) AsOf() uint64 { return r.asOf }

// Apply applies changes in order. asOf is the store revision up to which the
// changes are complete.
func (r *Roster) Apply(now time.Time, changes []Change, asOf uint64) {
	r.observeEra(now, asOf)
	for _, c := range changes {
		switch {
		case c.Removed:
			r.handleRemoval(now, c.ID, c.Revision, r.outages.isSettling(now))
		case r.entries[c.ID] == nil && c.Revision <= r.asOf:
			// A later list lacks it, so it was removed since.
		default:
			r.upsert(now, c.Entry, 0)
		}
	}
	r.asOf = max(r.asOf, asOf)
	r.markSettled(r.outages.isSettling(now))
}

// Replace replaces the list by the store's full list at revision asOf. A list
// that is older than the current one is ignored.
func (r *Roster) Replace(now time.Time, list []Entry, asOf uint64) {
	r.observeEra(now, asOf)
	r.replace(now, list, asOf, r.outages.isSettling(now))
}

// Merge replaces the list by a peer's full list at revision asOf, unless it is
// older than the current one. If the peer's list is settled, entries that are not
// on it are removed, even if this router cannot reach the store itself.
func (r *Roster) Merge(now time.Time, list []Entry, asOf uint64, settled bool) {
	r.observeEra(now, asOf)
	if !settled && asOf == r.asOf {
		// The list of this router has the same revision, and shows what the store had then.
		return
	}
	r.replace(now, list, asOf, !settled)
}

// IsSettled reports whether targets that are not on the list have been removed:
// either this router reaches the store and SettleTime has passed since the store's
// recovery, or the list came from a peer for which this holds.
func (r *Roster) IsSettled(now time.Time) bool {
	return !r.outages.isSettling(now) || (r.asOf > 0 && r.settledAsOf == r.asOf)
}

// markSettled records that the current list is settled, unless isSettling.
func (r *Roster) markSettled(isSettling bool) {
	if !isSettling {
		r.settledAsOf = r.asOf
	}
}

func (r *Roster) replace(now time.Time, list []Entry, asOf uint64, keepMissing bool) {
	if asOf < r.asOf {
		return
	}
	listed := make(map[ids.Target]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		r.upsert(now, e, asOf)
	}
	for id := range r.entries {
		if !listed[id] {
			r.handleRemoval(now, id, asOf, keepMissing)
		}
	}
	r.asOf = asOf
	r.markSettled(keepMissing)
}

// observeEra handles the store's return from an older copy. Entries that were written
// after the copy are missing until their targets write them again.
func (r *Roster) observeEra(now time.Time, asOf uint64) {
	if r.asOf > 0 && revision.IsLaterEra(asOf, r.asOf) {
		r.outages.recordEnd(now)
		r.eraSince = now
	}
}

// upsert adds or updates an entry. listAsOf is the revision of the full list that has it, 0 for an
// event.
func (r *Roster) upsert(now time.Time, e Entry, listAsOf uint64) {
	if current := r.entries[e.ID]; current != nil {
		if current.lack.isKnown() && e.Revision <= max(current.Revision, current.lack.asOf) && listAsOf <= current.lack.asOf {
			// The entry is from before its removal.
			return
		}
		if e.Revision < current.Revision || revision.IsLaterEra(e.Revision, current.Revision) && e.isOlderThan(current.Entry) {
			return
		}
	}
	if t, removed := r.tombstones[e.ID]; removed {
		fromOlderCopy := revision.IsLaterEra(e.Revision, t.revision) && now.Sub(r.eraSince) < olderCopyTTL && !t.last.isOlderThan(e)
		if e.Revision <= t.revision || fromOlderCopy {
			return
		}
	}
	if current := r.entries[e.ID]; current != nil && e.SoftwareVersion == "" && current.IsSameRun(e.Target) {
		// The list of a peer may lack versions. That of a run does not change.
		e.SoftwareVersion = current.SoftwareVersion
	}
	e.startTimes(now, r.entries[e.ID])
	r.entries[e.ID] = &state{Entry: e}
}

// handleRemoval marks the entry as missing if keepMissing is true, and deletes it
// otherwise. A removal older than the entry is ignored.
func (r *Roster) handleRemoval(now time.Time, id ids.Target, asOf uint64, keepMissing bool) {
	current := r.entries[id]
	if current == nil || asOf < current.Revision {
		return
	}
	if keepMissing {
		r.markMissing(id, now, asOf)
		return
	}
	r.deleteEntry(now, id, asOf, Removed)
}

func (r *Roster) deleteEntry(now time.Time, id ids.Target, asOf uint64, cause Cause) {
	last := r.entries[id]
	drop := Drop{Cause: cause}
	if last.lack.isKnown() {
		drop.MissingFor = now.Sub(last.lack.since)
	}
	if r.news.Drops == nil {
		r.news.Drops = make(map[ids.Target]Drop)
	}
	r.news.Drops[id] = drop
	r.tombstones[id] = tombstone{revision: asOf, at: now, last: last.Entry}
	delete(r.entries, id)
	for old, t := range r.tombstones {
		if now.Sub(t.at) > tombstoneTTL {
			delete(r.tombstones, old)
		}
	}
}

// MarkStoreDown records that the store does not respond to this router.
func (r *Roster) MarkStoreDown() { r.outages.contactLost = true }

// MarkStoreUp records that the store responds to this router.
func (r *Roster) MarkStoreUp(now time.Time) {
	r.outages.recordRead(now)
	r.outages.contactLost = false
}

// RecordRead records when any router last read the store.
func (r *Roster) RecordRead(at time.Time) { r.outages.recordRead(at) }

// Entries returns the list to send to peers, without the entries that are missing
// in the store.
func (r *Roster) Entries() []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.lack.isKnown() {
			out = append(out, e.Entry)
		}
	}
	return out
}

// Targets returns the targets to route to, including those whose entries are
// missing in the store.
func (r *Roster) Targets() []routing.Target {
	out := make([]routing.Target, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.Target)
	}
	return out
}
