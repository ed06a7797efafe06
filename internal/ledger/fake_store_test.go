package ledger

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/platform"
)

var errInjected = errors.New("injected")

// fault is the way in which a call of the fake store fails.
type fault int

const (
	noFault fault = iota
	// refused calls fail and are not applied.
	refused
	// responseLost writes are applied, but the writer gets no response.
	responseLost
	// delayed writes get no response and are applied by applyDelayed.
	delayed
	// stale reads return that there is no object.
	stale
)

// fakeStore is an in-memory object service with injected faults.
type fakeStore struct {
	mu            sync.Mutex
	revision      uint64
	objects       map[string]platform.Object
	delayedWrites []func()
	reads         int
	writes        int
	// putFault and getFault return the fault of a call for the named object.
	putFault func(name string) fault
	getFault func(name string) fault
}

func newFakeStore() *fakeStore {
	noFaults := func(string) fault { return noFault }
	return &fakeStore{objects: map[string]platform.Object{}, putFault: noFaults, getFault: noFaults}
}

func (s *fakeStore) setFaults(put, get func(string) fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putFault, s.getFault = put, get
}

// alwaysFault returns the same fault for all objects except the layout.
func alwaysFault(f fault) func(string) fault {
	return func(name string) fault {
		if name == layoutName {
			return noFault
		}
		return f
	}
}

// firstFaults returns the fault for the first n calls for buckets.
func firstFaults(n int, f fault) func(string) fault {
	return func(name string) fault {
		if name == layoutName || n == 0 {
			return noFault
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
		return platform.Object{}, &platform.ReadError{Step: "get", Err: errInjected}
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
		return platform.Object{}, &platform.NotAppliedError{Step: "put", Err: errInjected}
	case responseLost:
		_, _ = s.apply(kind, name, value, cond)
		return platform.Object{}, &platform.UnconfirmedError{Step: "put", Err: errInjected}
	case delayed:
		s.delayedWrites = append(s.delayedWrites, func() { _, _ = s.apply(kind, name, value, cond) })
		return platform.Object{}, &platform.UnconfirmedError{Step: "put", Err: errInjected}
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

// applyDelayed applies the delayed writes.
func (s *fakeStore) applyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.delayedWrites {
		f()
	}
	s.delayedWrites = nil
}

func (s *fakeStore) callCounts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}
