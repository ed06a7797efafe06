// Package service is a stand-in for a plain service. It records each executed call, so
// that tests can detect duplicate and lost executions.
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
	// DefaultConcurrency is the default number of calls executed at a time.
	DefaultConcurrency = 64
	// RunsPath is the path that lists the recorded runs.
	RunsPath = "/_runs"

	requestIDHeader      = "X-Request-Id"
	idempotencyKeyHeader = "Idempotency-Key"
	recordMode           = 0o600
	crashExitCode        = 3
)

// CrashPoint is a point of a call at which the process exits.
type CrashPoint string

// The crash points.
const (
	// CrashBeforeRun exits after the call was read and before it runs.
	CrashBeforeRun CrashPoint = "before"
	// CrashDuringRun exits after the run was recorded and before it ends.
	CrashDuringRun CrashPoint = "during"
	// CrashAfterRun exits after the run has ended and before the response is sent.
	CrashAfterRun CrashPoint = "after"
)

// CrashMarker returns the text that makes the process exit at a crash point if a call's
// body contains it. A call's query that contains "die-" followed by the crash point has
// the same effect.
func CrashMarker(point CrashPoint) string { return "[[die-" + string(point) + "]]" }

// Faults are the active faults; POST /faults replaces all of them.
type Faults struct {
	// CrashAt makes the process exit at this point of a call.
	CrashAt CrashPoint `json:"die,omitempty"`
	// CrashCall is the call at which the process exits, counted from 1. Default 1.
	CrashCall int `json:"die_call,omitempty"`
	// DropResponseEvery drops the response of every nth call after it ran; 0 drops none.
	DropResponseEvery int `json:"lose_every,omitempty"`
	// DropNextResponses drops the responses of the next n calls after they ran.
	DropNextResponses int `json:"lose_next,omitempty"`
}

// Run is one executed call.
type Run struct {
	// Order is the position in the order of execution, from 1.
	Order int `json:"order"`
	// Service is the name of the process.
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	RequestID      string `json:"request_id,omitempty"`
	// BodyHash is the xxhash of the body in hexadecimal.
	BodyHash string `json:"body_hash"`
	// AtMS is the start of the run in Unix milliseconds.
	AtMS int64 `json:"at_ms"`
}

// Options of a Service.
type Options struct {
	// Name is the name of the process in its runs.
	Name string
	// RunTime is the execution time of a call; the query's run_ms overrides it.
	RunTime time.Duration
	// Concurrency bounds the calls executed at a time. Default DefaultConcurrency.
	Concurrency int
	// RecordFile is a file to which runs are appended before they start and from
	// which earlier ones are read, so that they survive the exit of the process.
	RecordFile string
	// Exit ends the process. Default os.Exit.
	Exit func(code int)
}

// Service is a fake plain service.
type Service struct {
	opts   Options
	router *httprouter.Router
	slots  chan struct{}

	mu         sync.Mutex
	runs       []Run
	calls      int
	faults     Faults
	recordFile *os.File
}

// New returns a service with the runs of its record file. It fails if the file can't be
// read or opened for writing.
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

// Runs returns the executed calls in the order of execution.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

// SetFaults replaces the active faults and restarts the count of calls.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.calls = 0
}

func (s *Service) openRecord() error {
	if s.opts.RecordFile == "" {
		return nil
	}
	runs, err := ReadRecord(s.opts.RecordFile)
	if err != nil {
		return err
	}
	s.runs = runs
	s.recordFile, err = os.OpenFile(s.opts.RecordFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
	return errors.Wrap(err, "service: open record file")
}

// ReadRecord returns the runs of a record file; a missing file has none.
func ReadRecord(path string) ([]Run, error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "service: read record file")
	}
	var runs []Run
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for scanner.Scan() {
		var run Run
		if err := json.Unmarshal(scanner.Bytes(), &run); err != nil {
			return nil, errors.Wrap(err, "service: decode run of record file")
		}
		runs = append(runs, run)
	}
	return runs, errors.Wrap(scanner.Err(), "service: read record file")
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	crashAt, dropResponse := s.nextFault(r, body)
	s.crashIfAt(CrashBeforeRun, crashAt)
	run, err := s.recordRun(r, body)
	if err != nil {
		standin.WriteError(w, http.StatusInternalServerError, err.Error())
		return
	}
	s.crashIfAt(CrashDuringRun, crashAt)
	time.Sleep(s.runTime(r))
	s.crashIfAt(CrashAfterRun, crashAt)
	if dropResponse {
		standin.AbortConnection()
	}
	w.Header().Set(requestIDHeader, run.RequestID)
	standin.WriteJSON(w, http.StatusOK, run)
}

// nextFault counts a call and returns the point at which the process exits during it, if
// any, and whether its response is dropped.
func (s *Service) nextFault(r *http.Request, body []byte) (crashAt CrashPoint, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.faults.CrashAt != "" && s.calls == max(1, s.faults.CrashCall) {
		crashAt = s.faults.CrashAt
	}
	for _, point := range []CrashPoint{CrashBeforeRun, CrashDuringRun, CrashAfterRun} {
		if bytes.Contains(body, []byte(CrashMarker(point))) || strings.Contains(r.URL.RawQuery, "die-"+string(point)) {
			crashAt = point
		}
	}
	if s.faults.DropNextResponses > 0 {
		s.faults.DropNextResponses--
		return crashAt, true
	}
	return crashAt, s.faults.DropResponseEvery > 0 && s.calls%s.faults.DropResponseEvery == 0
}

func (s *Service) crashIfAt(point, crashAt CrashPoint) {
	if point == crashAt {
		s.opts.Exit(crashExitCode)
	}
}

func (s *Service) recordRun(r *http.Request, body []byte) (Run, error) {
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
	if s.recordFile == nil {
		return run, nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return run, err
	}
	_, err = s.recordFile.Write(append(line, '\n'))
	return run, errors.Wrap(err, "service: write record")
}

// BodyHash returns the hash of a body in the format of Run.BodyHash.
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
