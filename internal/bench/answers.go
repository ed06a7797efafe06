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
	answersModel     = "assistant"
	answersRequests  = 10_000
	answersCallers   = 64
	answersMaxTokens = 24
	answersPace      = 400
	answersStallMS   = 1000
	answersFaultTime = 700 * time.Millisecond
	answersFrozen    = 1500 * time.Millisecond
	answersTimeout   = 20 * time.Second
	answersSettle    = 15 * time.Second
	leaveOneIn       = 10
	answersExamples  = 20
)

// AnswersResult counts what callers got in a run with faults.
type AnswersResult struct {
	Right, Refused, Visible, Silent, Wrong, Left atomic.Int64
	// Stuck answers did not end in time.
	Stuck atomic.Int64
	// Running is the number of requests that still ran at the engines when all
	// callers had gone.
	Running int

	mu       sync.Mutex
	examples []string
}

// Total returns the number of requests.
func (r *AnswersResult) Total() int64 {
	return r.Right.Load() + r.Refused.Load() + r.Visible.Load() + r.Silent.Load() +
		r.Wrong.Load() + r.Left.Load() + r.Stuck.Load()
}

// AnswersFleet describes the fleet of Answers.
func AnswersFleet() harness.Spec {
	domain := func(name string) harness.Domain {
		return harness.Domain{
			Name:    name,
			Routers: 2,
			Engines: harness.Repeat(2, harness.Engine{
				Models: []string{answersModel}, Concurrency: 16, TokensPerSecond: answersPace,
			}),
		}
	}
	return harness.Spec{
		Domains: []harness.Domain{domain("a"), domain("b")},
		Settings: func(s *settings.Settings) {
			s.Targets.StallMS = answersStallMS
		},
	}
}

// Answers makes requests by seed at all routers of a fleet while the engines
// cut, end, delay, cross, refuse and fail answers, freeze and die, until at
// least a number of requests are done and a duration has passed.
func Answers(ctx context.Context, fleet *harness.Fleet, seed uint64, requests int, duration time.Duration) (*AnswersResult, error) {
	if err := fleet.Apply(ctx, harness.Contract("ws", 1)); err != nil {
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
	err := settle(ctx, fleet, result)
	return result, err
}

// callAll makes the requests.
func callAll(ctx context.Context, fleet *harness.Fleet, seed uint64, requests int, until time.Time, result *AnswersResult) {
	var started atomic.Int64
	p := pool.New()
	for i := range answersCallers {
		caller := fleet.Routers[i%len(fleet.Routers)].Caller("ws")
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		p.Go(func() {
			defer caller.Close()
			for ctx.Err() == nil {
				n := started.Add(1)
				if n > int64(requests) && time.Now().After(until) {
					return
				}
				callOne(ctx, caller, rng, n, result)
			}
		})
	}
	p.Wait()
}

func callOne(ctx context.Context, caller *harness.Caller, rng *rand.Rand, n int64, result *AnswersResult) {
	ask := harness.Ask{
		Model:     answersModel,
		Prompt:    fmt.Sprintf("request %d of %d", n, rng.Uint64()),
		MaxTokens: 1 + rng.IntN(answersMaxTokens),
		Stream:    rng.IntN(2) == 0,
		Chat:      rng.IntN(2) == 0,
	}
	leaves := ask.Stream && rng.IntN(leaveOneIn) == 0
	if leaves {
		last := 1 + rng.IntN(ask.MaxTokens)
		ask.OnEvent = func(event int, _ string) bool { return event < last }
	}
	callCtx, cancel := context.WithTimeout(ctx, answersTimeout)
	defer cancel()
	answer := caller.Complete(callCtx, ask)
	verdict := harness.Judge(ask, answer)
	switch {
	case verdict == harness.Wrong, verdict == harness.Silent:
		result.note(ask, answer, verdict)
	case callCtx.Err() != nil:
		result.Stuck.Add(1)
		result.example(ask, answer, "stuck")
	case leaves && verdict == harness.Visible:
		result.Left.Add(1)
	default:
		result.count(verdict)
	}
}

func (r *AnswersResult) note(ask harness.Ask, a harness.Answer, verdict harness.Verdict) {
	r.count(verdict)
	r.example(ask, a, string(verdict))
}

func (r *AnswersResult) example(ask harness.Ask, a harness.Answer, how string) {
	example := fmt.Sprintf("%s at %s: stream %t chat %t id %s status %d events %d error %v text %q body %q want %q",
		how, time.Now().Format(time.TimeOnly), ask.Stream, ask.Chat, a.RequestID(), a.Status, a.Events, a.Err, a.Text, a.Body, ask.Want())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.examples) < answersExamples {
		r.examples = append(r.examples, example)
	}
}

// Examples returns some of the answers that should not have been.
func (r *AnswersResult) Examples() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.examples
}

func (r *AnswersResult) count(verdict harness.Verdict) {
	switch verdict {
	case harness.Right:
		r.Right.Add(1)
	case harness.Refused:
		r.Refused.Add(1)
	case harness.Visible:
		r.Visible.Add(1)
	case harness.Silent:
		r.Silent.Add(1)
	case harness.Wrong:
		r.Wrong.Add(1)
	}
}

// injectFaults changes the faults of one engine after another until ctx ends,
// and leaves all engines running without faults.
func injectFaults(ctx context.Context, fleet *harness.Fleet, seed uint64) error {
	rng := rand.New(rand.NewPCG(seed, 1<<32))
	for i := 0; pause(ctx, answersFaultTime/time.Duration(len(fleet.Engines))); i++ {
		if err := fault(ctx, fleet.Engines[i%len(fleet.Engines)], rng); err != nil && ctx.Err() == nil {
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

// fault gives an engine its next faults; now and then it dies or freezes.
func fault(ctx context.Context, e *harness.Target, rng *rand.Rand) error {
	const kinds, dies, freezes = 20, 0, 1
	switch rng.IntN(kinds) {
	case dies:
		if err := e.Kill(); err != nil {
			return err
		}
		return e.Restart(context.WithoutCancel(ctx))
	case freezes:
		e.Freeze()
		pause(ctx, answersFrozen)
		e.Resume()
		return nil
	}
	every := func() int { return rng.IntN(3) * (2 + rng.IntN(6)) }
	return e.SetFaults(ctx, engine.Faults{
		CutEvery:      every(),
		CutAfter:      rng.IntN(answersMaxTokens),
		TruncateEvery: every(),
		DelayEvery:    every(),
		DelayMS:       rng.IntN(200),
		CrossEvery:    every(),
		CrossBody:     rng.IntN(2) == 0,
		CrossAfter:    rng.IntN(2) * rng.IntN(answersMaxTokens),
		RefuseEvery:   every(),
		FailEvery:     every(),
		RefuseResume:  rng.IntN(2) == 0,
	})
}

// settle waits for the engines to have nothing to run once all callers left.
func settle(ctx context.Context, fleet *harness.Fleet, result *AnswersResult) error {
	for deadline := time.Now().Add(answersSettle); ; {
		result.Running = 0
		for _, e := range fleet.Engines {
			stats, err := e.EngineStats(ctx)
			if err != nil {
				return errors.Wrap(err, "answers")
			}
			result.Running += stats.Running + stats.Waiting
		}
		if result.Running == 0 || time.Now().After(deadline) || !pause(ctx, answersFaultTime) {
			return ctx.Err()
		}
	}
}

// soakAnswers is the long run of Answers.
func soakAnswers(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, AnswersFleet())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	result, err := Answers(ctx, fleet, p.Seed, answersRequests, p.Duration)
	if err != nil {
		return nil, err
	}
	for _, example := range result.Examples() {
		p.explain(example)
	}
	row := func(name string, value int64, bound Bound) Row {
		return Row{Name: "answers/" + name, Value: float64(value), Unit: "requests", Bound: bound, Seed: p.Seed}
	}
	return []Row{
		row("requests", result.Total(), AtLeast(answersRequests)),
		row("wrong", result.Wrong.Load(), Exactly(0)),
		row("silently-cut", result.Silent.Load(), Exactly(0)),
		row("stuck", result.Stuck.Load(), Exactly(0)),
		row("running-after", int64(result.Running), Exactly(0)),
		row("right", result.Right.Load(), Info()),
		row("refused", result.Refused.Load(), Info()),
		row("visibly-cut", result.Visible.Load(), Info()),
		row("left", result.Left.Load(), Info()),
	}, nil
}
