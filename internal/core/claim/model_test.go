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

// chooser picks one of n; rapid and a plain generator both can.
type chooser func(n int) int

// fault leaves out one of the rules, to show that the oracle notices.
type fault int

const (
	sound fault = iota
	// unconditional writes whatever stands.
	unconditional
	// forgetful dispatches on an unsure write without reading back.
	forgetful
	// patient dispatches a claim however long ago it was made.
	patient
	// oneClock forgets by the writer's clock alone.
	oneClock
	// reopening releases a claim that was dispatched.
	reopening
)

// lateWrite is a write on its way to the store.
type lateWrite struct {
	raw  []byte
	cond int
}

// unsureClaim is a claim whose write had no answer.
type unsureClaim struct {
	key   string
	id    ID
	asked time.Time
}

// hold bounds the time between a claim and its dispatch; it must be well below
// the margin.
const hold = time.Minute

// simRouter is a router with its wrong clock.
type simRouter struct {
	name   ids.Instance
	inc    ids.Incarnation
	skew   time.Duration
	seq    uint64
	unsure []unsureClaim
	ran    map[string]ID
}

// sim runs routers against a store that loses and delays, and keeps the oracle:
// the true times at which each key was dispatched.
type sim struct {
	choose  chooser
	fault   fault
	now     time.Time
	raw     []byte
	version int
	late    []lateWrite
	routers []*simRouter
	runs    map[string][]time.Time
}

func newSim(choose chooser, f fault) *sim {
	s := &sim{choose: choose, fault: f, now: testTime, runs: map[string][]time.Time{}}
	for i := range 4 {
		skew := time.Duration(choose(int(Margin/time.Second))-int(Margin/time.Second)/2) * time.Second
		if i == 3 && choose(2) == 0 {
			skew = 1000 * time.Hour // one clock is far ahead
		}
		r := &simRouter{name: ids.Instance(fmt.Sprintf("r%d", i)), skew: skew, ran: map[string]ID{}}
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *sim) steps(n int) error {
	for range n {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) step() error {
	r := s.routers[s.choose(len(s.routers))]
	switch s.choose(10) {
	case 0:
		s.now = s.now.Add(time.Duration(s.choose(int(testWindow/time.Minute))) * time.Minute)
	case 1:
		return s.arrive()
	case 2:
		*r = simRouter{name: r.name, inc: r.inc + 1, skew: r.skew, ran: map[string]ID{}}
	case 3, 4:
		return s.settle(r)
	case 5:
		return s.end(r)
	default:
		return s.ask(r, fmt.Sprint("k", s.choose(3)))
	}
	return nil
}

func (s *sim) read() (*Bucket, error) {
	if s.version == 0 {
		return NewBucket(), nil
	}
	return Decode(s.raw)
}

func (s *sim) writer(r *simRouter) Writer {
	return Writer{Instance: r.name, Now: s.now.Add(r.skew), Window: testWindow}
}

func (s *sim) ask(r *simRouter, key string) error {
	for _, u := range r.unsure {
		if u.key == key {
			return nil // still settling
		}
	}
	r.seq++
	id := ID{Owner: Owner{Instance: r.name, Incarnation: r.inc}, Seq: r.seq}
	return s.grant(r, unsureClaim{key: key, id: id, asked: s.now})
}

// grant applies a claim and writes it in one of the ways a write can go.
func (s *sim) grant(r *simRouter, u unsureClaim) error {
	b, err := s.read()
	if err != nil {
		return err
	}
	if s.fault == oneClock {
		forgetBy(b, s.now.Add(r.skew))
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
	w := lateWrite{raw: raw, cond: s.version}
	switch s.choose(4) {
	case 0: // lost, or late
		s.late = append(s.late, w)
	case 1: // written, the answer is lost
		s.put(w)
	default:
		s.put(w)
		return s.dispatch(r, u)
	}
	if s.fault == forgetful {
		return s.dispatch(r, u)
	}
	r.unsure = append(r.unsure, u)
	return nil
}

// forgetBy drops what a single clock takes for old.
func forgetBy(b *Bucket, now time.Time) {
	for _, e := range b.entries {
		if now.Sub(time.UnixMilli(e.At)) > testWindow+Margin {
			b.remove(e)
		}
	}
}

func (s *sim) put(w lateWrite) bool {
	if w.cond != s.version && s.fault != unconditional {
		return false
	}
	s.raw, s.version = w.raw, s.version+1
	return true
}

func (s *sim) arrive() error {
	if len(s.late) == 0 {
		return nil
	}
	i := s.choose(len(s.late))
	s.put(s.late[i])
	s.late = append(s.late[:i], s.late[i+1:]...)
	return nil
}

// settle finds out about one unsure claim, as the ledger does: it tries the
// same claim again, or gives it up for good and releases it.
func (s *sim) settle(r *simRouter) error {
	if len(r.unsure) == 0 {
		return nil
	}
	u := r.unsure[0]
	inTime := s.now.Sub(u.asked) < hold || s.fault == patient
	if inTime && s.choose(2) == 0 {
		r.unsure = r.unsure[1:]
		return s.grant(r, u)
	}
	return s.write(r, Release{Key: KeyOf("ledus", u.key), ID: u.id}, func() {
		r.unsure = r.unsure[1:]
	})
}

// write applies an operation that ends a claim. Where it changes nothing, the
// write is made all the same, so that it overtakes what may be on its way.
func (s *sim) write(r *simRouter, op Op, stands func()) error {
	b, err := s.read()
	if err != nil {
		return err
	}
	b.Apply(s.writer(r), []Op{op})
	raw, err := b.Encode()
	if err != nil {
		return err
	}
	w := lateWrite{raw: raw, cond: s.version}
	if s.choose(4) == 0 {
		s.late = append(s.late, w)
		return nil
	}
	s.put(w)
	stands()
	return nil
}

func (s *sim) end(r *simRouter) error {
	for _, key := range []string{"k0", "k1", "k2"} {
		id, ok := r.ran[key]
		if !ok {
			continue
		}
		k := KeyOf("ledus", key)
		ops := []Op{Finish{Key: k, ID: id, Record: Record{Status: 200}}, MarkUnknown{Key: k, ID: id}}
		op := ops[s.choose(2)]
		if s.fault == reopening {
			op = Release{Key: k, ID: id}
		}
		return s.write(r, op, func() { delete(r.ran, key) })
	}
	return nil
}

func (s *sim) dispatch(r *simRouter, u unsureClaim) error {
	key := u.key
	r.ran[key] = u.id
	for _, t := range s.runs[key] {
		if s.now.Sub(t) < testWindow {
			return errors.Newf("key %s was dispatched at %v and %v", key, t, s.now)
		}
	}
	s.runs[key] = append(s.runs[key], s.now)
	return nil
}

// At most one request of a key is dispatched inside the window, whatever is
// lost, late, restarted, and however wrong one clock is.
func TestAtMostOnce(t *testing.T) {
	dispatched := 0
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		s := newSim(choose, sound)
		if err := s.steps(80); err != nil {
			t.Fatal(err)
		}
		dispatched += len(s.runs)
	})
	if dispatched == 0 {
		t.Fatal("nothing was ever dispatched")
	}
}

func TestAtMostOnceLongRuns(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		if err := newSim(r.IntN, sound).steps(600); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// Each rule is needed: without it the oracle finds a second run.
func TestOracleFindsFaults(t *testing.T) {
	faults := map[string]fault{
		"unconditional": unconditional,
		"forgetful":     forgetful,
		"patient":       patient,
		"one clock":     oneClock,
		"reopening":     reopening,
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(500) {
				r := rand.New(rand.NewPCG(seed, 1))
				if err := newSim(r.IntN, f).steps(200); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no second run was found")
		})
	}
}
