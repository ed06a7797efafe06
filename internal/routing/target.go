package routing

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// MaxSlots bounds Target.Slots, as api.Target bounds its concurrency. An entry with more is
// not that of a target.
const MaxSlots = 100_000

// Target is one run of a back end. A restart begins a new run.
type Target struct {
	ID ids.Target
	// Address is the IP address and port.
	Address string
	Service string
	Domain  ids.Domain
	// Region is that of the failure domain by this router's settings, empty if unknown.
	Region string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Draining targets get no new requests.
	Draining bool
	// StartTimeMS is the start of this run as a Unix time in ms, 0 if unknown. A later
	// run with the same ID has no state of the earlier one.
	StartTimeMS int64
	// SoftwareVersion is the version of the target's software, empty if unknown. Versions
	// can only be compared for equality.
	SoftwareVersion string
	// ReadAt is when the entry was first read at its present revision, zero if unknown.
	ReadAt time.Time
	// StatesCold is set if the entry states for how long the target is cold, and ColdUntil is
	// the end of that time, zero if the target is warm. It counts from ReadAt.
	StatesCold bool
	ColdUntil  time.Time
	// EntryRevision is the store revision of the entry's last change, and EntrySeq counts the
	// changes by this run of the target, 0 if unknown.
	EntryRevision, EntrySeq uint64
}

// HasSameContent reports whether t and o do not differ but for what changes with each
// revision of an entry.
func (t Target) HasSameContent(o Target) bool {
	o.ReadAt, o.StatesCold, o.ColdUntil = t.ReadAt, t.StatesCold, t.ColdUntil
	o.EntryRevision, o.EntrySeq = t.EntryRevision, t.EntrySeq
	return t == o
}

// IsSameRun reports whether t and o are the same run of a target.
func (t Target) IsSameRun(o Target) bool {
	return t.ID == o.ID && t.StartTimeMS == o.StartTimeMS && t.Address == o.Address
}

// Targets is a set of targets. It is immutable once published.
type Targets struct {
	byID      map[ids.Target]Target
	byService map[string][]Target
}

// NewTargets returns a set of the targets. The targets of each service are ordered by
// ID. Of two targets with the same ID the last one is kept.
func NewTargets(all []Target) *Targets {
	s := &Targets{byID: make(map[ids.Target]Target, len(all)), byService: make(map[string][]Target)}
	for _, t := range all {
		s.byID[t.ID] = t
	}
	for _, t := range s.byID {
		s.byService[t.Service] = append(s.byService[t.Service], t)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b Target) int {
			switch {
			case a.ID < b.ID:
				return -1
			case a.ID > b.ID:
				return 1
			}
			return 0
		})
	}
	return s
}

// ForService returns the targets of a service ordered by ID, including those that are
// draining. The caller must not modify the slice.
func (s *Targets) ForService(service string) []Target { return s.byService[service] }

// Get returns the target with an ID, and whether there is one.
func (s *Targets) Get(id ids.Target) (Target, bool) {
	t, ok := s.byID[id]
	return t, ok
}

// Len returns the number of targets.
func (s *Targets) Len() int { return len(s.byID) }

// All returns the targets in unspecified order.
func (s *Targets) All() []Target {
	out := make([]Target, 0, len(s.byID))
	for _, t := range s.byID {
		out = append(out, t)
	}
	return out
}
