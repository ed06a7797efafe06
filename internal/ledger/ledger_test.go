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

func testOptions(store Store, instance ids.Instance, incarnation ids.Incarnation) Options {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return Options{
		Store: store, Instance: instance, Incarnation: incarnation,
		Buckets: 1, WritesPerSecond: 1e6, Logger: logrus.NewEntry(log),
	}
}

// startLedger starts a ledger that runs until the test ends.
func startLedger(t *testing.T, o Options) *Ledger {
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

func testRequest(key string) Request {
	return Request{Workspace: "ledus", Key: key, Fingerprint: 1, RequestID: "q"}
}

func mustClaim(t *testing.T, l *Ledger, key string, want State) Result {
	t.Helper()
	r, err := l.Claim(context.Background(), testRequest(key))
	if err != nil {
		t.Fatal(err)
	}
	if r.State != want {
		t.Fatalf("got state %d, want %d", r.State, want)
	}
	return r
}

// eventually polls until f returns true, for at most 20 s.
func eventually(t *testing.T, f func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !f() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 20 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// claimState claims the key and returns the state in the result, or 0 on error.
func claimState(l *Ledger, key string) State {
	r, err := l.Claim(context.Background(), testRequest(key))
	if err != nil {
		return 0
	}
	return r.State
}

func TestRepeatedKey(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	other := startLedger(t, testOptions(store, "r2", 1))

	done := mustClaim(t, l, "done", Granted)
	mustClaim(t, l, "done", InProgress)
	mustClaim(t, other, "done", InProgress)
	body := []byte(strings.Repeat("x", DefaultMaxResponseBytes+1))
	if err := l.Finish(ctx, done.Ref, Record{Status: 201, ContentType: "text/plain", Body: body}); err != nil {
		t.Fatal(err)
	}
	for _, at := range []*Ledger{l, other} {
		rec := mustClaim(t, at, "done", Finished).Record
		if rec.Status != 201 || len(rec.Body) != DefaultMaxResponseBytes || !rec.Truncated {
			t.Errorf("got record with status %d, %d bytes, truncated %v; want status 201 and a body cut to DefaultMaxResponseBytes", rec.Status, len(rec.Body), rec.Truncated)
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

	r := testRequest("done")
	r.Fingerprint = 2
	if got, err := l.Claim(ctx, r); err != nil || got.State != KeyReused {
		t.Errorf("claim with another fingerprint: got %v, error %v; want state KeyReused", got, err)
	}
}

func TestConcurrentClaimsOfOneKey(t *testing.T) {
	store := newFakeStore()
	states := make(chan State, 8*20)
	var wg conc.WaitGroup
	for i := range 8 {
		l := startLedger(t, testOptions(store, ids.Instance(fmt.Sprint("r", i)), 1))
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
		t.Fatalf("got states %v, want one Granted and all others InProgress", got)
	}
}

func TestRepeatAfterOwnerRestart(t *testing.T) {
	store := newFakeStore()
	mustClaim(t, startLedger(t, testOptions(store, "r1", 1)), "k", Granted)

	restarted := testOptions(store, "r1", 2)
	mustClaim(t, startLedger(t, restarted), "k", Unknown)

	for _, tc := range []struct {
		name        string
		incarnation ids.Incarnation
		live        bool
		want        State
	}{
		{"live", 1, true, InProgress},
		{"restarted", 2, true, Unknown},
		{"not live", 0, false, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := testOptions(store, "r2", 1)
			o.LiveIncarnation = func(ids.Instance) (ids.Incarnation, bool) { return tc.incarnation, tc.live }
			mustClaim(t, startLedger(t, o), "k", tc.want)
		})
	}
}

func TestUnconfirmedWrites(t *testing.T) {
	for name, f := range map[string]fault{"written": responseLost, "not written yet": delayed} {
		t.Run(name, func(t *testing.T) {
			store := newFakeStore()
			store.setFaults(firstFaults(1, f), alwaysFault(noFault))
			l := startLedger(t, testOptions(store, "r1", 1))
			mustClaim(t, l, "k", Granted)
			store.applyDelayed()
			mustClaim(t, l, "other", Granted)
			mustClaim(t, l, "k", InProgress)
		})
	}
}

// A claim whose write is not confirmed is refused. If the store applies the write
// later, the claim must be released, or its key would stay held without a request.
func TestDelayedWriteAfterRefusal(t *testing.T) {
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	store.setFaults(alwaysFault(delayed), alwaysFault(refused))
	_, err := l.Claim(context.Background(), testRequest("k"))
	if !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got error %v, want ErrUnavailable", err)
	}
	store.applyDelayed()
	store.setFaults(alwaysFault(noFault), alwaysFault(noFault))
	eventually(t, func() bool { return claimState(l, "k") == Granted })
	eventually(t, func() bool { return claimState(l, "before") == InProgress })
}

// The release of a refused claim is written although the claim is not in the
// bucket yet. Otherwise the delayed write of the claim would be applied after the
// release, and the key would stay held without a request.
func TestDelayedWriteAfterRelease(t *testing.T) {
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	store.setFaults(firstFaults(1, delayed), alwaysFault(refused))
	if _, err := l.Claim(context.Background(), testRequest("k")); err == nil {
		t.Fatal("claim was granted without a confirmed write")
	}
	store.setFaults(alwaysFault(noFault), alwaysFault(noFault))
	eventually(t, func() bool { // the release is durable
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.pendingEnds == 0
	})
	store.applyDelayed()
	mustClaim(t, startLedger(t, testOptions(store, "r2", 1)), "k", Granted)
}

func TestStoreUnavailable(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	running := mustClaim(t, l, "running", Granted)
	store.setFaults(alwaysFault(refused), alwaysFault(refused))
	var refusal *Error
	for range 20 {
		_, err := l.Claim(ctx, testRequest("k"))
		if !errors.Is(err, ErrUnavailable) || !errors.As(err, &refusal) || refusal.RetryAfter <= 0 {
			t.Fatalf("got error %v, want ErrUnavailable with a RetryAfter", err)
		}
	}
	// The end of the running claim is recorded after the outage.
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if err := l.Finish(short, running.Ref, Record{Status: 200}); err == nil {
		t.Fatal("Finish succeeded while the store was unavailable")
	}
	if reads, writes := store.callCounts(); reads+writes > 20 {
		t.Errorf("%d calls of an unavailable store, want at most 20", reads+writes)
	}
	store.setFaults(alwaysFault(noFault), alwaysFault(noFault))
	eventually(t, func() bool { return claimState(l, "running") == Finished })
	mustClaim(t, l, "k", Granted)
}

func TestCallerCancels(t *testing.T) {
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	ctx, cancel := context.WithCancel(context.Background())
	store.mu.Lock() // the store does not respond during the claim
	cancel()
	_, err := l.Claim(ctx, testRequest("k"))
	store.mu.Unlock()
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want context.Canceled", err)
	}
	eventually(t, func() bool { return claimState(l, "k") == Granted })
}

func TestClaimsAreBatched(t *testing.T) {
	store := newFakeStore()
	o := testOptions(store, "r1", 1)
	o.WritesPerSecond = 50
	l := startLedger(t, o)
	l.commitTimeout = 30 * time.Second
	var wg conc.WaitGroup
	for i := range 1000 {
		wg.Go(func() {
			if s := claimState(l, fmt.Sprint(i)); s != Granted {
				t.Errorf("got state %d, want Granted", s)
			}
		})
	}
	wg.Wait()
	if _, writes := store.callCounts(); writes > 100 {
		t.Errorf("%d writes for 1000 claims, want at most 100", writes)
	}
}

func TestFirstLayoutApplies(t *testing.T) {
	store := newFakeStore()
	o := testOptions(store, "r1", 1)
	o.Buckets = 3
	mustClaim(t, startLedger(t, o), "k", Granted)
	o = testOptions(store, "r2", 1)
	o.Buckets = 64
	l := startLedger(t, o)
	mustClaim(t, l, "k", InProgress)
	if l.fleetBuckets != 3 {
		t.Errorf("got %d buckets, want 3", l.fleetBuckets)
	}
}

// If the store no longer returns a bucket that this router has written, the claim
// is refused. Starting an empty bucket would grant the key again.
func TestMissingBucketIsNotRecreated(t *testing.T) {
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	mustClaim(t, l, "k", Granted)
	store.setFaults(alwaysFault(noFault), alwaysFault(stale))
	store.mu.Lock()
	delete(store.objects, bucketName(0))
	store.mu.Unlock()
	if s := claimState(l, "k"); s != 0 {
		t.Errorf("got state %d, want an error", s)
	}
}

func TestUndecodableBucketIsNotOverwritten(t *testing.T) {
	store := newFakeStore()
	unsupported := `{"v":9}`
	_, _ = store.apply("claims", bucketName(0), []byte(unsupported), platform.Condition{})
	l := startLedger(t, testOptions(store, "r1", 1))
	if s := claimState(l, "k"); s != 0 {
		t.Errorf("got state %d, want an error", s)
	}
	if got := string(store.objects[bucketName(0)].Value); got != unsupported {
		t.Errorf("bucket was overwritten by %s", got)
	}
}

func TestStopRecordsEnds(t *testing.T) {
	store := newFakeStore()
	l := New(testOptions(store, "r1", 1))
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { _ = l.Run(ctx) })
	r := mustClaim(t, l, "k", Granted)
	canceled, cancelFinish := context.WithCancel(ctx)
	cancelFinish()
	_ = l.Finish(canceled, r.Ref, Record{Status: 200})
	cancel()
	wg.Wait()
	if _, err := l.Claim(context.Background(), testRequest("x")); !errors.Is(err, ErrStopped) {
		t.Errorf("Claim after stop: got error %v, want ErrStopped", err)
	}
	if err := l.Release(context.Background(), r.Ref); !errors.Is(err, ErrStopped) {
		t.Errorf("Release after stop: got error %v, want ErrStopped", err)
	}
	mustClaim(t, startLedger(t, testOptions(store, "r2", 1)), "k", Finished)
}

// While the store does not respond, only one claim at a time probes it and all
// others are refused at once. Otherwise every request would wait for the time-out.
func TestOneProbeWhileStoreHangs(t *testing.T) {
	store := newFakeStore()
	l := startLedger(t, testOptions(store, "r1", 1))
	mustClaim(t, l, "before", Granted)
	store.setFaults(alwaysFault(refused), alwaysFault(refused))
	for range 3 {
		claimState(l, "k")
	}
	eventually(t, func() bool { // the next claim probes the store
		l.mu.Lock()
		defer l.mu.Unlock()
		return !l.opts.Now().Before(l.breakerOpenUntil)
	})
	store.mu.Lock()
	var wg conc.WaitGroup
	wg.Go(func() { claimState(l, "probe") })
	eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.opts.Now().Before(l.breakerOpenUntil)
	})
	for i := range 50 { // a claim that called the store would hang
		if s := claimState(l, fmt.Sprint(i)); s != 0 {
			t.Errorf("got state %d, want an error", s)
		}
	}
	store.mu.Unlock()
	wg.Wait()
	store.setFaults(alwaysFault(noFault), alwaysFault(noFault))
	eventually(t, func() bool { return claimState(l, "k") == Granted })
}

func TestWriteRateIsShared(t *testing.T) {
	for _, tc := range []struct {
		routers int
		want    float64
	}{{0, DefaultWritesPerSecond}, {1, DefaultWritesPerSecond}, {8, 50}, {1200, 1.0 / 3}} {
		l := New(Options{Store: newFakeStore(), RouterCount: func() int { return tc.routers }})
		if got := float64(l.writeRate()); got != tc.want {
			t.Errorf("%d routers: got %v writes per second each", tc.routers, got)
		}
	}
}

// Two routers that write a bucket alternately read it before each write once they
// have had a conflict. Without that, every write would fail once and be repeated.
func TestSharedBucketIsReadFirst(t *testing.T) {
	store := newFakeStore()
	ledgers := []*Ledger{startLedger(t, testOptions(store, "r1", 1)), startLedger(t, testOptions(store, "r2", 1))}
	const claims = 40
	for i := range claims {
		mustClaim(t, ledgers[i%2], fmt.Sprint(i), Granted)
	}
	const layoutAndFirstConflicts = 3
	if _, writes := store.callCounts(); writes > claims+layoutAndFirstConflicts {
		t.Errorf("%d writes for %d claims, want at most 3 more", writes, claims)
	}
}
