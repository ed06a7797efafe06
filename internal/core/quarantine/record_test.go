package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/ids"
)

// recordFleet is a model of routers that keep the record in one store.
type recordFleet struct {
	t       *rapid.T
	now     time.Time
	routers []*recordRouter
	// stored and version are the object in the store, none if version is 0.
	stored  []Crash
	version int
	// calls counts the calls of the store.
	calls int
}

type recordRouter struct {
	table     *Table
	recording Recording
	version   int
	isWriter  bool
}

func newRecordRouter(isWriter bool) *recordRouter {
	return &recordRouter{table: New(testDuration), isWriter: isWriter}
}

// step lets a router make its next call. The answer of a call that is done is lost if isLost.
func (f *recordFleet) step(rank int, isRefused, isLost bool) {
	r := f.routers[rank]
	call := r.recording.Next(f.now, rank, r.isWriter, r.table)
	if call == NoCall {
		return
	}
	f.calls++
	if isRefused {
		r.recording.RecordFailure(f.now)
		return
	}
	var stored []Crash
	switch {
	case call == ReadRecord:
		stored = slices.Clone(f.stored)
		for _, c := range stored {
			r.table.Add(c, f.now)
		}
	case r.version != f.version:
		r.recording.RecordConflict()
		return
	default:
		if call == WriteRecord {
			stored = r.table.Record(f.now)
		}
		f.stored = stored
		f.version++
	}
	if isLost {
		r.recording.RecordFailure(f.now)
		return
	}
	r.version = f.version
	r.recording.RecordState(f.now, stored)
}

// settle lets the routers exchange their crashes and call without failures for d.
func (f *recordFleet) settle(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for i, r := range f.routers {
			for _, other := range f.routers {
				for _, c := range other.table.Crashes(1 << 10) {
					r.table.Add(c, f.now)
				}
			}
			f.step(i, false, false)
		}
	}
}

func (f *recordFleet) expectRecorded(step string) {
	for i, r := range f.routers {
		if want := r.table.Record(f.now); digestOf(want) != digestOf(f.stored) {
			f.t.Fatalf("%s: record %v, want that of router %d: %v", step, f.stored, i, want)
		}
	}
}

// Guards against a record that lacks crashes, or keeps cleared ones, after failed calls, lost
// answers, lost messages, and writers that come and go; and against one that is written on and on.
func TestRecordFollowsTheCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &recordFleet{t: t, now: testTime, routers: []*recordRouter{newRecordRouter(true), newRecordRouter(true)}}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			router := rapid.IntRange(0, 1).Draw(t, "router")
			r := f.routers[router]
			fp := rapid.Uint64Range(1, 3).Draw(t, "fingerprint")
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0, 1:
				r.table.Add(Crash{Fingerprint: fp, Target: ids.Target(fmt.Sprint("t", i)), ID: fmt.Sprint("c", i), AtMS: f.now.UnixMilli()}, f.now)
			case 2:
				r.table.Clear(fp)
			case 3:
				r.isWriter = !r.isWriter
			case 4:
				for _, c := range r.table.CrashesOf(fp) {
					f.routers[1-router].table.Add(c, f.now)
				}
			case 5:
				// The store returns from a copy of the time before the record.
				f.stored = nil
				f.version++
			default:
				f.step(router, rapid.Bool().Draw(t, "refused"), rapid.Bool().Draw(t, "lost"))
			}
		}
		for _, r := range f.routers {
			r.isWriter = true
		}
		f.settle(2*recordConfirmInterval + 5*time.Second)
		f.expectRecorded("after the events")

		f.calls = 0
		f.settle(recordConfirmInterval)
		if f.calls > 2 {
			t.Fatalf("%d calls in %v without a change, want the reads of the first writer", f.calls, recordConfirmInterval)
		}

		before := f.routers[0].table
		f.routers = []*recordRouter{newRecordRouter(true), newRecordRouter(true)}
		f.settle(time.Second)
		for fp := range uint64(4) {
			if deaths := before.CountDeaths(fp, f.now); deaths >= recordedDeaths && f.routers[1].table.CountDeaths(fp, f.now) != deaths {
				t.Fatalf("fingerprint %d: %d deaths known after a restart of all routers, want %d", fp, f.routers[1].table.CountDeaths(fp, f.now), deaths)
			}
		}

		f.now = f.now.Add(2*testDuration + time.Second)
		f.settle(5 * time.Second)
		if len(f.stored) > 0 {
			t.Fatalf("record %v, want none after all crashes have expired", f.stored)
		}
	})
}

// Callers choose the content of requests, so that the record must stay bounded. What is
// refused goes first.
func TestRecordIsBounded(t *testing.T) {
	table := New(testDuration)
	for fp := range uint64(200) {
		deaths := 2
		if fp == 0 {
			deaths = 3
		}
		for i := range deaths {
			c := crashAt(fmt.Sprint(fp, "/", i), fmt.Sprint("t", i), time.Duration(fp)*time.Second, false)
			c.Fingerprint = fp
			table.Add(c, testTime.Add(time.Hour/10))
		}
	}
	record := table.Record(testTime.Add(time.Hour / 10))
	if len(record) > maxRecordedCrashes || len(record) < maxRecordedCrashes/2 {
		t.Errorf("got %d crashes recorded, want at most %d and at least half of that", len(record), maxRecordedCrashes)
	}
	if !slices.ContainsFunc(record, func(c Crash) bool { return c.Fingerprint == 0 }) {
		t.Error("the one request that is refused is not recorded")
	}
}
