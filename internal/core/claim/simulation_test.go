package claim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/ids"
)

// chooseFunc returns a number from 0 to n-1, drawn by rapid or by a seeded
// generator.
type chooseFunc func(n int) int

// fault disables one rule of the protocol, to show that the oracle detects it.
type fault int

const (
	noFault fault = iota
	// unconditionalWrite writes the bucket regardless of its stored version.
	unconditionalWrite
	// dispatchUnconfirmed dispatches after a write without a response, without
	// reading the bucket back.
	dispatchUnconfirmed
	// unboundedDispatchDelay dispatches a claim however old it is.
	unboundedDispatchDelay
	// singleClockExpiry expires claims by the writer's clock alone.
	singleClockExpiry
	// releaseAfterDispatch releases claims that have been dispatched.
	releaseAfterDispatch
)

// delayedWrite is a write that the store has not applied yet. The store applies
// it only if the bucket still has the version conditionVersion.
type delayedWrite struct {
	raw              []byte
	conditionVersion int
}

// unconfirmedClaim is a claim whose write was sent but got no response.
type unconfirmedClaim struct {
	key       string
	id        ID
	claimedAt time.Time
}

// maxDispatchDelay bounds the time between a claim and its dispatch; it must be
// well below ClockSkewMargin.
const maxDispatchDelay = time.Minute

// simRouter is a router whose clock differs from the true time by clockSkew.
type simRouter struct {
	name        ids.Instance
	incarnation ids.Incarnation
	clockSkew   time.Duration
	seq         uint64
	unconfirmed []unconfirmedClaim
	dispatched  map[string]ID
}

// simulation runs routers against a store that loses and delays writes.
// dispatchTimes is its oracle: the true times at which each key was dispatched.
type simulation struct {
	choose        chooseFunc
	fault         fault
	now           time.Time
	raw           []byte
	version       int
	delayed       []delayedWrite
	routers       []*simRouter
	dispatchTimes map[string][]time.Time
}

func newSimulation(choose chooseFunc, f fault) *simulation {
	s := &simulation{choose: choose, fault: f, now: claimTime, dispatchTimes: map[string][]time.Time{}}
	for i := range 4 {
		clockSkew := time.Duration(choose(int(ClockSkewMargin/time.Second))-int(ClockSkewMargin/time.Second)/2) * time.Second
		if i == 3 && choose(2) == 0 {
			clockSkew = 1000 * time.Hour // at most one clock is far ahead
		}
		r := &simRouter{name: ids.Instance(fmt.Sprintf("r%d", i)), clockSkew: clockSkew, dispatched: map[string]ID{}}
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *simulation) runSteps(n int) error {
	for range n {
		if err := s.runStep(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) runStep() error {
	r := s.routers[s.choose(len(s.routers))]
	switch s.choose(10) {
	case 0:
		s.now = s.now.Add(time.Duration(s.choose(int(testWindow/time.Minute))) * time.Minute)
	case 1:
		return s.applyDelayedWrite()
	case 2:
		*r = simRouter{name: r.name, incarnation: r.incarnation + 1, clockSkew: r.clockSkew, dispatched: map[string]ID{}}
	case 3, 4:
		return s.resolveUnconfirmed(r)
	case 5:
		return s.endClaim(r)
	default:
		return s.startClaim(r, fmt.Sprint("k", s.choose(3)))
	}
	return nil
}

func (s *simulation) read() (*Bucket, error) {
	if s.version == 0 {
		return NewBucket(), nil
	}
	return Decode(s.raw)
}

func (s *simulation) writer(r *simRouter) Writer {
	return Writer{Instance: r.name, Now: s.now.Add(r.clockSkew), Window: testWindow}
}

func (s *simulation) startClaim(r *simRouter, key string) error {
	for _, u := range r.unconfirmed {
		if u.key == key {
			return nil // an earlier claim of the key is still unconfirmed
		}
	}
	r.seq++
	id := ID{Owner: Owner{Instance: r.name, Incarnation: r.incarnation}, Seq: r.seq}
	return s.grant(r, unconfirmedClaim{key: key, id: id, claimedAt: s.now})
}

// grant applies a claim and writes the bucket with a random outcome: delayed or
// lost, written without a response, or written.
func (s *simulation) grant(r *simRouter, u unconfirmedClaim) error {
	b, err := s.read()
	if err != nil {
		return err
	}
	if s.fault == singleClockExpiry {
		expireBySingleClock(b, s.now.Add(r.clockSkew))
	}
	results, changed := b.Apply(s.writer(r), []Op{testGrant(u.key, u.id)})
	if results[0].Verdict != Applied {
		return nil
	}
	if !changed {
		return s.dispatch(r, u)
	}
	raw, err := b.Encode()
	if err != nil {
		return err
	}
	w := delayedWrite{raw: raw, conditionVersion: s.version}
	switch s.choose(4) {
	case 0: // lost or delayed
		s.delayed = append(s.delayed, w)
	case 1: // written, but the response is lost
		s.put(w)
	default:
		s.put(w)
		return s.dispatch(r, u)
	}
	if s.fault == dispatchUnconfirmed {
		return s.dispatch(r, u)
	}
	r.unconfirmed = append(r.unconfirmed, u)
	return nil
}

// expireBySingleClock removes the claims that have expired by a single clock.
func expireBySingleClock(b *Bucket, now time.Time) {
	for _, e := range b.entries {
		if now.Sub(time.UnixMilli(e.ClaimedAtMS)) > testWindow+ClockSkewMargin {
			b.remove(e)
		}
	}
}

func (s *simulation) put(w delayedWrite) bool {
	if w.conditionVersion != s.version && s.fault != unconditionalWrite {
		return false
	}
	s.raw, s.version = w.raw, s.version+1
	return true
}

func (s *simulation) applyDelayedWrite() error {
	if len(s.delayed) == 0 {
		return nil
	}
	i := s.choose(len(s.delayed))
	s.put(s.delayed[i])
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
	return nil
}

// resolveUnconfirmed resolves one unconfirmed claim as the ledger does: it tries
// the same claim again or releases it.
func (s *simulation) resolveUnconfirmed(r *simRouter) error {
	if len(r.unconfirmed) == 0 {
		return nil
	}
	u := r.unconfirmed[0]
	canDispatch := s.now.Sub(u.claimedAt) < maxDispatchDelay || s.fault == unboundedDispatchDelay
	if canDispatch && s.choose(2) == 0 {
		r.unconfirmed = r.unconfirmed[1:]
		return s.grant(r, u)
	}
	return s.writeEndOfClaim(r, Release{Key: KeyOf("ledus", u.key), ID: u.id}, func() {
		r.unconfirmed = r.unconfirmed[1:]
	})
}

// writeEndOfClaim applies an operation that ends a claim and calls onWritten once
// the store has responded. The bucket is written even if the operation changes
// nothing, so that delayed writes fail on the new version.
func (s *simulation) writeEndOfClaim(r *simRouter, op Op, onWritten func()) error {
	b, err := s.read()
	if err != nil {
		return err
	}
	b.Apply(s.writer(r), []Op{op})
	raw, err := b.Encode()
	if err != nil {
		return err
	}
	w := delayedWrite{raw: raw, conditionVersion: s.version}
	if s.choose(4) == 0 {
		s.delayed = append(s.delayed, w)
		return nil
	}
	s.put(w)
	onWritten()
	return nil
}

func (s *simulation) endClaim(r *simRouter) error {
	for _, key := range []string{"k0", "k1", "k2"} {
		id, ok := r.dispatched[key]
		if !ok {
			continue
		}
		k := KeyOf("ledus", key)
		ops := []Op{Finish{Key: k, ID: id, Record: Record{Status: 200}}, MarkUnknown{Key: k, ID: id}}
		op := ops[s.choose(2)]
		if s.fault == releaseAfterDispatch {
			op = Release{Key: k, ID: id}
		}
		return s.writeEndOfClaim(r, op, func() { delete(r.dispatched, key) })
	}
	return nil
}

func (s *simulation) dispatch(r *simRouter, u unconfirmedClaim) error {
	key := u.key
	r.dispatched[key] = u.id
	for _, t := range s.dispatchTimes[key] {
		if s.now.Sub(t) < testWindow {
			return errors.Newf("key %s was dispatched at %v and %v", key, t, s.now)
		}
	}
	s.dispatchTimes[key] = append(s.dispatchTimes[key], s.now)
	return nil
}

// A key is dispatched at most once within the window although writes are lost or
// delayed, routers restart and one clock is far ahead. A second dispatch would run
// a once-only request twice.
func TestAtMostOneDispatch(t *testing.T) {
	dispatched := 0
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		s := newSimulation(choose, noFault)
		if err := s.runSteps(80); err != nil {
			t.Fatal(err)
		}
		dispatched += len(s.dispatchTimes)
	})
	if dispatched == 0 {
		t.Fatal("no key was dispatched in any run")
	}
}

func TestAtMostOneDispatchLongRuns(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		if err := newSimulation(r.IntN, noFault).runSteps(600); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// With one rule of the protocol disabled, the oracle must detect a second
// dispatch; otherwise the simulation does not exercise that rule.
func TestOracleDetectsEachFault(t *testing.T) {
	faults := map[string]fault{
		"unconditional write":      unconditionalWrite,
		"dispatch unconfirmed":     dispatchUnconfirmed,
		"unbounded dispatch delay": unboundedDispatchDelay,
		"single clock expiry":      singleClockExpiry,
		"release after dispatch":   releaseAfterDispatch,
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				r := rand.New(rand.NewPCG(seed, 1))
				if err := newSimulation(r.IntN, f).runSteps(200); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("the oracle detected no second dispatch in 500 seeds")
		})
	}
}
