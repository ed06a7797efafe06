package roster

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// SettleTime is how long after the recovery of the store the entry of a live
	// target may still be missing: the platform's bound on the entry's
	// re-registration, and a margin.
	SettleTime = 2500 * time.Millisecond
	// removalMargin is an upper bound on the time until the removal of a target is
	// received and applied: a watch and a check of the list, with a safety margin.
	removalMargin = 500 * time.Millisecond
	// confirmTime is how long after an entry was missing a router has to have read the store,
	// so that its target has had time to register again.
	confirmTime = 500 * time.Millisecond
)

// Lack tells that the store lacks the entry of a target, and since when a router has known.
type Lack struct {
	ID    ids.Target
	Since time.Time
}

// lack is the state of a missing entry. The zero value is that of an entry that the store has.
type lack struct {
	// since is when a router first knew that the store lacks the entry, and asOf the store
	// revision at which it does.
	since time.Time
	asOf  uint64
}

func (l lack) isKnown() bool { return !l.since.IsZero() }

// retention is for how long a target is used although the store lacks its entry.
type retention time.Duration

func newRetention(drainTimeout time.Duration) retention {
	return retention(min(SettleTime, max(0, drainTimeout-removalMargin)))
}

func (r retention) isOver(now time.Time, l lack) bool {
	return l.isKnown() && now.Sub(l.since) >= time.Duration(r)
}

// Cause says how a router learned that it must not use a target any more.
type Cause string

const (
	// Removed means that a list or an event without the entry decided it.
	Removed Cause = "removed"
	// NotBack means that the entry had been missing for the retention time.
	NotBack Cause = "not_back"
)

// Missing is a target whose entry is missing in the store, and which is kept.
type Missing struct {
	ID      ids.Target
	Service string
}

// Drop is the end of the use of a target.
type Drop struct {
	Cause Cause
	// MissingFor is for how long the target was used although its entry was missing, 0 if
	// the entry had not been missing before.
	MissingFor time.Duration
}

// News are the changes of the list that are not in its entries.
type News struct {
	// Missing are the targets whose entries are missing since, and Drops those that are not
	// used any more.
	Missing []Missing
	Drops   map[ids.Target]Drop
}

// markMissing records that the store lacks an entry at a revision, which a router has known since
// a time. An earlier time replaces a later one, but not the reverse.
func (r *Roster) markMissing(id ids.Target, since time.Time, asOf uint64) {
	current := r.entries[id]
	if !current.lack.isKnown() {
		current.lack.since = since
		r.news.Missing = append(r.news.Missing, Missing{id, current.Service})
	}
	if since.Before(current.lack.since) {
		current.lack.since = since
	}
	current.lack.asOf = max(current.lack.asOf, asOf)
}

// Lacks returns the missing entries of targets that are used, to be sent to peers.
func (r *Roster) Lacks() []Lack {
	var out []Lack
	for id, e := range r.entries {
		if e.lack.isKnown() {
			out = append(out, Lack{id, e.lack.since})
		}
	}
	return out
}

// MergeLacks records which entries a peer misses whose list has revision asOf. It precedes the
// Merge of that list, so that the time for which the peer has missed an entry counts here, too.
func (r *Roster) MergeLacks(lacks []Lack, asOf uint64) {
	for _, l := range lacks {
		current := r.entries[l.ID]
		if current == nil || asOf < current.Revision || asOf <= r.asOf && !current.lack.isKnown() {
			continue
		}
		r.markMissing(l.ID, l.Since, asOf)
	}
}

// RecordPeers records whether peers report at present when the store was last read.
func (r *Roster) RecordPeers(areReporting bool) { r.arePeersReporting = areReporting }

// DropMissing deletes the entries that have been missing for the retention time, and reports
// whether it deleted any.
func (r *Roster) DropMissing(now time.Time) bool {
	dropped := false
	for id, e := range r.entries {
		if r.retention.isOver(now, e.lack) && !r.isHeld(e) {
			r.deleteEntry(now, id, e.Revision, NotBack)
			dropped = true
		}
	}
	return dropped
}

// isHeld reports whether a missing entry is kept beyond the retention time: this router has lost
// the store, and no router is known to have read it since the target could write its entry again.
// If peers report, the store itself is away. A router without peers cannot tell that from a loss of
// its own contact, and uses the target for lack of another only.
func (r *Roster) isHeld(e *state) bool {
	if !r.outages.contactLost || !r.outages.lastReadAt.Before(e.lack.since.Add(confirmTime)) {
		return false
	}
	return r.arePeersReporting || !r.hasListedTarget(e.Service)
}

// hasListedTarget reports whether a service has a target that the store lists and that does not
// leave.
func (r *Roster) hasListedTarget(service string) bool {
	for _, e := range r.entries {
		if e.Service == service && !e.Draining && !e.lack.isKnown() {
			return true
		}
	}
	return false
}

// TakeNews returns the news since the last call.
func (r *Roster) TakeNews() News {
	news := r.news
	r.news = News{}
	return news
}

// MissingCount returns the number of targets that are used although their entries are missing.
func (r *Roster) MissingCount() int {
	n := 0
	for _, e := range r.entries {
		if e.lack.isKnown() {
			n++
		}
	}
	return n
}
