package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/settings"
)

// The fairness modes: fleet-wide fair queueing, and the baselines.
const (
	modeFleet = "fleet"
	modeLocal = "local"
	modeFIFO  = "fifo"
)

// The engines are slow enough that the machine is not the bottleneck.
const (
	fairModel           = "assistant"
	fairSlotsPerEngine  = 4
	fairTokensPerSecond = 40
	fairPrompt          = 8
	fairTokens          = 16
	fairEngines         = 9
	fairTotalSlots      = fairEngines * fairSlotsPerEngine

	utilisationBound = 0.97
	fairWarmup       = 3 * time.Second
	drainTimeout     = 20 * time.Second
)

// fairSize is the size of most requests.
var fairSize = Size{Prompt: fairPrompt, Tokens: fairTokens}

// runTime returns the time that a request runs at an engine.
func (s Size) runTime() time.Duration {
	return time.Duration(s.Tokens) * time.Second / fairTokensPerSecond
}

// unitsPerSecond returns the service units per second of a slot that runs
// requests of this size.
func (s Size) unitsPerSecond() float64 { return float64(s.Units()) / s.runTime().Seconds() }

// fairFleet describes 8 routers, 9 engines and 3 plain services in 3 failure
// domains.
func fairFleet(mode string, useRelays bool) harness.Spec {
	domain := func(name string, routers int) harness.Domain {
		return harness.Domain{
			Name:    name,
			Routers: routers,
			Engines: harness.Repeat(3, harness.Engine{
				Models: []string{fairModel}, Concurrency: fairSlotsPerEngine, TokensPerSecond: fairTokensPerSecond,
			}),
			Services: []harness.Service{{Name: "orders"}},
		}
	}
	return harness.Spec{
		Domains:      []harness.Domain{domain("a", 3), domain("b", 3), domain("c", 2)},
		UseRelays:    useRelays,
		EditSettings: func(s *settings.Settings) { s.Fairness.Mode = mode },
	}
}

// fairRun is a running fleet whose engines are sampled by a probe.
type fairRun struct {
	fleet *harness.Fleet
	probe *probe
	seed  uint64
	trace io.Writer
	// reportInterval is the time between two reports of service.
	reportInterval time.Duration
	// callers are keyed by workspace and router index.
	callers map[string]*harness.Caller
}

func startFair(ctx context.Context, p Params, mode string, useRelays bool, contracts []api.Contract) (*fairRun, error) {
	return startFairSpec(ctx, p, fairFleet(mode, useRelays), contracts)
}

func startFairSpec(ctx context.Context, p Params, spec harness.Spec, contracts []api.Contract) (*fairRun, error) {
	fleet, err := harness.Start(ctx, p.Binaries, spec)
	if err != nil {
		return nil, err
	}
	if err := fleet.ApplyContracts(ctx, contracts...); err != nil {
		fleet.Close()
		return nil, err
	}
	loadedSettings, err := settings.Load(fleet.Routers[0].SettingsFile)
	if err != nil {
		fleet.Close()
		return nil, err
	}
	return &fairRun{
		fleet:          fleet,
		probe:          startProbe(ctx, fleet),
		seed:           p.Seed,
		trace:          p.Trace,
		reportInterval: time.Duration(loadedSettings.Fairness.ReportMS) * time.Millisecond,
		callers:        map[string]*harness.Caller{},
	}, nil
}

func (f *fairRun) close() {
	f.probe.stop()
	for _, c := range f.callers {
		c.Close()
	}
	f.fleet.Close()
}

// callersAt returns a workspace's callers at the routers with the given indexes.
func (f *fairRun) callersAt(workspace string, routers ...int) []*harness.Caller {
	var callers []*harness.Caller
	for _, i := range routers {
		key := fmt.Sprintf("%s %d", workspace, i)
		if f.callers[key] == nil {
			f.callers[key] = f.fleet.Routers[i].Caller(workspace)
		}
		callers = append(callers, f.callers[key])
	}
	return callers
}

// backlogFlow returns a flow that keeps more requests waiting than the pool can
// run.
func (f *fairRun) backlogFlow(workspace string, size Size, routers ...int) Flow {
	return Flow{
		Workspace: workspace,
		Callers:   f.callersAt(workspace, routers...),
		Model:     fairModel,
		Size:      size,
		Stream:    true,
		InFlight:  2 * fairTotalSlots,
	}
}

// observe runs flows and returns the engines' samples of a window that starts
// after the warm-up.
func (f *fairRun) observe(ctx context.Context, length time.Duration, flows ...Flow) (window, *Load, error) {
	load := StartLoad(ctx, f.seed, flows...)
	pause(ctx, fairWarmup)
	load.Reset()
	from := time.Now()
	pause(ctx, length)
	observed := f.probe.since(from)
	load.Stop()
	observed.writeTrace(f.trace)
	return observed, load, f.drain(ctx)
}

// drain waits until no request runs or waits at the engines.
func (f *fairRun) drain(ctx context.Context) error {
	for deadline := time.Now().Add(drainTimeout); time.Now().Before(deadline); {
		running := 0
		for _, e := range f.fleet.Engines {
			stats, err := e.EngineStats(ctx)
			if err != nil {
				return err
			}
			running += stats.Running + stats.Waiting
		}
		if running == 0 || !pause(ctx, probeInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// gapBound returns the largest gap allowed between backlogged workspaces that
// share the pool by the given weights: 2 x (the work in flight in the pool + one
// reporting interval x the pool's rate), divided by the least weight.
func (f *fairRun) gapBound(sizes map[string]Size, weights map[string]float64) float64 {
	totalWeight, leastWeight := 0.0, 0.0
	for _, weight := range weights {
		totalWeight += weight
		if leastWeight == 0 || weight < leastWeight {
			leastWeight = weight
		}
	}
	inFlight, rate := 0.0, 0.0
	for workspace, weight := range weights {
		// Equal normalized service means that a workspace's share of the slots is
		// proportional to its weight and inversely proportional to the rate at
		// which its requests use a slot.
		slots := fairTotalSlots * weight / totalWeight
		inFlight += slots * float64(sizes[workspace].Units())
		rate += slots * sizes[workspace].unitsPerSecond()
	}
	return 2 * (inFlight + f.reportInterval.Seconds()*rate) / leastWeight
}

// sameSize assigns one request size to all workspaces.
func sameSize(size Size, weights map[string]float64) map[string]Size {
	sizes := map[string]Size{}
	for workspace := range weights {
		sizes[workspace] = size
	}
	return sizes
}
