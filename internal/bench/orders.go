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
	// OrdersWorkspace is the workspace of the orders.
	OrdersWorkspace = "ledus"
	// OrdersService is the plain service that runs them.
	OrdersService = "orders"

	soakOrderCount = 10_000
	ordersCallers  = 48
	ordersTimeout  = 15 * time.Second
	maxOrderRunMS  = 60 // ms
	// maxSendsPerOrder bounds the sends of one order.
	maxSendsPerOrder = 8
	// maxResendDelay is the longest pause between two sends of an order.
	maxResendDelay = 500 * time.Millisecond
	// keylessOneIn orders are sent without a key, and so once only.
	keylessOneIn = 8
	// resendOneIn finished orders are sent again.
	resendOneIn = 4
)

// OrdersFleet describes the fleet of Orders: eight routers in two failure
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

// OrdersSettings shortens a router's timeouts, so that faults outlast them.
func OrdersSettings(s *settings.Settings) {
	s.Peer.HeartbeatMS = 200
	s.Peer.TimeoutMS = 1000
	s.Platform.TimeoutMS = 500
	s.Ledger.Buckets = 16
	s.Targets.ServiceStallMS = 3000
	s.Targets.DialMS = 500
	s.StopSeconds = 5
}

// SendResult is what a caller was told about one send of an order.
type SendResult int

// The things said.
const (
	// ResultNoResponse: the connection broke.
	ResultNoResponse SendResult = iota
	// ResultNotRun: a refusal that says that the request did not run.
	ResultNotRun
	// ResultUnknown: a refusal that says that it may have run.
	ResultUnknown
	// ResultDone: the target's answer, or a refusal that says that it ran.
	ResultDone
)

// Order is one order with all that was said about it.
type Order struct {
	// Key is empty for an order that is sent once.
	Key  string
	Body []byte
	// Service that runs it; OrdersService where empty.
	Service string
	// Path at the service, with its query.
	Path    string
	Results []SendResult
	// FirstSendTime is the time that the first send took.
	FirstSendTime time.Duration
	// HasWrongAnswer is set where an answer was that of another order.
	HasWrongAnswer bool
	// Codes of the refusals, one for each thing said; empty for an answer.
	Codes []outcome.Code
}

// OrderCollector collects the orders of a run.
type OrderCollector struct {
	mu     sync.Mutex
	orders []*Order
}

func (b *OrderCollector) add(o *Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, o)
}

// Send sends an order once and notes what was said.
func (o *Order) Send(ctx context.Context, c *harness.Caller) (SendResult, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	a := c.Call(ctx, http.MethodPost, cmp.Or(o.Service, OrdersService), cmp.Or(o.Path, "/"), o.Key, o.Body)
	if len(o.Results) == 0 {
		o.FirstSendTime = a.TotalTime
	}
	said := o.classify(a)
	o.Results = append(o.Results, said)
	if a.Refusal == nil {
		o.Codes = append(o.Codes, "")
		return said, 0
	}
	o.Codes = append(o.Codes, a.Refusal.Code)
	return said, retryAfter(a)
}

// retryAfter returns when an answer asks its caller to come back.
func retryAfter(a harness.Response) time.Duration {
	seconds, err := strconv.Atoi(a.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (o *Order) classify(a harness.Response) SendResult {
	if a.Err != nil || a.Status == 0 {
		return ResultNoResponse
	}
	out := a.Outcome()
	if a.Refusal != nil {
		out = a.Refusal.Outcome
	}
	switch {
	case out == outcome.NotRun:
		return ResultNotRun
	case out == outcome.Unknown:
		return ResultUnknown
	case a.Status == http.StatusOK && !o.isOwnResponse(a):
		o.HasWrongAnswer = true
	}
	return ResultDone
}

// isOwnResponse tells whether an answer is the record of this order's run.
func (o *Order) isOwnResponse(a harness.Response) bool {
	run, err := parseRun(a.Body)
	return err == nil && run.IdempotencyKey == o.Key && run.BodyHash == service.BodyHash(o.Body)
}

// OrdersRun is a run of orders.
type OrdersRun struct {
	Seed uint64
	// MinOrders is the least number of orders.
	MinOrders int
	// NotBefore is the earliest end.
	NotBefore time.Time
	// NewCaller returns a caller of the nth entry.
	NewCaller    func(n int) *harness.Caller
	EntryRouters int
}

// Do sends the orders and returns them all.
func (r OrdersRun) Do(ctx context.Context) []*Order {
	book := &OrderCollector{}
	var started atomic.Int64
	p := pool.New()
	for i := range ordersCallers {
		p.Go(func() { r.runCaller(ctx, i, &started, book) })
	}
	p.Wait()
	return book.orders
}

func (r OrdersRun) runCaller(ctx context.Context, i int, started *atomic.Int64, book *OrderCollector) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(i)))
	entries := make([]*harness.Caller, r.EntryRouters)
	for n := range entries {
		entries[n] = r.NewCaller(n)
		defer entries[n].Close()
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
		r.sendUntilDone(ctx, o, entries, rng)
		book.add(o)
	}
}

// sendUntilDone sends an order until it is done, repeating what may be repeated.
func (r OrdersRun) sendUntilDone(ctx context.Context, o *Order, entries []*harness.Caller, rng *rand.Rand) {
	o.Path = fmt.Sprintf("/orders?run_ms=%d", rng.IntN(maxOrderRunMS))
	unsure := 0
	for range maxSendsPerOrder {
		said, after := o.Send(ctx, entries[rng.IntN(len(entries))])
		switch {
		case o.Key == "":
			return
		case said == ResultDone && rng.IntN(resendOneIn) > 0:
			return
		case said == ResultNoResponse || said == ResultUnknown:
			unsure++
		}
		if unsure > 2 || !pause(ctx, min(after, maxResendDelay)+rand.N(maxResendDelay/4)) {
			return
		}
	}
}
