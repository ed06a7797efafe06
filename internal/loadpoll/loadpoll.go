// Package loadpoll periodically reads the load that engines report about
// themselves, for the targets whose permits this router owns.
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
	// maxParallelReads bounds the number of concurrent reads.
	maxParallelReads = 16
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 4 << 10
	// maxReportHeadBytes bounds the head of the response that carries it.
	maxReportHeadBytes = 16 << 10
)

// Directory provides the addresses and kinds of targets.
type Directory interface {
	Address(id ids.Target) (string, bool)
	IsEngine(id ids.Target) bool
}

// Options configures a Poller.
type Options struct {
	// Interval is the time between two reads of a target; it also bounds one read.
	Interval time.Duration
	// Directory provides the addresses and kinds of the owned targets.
	Directory Directory
	// OwnedTargets returns the targets whose permits this router owns.
	OwnedTargets func(ctx context.Context) []ids.Target
	// Report is called with the load of a target, concurrently for different
	// targets.
	Report func(sched.Load)
	// Scope receives the metrics. Required.
	Scope tally.Scope
}

// Poller is the controller that reads the load of engines.
type Poller struct {
	opts   Options
	client *http.Client
	reads  tally.Counter
	failed tally.Counter
}

// New returns a Poller.
func New(opts Options) *Poller {
	return &Poller{
		opts: opts,
		client: &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: maxReportHeadBytes},
			Timeout:   opts.Interval,
		},
		reads:  opts.Scope.Counter("load_reads"),
		failed: opts.Scope.Counter("load_reads_failed"),
	}
}

// Run reads the load of all owned engines at each interval until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	ticker := time.NewTicker(p.opts.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.pollAll(ctx)
		}
	}
}

func (p *Poller) pollAll(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(maxParallelReads)
	for _, id := range p.opts.OwnedTargets(ctx) {
		address, ok := p.opts.Directory.Address(id)
		if !ok || !p.opts.Directory.IsEngine(id) {
			continue
		}
		workers.Go(func() { p.poll(ctx, id, address) })
	}
	workers.Wait()
}

func (p *Poller) poll(ctx context.Context, id ids.Target, address string) {
	p.reads.Inc(1)
	report, err := p.fetch(ctx, address)
	if err != nil {
		p.failed.Inc(1)
		return
	}
	p.opts.Report(sched.Load{Target: id, Running: report.Running, Waiting: report.Waiting})
}

// report is the body of an engine's response.
type report struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

func (p *Poller) fetch(ctx context.Context, address string) (*report, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "build load request")
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "read load from %s", address)
	}
	defer resp.Body.Close()
	var r report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return nil, errors.Wrapf(err, "decode load from %s", address)
	}
	return &r, nil
}
