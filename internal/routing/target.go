package routing

import (
	"slices"

	"github.com/umberhill/umberhill/internal/ids"
)

// Target is one run of a back end.
type Target struct {
	ID ids.Target
	// Address is the IP and port.
	Address string
	Service string
	Domain  ids.Domain
	// Slots is how many requests run at a time.
	Slots int
	// Leaving targets get no new work.
	Leaving bool
	// Born is the start of this run as a Unix time in ms, 0 where not known. A
	// later run under the same id remembers nothing of the earlier one.
	Born int64
}

// SameRun tells whether two entries speak of the same run of a target.
func (t Target) SameRun(o Target) bool {
	return t.ID == o.ID && t.Born == o.Born && t.Address == o.Address
}

// Targets is a set of targets, immutable once published.
type Targets struct {
	byID      map[ids.Target]Target
	byService map[string][]Target
}

// NewTargets indexes targets; the lists are in the order of the ids.
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

// Of returns the targets of a service, those that are leaving included. The
// caller must not change the list.
func (s *Targets) Of(service string) []Target { return s.byService[service] }

// Get returns a target by its id.
func (s *Targets) Get(id ids.Target) (Target, bool) {
	t, ok := s.byID[id]
	return t, ok
}

// Len returns the number of targets.
func (s *Targets) Len() int { return len(s.byID) }

// All returns the targets in no particular order.
func (s *Targets) All() []Target {
	out := make([]Target, 0, len(s.byID))
	for _, t := range s.byID {
		out = append(out, t)
	}
	return out
}
