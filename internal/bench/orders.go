package bench

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/standin/service"
)

const (
	// OrdersWorkspace is the workspace that sends the orders.
	OrdersWorkspace = "ledus"
	// OrdersService is the plain service that runs the orders.
	OrdersService = "orders"

	soakOrderCount = 10_000
	ordersCallers  = 48
	ordersTimeout  = 15 * time.Second
	maxOrderRunMS  = 60
	// maxSendsPerOrder bounds the sends of one order.
	maxSendsPerOrder = 8
	// maxResendDelay is the longest Retry-After that is honoured between two
	// sends of an order.
	maxResendDelay = 500 * time.Millisecond
	// One of keylessOneIn orders has no idempotency key and is therefore sent
	// only once.
	keylessOneIn = 8
	// One of resendOneIn finished orders is sent again.
	resendOneIn = 4
)

// OrdersFleet describes the fleet for RunOrders: eight routers in two failure
// domains with relays on all links.
func OrdersFleet() harness.Spec {
	domain := func(name string) harness.Domain {
		return harness.Domain{
			Name:     name,
			Routers:  4,
			Services: harness.Repeat(2, harness.Service{Name: OrdersService, Concurrency: 16}),
		}
	}
	return harness.Spec{
		UseRelays:    true,
		Domains:      []harness.Domain{domain("a"), domain("b")},
		EditSettings: OrdersSettings,
	}
}

// OrdersSettings shortens a router's timeouts, so that the injected faults last
// longer than them.
func OrdersSettings(s *settings.Settings) {
	s.Peer.HeartbeatMS = 200
	s.Peer.TimeoutMS = 1000
	s.Platform.TimeoutMS = 500
	s.Ledger.Buckets = 16
	s.Targets.ServiceStallMS = 3000
	s.Targets.DialMS = 500
	s.StopSeconds = 5
}

// SendResult is the result of one send of an order as the caller sees it.
type SendResult int

const (
	// ResultNoResponse means that the connection broke before the whole response
	// had arrived.
	ResultNoResponse SendResult = iota
	// ResultNotRun is a refusal which states that the request did not run.
	ResultNotRun
	// ResultUnknown is a refusal which states that the request may have run.
	ResultUnknown
	// ResultDone is the target's response, or a refusal which states that the
	// request ran.
	ResultDone
)

// Order is one order with the results of all its sends.
type Order struct {
	// Key is the idempotency key. It is empty for an order that is sent once.
	Key  string
	Body []byte
	// Service is the service that runs the order; OrdersService where empty.
	Service string
	// Path at the service, with its query.
	Path    string
	Results []SendResult
	// FirstSendTime is the duration of the first send.
	FirstSendTime time.Duration
	// HasWrongResponse is set where a response was that of another order.
	HasWrongResponse bool
	// Codes holds one entry for each result: the code of a refusal, or empty for
	// any other result.
	Codes []outcome.Code
}

// OrderCollector collects the orders of a run. It is safe for concurrent use.
type OrderCollector struct {
	mu     sync.Mutex
	orders []*Order
}

func (c *OrderCollector) add(o *Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
}

// Send sends an order once and records the result. It returns the result and the
// delay from the response's Retry-After header.
func (o *Order) Send(ctx context.Context, c *harness.Caller) (SendResult, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	resp := c.Call(ctx, http.MethodPost, cmp.Or(o.Service, OrdersService), cmp.Or(o.Path, "/"), o.Key, o.Body)
	if len(o.Results) == 0 {
		o.FirstSendTime = resp.TotalTime
	}
	result := o.classify(resp)
	o.Results = append(o.Results, result)
	if resp.Refusal == nil {
		o.Codes = append(o.Codes, "")
		return result, 0
	}
	o.Codes = append(o.Codes, resp.Refusal.Code)
	return result, retryAfter(resp)
}

// retryAfter returns the delay from a response's Retry-After header, 0 without
// one.
func retryAfter(resp harness.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (o *Order) classify(resp harness.Response) SendResult {
	if resp.Err != nil || resp.Status == 0 {
		return ResultNoResponse
	}
	out := resp.Outcome()
	if resp.Refusal != nil {
		out = resp.Refusal.Outcome
	}
	switch {
	case out == outcome.NotRun:
		return ResultNotRun
	case out == outcome.Unknown:
		return ResultUnknown
	case resp.Status == http.StatusOK && !o.isOwnResponse(resp):
		o.HasWrongResponse = true
	}
	return ResultDone
}

// isOwnResponse reports whether a response is the record of this order's run.
func (o *Order) isOwnResponse(resp harness.Response) bool {
	run, err := parseRun(resp.Body)
	return err == nil && run.IdempotencyKey == o.Key && run.BodyHash == service.BodyHash(o.Body)
}

// OrdersRun describes a run of orders.
type OrdersRun struct {
	Seed uint64
	// MinOrders is the least number of orders that are sent.
	MinOrders int
	// NotBefore is the earliest end of the run.
	NotBefore time.Time
	// NewCaller returns a caller of the nth router, with n below EntryRouters.
	NewCaller    func(n int) *harness.Caller
	EntryRouters int
}

// Do sends the orders and returns all of them.
func (r OrdersRun) Do(ctx context.Context) []*Order {
	collector := &OrderCollector{}
	var started atomic.Int64
	p := pool.New()
	for i := range ordersCallers {
		p.Go(func() { r.runCaller(ctx, i, &started, collector) })
	}
	p.Wait()
	return collector.orders
}

func (r OrdersRun) runCaller(ctx context.Context, i int, started *atomic.Int64, collector *OrderCollector) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(i)))
	callers := make([]*harness.Caller, r.EntryRouters)
	for n := range callers {
		callers[n] = r.NewCaller(n)
		defer callers[n].Close()
	}
	for ctx.Err() == nil {
		n := started.Add(1)
		if n > int64(r.MinOrders) && time.Now().After(r.NotBefore) {
			return
		}
		o := &Order{Body: fmt.Appendf(nil, `{"order":%d,"seed":%d}`, n, r.Seed)}
		if rng.IntN(keylessOneIn) > 0 {
			o.Key = fmt.Sprintf("order-%d-%d", r.Seed, n)
		}
		r.sendUntilDone(ctx, o, callers, rng)
		collector.add(o)
	}
}

// sendUntilDone sends an order until it is done, repeating sends that may be
// repeated.
func (r OrdersRun) sendUntilDone(ctx context.Context, o *Order, callers []*harness.Caller, rng *rand.Rand) {
	o.Path = fmt.Sprintf("/orders?run_ms=%d", rng.IntN(maxOrderRunMS))
	unknowns := 0
	for range maxSendsPerOrder {
		result, retryDelay := o.Send(ctx, callers[rng.IntN(len(callers))])
		switch {
		case o.Key == "":
			return
		case result == ResultDone && rng.IntN(resendOneIn) > 0:
			return
		case result == ResultNoResponse || result == ResultUnknown:
			unknowns++
		}
		if unknowns > 2 || !pause(ctx, min(retryDelay, maxResendDelay)+rand.N(maxResendDelay/4)) {
			return
		}
	}
}
