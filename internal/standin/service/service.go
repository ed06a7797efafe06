// Package service is a stand-in for a plain service. It records each call that
// it ran, so that tests can tell a doubled or lost one.
package service

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"

	"github.com/umberhill/umberhill/internal/standin"
)

const (
	// DefaultConcurrency is the number of calls run at a time.
	DefaultConcurrency = 64
	// RunsPath lists the runs.
	RunsPath = "/_runs"

	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	recordMode           = 0o600
	dieExit              = 3
)

// Moment is a point of a run at which the service dies.
type Moment string

// The moments.
const (
	// Before dies once the call was read, before it ran.
	Before Moment = "before"
	// During dies after the run was recorded, before it ends.
	During Moment = "during"
	// After dies when the run has ended, before the answer is sent.
	After Moment = "after"
)

// Marker returns the text that makes a call kill the service at a moment, in
// the body or query of the call.
func Marker(m Moment) string { return "[[die-" + string(m) + "]]" }

// Faults are the faults in force; POST /faults replaces them all.
type Faults struct {
	// Die makes the service die at this moment of a call.
	Die Moment `json:"die,omitempty"`
	// DieCall is the call at which it dies, counted from 1. Default 1.
	DieCall int `json:"die_call,omitempty"`
	// LoseEvery drops the answer of each nth call after it ran.
	LoseEvery int `json:"lose_every,omitempty"`
	// LoseNext drops the answers of the next n calls after they ran.
	LoseNext int `json:"lose_next,omitempty"`
}

// Run is one call that the service ran.
type Run struct {
	// Order of arrival, from 1.
	Order int `json:"order"`
	// Service is the name of the service's process.
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	// BodyHash is the xxhash of the body in hexadecimal.
	BodyHash string `json:"body_hash"`
	// AtMS is the wall clock in ms.
	AtMS int64 `json:"at_ms"`
}

// Options of a Service.
type Options struct {
	// Name of the process.
	Name string
	// RunTime of a call; the query's run_ms overrides it.
	RunTime time.Duration
	// Concurrency is the most calls run at a time. Default DefaultConcurrency.
	Concurrency int
	// Record is a file to which runs are appended before they start and from
	// which earlier ones are read, so that they outlive the process.
	Record string
	// Exit ends the process. Default os.Exit.
	Exit func(code int)
}

// Service is the plain service.
type Service struct {
	opts   Options
	router *httprouter.Router
	slots  chan struct{}

	mu     sync.Mutex
	runs   []Run
	calls  int
	faults Faults
	record *os.File
}

// New returns a service with the runs of its record.
func New(opts Options) (*Service, error) {
	if opts.Concurrency == 0 {
		opts.Concurrency = DefaultConcurrency
	}
	if opts.Exit == nil {
		opts.Exit = os.Exit
	}
	s := &Service{
		opts:   opts,
		router: httprouter.New(),
		slots:  make(chan struct{}, opts.Concurrency),
	}
	s.router.GET(RunsPath, s.listRuns)
	s.router.POST("/faults", s.setFaults)
	s.router.HandleMethodNotAllowed = false
	s.router.HandleOPTIONS = false
	s.router.RedirectTrailingSlash = false
	s.router.RedirectFixedPath = false
	s.router.NotFound = http.HandlerFunc(s.serve)
	return s, s.openRecord()
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Runs returns the calls that ran.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.calls = 0
}

func (s *Service) openRecord() error {
	if s.opts.Record == "" {
		return nil
	}
	runs, err := ReadRecord(s.opts.Record)
	if err != nil {
		return err
	}
	s.runs = runs
	s.record, err = os.OpenFile(s.opts.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
	return errors.Wrap(err, "service: open record")
}

// ReadRecord reads the runs of a record file; a missing file has none.
func ReadRecord(path string) ([]Run, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "service: read record")
	}
	var runs []Run
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for scanner.Scan() {
		var run Run
		if err := json.Unmarshal(scanner.Bytes(), &run); err != nil {
			return nil, errors.Wrap(err, "service: read record")
		}
		runs = append(runs, run)
	}
	return runs, errors.Wrap(scanner.Err(), "service: read record")
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	die, lose := s.fault(r, body)
	s.dieAt(Before, die)
	run, err := s.begin(r, body)
	if err != nil {
		standin.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	s.dieAt(During, die)
	time.Sleep(s.runTime(r))
	s.dieAt(After, die)
	if lose {
		standin.Abort()
	}
	w.Header().Set(requestIDHeader, run.RequestID)
	standin.WriteJSON(w, http.StatusOK, run)
}

// fault returns the moment at which this call kills the service and whether
// its answer is lost.
func (s *Service) fault(r *http.Request, body []byte) (die Moment, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.faults.Die != "" && s.calls == max(1, s.faults.DieCall) {
		die = s.faults.Die
	}
	for _, m := range []Moment{Before, During, After} {
		if bytes.Contains(body, []byte(Marker(m))) || strings.Contains(r.URL.RawQuery, "die-"+string(m)) {
			die = m
		}
	}
	if s.faults.LoseNext > 0 {
		s.faults.LoseNext--
		return die, true
	}
	return die, s.faults.LoseEvery > 0 && s.calls%s.faults.LoseEvery == 0
}

func (s *Service) dieAt(moment, die Moment) {
	if moment == die {
		s.opts.Exit(dieExit)
	}
}

func (s *Service) begin(r *http.Request, body []byte) (Run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{
		Order:          len(s.runs) + 1,
		Service:        s.opts.Name,
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		IdempotencyKey: r.Header.Get(idempotencyKeyHeader),
		RequestID:      r.Header.Get(requestIDHeader),
		BodyHash:       BodyHash(body),
		AtMS:           time.Now().UnixMilli(),
	}
	s.runs = append(s.runs, run)
	if s.record == nil {
		return run, nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return run, err
	}
	_, err = s.record.Write(append(line, '\n'))
	return run, errors.Wrap(err, "service: write record")
}

// BodyHash returns the hash of a body as a Run carries it.
func BodyHash(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (s *Service) runTime(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.URL.Query().Get("run_ms"))
	if err != nil {
		return s.opts.RunTime
	}
	return time.Duration(ms) * time.Millisecond
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	standin.WriteJSON(w, http.StatusOK, s.Runs())
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !standin.ReadFaults(w, r, &faults) {
		return
	}
	s.SetFaults(faults)
	standin.WriteJSON(w, http.StatusOK, faults)
}
