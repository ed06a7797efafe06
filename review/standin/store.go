package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store in its JSON encoding.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

type change struct {
	kind     string
	revision uint64
	event    event
}

// store is a stand-in for the platform's store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	changed  chan struct{}
	objects  map[string]map[string]object
	history  []change
	revision uint64
	silent   bool
	// cuts counts how often the watches that wait were cut off.
	cuts int
}

func newStore() *store {
	return &store{changed: make(chan struct{}), objects: make(map[string]map[string]object), revision: 10}
}

// wake lets waiting calls look at the state again. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setSilent makes the store answer no call until it is set back.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

// cutWatches cuts off the watches that wait.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts++
	s.wake()
}

// put creates or replaces an object. It reports false, and changes nothing, while the store is
// silent.
func (s *store) put(kind, name string, spec any) bool {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return false
	}
	s.write(kind, name, raw)
	return true
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, exists := s.objects[kind][name]
	if exists && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRevision: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if exists {
		o.Metadata.CreateRevision, o.Status = old.Metadata.CreateRevision, old.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind, s.revision, event{Object: o}})
	s.wake()
	return o
}

// remove removes an object, also while the store is silent to its callers.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind, s.revision, event{Object: o, Deleted: true}})
	s.wake()
}

// awaitVoice waits until the store is not silent. It returns false if the caller leaves first.
func (s *store) awaitVoice(r *http.Request) bool {
	for {
		s.mu.Lock()
		silent, changed := s.silent, s.changed
		s.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		// A channel on which a response is lost returns nothing further.
		s.awaitVoice(r)
		panic(http.ErrAbortHandler)
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, o)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.change(w, body, kind, name, r.Method == http.MethodPost, isStatus)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		_, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.remove(kind, name)
		answer(w, struct{}{})
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	asOf := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, map[string]any{"items": items, "truncated": false, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	s.mu.Lock()
	cutsBefore := s.cuts
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	isFlushed := false
	for {
		s.mu.Lock()
		events := []event{}
		for _, c := range s.history {
			if c.kind == kind && c.revision > since {
				events = append(events, c.event)
			}
		}
		asOf, changed, silent, isCut := s.revision, s.changed, s.silent, s.cuts > cutsBefore
		s.mu.Unlock()
		if isCut {
			// The channel is closed within the response.
			panic(http.ErrAbortHandler)
		}
		if silent {
			s.awaitVoice(r)
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		if !isFlushed {
			// A watch that waits is answered with its head at once.
			isFlushed = true
			w.(http.Flusher).Flush()
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, map[string]any{"events": events, "asOf": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, body []byte, kind, name string, create, isStatus bool) {
	var in object
	if err := json.Unmarshal(body, &in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if create {
		name = in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case create && exists, exists && in.Metadata.Revision > 0 && in.Metadata.Revision != old.Metadata.Revision:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(old)
	case !create && !exists:
		w.WriteHeader(http.StatusNotFound)
	case isStatus:
		s.revision++
		old.Status, old.Metadata.Revision = in.Status, s.revision
		s.objects[kind][name] = old
		s.history = append(s.history, change{kind, s.revision, event{Object: old}})
		s.wake()
		answer(w, old)
	default:
		answer(w, s.write(kind, name, in.Spec))
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
