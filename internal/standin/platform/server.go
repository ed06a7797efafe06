// Package platform is a stand-in for the platform's object service: versioned
// objects, conditional writes and watches. It injects faults on demand.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/standin"
)

const (
	// MaxValueBytes bounds an object's value.
	MaxValueBytes = 1 << 20
	// DefaultMaxEvents is the default number of past events kept for watches.
	DefaultMaxEvents = 4096
	// maxWatchWait bounds the wait of a watch call.
	maxWatchWait = 60 * time.Second

	appliedHeader = "Umberhill-Applied"
)

// Options of a Server.
type Options struct {
	// Tokens are the accepted bearer tokens; if empty, any token or none is accepted.
	Tokens []string
	// MaxEvents is the number of past events kept for watches. Default DefaultMaxEvents.
	MaxEvents int
}

// Stats counts the calls when they arrive, including those that are refused.
type Stats struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
}

// Conflict is the body of a 412 response.
type Conflict struct {
	Error   string  `json:"error"`
	Current *Object `json:"current"`
}

// List is the body of the response to a list call.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Watch is the body of the response to a watch call.
type Watch struct {
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
}

// Deletion is the body of the response to a DELETE.
type Deletion struct {
	Version uint64 `json:"version"`
}

// Server is a fake object service.
type Server struct {
	opts   Options
	store  *store
	faults *faultState
	router *httprouter.Router

	mu           sync.Mutex
	total        Stats
	statsByToken map[string]Stats
}

// New returns an empty object service.
func New(opts Options) *Server {
	if opts.MaxEvents == 0 {
		opts.MaxEvents = DefaultMaxEvents
	}
	s := &Server{
		opts:         opts,
		store:        newStore(opts.MaxEvents),
		faults:       newFaultState(),
		router:       httprouter.New(),
		statsByToken: map[string]Stats{},
	}
	s.routes()
	return s
}

func (s *Server) routes() {
	s.router.GET("/v1/objects/:kind", s.wrap(callRead, s.list))
	s.router.GET("/v1/objects/:kind/:name", s.wrap(callRead, s.get))
	s.router.PUT("/v1/objects/:kind/:name", s.wrap(callWrite, s.put))
	s.router.DELETE("/v1/objects/:kind/:name", s.wrap(callWrite, s.remove))
	s.router.GET("/v1/watch", s.wrap(callWatch, s.watch))
	s.router.GET("/v1/stats", s.stats)
	s.router.GET("/stats/clients", s.clientStats)
	s.router.GET("/faults", s.getFaults)
	s.router.POST("/faults", s.setFaults)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(faults Faults) {
	s.faults.set(faults)
	if faults.MarkContent {
		s.store.markState()
	}
	s.store.setStale(faults.Stale)
	s.store.notifyWatches()
}

// Stats returns the counts of all clients together.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// callKind is the kind of call for statistics and rate limits.
type callKind int

const (
	callRead callKind = iota
	callWrite
	callWatch
)

// wrap returns a handler that counts the call, applies the faults, checks the token and
// the rate limit, and then calls next.
func (s *Server) wrap(kind callKind, next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		token := bearerToken(r)
		s.count(kind, token)
		if !s.faults.passesFaults(w, token) {
			return
		}
		if !s.isAuthorized(token) {
			refuse(w, http.StatusUnauthorized, "unauthorized")
			return
		}
		if !s.faults.allow(kind == callWrite) {
			refuse(w, http.StatusTooManyRequests, "too many calls")
			return
		}
		next(w, r, p)
	}
}

func (s *Server) count(kind callKind, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	client := s.statsByToken[token]
	for _, stats := range []*Stats{&s.total, &client} {
		switch kind {
		case callRead:
			stats.Reads++
		case callWrite:
			stats.Writes++
		case callWatch:
			stats.Watches++
		}
	}
	s.statsByToken[token] = client
}

func (s *Server) isAuthorized(token string) bool {
	for _, t := range s.opts.Tokens {
		if t == token {
			return true
		}
	}
	return len(s.opts.Tokens) == 0
}

func bearerToken(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	objects, revision := s.store.list(api.Kind(p.ByName("kind")))
	standin.WriteJSON(w, http.StatusOK, List{Revision: revision, Objects: objects})
}

func (s *Server) get(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	obj, ok := s.store.get(keyOf(p))
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "not found")
		return
	}
	standin.WriteJSON(w, http.StatusOK, obj)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	value, status := readValue(r)
	if status != http.StatusOK {
		refuse(w, status, http.StatusText(status))
		return
	}
	cond, err := conditionOf(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, "bad condition")
		return
	}
	obj, ok := s.store.put(keyOf(p), value, cond)
	if !ok {
		standin.WriteJSON(w, http.StatusPreconditionFailed, Conflict{Error: "conflict", Current: obj})
		return
	}
	if s.faults.dropsResponse() {
		standin.AbortConnection()
	}
	standin.WriteJSON(w, http.StatusOK, obj)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	cond, err := conditionOf(r)
	if err != nil || cond.absent {
		refuse(w, http.StatusBadRequest, "bad condition")
		return
	}
	version, current, ok := s.store.remove(keyOf(p), cond)
	if !ok && current == nil && cond.version == 0 {
		standin.WriteError(w, http.StatusNotFound, "not found")
		return
	}
	if !ok {
		standin.WriteJSON(w, http.StatusPreconditionFailed, Conflict{Error: "conflict", Current: current})
		return
	}
	if s.faults.dropsResponse() {
		standin.AbortConnection()
	}
	standin.WriteJSON(w, http.StatusOK, Deletion{Version: version})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "bad since")
		return
	}
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	kinds := kindsOf(query.Get("kinds"))
	for expired := false; ; {
		events, revision, changed, ok := s.store.since(kinds, after)
		if !ok {
			standin.WriteError(w, http.StatusGone, "too old")
			return
		}
		if len(events) > 0 || expired {
			standin.WriteJSON(w, http.StatusOK, Watch{Revision: revision, Events: events})
			return
		}
		select {
		case <-changed:
			if !s.faults.passesFaults(w, bearerToken(r)) {
				return
			}
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) clientStats(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, s.statsByToken)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, http.StatusOK, s.faults.get())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !standin.ReadFaults(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}

func keyOf(p httprouter.Params) key {
	return key{kind: api.Kind(p.ByName("kind")), name: p.ByName("name")}
}

func kindsOf(list string) []api.Kind {
	var kinds []api.Kind
	for kind := range strings.SplitSeq(list, ",") {
		kinds = append(kinds, api.Kind(kind))
	}
	return kinds
}

func readValue(r *http.Request) (json.RawMessage, int) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		return nil, http.StatusBadRequest
	}
	if len(value) > MaxValueBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	if !json.Valid(value) {
		return nil, http.StatusBadRequest
	}
	return value, http.StatusOK
}

func conditionOf(r *http.Request) (condition, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return condition{absent: true}, nil
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return condition{}, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	return condition{version: version}, err
}
