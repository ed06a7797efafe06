package quarantine

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

const deadlyPart = 1<<63 | 7

// promptRequest is a running request in partsFleet.
type promptRequest struct {
	router   int
	id       uint64
	parts    []uint64
	target   ids.Target
	beginsAt time.Time
	endsAt   time.Time
	began    bool
}

// partsFleet is a fleet of routers with targets, at which answers begin some time after a
// request was sent. A target dies when an answer begins on a deadly part, and for other causes.
type partsFleet struct {
	*fleet
	random  *rand.Rand
	deadly  map[uint64]bool
	running []*promptRequest
	downTo  map[ids.Target]time.Time
	targets []ids.Target
	// crashes counts the deaths by deadly part, sent the requests with one that were sent.
	crashes, sent int
	// soundAsked and soundRefused count the requests without a deadly part.
	soundAsked, soundRefused int
}

func newPartsFleet(t *testing.T, routers, targets int, seed uint64) *partsFleet {
	f := &partsFleet{fleet: newFleet(t, routers), random: rand.New(rand.NewPCG(seed, 1)), deadly: map[uint64]bool{}, downTo: map[ids.Target]time.Time{}}
	for i := range targets {
		f.targets = append(f.targets, ids.Target(fmt.Sprint("t", i)))
	}
	return f
}

// submit sends a request with the parts at a router to a random target that is up.
func (f *partsFleet) submit(router int, parts ...uint64) bool {
	isDeadly := false
	for _, p := range parts {
		isDeadly = isDeadly || f.deadly[p]
	}
	if !isDeadly {
		f.soundAsked++
	}
	if !f.routers[router].AdmitParts(parts) {
		if !isDeadly {
			f.soundRefused++
		}
		return false
	}
	var up []ids.Target
	for _, target := range f.targets {
		if !f.now.Before(f.downTo[target]) {
			up = append(up, target)
		}
	}
	if len(up) == 0 {
		return false
	}
	target := up[f.random.IntN(len(up))]
	if isDeadly {
		f.sent++
	}
	f.attempt++
	// No two requests are alike.
	f.routers[router].TryStart(f.attempt, f.attempt<<32, parts, target, false)
	f.running = append(f.running, &promptRequest{
		router: router, id: f.attempt, parts: parts, target: target,
		beginsAt: f.now.Add(time.Duration(50+f.random.IntN(200)) * time.Millisecond),
		endsAt:   f.now.Add(time.Duration(500+f.random.IntN(1000)) * time.Millisecond),
	})
	return true
}

// kill ends all requests at a target, which is down for a time.
func (f *partsFleet) kill(target ids.Target) {
	f.downTo[target] = f.now.Add(3 * time.Second)
	kept := f.running[:0]
	for _, r := range f.running {
		if r.target == target {
			f.routers[r.router].Finish(r.id, Crashed)
			continue
		}
		kept = append(kept, r)
	}
	f.running = kept
}

// step lets 10 ms pass.
func (f *partsFleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	for _, r := range append([]*promptRequest(nil), f.running...) {
		if r.began || f.now.Before(r.beginsAt) || f.now.Before(f.downTo[r.target]) {
			continue
		}
		for _, p := range r.parts {
			if f.deadly[p] {
				f.crashes++
				f.kill(r.target)
				break
			}
		}
		if f.now.Before(f.downTo[r.target]) {
			continue
		}
		r.began = true
		f.routers[r.router].Began(r.id)
	}
	kept := f.running[:0]
	for _, r := range f.running {
		if !f.now.Before(r.endsAt) {
			f.routers[r.router].Finish(r.id, OK)
			continue
		}
		kept = append(kept, r)
	}
	f.running = kept
	if f.now.UnixMilli()%1000 == 0 {
		for i, r := range f.routers {
			if !f.partitioned[i] {
				r.Tick()
			}
		}
	}
}

// run lets requests arrive for a time: each has the same first part and one of many second
// parts, and a share of them has a deadly one.
func (f *partsFleet) run(d time.Duration, perSecond, deadlyShare float64, deadly []uint64) {
	const seconds = 200
	first := quarantine.PartFingerprint(1)
	for end := f.now.Add(d); f.now.Before(end); f.step() {
		if f.random.Float64() >= perSecond/100 {
			continue
		}
		second := quarantine.PartFingerprint(uint64(100 + f.random.IntN(seconds)))
		if f.random.Float64() < deadlyShare {
			second = deadly[f.random.IntN(len(deadly))]
		}
		f.submit(f.random.IntN(len(f.routers)), first, second)
	}
}

// Guards against requests of one kind, no two alike, that crash one target after the other
// (BUDGET), and against refusing sound requests that share their other parts (LOST).
func TestRequestsWithADeadlyPartAreRefusedAndSoundOnesServed(t *testing.T) {
	for _, c := range []struct {
		name        string
		deadly      []uint64
		otherDeaths bool
	}{
		{"one part", []uint64{deadlyPart}, false},
		{"two parts", []uint64{deadlyPart, deadlyPart + 1}, false},
		{"other deaths", []uint64{deadlyPart}, true},
	} {
		for seed := range uint64(10) {
			f := newPartsFleet(t, 6, 9, seed)
			for _, p := range c.deadly {
				f.deadly[p] = true
			}
			for range 30 {
				f.run(time.Second, 60, 0.1, c.deadly)
				if c.otherDeaths && f.random.IntN(4) == 0 {
					for range 3 {
						f.kill(f.targets[f.random.IntN(len(f.targets))])
					}
				}
			}
			// Each part may crash five targets; some more requests are on their way by then.
			if limit := 5 * len(c.deadly); f.crashes > limit {
				t.Errorf("%s, seed %d: %d targets died, want at most %d", c.name, seed, f.crashes, limit)
			}
			if f.soundRefused*100 > f.soundAsked {
				t.Errorf("%s, seed %d: %d of %d sound requests were refused, want at most 1 in 100", c.name, seed, f.soundRefused, f.soundAsked)
			}
		}
	}
}

// A part is blamed for the deaths of targets only if no answer began on it.
func TestPartIsFreeOnceAnAnswerBeginsOnIt(t *testing.T) {
	f := newPartsFleet(t, 3, 100, 1)
	for i := range 6 {
		f.submit(i%3, deadlyPart)
	}
	for range 4 {
		f.kill(f.running[0].target)
	}
	if len(f.running) == 0 || f.routers[0].AdmitParts([]uint64{deadlyPart}) {
		t.Fatalf("%d requests run and the part is not refused, want some and the part refused", len(f.running))
	}
	f.routers[f.running[0].router].Began(f.running[0].id)
	for i, r := range f.routers {
		if !r.AdmitParts([]uint64{deadlyPart}) {
			t.Errorf("router %d refuses the part after an answer began on it", i)
		}
	}
}

// Requests whose answer had begun are not blamed for the death of their target.
func TestRequestThatWasAnsweredIsNotBlamed(t *testing.T) {
	f := newPartsFleet(t, 2, 9, 1)
	for range 5 {
		f.submit(0, deadlyPart)
		r := f.running[len(f.running)-1]
		f.routers[0].Began(r.id)
		f.now = f.now.Add(2 * time.Second)
		f.kill(r.target)
		f.now = f.now.Add(4 * time.Second)
	}
	if !f.routers[0].AdmitParts([]uint64{deadlyPart}) {
		t.Error("the part is refused although an answer had begun on it at each target that died")
	}
}

// A part is refused for a time that grows with the deaths, and then tried again by one router
// before the others.
func TestPartIsTriedAgainAfterSomeTime(t *testing.T) {
	f := newPartsFleet(t, 8, 9, 1)
	f.deadly[deadlyPart] = true
	for f.crashes < 3 {
		f.submit(f.attemptRouter(), deadlyPart)
		for range 60 {
			f.step()
		}
	}
	admitting := func() int {
		n := 0
		for _, r := range f.routers {
			if r.AdmitParts([]uint64{deadlyPart}) {
				n++
			}
		}
		return n
	}
	if n := admitting(); n != 0 {
		t.Fatalf("%d routers admit the part after three deaths, want none", n)
	}
	before := f.now
	for admitting() == 0 {
		f.now = f.now.Add(100 * time.Millisecond)
	}
	if n, after := admitting(), f.now.Sub(before); n > 4 || after > 90*time.Second {
		t.Errorf("%d of 8 routers admit the part first, after %v, want some of them within 90 s", n, after)
	}
}

func (f *partsFleet) attemptRouter() int { return f.random.IntN(len(f.routers)) }

// Guards against a router that has restarted and sends requests that its peers refuse.
func TestRestartedRouterLearnsOfDeadlyParts(t *testing.T) {
	f := newPartsFleet(t, 4, 9, 1)
	f.deadly[deadlyPart] = true
	f.run(5*time.Second, 60, 0.2, []uint64{deadlyPart})
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := f.routers[0].opts
	o.Incarnation++
	f.routers[0] = New(o)
	for _, r := range f.routers[1:] {
		r.PeerJoined(f.routers[0].opts.Self)
	}
	if f.routers[0].AdmitParts([]uint64{deadlyPart}) {
		t.Error("the restarted router admits the part that its peers refuse")
	}
}
