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

	ordersSoak    = 10_000
	ordersCallers = 48
	ordersTimeout = 15 * time.Second
	ordersMaxRun  = 60 // ms
	// ordersSends bounds the sends of one order.
	ordersSends = 8
	// ordersPause is the longest pause between two sends of an order.
	ordersPause = 500 * time.Millisecond
	// keylessOneIn orders are sent without a key, and so once only.
	keylessOneIn = 8
	// againOneIn finished orders are sent again.
	againOneIn = 4
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
		Links:    true,
		Domains:  []harness.Domain{domain("a"), domain("b")},
		Settings: OrdersSettings,
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

// Said is what a caller was told about one send of an order.
type Said int

// The things said.
const (
	// NoAnswer: the connection broke.
	NoAnswer Said = iota
	// SaidNotRun: a refusal that says that the request did not run.
	SaidNotRun
	// SaidUnknown: a refusal that says that it may have run.
	SaidUnknown
	// SaidDone: the target's answer, or a refusal that says that it ran.
	SaidDone
)

// Order is one order with all that was said about it.
type Order struct {
	// Key is empty for an order that is sent once.
	Key  string
	Body []byte
	// Service that runs it; OrdersService where empty.
	Service string
	// Path at the service, with its query.
	Path string
	Said []Said
	// Took is the time that the first send took.
	Took time.Duration
	// Wrong is set where an answer was that of another order.
	Wrong bool
	// Codes of the refusals, one for each thing said; empty for an answer.
	Codes []outcome.Code
}

// OrdersBook collects the orders of a run.
type OrdersBook struct {
	mu     sync.Mutex
	orders []*Order
}

func (b *OrdersBook) add(o *Order) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, o)
}

// Send sends an order once and notes what was said.
func (o *Order) Send(ctx context.Context, c *harness.Caller) (Said, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, ordersTimeout)
	defer cancel()
	a := c.Call(ctx, http.MethodPost, cmp.Or(o.Service, OrdersService), cmp.Or(o.Path, "/"), o.Key, o.Body)
	if len(o.Said) == 0 {
		o.Took = a.Total
	}
	said := o.judge(a)
	o.Said = append(o.Said, said)
	if a.Refusal == nil {
		o.Codes = append(o.Codes, "")
		return said, 0
	}
	o.Codes = append(o.Codes, a.Refusal.Code)
	return said, retryAfter(a)
}

// retryAfter returns when an answer asks its caller to come back.
func retryAfter(a harness.Answer) time.Duration {
	seconds, err := strconv.Atoi(a.Header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (o *Order) judge(a harness.Answer) Said {
	if a.Err != nil || a.Status == 0 {
		return NoAnswer
	}
	out := a.Outcome()
	if a.Refusal != nil {
		out = a.Refusal.Outcome
	}
	switch {
	case out == outcome.NotRun:
		return SaidNotRun
	case out == outcome.Unknown:
		return SaidUnknown
	case a.Status == http.StatusOK && !o.ownAnswer(a):
		o.Wrong = true
	}
	return SaidDone
}

// ownAnswer tells whether an answer is the record of this order's run.
func (o *Order) ownAnswer(a harness.Answer) bool {
	run, err := parseRun(a.Body)
	return err == nil && run.IdempotencyKey == o.Key && run.BodyHash == service.BodyHash(o.Body)
}

// OrdersRun is a run of orders.
type OrdersRun struct {
	Seed uint64
	// Orders is the least number of orders.
	Orders int
	// Until is the earliest end.
	Until time.Time
	// Entry returns a caller of the nth entry.
	Entry   func(n int) *harness.Caller
	Entries int
}

// Do sends the orders and returns them all.
func (r OrdersRun) Do(ctx context.Context) []*Order {
	book := &OrdersBook{}
	var started atomic.Int64
	p := pool.New()
	for i := range ordersCallers {
		p.Go(func() { r.caller(ctx, i, &started, book) })
	}
	p.Wait()
	return book.orders
}

func (r OrdersRun) caller(ctx context.Context, i int, started *atomic.Int64, book *OrdersBook) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(i)))
	entries := make([]*harness.Caller, r.Entries)
	for n := range entries {
		entries[n] = r.Entry(n)
		defer entries[n].Close()
	}
	for ctx.Err() == nil {
		n := started.Add(1)
		if n > int64(r.Orders) && time.Now().After(r.Until) {
			return
		}
		o := &Order{Body: fmt.Appendf(nil, `{"order":%d,"seed":%d}`, n, r.Seed)}
		if rng.IntN(keylessOneIn) > 0 {
			o.Key = fmt.Sprintf("order-%d-%d", r.Seed, n)
		}
		r.place(ctx, o, entries, rng)
		book.add(o)
	}
}

// place sends an order until it is done, repeating what may be repeated.
func (r OrdersRun) place(ctx context.Context, o *Order, entries []*harness.Caller, rng *rand.Rand) {
	o.Path = fmt.Sprintf("/orders?run_ms=%d", rng.IntN(ordersMaxRun))
	unsure := 0
	for range ordersSends {
		said, after := o.Send(ctx, entries[rng.IntN(len(entries))])
		switch {
		case o.Key == "":
			return
		case said == SaidDone && rng.IntN(againOneIn) > 0:
			return
		case said == NoAnswer || said == SaidUnknown:
			unsure++
		}
		if unsure > 2 || !pause(ctx, min(after, ordersPause)+rand.N(ordersPause/4)) {
			return
		}
	}
}
