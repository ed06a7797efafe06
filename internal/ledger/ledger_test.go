package ledger

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func options(store Store, instance ids.Instance, inc ids.Incarnation) Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Options{
		Store: store, Instance: instance, Incarnation: inc,
		Buckets: 1, WriteRate: 1e6, Logger: logrus.NewEntry(log),
	}
}

// start runs a ledger until the test ends.
func start(t *testing.T, o Options) *Ledger {
	t.Helper()
	l := New(o)
	l.commitTimeout = 300 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return l
}

func request(key string) Request {
	return Request{Workspace: "ledus", Key: key, Fingerprint: 1, RequestID: "q"}
}

func mustClaim(t *testing.T, l *Ledger, key string, want State) Result {
	t.Helper()
	r, err := l.Claim(context.Background(), request(key))
	if err != nil {
		t.Fatal(err)
	}
	if r.State != want {
		t.Fatalf("state %d, want %d", r.State, want)
	}
	return r
}

// eventually polls until f holds; the test's own timeout bounds it.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatal("never came true")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func claimState(l *Ledger, key string) State {
	r, err := l.Claim(context.Background(), request(key))
	if err != nil {
		return 0
	}
	return r.State
}

func TestRepeats(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	other := start(t, options(store, "r2", 1))

	done := mustClaim(t, l, "done", Granted)
	mustClaim(t, l, "done", InProgress)
	mustClaim(t, other, "done", InProgress)
	body := []byte(strings.Repeat("x", DefaultMaxAnswer+1))
	if err := l.Finish(ctx, done.Ref, Record{Status: 201, ContentType: "text/plain", Body: body}); err != nil {
		t.Fatal(err)
	}
	for _, at := range []*Ledger{l, other} {
		rec := mustClaim(t, at, "done", Finished).Record
		if rec.Status != 201 || len(rec.Body) != DefaultMaxAnswer || !rec.Truncated {
			t.Errorf("record of %d with %d bytes, truncated %v", rec.Status, len(rec.Body), rec.Truncated)
		}
	}

	lost := mustClaim(t, l, "lost", Granted)
	if err := l.MarkUnknown(ctx, lost.Ref); err != nil {
		t.Fatal(err)
	}
	mustClaim(t, l, "lost", Unknown)

	unused := mustClaim(t, l, "unused", Granted)
	if err := l.Release(ctx, unused.Ref); err != nil {
		t.Fatal(err)
	}
	mustClaim(t, other, "unused", Granted)

	r := request("done")
	r.Fingerprint = 2
	if got, err := l.Claim(ctx, r); err != nil || got.State != KeyReused {
		t.Errorf("%v %v for another content", got, err)
	}
}

func TestSameKeyEverywhereAtOnce(t *testing.T) {
	store := newFakeStore()
	states := make(chan State, 8*20)
	var wg conc.WaitGroup
	for i := range 8 {
		l := start(t, options(store, ids.Instance(fmt.Sprint("r", i)), 1))
		l.commitTimeout = 30 * time.Second
		for range 20 {
			wg.Go(func() { states <- claimState(l, "k") })
		}
	}
	wg.Wait()
	got := map[State]int{}
	for range 8 * 20 {
		got[<-states]++
	}
	if got[Granted] != 1 || got[InProgress] != 8*20-1 {
		t.Fatalf("states %v", got)
	}
}

func TestClaimantThatIsGone(t *testing.T) {
	store := newFakeStore()
	mustClaim(t, start(t, options(store, "r1", 1)), "k", Granted)

	again := options(store, "r1", 2)
	mustClaim(t, start(t, again), "k", Unknown)

	for _, tc := range []struct {
		name string
		inc  ids.Incarnation
		live bool
		want State
	}{
		{"live", 1, true, InProgress},
		{"restarted", 2, true, Unknown},
		{"dead", 0, false, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := options(store, "r2", 1)
			o.Live = func(ids.Instance) (ids.Incarnation, bool) { return tc.inc, tc.live }
			mustClaim(t, start(t, o), "k", tc.want)
		})
	}
}

func TestUnsureWrites(t *testing.T) {
	for name, f := range map[string]fault{"written": answerLost, "held up": heldUp} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			store.faults(first(1, f), always(none))
			l := start(t, options(store, "r1", 1))
			mustClaim(t, l, "k", Granted)
			store.arrive()
			mustClaim(t, l, "other", Granted)
			mustClaim(t, l, "k", InProgress)
		})
	}
}

// A claim that the store could not confirm is refused and never dispatched,
// also where its write arrives after all; then it is given back.
func TestLateWriteAfterRefusal(t *testing.T) {
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	store.faults(always(heldUp), always(refused))
	_, err := l.Claim(context.Background(), request("k"))
	if !errors.Is(err, ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
	store.arrive()
	store.faults(always(none), always(none))
	eventually(t, func() bool { return claimState(l, "k") == Granted })
	eventually(t, func() bool { return claimState(l, "before") == InProgress })
}

// The release of a claim whose write has not arrived must overtake it.
func TestLateWriteAfterRelease(t *testing.T) {
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	store.faults(first(1, heldUp), always(refused))
	if _, err := l.Claim(context.Background(), request("k")); err == nil {
		t.Fatal("granted")
	}
	store.faults(always(none), always(none))
	eventually(t, func() bool { // the giving back is no longer queued
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.ending == 0
	})
	store.arrive()
	mustClaim(t, start(t, options(store, "r2", 1)), "k", Granted)
}

func TestStoreDown(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	running := mustClaim(t, l, "running", Granted)
	store.faults(always(refused), always(refused))
	var refusal *Error
	for range 20 {
		_, err := l.Claim(ctx, request("k"))
		if !errors.Is(err, ErrUnavailable) || !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
			t.Fatalf("error %v", err)
		}
	}
	// The end of the running claim is recorded after the outage.
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if err := l.Finish(short, running.Ref, Record{Status: 200}); err == nil {
		t.Fatal("finished while the store was down")
	}
	if reads, writes := store.calls(); reads+writes > 20 {
		t.Errorf("%d calls of a store that is down", reads+writes)
	}
	store.faults(always(none), always(none))
	eventually(t, func() bool { return claimState(l, "running") == Finished })
	mustClaim(t, l, "k", Granted)
}

func TestCallerLeaves(t *testing.T) {
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	ctx, cancel := context.WithCancel(context.Background())
	store.mu.Lock() // the store does not answer while the caller waits
	cancel()
	_, err := l.Claim(ctx, request("k"))
	store.mu.Unlock()
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("error %v", err)
	}
	eventually(t, func() bool { return claimState(l, "k") == Granted })
}

func TestGroups(t *testing.T) {
	store := newFakeStore()
	o := options(store, "r1", 1)
	o.WriteRate = 50
	l := start(t, o)
	l.commitTimeout = 30 * time.Second
	var wg conc.WaitGroup
	for i := range 1000 {
		wg.Go(func() {
			if s := claimState(l, fmt.Sprint(i)); s != Granted {
				t.Errorf("state %d", s)
			}
		})
	}
	wg.Wait()
	if _, writes := store.calls(); writes > 100 {
		t.Errorf("%d writes for 1000 claims", writes)
	}
}

func TestFirstLayoutCounts(t *testing.T) {
	store := newFakeStore()
	o := options(store, "r1", 1)
	o.Buckets = 3
	mustClaim(t, start(t, o), "k", Granted)
	o = options(store, "r2", 1)
	o.Buckets = 64
	l := start(t, o)
	mustClaim(t, l, "k", InProgress)
	if l.count != 3 {
		t.Errorf("%d buckets", l.count)
	}
}

// A store that forgets what it has said is not believed.
func TestBucketThatVanishes(t *testing.T) {
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	mustClaim(t, l, "k", Granted)
	store.faults(always(none), always(stale))
	store.mu.Lock()
	delete(store.objects, bucketName(0))
	store.mu.Unlock()
	if s := claimState(l, "k"); s != 0 {
		t.Errorf("state %d", s)
	}
}

func TestUnreadableBucketIsKept(t *testing.T) {
	store := newFakeStore()
	bad := `{"v":9}`
	_, _ = store.apply("claims", bucketName(0), []byte(bad), platform.Condition{})
	l := start(t, options(store, "r1", 1))
	if s := claimState(l, "k"); s != 0 {
		t.Errorf("state %d", s)
	}
	if got := string(store.objects[bucketName(0)].Value); got != bad {
		t.Errorf("overwritten by %s", got)
	}
}

func TestStop(t *testing.T) {
	store := newFakeStore()
	l := New(options(store, "r1", 1))
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	r := mustClaim(t, l, "k", Granted)
	gone, leave := context.WithCancel(ctx)
	leave()
	_ = l.Finish(gone, r.Ref, Record{Status: 200})
	cancel()
	wg.Wait()
	if _, err := l.Claim(context.Background(), request("x")); !errors.Is(err, ErrStopped) {
		t.Errorf("error %v", err)
	}
	if err := l.Release(context.Background(), r.Ref); !errors.Is(err, ErrStopped) {
		t.Errorf("error %v", err)
	}
	mustClaim(t, start(t, options(store, "r2", 1)), "k", Finished)
}

// While the store does not answer, only one claim at a time waits for it.
func TestStoreThatHangs(t *testing.T) {
	store := newFakeStore()
	l := start(t, options(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	store.faults(always(refused), always(refused))
	for range 3 {
		claimState(l, "k")
	}
	eventually(t, func() bool { // the next claim is the one that finds out
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.opts.Now().Before(l.downUntil)
	})
	store.mu.Lock()
	var wg conc.WaitGroup
	wg.Go(func() { claimState(l, "probe") })
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.opts.Now().Before(l.downUntil)
	})
	for i := range 50 { // would hang if it went to the store
		if s := claimState(l, fmt.Sprint(i)); s != 0 {
			t.Errorf("state %d", s)
		}
	}
	store.mu.Unlock()
	wg.Wait()
	store.faults(always(none), always(none))
	eventually(t, func() bool { return claimState(l, "k") == Granted })
}

func TestWriteRateIsShared(t *testing.T) {
	for _, tc := range []struct {
		routers int
		want    float64
	}{{0, DefaultWriteRate}, {1, DefaultWriteRate}, {8, 50}, {1200, 1.0 / 3}} {
		l := New(Options{Store: newFakeStore(), Routers: func() int { return tc.routers }})
		if got := float64(l.writeRate()); got != tc.want {
			t.Errorf("%d routers: %v writes per second each", tc.routers, got)
		}
	}
}

// Two routers that write a bucket in turn read it first, once they have met.
func TestSharedBucketIsReadFirst(t *testing.T) {
	store := newFakeStore()
	ledgers := []*Ledger{start(t, options(store, "r1", 1)), start(t, options(store, "r2", 1))}
	const claims = 40
	for i := range claims {
		mustClaim(t, ledgers[i%2], fmt.Sprint(i), Granted)
	}
	const layoutAndFirstMeetings = 3
	if _, writes := store.calls(); writes > claims+layoutAndFirstMeetings {
		t.Errorf("%d writes for %d claims", writes, claims)
	}
}
