package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

// probeInterval is the time between two readings of all engines.
const probeInterval = 100 * time.Millisecond

// reading is what the engines had done at a moment.
type sample struct {
	at time.Time
	// units by workspace, over all engines.
	units map[string]float64
	// engines' own statistics, in the fleet's order.
	engines []engine.Stats
}

// probe reads the true service from the engines, in the background.
type probe struct {
	fleet  *harness.Fleet
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu       sync.Mutex
	readings []sample
}

func startProbe(ctx context.Context, fleet *harness.Fleet) *probe {
	ctx, cancel := context.WithCancel(ctx)
	p := &probe{fleet: fleet, cancel: cancel}
	p.wg.Go(func() {
		for pause(ctx, probeInterval) {
			p.read(ctx)
		}
	})
	return p
}

func (p *probe) stop() {
	p.cancel()
	p.wg.Wait()
}

// read takes one reading; a reading in which an engine fails is left out.
func (p *probe) read(ctx context.Context) {
	stats := make([]engine.Stats, len(p.fleet.Engines))
	group := pool.New().WithErrors()
	for i, e := range p.fleet.Engines {
		group.Go(func() error {
			var err error
			stats[i], err = e.EngineStats(ctx)
			return err
		})
	}
	if group.Wait() != nil {
		return
	}
	r := sample{at: time.Now(), units: map[string]float64{}, engines: stats}
	for _, s := range stats {
		for tag, units := range s.Units {
			r.units[tag] += float64(units)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readings = append(p.readings, r)
}

// since returns the readings from a time on.
func (p *probe) since(from time.Time) window {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, r := range p.readings {
		if !r.at.Before(from) {
			return append(window{}, p.readings[i:]...)
		}
	}
	return nil
}

// window is a series of readings.
type window []sample

// gap returns the largest difference, over all intervals of the window, between
// the normalized service of two workspaces: that of any pair of those given.
func (w window) gap(weights map[string]float64) float64 {
	largest := 0.0
	for a := range weights {
		for b := range weights {
			if a < b {
				largest = max(largest, w.pairGap(a, b, weights))
			}
		}
	}
	return largest
}

func (w window) pairGap(a, b string, weights map[string]float64) float64 {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, r := range w {
		difference := r.units[a]/weights[a] - r.units[b]/weights[b]
		lowest = min(lowest, difference)
		highest = max(highest, difference)
	}
	if len(w) == 0 {
		return math.Inf(1)
	}
	return highest - lowest
}

// utilisation returns the share of the batch slots that were busy, over the
// engines that keep accepts.
func (w window) utilisation(keep func(engine int) bool) float64 {
	if len(w) < 2 {
		return 0
	}
	first, last := w[0], w[len(w)-1]
	busy, all := 0.0, 0.0
	for i := range last.engines {
		if !keep(i) {
			continue
		}
		seconds := float64(last.engines[i].AtMS-first.engines[i].AtMS) / float64(time.Second/time.Millisecond)
		busy += last.engines[i].BusySlotSeconds - first.engines[i].BusySlotSeconds
		all += seconds * float64(last.engines[i].Slots)
	}
	return busy / all
}

// waitingInside returns the mean number of requests that waited inside an
// engine in place of the routers.
func (w window) meanWaitingInEngine() float64 {
	total := 0.0
	for _, r := range w {
		for _, s := range r.engines {
			total += float64(s.Waiting) / float64(len(r.engines)*len(w))
		}
	}
	return total
}

// trace writes the units of service by time and workspace since the window's
// start.
func (w window) writeTrace(out io.Writer) {
	if out == nil {
		return
	}
	for _, r := range w {
		for workspace, units := range r.units {
			_, _ = fmt.Fprintf(out, "%d\t%s\t%.0f\n",
				r.at.Sub(w[0].at).Milliseconds(), workspace, units-w[0].units[workspace])
		}
	}
}

func allEngines(int) bool { return true }
