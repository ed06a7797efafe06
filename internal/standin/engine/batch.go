package engine

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is one request at the engine.
type run struct {
	attempt string
	model   string
	prompt  string
	chat    bool
	tag     string
	answer  answer
	// created is the Unix time in seconds.
	created int64
	// cancel ends the run; ctx is done from then on.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	tokens  int
	done    bool
	ended   time.Time
	changed chan struct{}
}

// progress returns the tokens made so far, whether there will be no more, and a
// channel closed at the next change.
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
		r.ended = time.Now()
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// text returns the tokens from one index up to another.
func (r *run) text(from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(r.answer.token(i))
	}
	return b.String()
}

// batch runs requests in a fixed number of slots, others waiting in order.
type batch struct {
	slots   int
	limit   int
	mu      sync.Mutex
	running int
	waiting []*run
	stats   Stats
	// since is when the slots' busy time was last added up.
	since time.Time
}

func newBatch(slots, limit int) *batch {
	return &batch{
		slots: slots,
		limit: limit,
		since: time.Now(),
		stats: Stats{Units: map[string]uint64{}},
	}
}

// admit takes a run in: started is set where a slot was free, refused where
// the waiting line is full.
func (b *batch) admit(r *run) (started, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUp()
	if b.running < b.slots {
		b.running++
		return true, false
	}
	if b.limit > 0 && len(b.waiting) >= b.limit {
		return false, true
	}
	b.waiting = append(b.waiting, r)
	return false, false
}

// withdraw takes a run out of the waiting line.
func (b *batch) withdraw(r *run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUp()
	i := slices.Index(b.waiting, r)
	if i < 0 {
		return false
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	b.stats.Cancelled++
	return true
}

// release frees a slot and returns the run that takes it, if any.
func (b *batch) release() *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUp()
	if len(b.waiting) == 0 {
		b.running--
		return nil
	}
	next := b.waiting[0]
	b.waiting = slices.Delete(b.waiting, 0, 1)
	return next
}

// addUp adds the time since the last change to the busy time.
func (b *batch) addUp() {
	now := time.Now()
	passed := now.Sub(b.since).Seconds()
	b.since = now
	b.stats.BusySlotSeconds += passed * float64(b.running)
	if len(b.waiting) > 0 {
		b.stats.LineSeconds += passed
	}
}

// count changes the statistics.
func (b *batch) count(change func(*Stats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.stats)
}

// charge adds service units to a tag.
func (b *batch) charge(tag string, units int) {
	b.count(func(s *Stats) {
		s.Tokens += uint64(units)
		if tag != "" {
			s.Units[tag] += uint64(units)
		}
	})
}

// snapshot returns the statistics as they are now.
func (b *batch) snapshot() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addUp()
	stats := b.stats
	stats.Slots = b.slots
	stats.Running = b.running
	stats.Waiting = len(b.waiting)
	stats.AtMS = b.since.UnixMilli()
	stats.Units = map[string]uint64{}
	for tag, units := range b.stats.Units {
		stats.Units[tag] = units
	}
	return stats
}
