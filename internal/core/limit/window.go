package limit

import (
	"math"
	"time"
)

const (
	// windowSlots is the number of slots of a sliding window.
	windowSlots = 32
	// idleRate is the rate in requests per second below which a workspace counts
	// as idle.
	idleRate = 0.001
)

// window sums units over a sliding window with the precision of a slot. The slots
// form a ring buffer.
type window struct {
	length time.Duration
	slots  [windowSlots]float64
	start  time.Time // of the newest slot
	newest int
	total  float64
}

func newWindow(now time.Time, length time.Duration) *window {
	return &window{length: length, start: now}
}

func (w *window) slotLength() time.Duration { return w.length / windowSlots }

// advance moves the window to now and drops the slots that leave it.
func (w *window) advance(now time.Time) {
	for n := 0; n < windowSlots && now.Sub(w.start) >= w.slotLength(); n++ {
		w.start = w.start.Add(w.slotLength())
		w.newest = (w.newest + 1) % windowSlots
		w.total -= w.slots[w.newest]
		w.slots[w.newest] = 0
	}
	if now.Sub(w.start) >= w.slotLength() {
		w.start = now
		w.total = 0
	}
}

func (w *window) add(now time.Time, units float64) {
	w.advance(now)
	w.slots[w.newest] += units
	w.total += units
}

func (w *window) sum(now time.Time) float64 {
	w.advance(now)
	return math.Max(0, w.total)
}

// timeUntilFree returns the time until the oldest units leave the window.
func (w *window) timeUntilFree(now time.Time) time.Duration {
	w.advance(now)
	for i := 1; i <= windowSlots; i++ {
		if w.slots[(w.newest+i)%windowSlots] > 0 {
			return w.start.Add(time.Duration(i) * w.slotLength()).Sub(now)
		}
	}
	return w.slotLength()
}

// rate is an exponentially decaying mean of events per second.
type rate struct {
	mean float64
	last time.Time
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.last).Seconds()
	if r.last.IsZero() {
		elapsed = 0
	}
	r.last = now
	r.mean *= math.Exp(-elapsed / demandWindow.Seconds())
}

func (r *rate) add(now time.Time, n float64) {
	r.decay(now)
	r.mean += n / demandWindow.Seconds()
}

func (r *rate) value(now time.Time) float64 {
	r.decay(now)
	return r.mean
}
