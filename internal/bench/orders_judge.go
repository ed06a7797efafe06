package bench

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/service"
)

// OrdersResult compares what callers were told with what the services ran.
type OrdersResult struct {
	Orders int
	Sends  int
	// RanMoreThanOnce orders ran more than once.
	RanMoreThanOnce int
	// FalseNotRun orders ran although each send was told "not run".
	FalseNotRun int
	// FalseDone orders did not run although a send was told "done".
	FalseDone int
	// WrongAnswer orders got the answer of another one.
	WrongAnswer int
	// Done, NotRun and Unknown are the orders by what their callers know.
	Done, NotRun, Unknown int
	// UnknownThatRan of the unknown orders did run.
	UnknownThatRan int
	// The unknown orders by what first left their callers unsure: the router
	// gave no answer, the target gave none, or a claim stood that nobody
	// could settle any more.
	UnknownByRouter, UnknownByTarget, UnknownByClaim int
	// NoResponse are the sends whose connection broke.
	NoResponse int
	// Codes counts the refusals.
	Codes map[outcome.Code]int
	// Examples describe the first faulty orders.
	Examples []string
}

// maxExamples bounds the faulty orders that are described.
const maxExamples = 5

// CheckOrders compares orders with the services' runs.
func CheckOrders(orders []*Order, runs []service.Run) OrdersResult {
	ran := map[string]int{}
	for _, run := range runs {
		ran[run.BodyHash]++
	}
	r := OrdersResult{Orders: len(orders), Codes: map[outcome.Code]int{}}
	for _, o := range orders {
		r.add(o, ran[service.BodyHash(o.Body)])
	}
	return r
}

func (r *OrdersResult) add(o *Order, ran int) {
	said := map[SendResult]int{}
	for _, s := range o.Results {
		said[s]++
	}
	r.Sends += len(o.Results)
	r.NoResponse += said[ResultNoResponse]
	for _, code := range o.Codes {
		if code != "" {
			r.Codes[code]++
		}
	}
	notRun := said[ResultNotRun] == len(o.Results)
	switch {
	case said[ResultDone] > 0:
		r.Done++
	case notRun:
		r.NotRun++
	default:
		r.Unknown++
		r.UnknownThatRan += min(ran, 1)
		r.countUnknownCause(o)
	}
	r.countViolation(&r.RanMoreThanOnce, ran > 1, "doubled", o, ran)
	r.countViolation(&r.FalseNotRun, notRun && ran > 0, "false not-run", o, ran)
	r.countViolation(&r.FalseDone, said[ResultDone] > 0 && ran == 0, "false done", o, ran)
	r.countViolation(&r.WrongAnswer, o.HasWrongAnswer, "wrong answer", o, ran)
}

// countUnknownCause counts what first left the caller of an unknown order unsure.
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

func (r *OrdersResult) countViolation(count *int, is bool, what string, o *Order, ran int) {
	if !is {
		return
	}
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples,
			fmt.Sprintf("%s: key %q body %s ran %d said %v codes %v", what, o.Key, o.Body, ran, o.Results, o.Codes))
	}
}

// Rows returns the figures.
func (r OrdersResult) Rows(prefix string, seed uint64) []Row {
	row := func(name string, value int, bound Bound) Row {
		return Row{Name: prefix + name, Value: float64(value), Unit: "orders", Bound: bound, Seed: seed}
	}
	return []Row{
		row("orders", r.Orders, Info()),
		row("doubled", r.RanMoreThanOnce, Exactly(0)),
		row("false-not-run", r.FalseNotRun, Exactly(0)),
		row("false-done", r.FalseDone, Exactly(0)),
		row("wrong-answer", r.WrongAnswer, Exactly(0)),
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
