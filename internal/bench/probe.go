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

// probeInterval is the time between two samples of all engines.
const probeInterval = 100 * time.Millisecond

// sample holds the engines' counters at one time.
type sample struct {
	at time.Time
	// units are the service units by workspace, summed over all engines.
	units map[string]float64
	// engines are the statistics of each engine, in the fleet's order.
	engines []engine.Stats
}

// probe samples the delivered service from the engines in the background.
type probe struct {
	fleet  *harness.Fleet
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu      sync.Mutex
	samples []sample
}

func startProbe(ctx context.Context, fleet *harness.Fleet) *probe {
	ctx, cancel := context.WithCancel(ctx)
	p := &probe{fleet: fleet, cancel: cancel}
	p.wg.Go(func() {
		for pause(ctx, probeInterval) {
			p.takeSample(ctx)
		}
	})
	return p
}

func (p *probe) stop() {
	p.cancel()
	p.wg.Wait()
}

// takeSample takes one sample. It discards the sample if an engine does not respond.
func (p *probe) takeSample(ctx context.Context) {
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
	s := sample{at: time.Now(), units: map[string]float64{}, engines: stats}
	for _, e := range stats {
		for tag, units := range e.UnitsByTag {
			s.units[tag] += float64(units)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, s)
}

// since returns the samples taken at or after a time.
func (p *probe) since(from time.Time) window {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, s := range p.samples {
		if !s.at.Before(from) {
			return append(window{}, p.samples[i:]...)
		}
	}
	return nil
}

// window is a series of samples.
type window []sample

// gap returns the largest difference between the normalized service that two
// workspaces received in the same interval, over all intervals of the window and
// all pairs of the given workspaces.
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

// utilisation returns the share of batch slots that were busy, over the engines
// for whose index isCounted returns true.
func (w window) utilisation(isCounted func(engine int) bool) float64 {
	if len(w) < 2 {
		return 0
	}
	first, last := w[0], w[len(w)-1]
	busy, all := 0.0, 0.0
	for i := range last.engines {
		if !isCounted(i) {
			continue
		}
		seconds := float64(last.engines[i].AtMS-first.engines[i].AtMS) / float64(time.Second/time.Millisecond)
		busy += last.engines[i].BusySlotSeconds - first.engines[i].BusySlotSeconds
		all += seconds * float64(last.engines[i].Slots)
	}
	return busy / all
}

// meanWaitingInEngine returns the mean number of requests that waited inside an
// engine instead of in the routers' queues.
func (w window) meanWaitingInEngine() float64 {
	total := 0.0
	for _, r := range w {
		for _, s := range r.engines {
			total += float64(s.Waiting) / float64(len(r.engines)*len(w))
		}
	}
	return total
}

// writeTrace writes the service units by time and workspace since the start of
// the window.
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
