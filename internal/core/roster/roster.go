// Package roster keeps the list of targets as the platform tells it, through
// outages of the platform's store. It is a deterministic state machine without
// I/O or clock.
//
// Targets whose entries lapse while the store is away are kept until it has
// been back for long enough for them to enter themselves again.
package roster

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// Settle is how long after the store's return an entry may still be missing
// though its target lives: entries are back within about two seconds.
const Settle = 2500 * time.Millisecond

// Roster is the list of targets.
type Roster struct {
	entries map[ids.Target]*entry
	away    bool
	// backAt is when the store returned last; zero where it never was away.
	backAt time.Time
}

type entry struct {
	target   routing.Target
	revision uint64
	// missing is set while the entry is gone from the store but kept.
	missing bool
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[ids.Target]*entry)} }

// Put takes an entry that stands in the store. An older revision than the one
// known changes nothing.
func (r *Roster) Put(t routing.Target, revision uint64) {
	if known := r.entries[t.ID]; known != nil && revision < known.revision {
		return
	}
	r.entries[t.ID] = &entry{target: t, revision: revision}
}

// Delete takes the end of an entry.
func (r *Roster) Delete(now time.Time, id ids.Target, revision uint64) {
	known := r.entries[id]
	if known == nil || revision < known.revision {
		return
	}
	if r.settling(now) {
		known.missing = true
		return
	}
	delete(r.entries, id)
}

// Drop forgets a target whose entry no longer names one.
func (r *Roster) Drop(id ids.Target) { delete(r.entries, id) }

// Replace takes a full list, as of a revision.
func (r *Roster) Replace(now time.Time, list map[ids.Target]uint64, asOf uint64) {
	for id := range r.entries {
		if _, there := list[id]; !there {
			r.Delete(now, id, asOf)
		}
	}
}

// Lost tells that the store does not answer.
func (r *Roster) Lost() { r.away = true }

// Back tells that the store answers. It reports whether it was away.
func (r *Roster) Back(now time.Time) bool {
	if !r.away {
		return false
	}
	r.away = false
	r.backAt = now
	return true
}

func (r *Roster) settling(now time.Time) bool {
	return r.away || (!r.backAt.IsZero() && now.Sub(r.backAt) < Settle)
}

// Settled drops the entries that are still missing once the store has been back
// for long enough, and tells whether any was dropped.
func (r *Roster) Settled(now time.Time) bool {
	if r.settling(now) {
		return false
	}
	dropped := false
	for id, e := range r.entries {
		if e.missing {
			delete(r.entries, id)
			dropped = true
		}
	}
	return dropped
}

// Targets returns the list.
func (r *Roster) Targets() []routing.Target {
	out := make([]routing.Target, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, e.target)
	}
	return out
}
