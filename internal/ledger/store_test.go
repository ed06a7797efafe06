package ledger

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/platform"
)

var errTest = errors.New("injected")

// fault says how a call of the fake store goes wrong.
type fault int

const (
	none fault = iota
	// refused: certainly not applied.
	refused
	// answerLost: applied, and the writer does not learn it.
	answerLost
	// heldUp: not applied yet; the writer learns nothing, release applies it.
	heldUp
	// stale reads answer that there is no object.
	stale
)

// fakeStore is the object service in memory.
type fakeStore struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]platform.Object
	held     []func()
	reads    int
	writes   int
	// putFault and getFault choose the fault of a call by its object's name.
	putFault func(name string) fault
	getFault func(name string) fault
}

func newFakeStore() *fakeStore {
	never := func(string) fault { return none }
	return &fakeStore{objects: map[string]platform.Object{}, putFault: never, getFault: never}
}

func (s *fakeStore) faults(put, get func(string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putFault, s.getFault = put, get
}

// always gives the same fault on all objects but the layout.
func always(f fault) func(string) fault {
	return func(name string) fault {
		if name == layoutName {
			return none
		}
		return f
	}
}

// first gives the fault on the first n calls for buckets.
func first(n int, f fault) func(string) fault {
	return func(name string) fault {
		if name == layoutName || n == 0 {
			return none
		}
		n--
		return f
	}
}

func (s *fakeStore) Get(_ context.Context, _ api.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	switch s.getFault(name) {
	case refused:
		return platform.Object{}, &platform.ReadError{Step: "get", Err: errTest}
	case stale:
		return platform.Object{}, platform.ErrNotFound
	}
	obj, ok := s.objects[name]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return obj, nil
}

func (s *fakeStore) Put(_ context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch s.putFault(name) {
	case refused:
		return platform.Object{}, &platform.NotAppliedError{Step: "put", Err: errTest}
	case answerLost:
		_, _ = s.apply(kind, name, value, cond)
		return platform.Object{}, &platform.UnsureError{Step: "put", Err: errTest}
	case heldUp:
		s.held = append(s.held, func() { _, _ = s.apply(kind, name, value, cond) })
		return platform.Object{}, &platform.UnsureError{Step: "put", Err: errTest}
	}
	return s.apply(kind, name, value, cond)
}

func (s *fakeStore) apply(kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error) {
	cur, ok := s.objects[name]
	if cond.Absent && ok || cond.Version > 0 && cur.Version != cond.Version {
		conflict := &platform.ConflictError{}
		if ok {
			conflict.Current = &cur
		}
		return platform.Object{}, conflict
	}
	s.revision++
	obj := platform.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.objects[name] = obj
	return obj, nil
}

// arrive applies the writes that were held up.
func (s *fakeStore) arrive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.held {
		f()
	}
	s.held = nil
}

func (s *fakeStore) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}
