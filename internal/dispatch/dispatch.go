// Package dispatch runs the scheduler: one goroutine owns the state machine,
// feeds it events from a bounded ring and carries out its actions.
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
	// step is the name that errors of this package carry.
	step = "queue"
	// ringSize is the number of events that may wait for the scheduler.
	ringSize = 8192
	// fullRetryAfter is when a request may come back that met a full ring.
	fullRetryAfter = time.Second
)

// Machine is the scheduler's state machine.
type Machine interface {
	Step(now time.Time, ev sched.Event) []sched.Action
	View() sched.View
	Owned() []ids.Target
}

// Sender sends a scheduler message to another router; it may drop it.
type Sender func(to ids.Instance, msg *schedv1.Message)

// Dispatcher is the controller of the scheduler.
type Dispatcher struct {
	machine Machine
	send    Sender
	ring    chan any
	done    chan struct{}
	lastID  atomic.Uint64
	waiting map[sched.RequestID]chan decision

	steps    tally.Counter
	dropped  tally.Counter
	dispatch tally.Counter
	refused  tally.Counter
}

// decision on a waiting request: a target, or an error.
type decision struct {
	target ids.Target
	err    error
}

// Items of the ring besides sched.Event.
type (
	submission struct {
		request sched.Request
		answer  chan decision
	}
	withdrawal struct{ id sched.RequestID }
	inspection struct{ answer chan Snapshot }
)

// Snapshot is the scheduler's state for status pages and for the load poller.
type Snapshot struct {
	View  sched.View
	Owned []ids.Target
}

// New returns a Dispatcher for a machine.
func New(machine Machine, send Sender, scope tally.Scope) *Dispatcher {
	return &Dispatcher{
		machine:  machine,
		send:     send,
		ring:     make(chan any, ringSize),
		done:     make(chan struct{}),
		waiting:  make(map[sched.RequestID]chan decision),
		steps:    scope.Counter("scheduler_events"),
		dropped:  scope.Counter("scheduler_events_dropped"),
		dispatch: scope.Counter("scheduler_dispatched"),
		refused:  scope.Counter("scheduler_refused"),
	}
}

// Run feeds the machine until the context ends. Requests that then still wait
// are answered "not run".
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
		case item := <-d.ring:
			d.handle(item)
		}
	}
}

func (d *Dispatcher) handle(item any) {
	switch item := item.(type) {
	case submission:
		d.waiting[item.request.ID] = item.answer
		d.step(sched.Submit{Request: item.request})
	case withdrawal:
		d.withdraw(item.id)
	case inspection:
		item.answer <- Snapshot{View: d.machine.View(), Owned: d.machine.Owned()}
	case sched.Event:
		d.step(item)
	}
}

func (d *Dispatcher) step(ev sched.Event) {
	d.steps.Inc(1)
	for _, action := range d.machine.Step(time.Now(), ev) {
		d.act(action)
	}
}

func (d *Dispatcher) act(action sched.Action) {
	switch action := action.(type) {
	case sched.Dispatch:
		d.dispatch.Inc(1)
		d.decide(action.ID, decision{target: action.Target})
	case sched.Refuse:
		d.refused.Inc(1)
		d.decide(action.ID, decision{err: refusal(action)})
	case sched.Send:
		d.send(action.To, action.Msg)
	}
}

// decide answers a waiting request. The answer channel has room for one, and a
// request is decided once, so this never blocks.
func (d *Dispatcher) decide(id sched.RequestID, what decision) {
	answer, ok := d.waiting[id]
	if !ok {
		return
	}
	delete(d.waiting, id)
	answer <- what
}

// withdraw takes a request back unless it has been decided.
func (d *Dispatcher) withdraw(id sched.RequestID) {
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

// NewID returns an id for an attempt.
func (d *Dispatcher) NewID() sched.RequestID {
	return sched.RequestID(d.lastID.Add(1))
}

// Acquire waits until the request has a target. Each success must be followed
// by one Release. An error is an *outcome.Error, not run.
func (d *Dispatcher) Acquire(ctx context.Context, req sched.Request) (ids.Target, error) {
	answer := make(chan decision, 1)
	select {
	case d.ring <- submission{request: req, answer: answer}:
	default:
		d.dropped.Inc(1)
		return "", overloaded()
	}
	select {
	case what := <-answer:
		return what.target, what.err
	case <-d.done:
		return d.afterRun(answer)
	case <-ctx.Done():
		return d.leave(req.ID, answer)
	}
}

// leave withdraws a request whose caller has gone. Where the scheduler decided
// first, the target is given back unused.
func (d *Dispatcher) leave(id sched.RequestID, answer chan decision) (ids.Target, error) {
	d.Tell(withdrawal{id: id})
	select {
	case what := <-answer:
		if what.err == nil {
			d.Release(sched.Finish{ID: id})
		}
		return "", canceled()
	case <-d.done:
		return "", canceled()
	}
}

// afterRun answers a request that was caught by the end of Run.
func (d *Dispatcher) afterRun(answer chan decision) (ids.Target, error) {
	select {
	case what := <-answer:
		return what.target, what.err
	default:
		return "", refusal(sched.Refuse{Code: outcome.CodeShuttingDown})
	}
}

// Release tells that an attempt has left its target.
func (d *Dispatcher) Release(end sched.Finish) { d.Tell(end) }

// Progress tells the service used so far; it is dropped where the ring is full,
// since the next one or the end makes up for it.
func (d *Dispatcher) Progress(p sched.Progress) { d.Offer(p) }

// Tell puts an event into the ring, waiting for room.
func (d *Dispatcher) Tell(ev any) {
	select {
	case d.ring <- ev:
	case <-d.done:
	}
}

// Offer puts an event into the ring, or drops it where there is no room.
func (d *Dispatcher) Offer(ev sched.Event) {
	select {
	case d.ring <- ev:
	default:
		d.dropped.Inc(1)
	}
}

// Inspect returns the scheduler's state, empty once Run has ended.
func (d *Dispatcher) Inspect(ctx context.Context) Snapshot {
	answer := make(chan Snapshot, 1)
	select {
	case d.ring <- inspection{answer: answer}:
	case <-d.done:
		return Snapshot{}
	case <-ctx.Done():
		return Snapshot{}
	}
	select {
	case snapshot := <-answer:
		return snapshot
	case <-d.done:
		return Snapshot{}
	case <-ctx.Done():
		return Snapshot{}
	}
}

func refusal(r sched.Refuse) error {
	text, status := explain(r.Code)
	e := outcome.Refuse(step, status, r.Code, text)
	e.RetryAfter = r.RetryAfter
	return e
}

func explain(code outcome.Code) (text string, status int) {
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
	e := outcome.Refuse(step, http.StatusServiceUnavailable, outcome.CodeTooManyRequests, "this router has too many events to handle")
	e.RetryAfter = fullRetryAfter
	return e
}
