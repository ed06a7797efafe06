package platform

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"sync"

	"github.com/umberhill/umberhill/internal/api"
)

// Object is a stored value with its version.
type Object struct {
	Kind    api.Kind        `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Event is one change.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// condition of a write; the zero value is unconditional.
type condition struct {
	version uint64
	absent  bool
}

// key names an object.
type key struct {
	kind api.Kind
	name string
}

// state is the store's content at one revision.
type state struct {
	revision uint64
	objects  map[key]Object
}

// store holds objects and a bounded log of events.
type store struct {
	mu        sync.Mutex
	state     state
	events    []Event
	maxEvents int
	compacted uint64
	// stale is served to reads in place of state where set.
	stale *state
	// mark is an earlier content that stale reads see in place of today's.
	mark *state
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newStore(maxEvents int) *store {
	return &store{
		state:     state{objects: map[key]Object{}},
		maxEvents: maxEvents,
		changed:   make(chan struct{}),
	}
}

// get returns an object from the view that reads see.
func (s *store) get(k key) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.view().objects[k]
	return obj, ok
}

// list returns a kind's objects ordered by name.
func (s *store) list(kind api.Kind) ([]Object, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	found := []Object{}
	for k, obj := range view.objects {
		if k.kind == kind {
			found = append(found, obj)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, view.revision
}

func (s *store) view() *state {
	if s.stale != nil {
		return s.stale
	}
	return &s.state
}

// put writes a value; ok is false where the condition does not hold, and
// current is then the object that stands, if any.
func (s *store) put(k key, value json.RawMessage, cond condition) (current *Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, holds := s.check(k, cond); !holds {
		return found, false
	}
	s.state.revision++
	obj := Object{Kind: k.kind, Name: k.name, Version: s.state.revision, Value: value}
	s.state.objects[k] = obj
	s.record(Event{Object: obj})
	return &obj, true
}

// remove deletes an object; the returned version is that of the deletion.
func (s *store) remove(k key, cond condition) (version uint64, current *Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := s.check(k, cond)
	if !holds || found == nil {
		return 0, found, false
	}
	s.state.revision++
	delete(s.state.objects, k)
	gone := Object{Kind: k.kind, Name: k.name, Version: s.state.revision}
	s.record(Event{Deleted: true, Object: gone})
	return s.state.revision, nil, true
}

func (s *store) check(k key, cond condition) (*Object, bool) {
	obj, exists := s.state.objects[k]
	var current *Object
	if exists {
		current = &obj
	}
	if cond.absent {
		return current, !exists
	}
	if cond.version != 0 {
		return current, exists && obj.Version == cond.version
	}
	return current, true
}

func (s *store) record(ev Event) {
	s.events = append(s.events, ev)
	if len(s.events) > s.maxEvents {
		s.compacted = s.events[0].Object.Version
		s.events = slices.Clone(s.events[1:])
	}
	s.wakeLocked()
}

// wake makes all waiting watches look again.
func (s *store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the events of the kinds after a revision, the revision that
// they lead to, and a channel closed at the next change; ok is false where the
// log no longer reaches back so far.
func (s *store) since(kinds []api.Kind, after uint64) (events []Event, revision uint64, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	if after < s.compacted {
		return nil, view.revision, s.changed, false
	}
	events = []Event{}
	for _, ev := range s.events {
		version := ev.Object.Version
		if version > after && version <= view.revision && slices.Contains(kinds, ev.Object.Kind) {
			events = append(events, ev)
		}
	}
	return events, view.revision, s.changed, true
}

// setStale starts or ends serving reads from a snapshot taken at the start.
func (s *store) setStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		s.stale = nil
		return
	}
	if s.stale != nil {
		return
	}
	s.stale = s.mark
	if s.stale == nil {
		s.stale = s.copyState()
	}
}

// setMark keeps the content of now for setStale.
func (s *store) setMark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mark = s.copyState()
}

func (s *store) copyState() *state {
	return &state{revision: s.state.revision, objects: maps.Clone(s.state.objects)}
}
