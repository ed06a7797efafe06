package bench

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/service"
)

// OrdersResult compares the results that callers saw with the runs that the
// services recorded.
type OrdersResult struct {
	Orders int
	Sends  int
	// RanMoreThanOnce counts the orders with more than one run.
	RanMoreThanOnce int
	// FalseNotRun counts the orders that ran although the result of each send was
	// ResultNotRun.
	FalseNotRun int
	// FalseDone counts the orders that did not run although the result of a send
	// was ResultDone.
	FalseDone int
	// WrongResponse counts the orders that received the response of another order.
	WrongResponse int
	// Done, NotRun and Unknown count the orders by the outcome that their callers
	// can derive from the results.
	Done, NotRun, Unknown int
	// UnknownThatRan counts the unknown orders that ran.
	UnknownThatRan int
	// UnknownByRouter, UnknownByTarget and UnknownByClaim count the unknown orders
	// by the cause of the first result that did not determine the outcome: the
	// router sent no response, the target failed to respond, or a claim remained
	// that could no longer be settled.
	UnknownByRouter, UnknownByTarget, UnknownByClaim int
	// NoResponse counts the sends whose connection broke.
	NoResponse int
	// Codes counts the refusals by code.
	Codes map[outcome.Code]int
	// Examples describes the first orders that violate a guarantee, at most
	// maxExamples.
	Examples []string
}

// maxExamples bounds the number of violations in OrdersResult.Examples.
const maxExamples = 5

// CheckOrders compares orders with the services' runs.
func CheckOrders(orders []*Order, runs []service.Run) OrdersResult {
	runCounts := map[string]int{}
	for _, run := range runs {
		runCounts[run.BodyHash]++
	}
	r := OrdersResult{Orders: len(orders), Codes: map[outcome.Code]int{}}
	for _, o := range orders {
		r.add(o, runCounts[service.BodyHash(o.Body)])
	}
	return r
}

func (r *OrdersResult) add(o *Order, runCount int) {
	counts := map[SendResult]int{}
	for _, s := range o.Results {
		counts[s]++
	}
	r.Sends += len(o.Results)
	r.NoResponse += counts[ResultNoResponse]
	for _, code := range o.Codes {
		if code != "" {
			r.Codes[code]++
		}
	}
	notRun := counts[ResultNotRun] == len(o.Results)
	switch {
	case counts[ResultDone] > 0:
		r.Done++
	case notRun:
		r.NotRun++
	default:
		r.Unknown++
		r.UnknownThatRan += min(runCount, 1)
		r.countUnknownCause(o)
	}
	r.countViolation(&r.RanMoreThanOnce, runCount > 1, "doubled", o, runCount)
	r.countViolation(&r.FalseNotRun, notRun && runCount > 0, "false not-run", o, runCount)
	r.countViolation(&r.FalseDone, counts[ResultDone] > 0 && runCount == 0, "false done", o, runCount)
	r.countViolation(&r.WrongResponse, o.HasWrongResponse, "wrong answer", o, runCount)
}

// countUnknownCause counts an unknown order by the cause of the first result that
// did not determine its outcome.
func (r *OrdersResult) countUnknownCause(o *Order) {
	i := slices.IndexFunc(o.Results, func(s SendResult) bool { return s != ResultNotRun })
	switch {
	case o.Results[i] == ResultNoResponse:
		r.UnknownByRouter++
	case o.Codes[i] == outcome.CodeTargetFailed:
		r.UnknownByTarget++
	default:
		r.UnknownByClaim++
	}
}

func (r *OrdersResult) countViolation(count *int, violated bool, violation string, o *Order, runCount int) {
	if !violated {
		return
	}
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples,
			fmt.Sprintf("%s: key %q, body %s, runs %d, results %v, codes %v", violation, o.Key, o.Body, runCount, o.Results, o.Codes))
	}
}

// Rows returns the figures as rows.
func (r OrdersResult) Rows(prefix string, seed uint64) []Row {
	row := func(name string, value int, bound Bound) Row {
		return Row{Name: prefix + name, Value: float64(value), Unit: "orders", Bound: bound, Seed: seed}
	}
	return []Row{
		row("orders", r.Orders, Info()),
		row("doubled", r.RanMoreThanOnce, Exactly(0)),
		row("false-not-run", r.FalseNotRun, Exactly(0)),
		row("false-done", r.FalseDone, Exactly(0)),
		row("wrong-answer", r.WrongResponse, Exactly(0)),
		row("done", r.Done, Info()),
		row("not-run", r.NotRun, Info()),
		row("unknown", r.Unknown, Info()),
		row("unknown-that-ran", r.UnknownThatRan, Info()),
		row("unknown-by-router", r.UnknownByRouter, Info()),
		row("unknown-by-target", r.UnknownByTarget, Info()),
		row("unknown-by-claim", r.UnknownByClaim, Info()),
		{Name: prefix + "sends", Value: float64(r.Sends), Unit: "requests", Bound: Info(), Seed: seed},
		{Name: prefix + "no-answer", Value: float64(r.NoResponse), Unit: "requests", Bound: Info(), Seed: seed},
	}
}

func parseRun(body []byte) (service.Run, error) {
	var run service.Run
	err := json.Unmarshal(body, &run)
	return run, err
}

// ServiceRuns returns the runs of all services of a fleet.
func ServiceRuns(fleet *harness.Fleet) ([]service.Run, error) {
	var all []service.Run
	for _, s := range fleet.Services {
		runs, err := s.Runs()
		if err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}
