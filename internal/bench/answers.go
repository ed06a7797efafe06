package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

const (
	answersModel           = "assistant"
	answersRequests        = 10_000
	answersCallers         = 64
	answersMaxTokens       = 24
	answersTokensPerSecond = 400
	answersStallMS         = 1000
	answersFaultInterval   = 700 * time.Millisecond
	answersFreezeTime      = 1500 * time.Millisecond
	answersTimeout         = 20 * time.Second
	answersIdleTimeout     = 15 * time.Second
	cancelOneIn            = 10
	maxAnswersExamples     = 20
)

// AnswersResult counts the responses that callers received in a run with engine
// faults.
type AnswersResult struct {
	Correct, Refused, VisiblyTruncated, SilentlyTruncated, Wrong, Canceled atomic.Int64
	// TimedOut counts the requests that did not end within answersTimeout.
	TimedOut atomic.Int64
	// StillRunning is the number of requests that the engines still held after
	// all callers had disconnected.
	StillRunning int

	mu       sync.Mutex
	examples []string
}

// Total returns the number of requests.
func (r *AnswersResult) Total() int64 {
	return r.Correct.Load() + r.Refused.Load() + r.VisiblyTruncated.Load() + r.SilentlyTruncated.Load() +
		r.Wrong.Load() + r.Canceled.Load() + r.TimedOut.Load()
}

// AnswersFleet describes the fleet for RunAnswers.
func AnswersFleet() harness.Spec {
	domain := func(name string) harness.Domain {
		return harness.Domain{
			Name:    name,
			Routers: 2,
			Engines: harness.Repeat(2, harness.Engine{
				Models: []string{answersModel}, Concurrency: 16, TokensPerSecond: answersTokensPerSecond,
			}),
		}
	}
	return harness.Spec{
		Domains: []harness.Domain{domain("a"), domain("b")},
		EditSettings: func(s *settings.Settings) {
			s.Targets.StallMS = answersStallMS
		},
	}
}

// RunAnswers sends seeded model requests to all routers of a fleet while the
// engines cut, truncate, delay, cross, refuse and fail responses, freeze and are
// killed. It
// returns once at least the given number of requests are done and the duration
// has passed.
func RunAnswers(ctx context.Context, fleet *harness.Fleet, seed uint64, requests int, duration time.Duration) (*AnswersResult, error) {
	if err := fleet.ApplyContract(ctx, harness.Contract("ws", 1)); err != nil {
		return nil, err
	}
	result := &AnswersResult{}
	faultCtx, stopFaults := context.WithCancel(ctx)
	var faults conc.WaitGroup
	var faultErr error
	faults.Go(func() { faultErr = injectFaults(faultCtx, fleet, seed) })
	callAll(ctx, fleet, seed, requests, time.Now().Add(duration), result)
	stopFaults()
	faults.Wait()
	if faultErr != nil {
		return nil, faultErr
	}
	err := awaitIdle(ctx, fleet, result)
	return result, err
}

// callAll sends the requests from answersCallers concurrent callers.
func callAll(ctx context.Context, fleet *harness.Fleet, seed uint64, requests int, notBefore time.Time, result *AnswersResult) {
	var started atomic.Int64
	p := pool.New()
	for i := range answersCallers {
		caller := fleet.Routers[i%len(fleet.Routers)].Caller("ws")
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		p.Go(func() {
			defer caller.Close()
			for ctx.Err() == nil {
				n := started.Add(1)
				if n > int64(requests) && time.Now().After(notBefore) {
					return
				}
				callOne(ctx, caller, rng, n, result)
			}
		})
	}
	p.Wait()
}

func callOne(ctx context.Context, caller *harness.Caller, rng *rand.Rand, n int64, result *AnswersResult) {
	req := harness.CompletionRequest{
		Model:     answersModel,
		Prompt:    fmt.Sprintf("request %d of %d", n, rng.Uint64()),
		MaxTokens: 1 + rng.IntN(answersMaxTokens),
		Stream:    rng.IntN(2) == 0,
		Chat:      rng.IntN(2) == 0,
	}
	cancels := req.Stream && rng.IntN(cancelOneIn) == 0
	if cancels {
		last := 1 + rng.IntN(req.MaxTokens)
		req.OnEvent = func(event int, _ string) bool { return event < last }
	}
	callCtx, cancel := context.WithTimeout(ctx, answersTimeout)
	defer cancel()
	resp := caller.Complete(callCtx, req)
	verdict := harness.CheckResponse(req, resp)
	switch {
	case verdict == harness.VerdictWrong, verdict == harness.VerdictSilentlyTruncated:
		result.countWithExample(req, resp, verdict)
	case callCtx.Err() != nil:
		result.TimedOut.Add(1)
		result.addExample(req, resp, "stuck")
	case cancels && verdict == harness.VerdictVisiblyTruncated:
		result.Canceled.Add(1)
	default:
		result.count(verdict)
	}
}

func (r *AnswersResult) countWithExample(req harness.CompletionRequest, resp harness.Response, verdict harness.Verdict) {
	r.count(verdict)
	r.addExample(req, resp, string(verdict))
}

func (r *AnswersResult) addExample(req harness.CompletionRequest, resp harness.Response, reason string) {
	example := fmt.Sprintf("%s at %s: stream %t chat %t id %s status %d events %d error %v text %q body %q want %q",
		reason, time.Now().Format(time.TimeOnly), req.Stream, req.Chat, resp.RequestID(), resp.Status, resp.Events, resp.Err, resp.Text, resp.Body, req.ExpectedText())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.examples) < maxAnswersExamples {
		r.examples = append(r.examples, example)
	}
}

// Examples returns up to maxAnswersExamples responses that violate the
// guarantees.
func (r *AnswersResult) Examples() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.examples
}

func (r *AnswersResult) count(verdict harness.Verdict) {
	switch verdict {
	case harness.VerdictCorrect:
		r.Correct.Add(1)
	case harness.VerdictRefused:
		r.Refused.Add(1)
	case harness.VerdictVisiblyTruncated:
		r.VisiblyTruncated.Add(1)
	case harness.VerdictSilentlyTruncated:
		r.SilentlyTruncated.Add(1)
	case harness.VerdictWrong:
		r.Wrong.Add(1)
	}
}

// injectFaults changes the faults of one engine after another until ctx ends, and
// finally clears the faults of all engines.
func injectFaults(ctx context.Context, fleet *harness.Fleet, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	for i := 0; pause(ctx, answersFaultInterval/time.Duration(len(fleet.Engines))); i++ {
		if err := injectFault(ctx, fleet.Engines[i%len(fleet.Engines)], rng); err != nil && ctx.Err() == nil {
			return err
		}
	}
	for _, e := range fleet.Engines {
		if err := e.SetFaults(context.WithoutCancel(ctx), engine.Faults{}); err != nil {
			return err
		}
	}
	return nil
}

// injectFault sets an engine's next faults, or with a probability of 1 in 20 each
// kills or freezes the engine instead.
func injectFault(ctx context.Context, e *harness.Target, rng *rand.Rand) error {
	const choices, kill, freeze = 20, 0, 1
	switch rng.IntN(choices) {
	case kill:
		if err := e.Kill(); err != nil {
			return err
		}
		return e.Restart(context.WithoutCancel(ctx))
	case freeze:
		e.Freeze()
		pause(ctx, answersFreezeTime)
		e.Resume()
		return nil
	}
	randomInterval := func() int { return rng.IntN(3) * (2 + rng.IntN(6)) }
	return e.SetFaults(ctx, engine.Faults{
		CutEvery:      randomInterval(),
		CutAfter:      rng.IntN(answersMaxTokens),
		TruncateEvery: randomInterval(),
		DelayEvery:    randomInterval(),
		DelayMS:       rng.IntN(200),
		CrossEvery:    randomInterval(),
		CrossBody:     rng.IntN(2) == 0,
		CrossAfter:    rng.IntN(2) * rng.IntN(answersMaxTokens),
		RefuseEvery:   randomInterval(),
		FailEvery:     randomInterval(),
		RefuseResume:  rng.IntN(2) == 0,
	})
}

// awaitIdle waits until the engines hold no requests after all callers have
// disconnected.
func awaitIdle(ctx context.Context, fleet *harness.Fleet, result *AnswersResult) error {
	for deadline := time.Now().Add(answersIdleTimeout); ; {
		result.StillRunning = 0
		for _, e := range fleet.Engines {
			stats, err := e.EngineStats(ctx)
			if err != nil {
				return errors.Wrap(err, "answers")
			}
			result.StillRunning += stats.Running + stats.Waiting
		}
		if result.StillRunning == 0 || time.Now().After(deadline) || !pause(ctx, answersFaultInterval) {
			return ctx.Err()
		}
	}
}

// soakAnswers runs RunAnswers as a soak scenario.
func soakAnswers(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, AnswersFleet())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	result, err := RunAnswers(ctx, fleet, p.Seed, answersRequests, p.Duration)
	if err != nil {
		return nil, err
	}
	for _, example := range result.Examples() {
		p.traceLine(example)
	}
	row := func(name string, value int64, bound Bound) Row {
		return Row{Name: "answers/" + name, Value: float64(value), Unit: "requests", Bound: bound, Seed: p.Seed}
	}
	return []Row{
		row("requests", result.Total(), AtLeast(answersRequests)),
		row("wrong", result.Wrong.Load(), Exactly(0)),
		row("silently-cut", result.SilentlyTruncated.Load(), Exactly(0)),
		row("stuck", result.TimedOut.Load(), Exactly(0)),
		row("running-after", int64(result.StillRunning), Exactly(0)),
		row("right", result.Correct.Load(), Info()),
		row("refused", result.Refused.Load(), Info()),
		row("visibly-cut", result.VisiblyTruncated.Load(), Info()),
		row("left", result.Canceled.Load(), Info()),
	}, nil
}
