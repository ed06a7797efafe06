package roster_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/roster"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// storeModel is a store of which a list is read page by page while it changes.
type storeModel struct {
	random   *rand.Rand
	revision uint64
	entries  map[ids.Target]roster.Entry
	history  []roster.Change
	// removedAt is the revision of the last removal of each target.
	removedAt map[ids.Target]uint64
	// deletionsCarryTheirRevision is set if the event of a removal has the revision of the
	// removal, and not that of the entry's last change.
	deletionsCarryTheirRevision bool
}

const modelTargets = 12

func modelTarget(i int) ids.Target { return ids.Target(fmt.Sprintf("t%02d", i)) }

// change writes or removes a target. A restarted one begins with seq 1 and, since clocks step,
// with any start time.
func (s *storeModel) change() {
	s.revision++
	id := modelTarget(s.random.IntN(modelTargets))
	old, exists := s.entries[id]
	if exists && s.random.IntN(3) == 0 {
		removed := roster.Change{Entry: old, Removed: true}
		if s.deletionsCarryTheirRevision {
			removed.Revision = s.revision
		}
		delete(s.entries, id)
		s.removedAt[id] = s.revision
		s.history = append(s.history, removed)
		return
	}
	e := roster.Entry{Target: routing.Target{ID: id, StartTimeMS: old.StartTimeMS}, Revision: s.revision, Seq: old.Seq + 1}
	if s.random.IntN(3) == 0 {
		e.StartTimeMS, e.Seq = int64(1+s.random.IntN(1000)), 1
	}
	s.entries[id] = e
	s.history = append(s.history, roster.Change{Entry: e})
}

// modelList is a list that is read page by page, each with the state of its own time. asOf is
// the revision of the first page.
type modelList struct {
	entries []roster.Entry
	asOf    uint64
	read    int
}

// readPage reads the next page and reports whether it was the last.
func (s *storeModel) readPage(l *modelList) bool {
	if l.read == 0 {
		l.asOf = s.revision
	}
	for end := min(l.read+1+s.random.IntN(5), modelTargets); l.read < end; l.read++ {
		if e, exists := s.entries[modelTarget(l.read)]; exists {
			l.entries = append(l.entries, e)
		}
	}
	return l.read == modelTargets
}

// Guards against targets that return to an earlier state, or after their removal: lists whose
// pages are of different revisions, lists that arrive after newer events, the same events again,
// and lists of peers.
func TestListsAndEventsInAnyOrderDoNotGoBack(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { testListsAndEvents(t, seed) })
	}
}

func testListsAndEvents(t *testing.T, seed uint64) {
	t.Helper()
	s := &storeModel{
		random: rand.New(rand.NewPCG(seed, 1)), entries: make(map[ids.Target]roster.Entry), removedAt: make(map[ids.Target]uint64),
		deletionsCarryTheirRevision: seed%2 == 0,
	}
	r, now := roster.New(drainTimeout), start
	highest, asOf := make(map[ids.Target]uint64), uint64(0)
	var reading, read []*modelList
	for step := range 400 {
		now = now.Add(10 * time.Millisecond)
		for range s.random.IntN(3) {
			s.change()
		}
		switch s.random.IntN(8) {
		case 0:
			reading = append(reading, &modelList{})
		case 1, 2, 3, 4:
			if len(reading) == 0 {
				continue
			}
			if i := s.random.IntN(len(reading)); s.readPage(reading[i]) {
				read, reading = append(read, reading[i]), slices.Delete(reading, i, i+1)
			}
		case 5, 6:
			if len(read) == 0 {
				continue
			}
			i := s.random.IntN(len(read))
			if l := read[i]; s.random.IntN(2) == 0 {
				r.Replace(now, l.entries, l.asOf)
			} else {
				r.Merge(now, l.entries, l.asOf, true)
			}
			read = slices.Delete(read, i, i+1)
		case 7:
			// Watches begin anywhere, also before events that were applied, and see a part.
			watched := uint64(s.random.IntN(int(min(s.revision, r.AsOf())) + 1))
			until := watched + uint64(s.random.IntN(int(s.revision-watched)+1))
			r.Apply(now, s.history[watched:until], until)
		}
		if r.AsOf() < asOf {
			t.Fatalf("step %d: the list went back from revision %d to %d", step, asOf, r.AsOf())
		}
		asOf = r.AsOf()
		for _, e := range r.Entries() {
			if e.Revision < highest[e.ID] {
				t.Fatalf("step %d: target %s went back from revision %d to %d", step, e.ID, highest[e.ID], e.Revision)
			}
			highest[e.ID] = e.Revision
			if removed := s.removedAt[e.ID]; asOf >= removed && e.Revision < removed {
				t.Fatalf("step %d: target %s of revision %d is listed at %d although it was removed at %d", step, e.ID, e.Revision, asOf, removed)
			}
		}
	}
	last := &modelList{}
	for !s.readPage(last) {
		s.change()
	}
	r.Replace(now, last.entries, last.asOf)
	r.Apply(now, s.history[last.asOf:], s.revision)
	got := make(map[ids.Target]uint64)
	for _, e := range r.Entries() {
		got[e.ID] = e.Revision
	}
	want := make(map[ids.Target]uint64)
	for id, e := range s.entries {
		want[id] = e.Revision
	}
	if !maps.Equal(got, want) {
		t.Fatalf("revisions %v at the end, want %v", got, want)
	}
}
