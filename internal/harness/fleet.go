// Package harness starts a whole fleet from the project's own programs, as
// separate processes on loopback: the platform and the targets as stand-ins, and
// the routers. The demo, the process tests and the measurements use it.
package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/loopback"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// FleetName is the fleet name in the settings of all routers.
	FleetName = "bench"
	// AdminToken is the bearer token of the admin API of all routers.
	AdminToken = "operator"

	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
	callTimeout       = 10 * time.Second
	stopTimeout       = 5 * time.Second
	stopLeadMS        = 50
	fileMode          = 0o600
)

// Fleet is a running fleet. Close stops all its processes.
type Fleet struct {
	Spec     Spec
	Binaries Binaries
	// Dir is the directory of the settings, contracts and record files.
	Dir      string
	Platform *Platform
	Routers  []*Router
	Engines  []*Target
	Services []*Target
	Links    *Links

	ports  *loopback.Pool
	client *http.Client
}

// Start starts a fleet and returns once all routers are ready. On an error it
// stops the processes that it has started.
func Start(ctx context.Context, binaries Binaries, spec Spec) (*Fleet, error) {
	f := &Fleet{
		Spec:     spec,
		Binaries: binaries,
		ports:    loopback.NewPool(),
		client:   &http.Client{Timeout: callTimeout},
	}
	if err := f.start(ctx); err != nil {
		logs := f.Logs()
		f.Close()
		return nil, errors.Wrapf(err, "harness: start fleet\n%s", logs)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "umberhill-fleet-")
	if err != nil {
		return errors.Wrap(err, "create fleet directory")
	}
	f.Dir = dir
	f.Links = newLinks(f)
	for _, step := range []func(context.Context) error{
		f.startPlatform, f.startTargets, f.startRouters,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all processes and removes the fleet's directory. Processes that
// still run after stopTimeout are killed.
func (f *Fleet) Close() {
	procs := f.procs()
	for _, p := range procs {
		p.Resume()
		p.Terminate()
	}
	// A router's planned stop can take long while requests run.
	deadline := time.Now().Add(stopTimeout)
	for _, p := range procs {
		if _, err := p.Wait(time.Until(deadline)); err != nil {
			_ = p.Kill()
		}
		p.wg.Wait()
	}
	f.Links.close()
	f.client.CloseIdleConnections()
	_ = os.RemoveAll(f.Dir)
}

func (f *Fleet) procs() []*Proc {
	var procs []*Proc
	for _, r := range f.Routers {
		procs = append(procs, r.Proc)
	}
	for _, t := range append(append([]*Target{}, f.Engines...), f.Services...) {
		procs = append(procs, t.Proc)
	}
	if f.Platform != nil {
		procs = append(procs, f.Platform.Proc)
	}
	return procs
}

// Logs returns the last part of the output of all processes.
func (f *Fleet) Logs() string {
	var out string
	for _, p := range f.procs() {
		if text := p.Log(); text != "" {
			out += fmt.Sprintf("--- %s\n%s\n", p.Name, text)
		}
	}
	return out
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	args := []string{"platform"}
	if f.Spec.MaxEvents > 0 {
		args = append(args, "--max-events", fmt.Sprint(f.Spec.MaxEvents))
	}
	address, err := f.ports.Reserve(1)
	if err != nil {
		return err
	}
	f.Platform = &Platform{Address: address[0], client: f.client}
	f.Platform.Proc = newProc("platform", f.Binaries.Standin, append(args, "--address", address[0])...)
	return startStandin(ctx, f.Platform.Proc)
}

func (f *Fleet) startRouters(ctx context.Context) error {
	for _, d := range f.Spec.Domains {
		for range d.Routers {
			r, err := f.newRouter(d.Name)
			if err != nil {
				return err
			}
			f.Routers = append(f.Routers, r)
		}
	}
	for _, r := range f.Routers {
		if err := f.configure(ctx, r); err != nil {
			return err
		}
	}
	p := pool.New().WithContext(ctx)
	for _, r := range f.Routers {
		p.Go(r.start)
	}
	return p.Wait()
}

func (f *Fleet) newRouter(domain string) (*Router, error) {
	addresses, err := f.ports.Reserve(3)
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("%s-router-%d", domain, len(f.Routers)+1)
	r := &Router{
		ID:             id,
		Domain:         domain,
		CallersAddress: addresses[0],
		AdminAddress:   addresses[1],
		PeerAddress:    addresses[2],
		SettingsFile:   filepath.Join(f.Dir, id+".json"),
		client:         f.client,
	}
	r.Proc = newProc(id, f.Binaries.Daemon, "run", r.SettingsFile)
	return r, nil
}

// configure writes a router's settings file and registers the router at the
// platform.
func (f *Fleet) configure(ctx context.Context, r *Router) error {
	platform, err := f.Links.platformAddress(r)
	if err != nil {
		return err
	}
	s := settings.Settings{
		Fleet:    FleetName,
		Instance: r.ID,
		Domain:   r.Domain,
		Callers:  settings.Callers{Address: r.CallersAddress},
		Admin:    settings.Admin{Address: r.AdminAddress, Token: AdminToken},
		Peer:     settings.Peer{Address: r.PeerAddress},
		Platform: settings.Platform{URL: "http://" + platform, Token: r.ID},
		// A short lead suffices, since no load balancer has to observe that these
		// routers become unready.
		StopLeadMS: stopLeadMS,
	}
	for _, other := range f.Routers {
		if other == r {
			continue
		}
		address, err := f.Links.peerAddress(r, other)
		if err != nil {
			return err
		}
		s.Peer.Seeds = append(s.Peer.Seeds, settings.Seed{Instance: other.ID, Address: address, Domain: other.Domain})
	}
	if f.Spec.EditSettings != nil {
		f.Spec.EditSettings(&s)
	}
	if err := writeJSON(r.SettingsFile, s); err != nil {
		return err
	}
	return f.Platform.Put(ctx, api.KindRouter, r.ID, api.Router{
		ID: r.ID, PeerAddress: r.PeerAddress, Domain: r.Domain, State: api.StateLive,
	})
}

func writeJSON(path string, value any) error {
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	return errors.Wrapf(os.WriteFile(path, content, fileMode), "write %s", path)
}
