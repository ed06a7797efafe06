// Package evacuation maintains the set of failure domains that the operator has
// evacuated. It is a deterministic state machine without I/O or clock. The set comes from
// the platform's store and from peers that hold a later one.
//
// Invariant: the set is that of one revision of the store, ordered as in package revision,
// and the revision never decreases.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// resendTime is how long the set is part of every report after it has changed or a
	// peer has joined, so that several lost reports do not delay it.
	resendTime = time.Second
	// repeatInterval is the interval at which an unchanged set is repeated. Five reports
	// of a full mesh in a row are lost at most rarely, and it is below a tenth of the
	// 5 s within which an evacuation is in force.
	repeatInterval = 400 * time.Millisecond
)

// Change is the begin or the end of one evacuation, as an event of a watch shows it.
type Change struct {
	Domain ids.Domain
	// Ended is set if the evacuation has ended.
	Ended bool
}

// State is the set at a revision of the store.
type State struct {
	AsOf    uint64
	Domains []ids.Domain
}

// Diff is what an update has changed in the set.
type Diff struct {
	// Begun and Ended are the domains that are evacuated since and those that are not
	// evacuated any more, in order.
	Begun, Ended []ids.Domain
}

// IsEmpty reports whether the update has not changed the set.
func (d Diff) IsEmpty() bool { return len(d.Begun) == 0 && len(d.Ended) == 0 }

// Set is the set of evacuated domains. The zero value is an unknown set, which counts as
// empty.
type Set struct {
	domains map[ids.Domain]bool
	// asOf is the store revision of the set, 0 while it is unknown.
	asOf uint64
	// resendUntil is the end of the time in which every report contains the set, and
	// reportedAt when a report contained it last.
	resendUntil, reportedAt time.Time
}

// IsKnown reports whether the set has been read, by this router or a peer.
func (s *Set) IsKnown() bool { return s.asOf > 0 }

// State returns the set with its domains in order.
func (s *Set) State() State {
	return State{AsOf: s.asOf, Domains: slices.Sorted(maps.Keys(s.domains))}
}

// Replace replaces the set by a full one, which the store or a peer held at revision
// asOf. One that is not later than the current set changes nothing.
func (s *Set) Replace(now time.Time, domains []ids.Domain, asOf uint64) Diff {
	if asOf <= s.asOf {
		return Diff{}
	}
	next := make(map[ids.Domain]bool, len(domains))
	for _, d := range domains {
		next[d] = true
	}
	return s.set(now, next, asOf)
}

// Apply applies the events of a watch in order, which are complete up to revision asOf. If
// the set is already as late as that, it contains them.
func (s *Set) Apply(now time.Time, changes []Change, asOf uint64) Diff {
	if asOf <= s.asOf {
		return Diff{}
	}
	// Events that the set contains already may be among them. The last event of each domain
	// counts, so they do not undo a later one.
	next := make(map[ids.Domain]bool, len(s.domains)+len(changes))
	maps.Copy(next, s.domains)
	for _, c := range changes {
		if c.Ended {
			delete(next, c.Domain)
		} else {
			next[c.Domain] = true
		}
	}
	return s.set(now, next, asOf)
}

func (s *Set) set(now time.Time, next map[ids.Domain]bool, asOf uint64) Diff {
	d := Diff{Begun: missingIn(s.domains, next), Ended: missingIn(next, s.domains)}
	if !d.IsEmpty() || !s.IsKnown() {
		s.resendUntil = now.Add(resendTime)
	}
	s.domains, s.asOf = next, asOf
	return d
}

// missingIn returns the domains of set that are not in other, in order.
func missingIn(other, set map[ids.Domain]bool) []ids.Domain {
	var out []ids.Domain
	for d := range set {
		if !other[d] {
			out = append(out, d)
		}
	}
	slices.Sort(out)
	return out
}

// RecordPeerJoined records that a peer has joined, which may not know the set.
func (s *Set) RecordPeerJoined(now time.Time) { s.resendUntil = now.Add(resendTime) }

// TakeReport returns the set if the report that is sent now is to contain it.
func (s *Set) TakeReport(now time.Time) (State, bool) {
	if !s.IsKnown() || now.After(s.resendUntil) && now.Sub(s.reportedAt) < repeatInterval {
		return State{}, false
	}
	s.reportedAt = now
	return s.State(), true
}
