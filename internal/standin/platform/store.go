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

// Event is one change of an object.
type Event struct {
	Deleted bool   `json:"deleted"`
	Object  Object `json:"object"`
}

// condition is the precondition of a write; the zero value is always met.
type condition struct {
	version uint64
	absent  bool
}

// key identifies an object.
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
	mu                sync.Mutex
	state             state
	events            []Event
	maxEvents         int
	compactedRevision uint64
	// staleState is served to reads and watches in place of state if it is set.
	staleState *state
	// markedState is the kept content that becomes staleState when stale reads start.
	markedState *state
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

// get returns an object from the state that is visible to reads.
func (s *store) get(k key) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.view().objects[k]
	return obj, ok
}

// list returns a kind's objects ordered by name and the revision of the state.
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
	if s.staleState != nil {
		return s.staleState
	}
	return &s.state
}

// put writes a value and returns the new object. If the condition is not met, ok is
// false and current is the existing object, if any.
func (s *store) put(k key, value json.RawMessage, cond condition) (current *Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, holds := s.checkCondition(k, cond); !holds {
		return found, false
	}
	s.state.revision++
	obj := Object{Kind: k.kind, Name: k.name, Version: s.state.revision, Value: value}
	s.state.objects[k] = obj
	s.appendEvent(Event{Object: obj})
	return &obj, true
}

// remove deletes an object and returns the version of the deletion. If the object does
// not exist or the condition is not met, ok is false and current is the existing object,
// if any.
func (s *store) remove(k key, cond condition) (version uint64, current *Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, holds := s.checkCondition(k, cond)
	if !holds || found == nil {
		return 0, found, false
	}
	s.state.revision++
	delete(s.state.objects, k)
	deletion := Object{Kind: k.kind, Name: k.name, Version: s.state.revision}
	s.appendEvent(Event{Deleted: true, Object: deletion})
	return s.state.revision, nil, true
}

func (s *store) checkCondition(k key, cond condition) (*Object, bool) {
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

func (s *store) appendEvent(ev Event) {
	s.events = append(s.events, ev)
	if len(s.events) > s.maxEvents {
		s.compactedRevision = s.events[0].Object.Version
		s.events = slices.Clone(s.events[1:])
	}
	s.notifyWatchesLocked()
}

// notifyWatches makes all waiting watches read the events again.
func (s *store) notifyWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatchesLocked()
}

func (s *store) notifyWatchesLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the events of the kinds after a revision, the revision that is visible
// to reads, and a channel that is closed at the next change. ok is false if events after
// the given revision have been compacted.
func (s *store) since(kinds []api.Kind, after uint64) (events []Event, revision uint64, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.view()
	if after < s.compactedRevision {
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

// setStale starts or ends serving reads and watches from the marked state, or from a
// copy taken now if none is marked.
func (s *store) setStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !on {
		s.staleState = nil
		return
	}
	if s.staleState != nil {
		return
	}
	s.staleState = s.markedState
	if s.staleState == nil {
		s.staleState = s.copyState()
	}
}

// markState keeps a copy of the current content for setStale.
func (s *store) markState() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markedState = s.copyState()
}

func (s *store) copyState() *state {
	return &state{revision: s.state.revision, objects: maps.Clone(s.state.objects)}
}
