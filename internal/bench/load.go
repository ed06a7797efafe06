package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

const (
	// refusalBackoff is the pause of a closed loop after a response that is not
	// correct.
	refusalBackoff = 200 * time.Millisecond
	// defaultMaxInFlight bounds the requests in flight of an open loop.
	defaultMaxInFlight = 2048
)

// Size is the size of a request in tokens.
type Size struct {
	// Prompt is the number of prompt tokens.
	Prompt int
	// Tokens is the number of tokens of the response.
	Tokens int
	// Hint is sent as max_tokens; 0 sends Tokens.
	Hint int
}

// Units returns the service units of a request.
func (s Size) Units() int { return s.Prompt + s.Tokens }

// Flow is the load of one workspace.
type Flow struct {
	Workspace string
	// Callers are used in turn.
	Callers []*harness.Caller
	Model   string
	Size    Size
	// Stream requests streamed responses.
	Stream bool
	// InFlight is the number of requests that a closed loop keeps in flight.
	InFlight int
	// Rate is the arrival rate, in requests per second, of an open loop with
	// Poisson arrivals. It is used where InFlight is 0.
	Rate float64
	// MaxInFlight bounds the requests in flight of an open loop. Arrivals above
	// it are dropped and counted. The default is defaultMaxInFlight.
	MaxInFlight int
	// Spread is the time over which the start of a closed loop's requests is
	// staggered.
	Spread time.Duration
}

// Tally counts the responses of a flow. Its counters may be read while the flow
// runs.
type Tally struct {
	Correct, Refused, VisiblyTruncated, SilentlyTruncated, Wrong, Dropped atomic.Int64

	mu        sync.Mutex
	firstByte *durationHistogram
	total     *durationHistogram
}

func newTally() *Tally {
	return &Tally{firstByte: newDurationHistogram(), total: newDurationHistogram()}
}

// reset discards the recorded durations at the start of a measuring window.
func (t *Tally) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstByte, t.total = newDurationHistogram(), newDurationHistogram()
}

// histograms returns the time to first byte and the total time of the correct
// responses in the window.
func (t *Tally) histograms() (firstByte, total *durationHistogram) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstByte, t.total
}

func (t *Tally) add(verdict harness.Verdict, resp harness.Response) {
	switch verdict {
	case harness.VerdictCorrect:
		t.Correct.Add(1)
		firstByte, total := t.histograms()
		firstByte.add(resp.TimeToFirstByte)
		total.add(resp.TotalTime)
	case harness.VerdictRefused:
		t.Refused.Add(1)
	case harness.VerdictVisiblyTruncated:
		t.VisiblyTruncated.Add(1)
	case harness.VerdictSilentlyTruncated:
		t.SilentlyTruncated.Add(1)
	case harness.VerdictWrong:
		t.Wrong.Add(1)
	}
}

// Load is a set of running flows.
type Load struct {
	cancel  context.CancelFunc
	wg      conc.WaitGroup
	tallies map[string]*Tally
}

// StartLoad starts flows whose random numbers are derived from the seed.
func StartLoad(ctx context.Context, seed uint64, flows ...Flow) *Load {
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{cancel: cancel, tallies: map[string]*Tally{}}
	for i, flow := range flows {
		tally, ok := l.tallies[flow.Workspace]
		if !ok {
			tally = newTally()
			l.tallies[flow.Workspace] = tally
		}
		r := &runner{flow: flow, tally: tally, seed: seed, stream: uint64(i)}
		l.wg.Go(func() { r.run(ctx) })
	}
	return l
}

// Tally returns the tally of a workspace.
func (l *Load) Tally(workspace string) *Tally { return l.tallies[workspace] }

// Reset discards the recorded durations of all workspaces.
func (l *Load) Reset() {
	for _, t := range l.tallies {
		t.reset()
	}
}

// Stop ends the flows and returns once no request is in flight.
func (l *Load) Stop() {
	l.cancel()
	l.wg.Wait()
}

// runner runs one flow.
type runner struct {
	flow   Flow
	tally  *Tally
	seed   uint64
	stream uint64
	count  atomic.Uint64
}

func (r *runner) run(ctx context.Context) {
	if r.flow.InFlight > 0 {
		r.runClosedLoop(ctx)
		return
	}
	r.runOpenLoop(ctx)
}

// runClosedLoop keeps InFlight requests in flight.
func (r *runner) runClosedLoop(ctx context.Context) {
	var wg conc.WaitGroup
	rng := r.rng()
	for i := range r.flow.InFlight {
		caller := r.flow.Callers[i%len(r.flow.Callers)]
		start := time.Duration(rng.Int64N(int64(r.flow.Spread) + 1))
		wg.Go(func() {
			pause(ctx, start)
			for ctx.Err() == nil {
				r.sendOne(ctx, caller, true)
			}
		})
	}
	wg.Wait()
}

// runOpenLoop sends requests at the flow's rate, independent of their responses.
func (r *runner) runOpenLoop(ctx context.Context) {
	var (
		wg       conc.WaitGroup
		inFlight atomic.Int64
	)
	rng := r.rng()
	limit := int64(r.flow.MaxInFlight)
	if limit == 0 {
		limit = defaultMaxInFlight
	}
	next := time.Now()
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / r.flow.Rate * float64(time.Second)))
		if !pause(ctx, time.Until(next)) {
			break
		}
		if inFlight.Load() >= limit {
			r.tally.Dropped.Add(1)
			continue
		}
		caller := r.flow.Callers[i%len(r.flow.Callers)]
		inFlight.Add(1)
		wg.Go(func() {
			defer inFlight.Add(-1)
			r.sendOne(ctx, caller, false)
		})
	}
	wg.Wait()
}

func (r *runner) rng() *rand.Rand { return rand.New(rand.NewPCG(r.seed, r.stream)) }

// sendOne sends one request. If backoff is set, it pauses after a response that
// is not correct.
func (r *runner) sendOne(ctx context.Context, caller *harness.Caller, backoff bool) {
	req := r.nextRequest()
	resp := caller.Complete(ctx, req)
	if ctx.Err() != nil {
		return
	}
	verdict := harness.CheckResponse(req, resp)
	r.tally.add(verdict, resp)
	if backoff && verdict != harness.VerdictCorrect {
		pause(ctx, refusalBackoff)
	}
}

// nextRequest returns the next request; no two prompts are equal.
func (r *runner) nextRequest() harness.CompletionRequest {
	n := r.count.Add(1)
	words := []string{
		engine.TagMarker(r.flow.Workspace),
		engine.LengthMarker(r.flow.Size.Tokens),
		fmt.Sprintf("%d-%d-%d", r.seed, r.stream, n),
	}
	for i := len(words); i < r.flow.Size.Prompt; i++ {
		words = append(words, "w")
	}
	hint := r.flow.Size.Hint
	if hint == 0 {
		hint = r.flow.Size.Tokens
	}
	return harness.CompletionRequest{
		Model:     r.flow.Model,
		Prompt:    strings.Join(words, " "),
		MaxTokens: hint,
		Stream:    r.flow.Stream,
		Header:    http.Header{},
	}
}

// pause waits for d and returns whether d passed before ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
