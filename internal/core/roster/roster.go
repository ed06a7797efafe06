// Package roster keeps the list of targets as the platform tells it, through
// outages of the platform's store and from peers that still reach it. It is a
// deterministic state machine without I/O or clock.
//
// Targets whose entries lapse while the store is away are kept until it has
// been back for long enough for them to enter themselves again. News that is
// older than what is known changes nothing.
package roster

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// Settle is how long after the store's return an entry may still be missing
	// though its target lives: the platform's bound on its return, and a margin.
	Settle = 2500 * time.Millisecond
	// margin is what news of a target's end takes to be seen and acted on: a watch
	// and a check of the list, with room to spare.
	margin = 500 * time.Millisecond
	// tombstoneLife is how long the end of an entry is remembered against older
	// news; far above any delay of a read.
	tombstoneLife = time.Minute
)

// Entry is a target as it stands in the store.
type Entry struct {
	routing.Target
	// Revision of the entry's last change.
	Revision uint64
}

// Change is news of one entry.
type Change struct {
	Entry
	// Gone is set where the entry has ended, or no longer names a target.
	Gone bool
}

// Roster is the list of targets.
type Roster struct {
	// keepMissing is how long a target whose entry ended after an outage is kept.
	keepMissing time.Duration
	entries     map[ids.Target]*state
	tombstones  map[ids.Target]tombstone
	// asOf is the store's revision at which the list last changed.
	asOf uint64
	// settledAsOf is the last revision whose list came from the store while it was
	// settled, here or at a peer: what that list lacks has ended.
	settledAsOf uint64
	away        bool
	// returnedAt is when the store returned last; zero where it never was away.
	returnedAt time.Time
}

type state struct {
	Entry
	// missing is set while the entry is gone from the store but kept, since then.
	missing bool
	since   time.Time
}

type tombstone struct {
	revision uint64
	at       time.Time
}

// New returns an empty roster. A leaving target must get no more requests after
// the time leaveWithin: that bounds how long an entry that ended is kept.
func New(leaveWithin time.Duration) *Roster {
	return &Roster{keepMissing: min(Settle, max(0, leaveWithin-margin)), entries: make(map[ids.Target]*state), tombstones: make(map[ids.Target]tombstone)}
}

// AsOf is the store's revision at which the list last changed.
func (r *Roster) AsOf() uint64 { return r.asOf }

// Apply takes changes in their order, and the revision up to which they go.
func (r *Roster) Apply(now time.Time, changes []Change, asOf uint64) {
	for _, c := range changes {
		if c.Gone {
			r.end(now, c.ID, c.Revision, r.settling(now))
		} else {
			r.put(c.Entry)
		}
	}
	r.asOf = max(r.asOf, asOf)
	r.settle(r.settling(now))
}

// Replace takes the full list of a revision from the store. One that is older
// than what is known changes nothing.
func (r *Roster) Replace(now time.Time, list []Entry, asOf uint64) {
	r.replace(now, list, asOf, r.settling(now))
}

// Merge takes a peer's full list. Where the peer is settled, an entry that it
// lacks has ended, although this router may not reach the store itself.
func (r *Roster) Merge(now time.Time, list []Entry, asOf uint64, settled bool) {
	r.replace(now, list, asOf, !settled)
}

// Settled tells whether what the list lacks has ended: the store answers this router,
// or the list came from a peer that it answers.
func (r *Roster) Settled(now time.Time) bool {
	return !r.settling(now) || (r.asOf > 0 && r.settledAsOf == r.asOf)
}

// settle notes that the list as it now stands is settled, unless unsure.
func (r *Roster) settle(unsure bool) {
	if !unsure {
		r.settledAsOf = r.asOf
	}
}

func (r *Roster) replace(now time.Time, list []Entry, asOf uint64, keep bool) {
	if asOf < r.asOf {
		return
	}
	listed := make(map[ids.Target]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		r.put(e)
	}
	for id := range r.entries {
		if !listed[id] {
			r.end(now, id, asOf, keep)
		}
	}
	r.asOf = asOf
	r.settle(keep)
}

func (r *Roster) put(e Entry) {
	if known := r.entries[e.ID]; known != nil && e.Revision < known.Revision {
		return
	}
	if t, ended := r.tombstones[e.ID]; ended && e.Revision <= t.revision {
		return
	}
	r.entries[e.ID] = &state{Entry: e}
}

func (r *Roster) end(now time.Time, id ids.Target, revision uint64, keep bool) {
	known := r.entries[id]
	if known == nil || revision < known.Revision {
		return
	}
	if keep {
		if !known.missing {
			known.missing, known.since = true, now
		}
		return
	}
	r.drop(now, id, revision)
}

func (r *Roster) drop(now time.Time, id ids.Target, revision uint64) {
	delete(r.entries, id)
	r.tombstones[id] = tombstone{revision: revision, at: now}
	for old, t := range r.tombstones {
		if now.Sub(t.at) > tombstoneLife {
			delete(r.tombstones, old)
		}
	}
}

// StoreLost tells that the store does not answer.
func (r *Roster) StoreLost() { r.away = true }

// StoreReturned tells that the store answers.
func (r *Roster) StoreReturned(now time.Time) {
	if r.away {
		r.away = false
		r.returnedAt = now
	}
}

func (r *Roster) settling(now time.Time) bool {
	return r.away || (!r.returnedAt.IsZero() && now.Sub(r.returnedAt) < Settle)
}

// DropMissing drops the entries that have been missing for long enough since the
// store is back, and tells whether any was dropped.
func (r *Roster) DropMissing(now time.Time) bool {
	if r.away {
		return false
	}
	dropped := false
	for id, e := range r.entries {
		if e.missing && now.Sub(later(e.since, r.returnedAt)) >= r.keepMissing {
			r.drop(now, id, e.Revision)
			dropped = true
		}
	}
	return dropped
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Entries returns the list, without the entries that are missing in the store:
// what peers are told.
func (r *Roster) Entries() []Entry {
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		if !e.missing {
			out = append(out, e.Entry)
		}
	}
	return out
}

// Targets returns the list in force, missing entries included.
func (r *Roster) Targets() []routing.Target {
	out := make([]routing.Target, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.Target)
	}
	return out
}
