// Package engine is a stand-in for a model engine with continuous batching. It answers
// with deterministic text, streams, resumes and cancels completions, reports its load
// with a delay and injects faults on demand.
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
	DefaultConcurrency     = 8
	DefaultTokensPerSecond = 100
	DefaultStreamRetention = 10 * time.Second
	DefaultLoadLag         = 500 * time.Millisecond
	// crashExitCode is the exit code of a process that was crashed by a request.
	crashExitCode = 4
)

// Options of an Engine.
type Options struct {
	// Models are the names of the loaded models.
	Models []string
	// Concurrency is the number of batch slots. Default DefaultConcurrency.
	Concurrency int
	// TokensPerSecond is the rate of generated tokens of each running request. Default
	// DefaultTokensPerSecond.
	TokensPerSecond float64
	// PromptTokensPerSecond is the prefill rate of each starting request; 0 means no
	// prefill time.
	PromptTokensPerSecond float64
	// MaxWaiting bounds the waiting requests, further ones are refused; 0 is unlimited.
	MaxWaiting int
	// CacheBlocks is the size of the prefix cache in blocks; 0 disables the cache.
	CacheBlocks int
	// LoadLag is the interval at which the load report is refreshed, and so its greatest
	// age. Default DefaultLoadLag.
	LoadLag time.Duration
	// StreamRetention is how long an ended stream can be resumed. Default
	// DefaultStreamRetention.
	StreamRetention time.Duration
	// Exit ends the process. Default os.Exit.
	Exit func(code int)
}

// Stats are the engine's counters and its current state.
type Stats struct {
	Started   uint64 `json:"started"`
	Canceled  uint64 `json:"cancelled"`
	Completed uint64 `json:"completed"`
	Refused   uint64 `json:"refused"`
	Resumed   uint64 `json:"resumed"`
	// Tokens counts prompt tokens and generated tokens.
	Tokens uint64 `json:"tokens"`
	// UnitsByTag counts the tokens by the tag in the prompt.
	UnitsByTag map[string]uint64 `json:"units"`
	Slots      int               `json:"slots"`
	Running    int               `json:"running"`
	Waiting    int               `json:"waiting"`
	// BusySlotSeconds is the integral of the number of busy slots over time.
	BusySlotSeconds float64 `json:"busy_slot_seconds"`
	// QueueSeconds is the total time in which at least one request waited in the engine.
	QueueSeconds float64 `json:"line_seconds"`
	AtMS         int64   `json:"at_ms"`
}

// Load is the body of the response to GET /load.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AtMS    int64 `json:"at_ms"`
}

// Engine is a fake model engine. Close stops its goroutines.
type Engine struct {
	opts   Options
	router *httprouter.Router
	faults *faultState
	batch  *batch
	cache  *prefixCache
	ctx    context.Context
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu          sync.Mutex
	streams     map[string]*run
	previousRun *run
	load        Load
}

// New returns a started engine.
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
	e.wg.Go(e.refreshLoad)
	return e
}

func withDefaults(opts Options) Options {
	if opts.Concurrency == 0 {
		opts.Concurrency = DefaultConcurrency
	}
	if opts.TokensPerSecond == 0 {
		opts.TokensPerSecond = DefaultTokensPerSecond
	}
	if opts.StreamRetention == 0 {
		opts.StreamRetention = DefaultStreamRetention
	}
	if opts.LoadLag == 0 {
		opts.LoadLag = DefaultLoadLag
	}
	if opts.Exit == nil {
		opts.Exit = os.Exit
	}
	return opts
}

// Close cancels all runs and returns once they have ended.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	e.wg.Wait()
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }

// Stats returns a copy of the current statistics.
func (e *Engine) Stats() Stats { return e.batch.snapshot() }

// refreshLoad refreshes the load report every LoadLag and removes the streams that ended
// more than StreamRetention ago.
func (e *Engine) refreshLoad() {
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
			e.removeEndedStreams(now.Add(-e.opts.StreamRetention))
			e.mu.Unlock()
		}
	}
}

// removeEndedStreams removes the streams that ended before a time. The caller holds e.mu.
func (e *Engine) removeEndedStreams(before time.Time) {
	for attempt, r := range e.streams {
		r.mu.Lock()
		isExpired := r.done && r.endedAt.Before(before)
		r.mu.Unlock()
		if isExpired {
			delete(e.streams, attempt)
		}
	}
}

// submit admits a request to the batch. It returns nil if the request was refused.
func (e *Engine) submit(req request) *run {
	ctx, cancel := context.WithCancel(e.ctx)
	r := &run{
		attempt: req.attempt,
		model:   req.Model,
		prompt:  req.prompt,
		chat:    req.chat,
		tag:     tagOf(req.prompt),
		output:  newOutput(req.Model, req.prompt, req.MaxTokens),
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

// start runs a request in a goroutine. It does nothing after Close, which waits for the
// goroutines that run then.
func (e *Engine) start(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return
	}
	e.wg.Go(func() { e.execute(r) })
}

// execute runs a request in its slot and then starts the next waiting one in it.
func (e *Engine) execute(r *run) {
	e.batch.updateStats(func(s *Stats) { s.Started++ })
	isComplete := e.generate(r)
	r.cancel()
	if isComplete {
		e.batch.updateStats(func(s *Stats) { s.Completed++ })
	} else {
		e.batch.updateStats(func(s *Stats) { s.Canceled++ })
	}
	if next := e.batch.release(); next != nil {
		e.start(next)
	}
}

// generate produces the tokens of a run. It returns false if the run was canceled.
func (e *Engine) generate(r *run) bool {
	crashAfter, crashes := crashTokenCount(r.prompt)
	at := time.Now().Add(e.prefill(r))
	if !e.sleepUntil(r.ctx, at) {
		r.advance(0, true)
		return false
	}
	e.batch.addUnits(r.tag, PromptTokens(r.prompt))
	step := time.Duration(float64(time.Second) / e.opts.TokensPerSecond)
	for i := range r.output.length {
		if crashes && i >= crashAfter {
			e.opts.Exit(crashExitCode)
		}
		at = at.Add(step)
		if !e.sleepUntil(r.ctx, at) {
			r.advance(i, true)
			return false
		}
		e.batch.addUnits(r.tag, 1)
		r.advance(i+1, i+1 == r.output.length)
	}
	if r.output.length == 0 {
		r.advance(0, true)
	}
	return true
}

// prefill adds the prompt to the prefix cache and returns the time to process the part
// that was not cached before.
func (e *Engine) prefill(r *run) time.Duration {
	tokens := PromptTokens(r.prompt) - e.cache.admit(r.prompt)
	if e.opts.PromptTokensPerSecond == 0 {
		return 0
	}
	return time.Duration(float64(tokens) / e.opts.PromptTokensPerSecond * float64(time.Second))
}

// sleepUntil waits until a time and then for as long as the engine is frozen. It returns
// false if ctx was done first.
func (e *Engine) sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	e.faults.waitWhileFrozen(ctx)
	return ctx.Err() == nil
}

// crashTokenCount returns the number of tokens after which the prompt crashes the process,
// and whether it crashes the process at all.
func crashTokenCount(prompt string) (after int, crashes bool) {
	if n, ok := markerValue(crashAfterMarker, prompt); ok {
		return n, true
	}
	return 0, strings.Contains(prompt, CrashMarker)
}
