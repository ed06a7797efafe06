// Package loadpoll reads the load that engines report about themselves, for the
// targets whose permits this router owns.
package loadpoll

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// parallel reads at a time.
	parallel = 16
	// maxBody bounds a report in bytes.
	maxBody = 4 << 10
)

// Directory tells where engines listen.
type Directory interface {
	Address(id ids.Target) (string, bool)
	Engine(id ids.Target) bool
}

// Options of a Poller.
type Options struct {
	// Interval between two reads of a target; it also bounds a read.
	Interval  time.Duration
	Directory Directory
	// Owned returns the targets to read.
	Owned func(ctx context.Context) []ids.Target
	// Report takes what a target reported.
	Report func(sched.Load)
	Scope  tally.Scope
}

// Poller is the controller that reads engines' load.
type Poller struct {
	opts   Options
	client *http.Client
	reads  tally.Counter
	failed tally.Counter
}

// New returns a Poller.
func New(opts Options) *Poller {
	return &Poller{
		opts:   opts,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: opts.Interval},
		reads:  opts.Scope.Counter("load_reads"),
		failed: opts.Scope.Counter("load_reads_failed"),
	}
}

// Run reads until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.round(ctx)
		}
	}
}

func (p *Poller) round(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(parallel)
	for _, id := range p.opts.Owned(ctx) {
		address, ok := p.opts.Directory.Address(id)
		if !ok || !p.opts.Directory.Engine(id) {
			continue
		}
		workers.Go(func() { p.read(ctx, id, address) })
	}
	workers.Wait()
}

func (p *Poller) read(ctx context.Context, id ids.Target, address string) {
	p.reads.Inc(1)
	report, err := p.get(ctx, address)
	if err != nil {
		p.failed.Inc(1)
		return
	}
	p.opts.Report(sched.Load{Target: id, Running: report.Running, Waiting: report.Waiting})
}

// report is the engine's answer.
type report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (p *Poller) get(ctx context.Context, address string) (*report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build the read of load")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "read load at %s", address)
	}
	defer resp.Body.Close()
	var r report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&r); err != nil {
		return nil, errors.Wrapf(err, "decode load of %s", address)
	}
	return &r, nil
}
