// Package engine is a stand-in for a model engine: it batches continuously,
// answers with a deterministic text, streams, resumes, cancels and reports its
// load with a lag, with faults on demand.
package engine

import (
	"context"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// Defaults of the Options.
const (
	DefaultConcurrency  = 8
	DefaultTokensPerSec = 100
	DefaultKeep         = 10 * time.Second
	DefaultLoadLag      = 500 * time.Millisecond
	// crashExit is the exit code of a process that a request crashed.
	crashExit = 4
)

// Options of an Engine.
type Options struct {
	// Models loaded.
	Models []string
	// Concurrency is the number of batch slots. Default DefaultConcurrency.
	Concurrency int
	// TokensPerSecond made for each running request. Default
	// DefaultTokensPerSec.
	TokensPerSecond float64
	// PromptTokensPerSecond read by each starting request; 0 reads at once.
	PromptTokensPerSecond float64
	// MaxWaiting above which requests are refused; 0 is unlimited.
	MaxWaiting int
	// CacheBlocks is the size of the prefix cache in blocks; 0 has none.
	CacheBlocks int
	// LoadLag is the age of load reports. Default DefaultLoadLag.
	LoadLag time.Duration
	// Keep is how long an ended stream can be resumed. Default DefaultKeep.
	Keep time.Duration
	// Exit ends the process. Default os.Exit.
	Exit func(code int)
}

// Stats count what the engine did.
type Stats struct {
	Started   uint64 `json:"started"`
	Cancelled uint64 `json:"cancelled"`
	Completed uint64 `json:"completed"`
	Refused   uint64 `json:"refused"`
	Resumed   uint64 `json:"resumed"`
	// Tokens read and made.
	Tokens uint64 `json:"tokens"`
	// Units are the tokens by the tag in the prompt.
	Units   map[string]uint64 `json:"units"`
	Slots   int               `json:"slots"`
	Running int               `json:"running"`
	Waiting int               `json:"waiting"`
	// BusySlotSeconds is the integral of the busy slots over time.
	BusySlotSeconds float64 `json:"busy_slot_seconds"`
	// LineSeconds is the time in which requests waited inside the engine.
	LineSeconds float64 `json:"line_seconds"`
	AtMS        int64   `json:"at_ms"`
}

// Load is the answer to GET /load.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AtMS    int64 `json:"at_ms"`
}

// Engine is the model engine. Close it to stop its goroutines.
type Engine struct {
	opts   Options
	router *httprouter.Router
	faults *faultState
	batch  *batch
	cache  *prefixCache
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu      sync.Mutex
	streams map[string]*run
	recent  *run
	load    Load
}

// New returns a running engine.
func New(opts Options) *Engine {
	opts = withDefaults(opts)
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		opts:    opts,
		router:  httprouter.New(),
		faults:  newFaultState(),
		batch:   newBatch(opts.Concurrency, opts.MaxWaiting),
		cache:   newPrefixCache(opts.CacheBlocks),
		ctx:     ctx,
		cancel:  cancel,
		streams: map[string]*run{},
	}
	e.routes()
	e.wg.Go(e.sample)
	return e
}

func withDefaults(opts Options) Options {
	if opts.Concurrency == 0 {
		opts.Concurrency = DefaultConcurrency
	}
	if opts.TokensPerSecond == 0 {
		opts.TokensPerSecond = DefaultTokensPerSec
	}
	if opts.Keep == 0 {
		opts.Keep = DefaultKeep
	}
	if opts.LoadLag == 0 {
		opts.LoadLag = DefaultLoadLag
	}
	if opts.Exit == nil {
		opts.Exit = os.Exit
	}
	return opts
}

// Close ends all runs and returns once they have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.wg.Wait()
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }

// Stats returns what the engine did so far.
func (e *Engine) Stats() Stats { return e.batch.snapshot() }

// sample renews the load report and forgets old streams.
func (e *Engine) sample() {
	ticker := time.NewTicker(e.opts.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			stats := e.batch.snapshot()
			e.mu.Lock()
			e.load = Load{Running: stats.Running, Waiting: stats.Waiting, AtMS: stats.AtMS}
			e.forget(now.Add(-e.opts.Keep))
			e.mu.Unlock()
		}
	}
}

// forget drops the streams that ended before a time.
func (e *Engine) forget(before time.Time) {
	for attempt, r := range e.streams {
		r.mu.Lock()
		old := r.done && r.ended.Before(before)
		r.mu.Unlock()
		if old {
			delete(e.streams, attempt)
		}
	}
}

// submit takes a request in; nil where it was refused.
func (e *Engine) submit(req request) *run {
	ctx, cancel := context.WithCancel(e.ctx)
	r := &run{
		attempt: req.attempt,
		model:   req.Model,
		prompt:  req.prompt,
		chat:    req.chat,
		tag:     tagOf(req.prompt),
		answer:  newAnswer(req.Model, req.prompt, req.MaxTokens),
		created: time.Now().Unix(),
		ctx:     ctx,
		cancel:  cancel,
		changed: make(chan struct{}),
	}
	if r.attempt == "" {
		r.attempt = uuid.NewString()
	}
	started, refused := e.batch.admit(r)
	if refused {
		cancel()
		return nil
	}
	e.mu.Lock()
	e.streams[r.attempt] = r
	e.mu.Unlock()
	if started {
		e.start(r)
	}
	return r
}

// start runs a request; none starts once Close waits for the end of all.
func (e *Engine) start(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	e.wg.Go(func() { e.execute(r) })
}

// execute runs a request in its slot and hands the slot on.
func (e *Engine) execute(r *run) {
	e.batch.count(func(s *Stats) { s.Started++ })
	whole := e.generate(r)
	r.cancel()
	if whole {
		e.batch.count(func(s *Stats) { s.Completed++ })
	} else {
		e.batch.count(func(s *Stats) { s.Cancelled++ })
	}
	if next := e.batch.release(); next != nil {
		e.start(next)
	}
}

// generate makes the tokens; it returns false where the run was cancelled.
func (e *Engine) generate(r *run) bool {
	crashAfter, crashes := crashPoint(r.prompt)
	at := time.Now().Add(e.prefill(r))
	if !e.sleepUntil(r.ctx, at) {
		r.advance(0, true)
		return false
	}
	e.batch.charge(r.tag, PromptTokens(r.prompt))
	step := time.Duration(float64(time.Second) / e.opts.TokensPerSecond)
	for i := range r.answer.length {
		if crashes && i >= crashAfter {
			e.opts.Exit(crashExit)
		}
		at = at.Add(step)
		if !e.sleepUntil(r.ctx, at) {
			r.advance(i, true)
			return false
		}
		e.batch.charge(r.tag, 1)
		r.advance(i+1, i+1 == r.answer.length)
	}
	if r.answer.length == 0 {
		r.advance(0, true)
	}
	return true
}

// prefill returns the time to read the part of the prompt that isn't cached.
func (e *Engine) prefill(r *run) time.Duration {
	tokens := PromptTokens(r.prompt) - e.cache.admit(r.prompt)
	if e.opts.PromptTokensPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.opts.PromptTokensPerSecond * float64(time.Second))
}

// sleepUntil waits for a time and while the engine is frozen; it returns false
// where ctx ended first.
func (e *Engine) sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	e.faults.wait(ctx)
	return ctx.Err() == nil
}

func crashPoint(prompt string) (after int, crashes bool) {
	if n, ok := markedNumber(crashMarker, prompt); ok {
		return n, true
	}
	return 0, strings.Contains(prompt, CrashMarker)
}
