package engine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is the state of one admitted request.
type run struct {
	attempt string
	model   string
	prompt  string
	chat    bool
	tag     string
	output  output
	// created is the Unix time in seconds.
	created int64
	// cancel ends the run by canceling ctx.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	tokens  int
	done    bool
	endedAt time.Time
	changed chan struct{}
}

// progress returns the number of tokens generated so far, whether the run has ended, and
// a channel that is closed at the next change.
func (r *run) progress() (tokens int, done bool, changed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tokens, r.done, r.changed
}

func (r *run) advance(tokens int, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = tokens
	r.done = done
	if done {
		r.endedAt = time.Now()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// text returns the tokens with indexes from to to-1.
func (r *run) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(r.output.token(i))
	}
	return b.String()
}

// batch assigns runs to a fixed number of slots and queues the others in order of arrival.
type batch struct {
	slots      int
	maxWaiting int
	mu         sync.Mutex
	running    int
	waiting    []*run
	stats      Stats
	// updatedAt is when the time counters of stats were last updated.
	updatedAt time.Time
}

func newBatch(slots, maxWaiting int) *batch {
	return &batch{
		slots:      slots,
		maxWaiting: maxWaiting,
		updatedAt:  time.Now(),
		stats:      Stats{UnitsByTag: map[string]uint64{}},
	}
}

// admit assigns a free slot to a run or queues it. It returns started if a slot was free
// and refused if the queue is full.
func (b *batch) admit(r *run) (started, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateTimes()
	if b.running < b.slots {
		b.running++
		return true, false
	}
	if b.maxWaiting > 0 && len(b.waiting) >= b.maxWaiting {
		return false, true
	}
	b.waiting = append(b.waiting, r)
	return false, false
}

// removeQueued removes a run from the queue. It returns false if the run was not queued.
func (b *batch) removeQueued(r *run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateTimes()
	i := slices.Index(b.waiting, r)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.stats.Canceled++
	return true
}

// release frees a slot and returns the queued run to which the slot passes, if any.
func (b *batch) release() *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateTimes()
	if len(b.waiting) == 0 {
		b.running--
		return nil
	}
	next := b.waiting[0]
	b.waiting = slices.Delete(b.waiting, 0, 1)
	return next
}

// updateTimes adds the time since the last update to BusySlotSeconds and QueueSeconds.
// The caller holds b.mu.
func (b *batch) updateTimes() {
	now := time.Now()
	passed := now.Sub(b.updatedAt).Seconds()
	b.updatedAt = now
	b.stats.BusySlotSeconds += passed * float64(b.running)
	if len(b.waiting) > 0 {
		b.stats.QueueSeconds += passed
	}
}

// updateStats applies a change to the statistics under the lock.
func (b *batch) updateStats(change func(*Stats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.stats)
}

// addUnits adds service units to the total and to a tag unless it is empty.
func (b *batch) addUnits(tag string, units int) {
	b.updateStats(func(s *Stats) {
		s.Tokens += uint64(units)
		if tag != "" {
			s.UnitsByTag[tag] += uint64(units)
		}
	})
}

// snapshot returns a copy of the current statistics.
func (b *batch) snapshot() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateTimes()
	stats := b.stats
	stats.Slots = b.slots
	stats.Running = b.running
	stats.Waiting = len(b.waiting)
	stats.AtMS = b.updatedAt.UnixMilli()
	stats.UnitsByTag = map[string]uint64{}
	for tag, units := range b.stats.UnitsByTag {
		stats.UnitsByTag[tag] = units
	}
	return stats
}
