package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

// duty is a controller that runs until its context ends.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// startDuties runs each controller in a goroutine of its own. The returned
// function ends them all.
func (d *Daemon) startDuties() (*conc.WaitGroup, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	duties := []duty{
		{"peer links", d.mesh.Run},
		{"configuration", d.config.Run},
		{"configuration in force", d.apply},
		{"scheduler", d.dispatcher.Run},
		{"ledger", d.ledger.Run},
		{"engine load", d.poller.Run},
		{"samples", d.sample},
		{"quarantine", d.quarantine.Run},
	}
	for _, source := range d.tls.sources {
		duties = append(duties, duty{"certificates", source.Run})
	}
	var wg conc.WaitGroup
	for _, duty := range duties {
		wg.Go(func() { d.run(ctx, duty) })
	}
	return &wg, cancel
}

func (d *Daemon) run(ctx context.Context, duty duty) {
	err := duty.run(ctx)
	if err != nil && !errors.Is(err, context.Canceled) {
		d.logger.WithError(err).WithField("duty", duty.name).Error("duty ended")
	}
}
