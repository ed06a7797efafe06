package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/standin"
	"github.com/umberhill/umberhill/internal/standin/engine"
	"github.com/umberhill/umberhill/internal/standin/service"
)

// Target is a running stand-in for an engine or a plain service.
type Target struct {
	*Proc
	// Object is the target as the platform lists it.
	Object api.Target
	// Address is the address of the process itself; Object.Address may be that of a
	// relay.
	Address string
	// RecordFile is the path of the file that records a plain service's runs.
	RecordFile string

	fleet *Fleet
}

// Restart starts the process again at the same address after it has exited.
func (t *Target) Restart(ctx context.Context) error {
	return startStandin(ctx, t.Proc)
}

// SetFaults replaces the current faults. Its argument is an engine.Faults or a
// service.Faults.
func (t *Target) SetFaults(ctx context.Context, faults any) error {
	return callJSON(ctx, t.fleet.client, http.MethodPost, "http://"+t.Address+"/faults", faults, nil)
}

// EngineStats returns an engine's statistics since its start.
func (t *Target) EngineStats(ctx context.Context) (engine.Stats, error) {
	var stats engine.Stats
	err := callJSON(ctx, t.fleet.client, http.MethodGet, "http://"+t.Address+"/stats", nil, &stats)
	return stats, err
}

// Runs returns the calls that a plain service ran, including those of earlier
// processes and of one that has exited.
func (t *Target) Runs() ([]service.Run, error) {
	return service.ReadRecord(t.RecordFile)
}

// Publish writes the target to the platform with the given state.
func (t *Target) Publish(ctx context.Context, state api.State) error {
	t.Object.State = state
	return t.fleet.Platform.Put(ctx, api.KindTarget, t.Object.ID, t.Object)
}

func (f *Fleet) startTargets(ctx context.Context) error {
	for _, d := range f.Spec.Domains {
		for _, spec := range d.Engines {
			if err := f.startEngine(ctx, d.Name, spec); err != nil {
				return err
			}
		}
		for _, spec := range d.Services {
			if err := f.startService(ctx, d.Name, spec); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) startEngine(ctx context.Context, domain string, spec Engine) error {
	id := fmt.Sprintf("%s-engine-%d", domain, len(f.Engines)+1)
	if spec.Concurrency == 0 {
		spec.Concurrency = engine.DefaultConcurrency
	}
	t := &Target{fleet: f, Object: api.Target{
		ID: id, Kind: api.TargetEngine, Domain: domain, Models: spec.Models, Concurrency: spec.Concurrency,
	}}
	err := f.startTarget(ctx, t, engineArgs(spec))
	f.Engines = append(f.Engines, t)
	return err
}

func (f *Fleet) startService(ctx context.Context, domain string, spec Service) error {
	id := fmt.Sprintf("%s-%s-%d", domain, spec.Name, len(f.Services)+1)
	if spec.Concurrency == 0 {
		spec.Concurrency = service.DefaultConcurrency
	}
	t := &Target{
		fleet:      f,
		RecordFile: filepath.Join(f.Dir, id+".runs"),
		Object: api.Target{
			ID: id, Kind: api.TargetService, Domain: domain, Service: spec.Name, Concurrency: spec.Concurrency,
		},
	}
	args := []string{"service", "--name", id, "--record", t.RecordFile, "--concurrency", fmt.Sprint(spec.Concurrency)}
	if spec.RunTime > 0 {
		args = append(args, "--run-time", spec.RunTime.String())
	}
	err := f.startTarget(ctx, t, args)
	f.Services = append(f.Services, t)
	return err
}

// startTarget starts a target's process and publishes it at the platform.
func (f *Fleet) startTarget(ctx context.Context, t *Target, args []string) error {
	address, err := f.ports.Reserve(1)
	if err != nil {
		return err
	}
	t.Address = address[0]
	t.Proc = newProc(t.Object.ID, f.Binaries.Standin, append(args, "--address", t.Address)...)
	if err := startStandin(ctx, t.Proc); err != nil {
		return err
	}
	t.Object.Address, err = f.Links.targetAddress(t)
	if err != nil {
		return err
	}
	return t.Publish(ctx, api.StateLive)
}

func engineArgs(spec Engine) []string {
	args := []string{"engine", "--concurrency", fmt.Sprint(spec.Concurrency)}
	for _, model := range spec.Models {
		args = append(args, "--model", model)
	}
	add := func(isSet bool, flag string, value any) {
		if isSet {
			args = append(args, flag, fmt.Sprint(value))
		}
	}
	add(spec.TokensPerSecond > 0, "--tokens-per-second", spec.TokensPerSecond)
	add(spec.PromptTokensPerSecond > 0, "--prompt-tokens-per-second", spec.PromptTokensPerSecond)
	add(spec.MaxWaiting > 0, "--max-waiting", spec.MaxWaiting)
	add(spec.CacheBlocks > 0, "--cache-blocks", spec.CacheBlocks)
	add(spec.LoadLag > 0, "--load-lag", spec.LoadLag)
	add(spec.StreamRetention > 0, "--keep", spec.StreamRetention)
	return args
}

// startStandin starts a stand-in and waits for its ready line.
func startStandin(ctx context.Context, p *Proc) error {
	first, err := p.start()
	if err != nil {
		return err
	}
	select {
	case line := <-first:
		var ready standin.Ready
		if err := json.Unmarshal([]byte(line), &ready); err != nil {
			return errors.Wrapf(err, "start %s: ready line %q", p.Name, line)
		}
		return nil
	case <-time.After(readyTimeout):
		return errors.Newf("start %s: not ready after %s", p.Name, readyTimeout)
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "start %s", p.Name)
	}
}
