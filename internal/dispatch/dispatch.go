// Package dispatch runs the scheduler. One goroutine owns the scheduler's state
// machine, passes it events from a bounded queue, and performs its actions. The
// bound keeps a flood of events from exhausting the router's memory: new requests
// are refused and progress events are dropped when the queue is full.
package dispatch

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const (
	// step is the name of the step in errors of this package.
	step = "queue"
	// eventQueueSize is the number of events that may wait for the state machine.
	eventQueueSize = 8192
	// eventsFullRetryAfter is the Retry-After of a request that is refused because
	// the event queue is full.
	eventsFullRetryAfter = time.Second
)

// StateMachine is the scheduler's state machine.
type StateMachine interface {
	Step(now time.Time, ev sched.Event) []sched.Action
	View() sched.View
	Owned() []ids.Target
}

// Sender sends a scheduler message to another router. It may drop the message.
type Sender func(to ids.Instance, msg *schedv1.Message)

// Dispatcher runs a state machine and delivers its decisions to waiting requests.
// Its methods are safe for concurrent use.
type Dispatcher struct {
	machine StateMachine
	send    Sender
	events  chan any
	done    chan struct{}
	lastID  atomic.Uint64
	// waiting holds the requests without a decision. Only Run uses it.
	waiting map[sched.RequestID]chan decision

	steps      tally.Counter
	dropped    tally.Counter
	dispatched tally.Counter
	refused    tally.Counter
}

// decision is the result of a waiting request: a target or an error.
type decision struct {
	target ids.Target
	err    error
}

// Items of the event queue besides sched.Event.
type (
	submission struct {
		request sched.Request
		result  chan decision
	}
	cancellation struct{ id sched.RequestID }
	inspection   struct{ result chan Snapshot }
)

// Snapshot is the scheduler's state for status pages and for the load poller.
type Snapshot struct {
	View  sched.View
	Owned []ids.Target
}

// New returns a Dispatcher for a state machine. The caller must start Run.
func New(machine StateMachine, send Sender, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		machine:    machine,
		send:       send,
		events:     make(chan any, eventQueueSize),
		done:       make(chan struct{}),
		waiting:    make(map[sched.RequestID]chan decision),
		steps:      scope.Counter("scheduler_events"),
		dropped:    scope.Counter("scheduler_events_dropped"),
		dispatched: scope.Counter("scheduler_dispatched"),
		refused:    scope.Counter("scheduler_refused"),
	}
}

// Run passes events to the state machine until ctx is done. It then refuses the
// requests that still wait, with the outcome "not run".
func (d *Dispatcher) Run(ctx context.Context) error {
	defer close(d.done)
	tick := time.NewTicker(sched.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			d.refuseAll()
			return nil
		case <-tick.C:
			d.step(sched.Tick{})
		case item := <-d.events:
			d.handle(item)
		}
	}
}

func (d *Dispatcher) handle(item any) {
	switch item := item.(type) {
	case submission:
		d.waiting[item.request.ID] = item.result
		d.step(sched.Submit{Request: item.request})
	case cancellation:
		d.cancelUndecided(item.id)
	case inspection:
		item.result <- Snapshot{View: d.machine.View(), Owned: d.machine.Owned()}
	case sched.Event:
		d.step(item)
	}
}

func (d *Dispatcher) step(ev sched.Event) {
	d.steps.Inc(1)
	for _, action := range d.machine.Step(time.Now(), ev) {
		d.apply(action)
	}
}

func (d *Dispatcher) apply(action sched.Action) {
	switch action := action.(type) {
	case sched.Dispatch:
		d.dispatched.Inc(1)
		d.decide(action.ID, decision{target: action.Target})
	case sched.Refuse:
		d.refused.Inc(1)
		d.decide(action.ID, decision{err: refusal(action)})
	case sched.Send:
		d.send(action.To, action.Msg)
	}
}

// decide delivers the decision on a waiting request. It never blocks, since the
// channel has a buffer of one and a request is decided only once.
func (d *Dispatcher) decide(id sched.RequestID, decided decision) {
	result, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	result <- decided
}

// cancelUndecided cancels a request unless it has been decided.
func (d *Dispatcher) cancelUndecided(id sched.RequestID) {
	if _, ok := d.waiting[id]; !ok {
		return
	}
	d.step(sched.Cancel{ID: id})
	d.decide(id, decision{err: canceled()})
}

func (d *Dispatcher) refuseAll() {
	for id := range d.waiting {
		d.decide(id, decision{err: refusal(sched.Refuse{ID: id, Code: outcome.CodeShuttingDown})})
	}
}

// NewID returns a new id for an attempt.
func (d *Dispatcher) NewID() sched.RequestID {
	return sched.RequestID(d.lastID.Add(1))
}

// Acquire waits until the request is assigned a target. Each success must be
// followed by one call of Release. An error is an *outcome.Error with the outcome
// "not run".
func (d *Dispatcher) Acquire(ctx context.Context, req sched.Request) (ids.Target, error) {
	result := make(chan decision, 1)
	select {
	case d.events <- submission{request: req, result: result}:
	default:
		d.dropped.Inc(1)
		return "", overloaded()
	}
	select {
	case decided := <-result:
		return decided.target, decided.err
	case <-d.done:
		return d.resultAfterRun(result)
	case <-ctx.Done():
		return d.cancel(req.ID, result)
	}
}

// cancel cancels a request whose caller has disconnected. If the scheduler has
// already assigned a target, cancel releases it unused.
func (d *Dispatcher) cancel(id sched.RequestID, result chan decision) (ids.Target, error) {
	d.Enqueue(cancellation{id: id})
	select {
	case decided := <-result:
		if decided.err == nil {
			d.Release(sched.Finish{ID: id})
		}
		return "", canceled()
	case <-d.done:
		return "", canceled()
	}
}

// resultAfterRun returns the result of a request that was waiting when Run ended.
func (d *Dispatcher) resultAfterRun(result chan decision) (ids.Target, error) {
	select {
	case decided := <-result:
		return decided.target, decided.err
	default:
		return "", refusal(sched.Refuse{Code: outcome.CodeShuttingDown})
	}
}

// Release reports that an attempt no longer occupies its target.
func (d *Dispatcher) Release(end sched.Finish) { d.Enqueue(end) }

// Progress reports the service used so far. The report is dropped if the event queue
// is full, since the next report or the end of the attempt includes it.
func (d *Dispatcher) Progress(p sched.Progress) { d.TryEnqueue(p) }

// Enqueue adds an event to the queue. It blocks while the queue is full and Run has
// not ended.
func (d *Dispatcher) Enqueue(ev any) {
	select {
	case d.events <- ev:
	case <-d.done:
	}
}

// TryEnqueue adds an event to the queue, or drops it if the queue is full.
func (d *Dispatcher) TryEnqueue(ev sched.Event) {
	select {
	case d.events <- ev:
	default:
		d.dropped.Inc(1)
	}
}

// Inspect returns the scheduler's state. It is empty if Run has ended or ctx is
// done first.
func (d *Dispatcher) Inspect(ctx context.Context) Snapshot {
	result := make(chan Snapshot, 1)
	select {
	case d.events <- inspection{result: result}:
	case <-d.done:
		return Snapshot{}
	case <-ctx.Done():
		return Snapshot{}
	}
	select {
	case snapshot := <-result:
		return snapshot
	case <-d.done:
		return Snapshot{}
	case <-ctx.Done():
		return Snapshot{}
	}
}

func refusal(r sched.Refuse) error {
	text, status := describeRefusal(r.Code)
	e := outcome.Refuse(step, status, r.Code, text)
	e.RetryAfter = r.RetryAfter
	return e
}

func describeRefusal(code outcome.Code) (text string, status int) {
	switch code {
	case outcome.CodeQueueFull:
		return "the workspace's queue is full", http.StatusTooManyRequests
	case outcome.CodeRateLimited:
		return "the workspace's request rate is used up", http.StatusTooManyRequests
	case outcome.CodeConcurrency:
		return "the workspace runs as many requests as it may", http.StatusTooManyRequests
	case outcome.CodeAllowance:
		return "the workspace's allowance is spent", http.StatusTooManyRequests
	case outcome.CodeDeadline:
		return "the request can't start before its deadline", http.StatusServiceUnavailable
	case outcome.CodeNoTarget:
		return "no target can take the request", http.StatusServiceUnavailable
	case outcome.CodeShuttingDown:
		return "this router is stopping", http.StatusServiceUnavailable
	default:
		return "the request was refused", http.StatusServiceUnavailable
	}
}

func canceled() error {
	return outcome.Refuse(step, outcome.StatusClientClosed, outcome.CodeCanceled, "the caller went away")
}

func overloaded() error {
	e := outcome.Refuse(step, http.StatusServiceUnavailable, outcome.CodeTooManyHeld, "this router has too many events to handle")
	e.RetryAfter = eventsFullRetryAfter
	return e
}
