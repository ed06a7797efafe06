package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// duty is a controller that runs until its context ends.
type duty struct {
	name string
	run  func(ctx context.Context) error
	// optional duties may fail without ending the router.
	optional bool
}

// startDuties runs each controller in a goroutine of its own. The returned
// function ends them all.
func (d *Daemon) startDuties() (*conc.WaitGroup, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	duties := []duty{
		{name: "peer links", run: d.mesh.Run},
		{name: "configuration", run: d.config.Run},
		{name: "configuration in force", run: d.apply},
		{name: "scheduler", run: d.dispatcher.Run},
		{name: "ledger", run: d.ledger.Run},
		{name: "engine load", run: d.poller.Run},
		{name: "samples", run: d.sample},
		{name: "quarantine", run: d.quarantine.Run},
	}
	for _, source := range d.tls.sources {
		duties = append(duties, duty{name: "certificates", run: source.Run, optional: true})
	}
	var wg conc.WaitGroup
	for _, duty := range duties {
		wg.Go(func() { d.run(ctx, duty) })
	}
	return &wg, cancel
}

// run carries a duty out. A router that has lost one must not go on as if it
// were whole: its end, by an error or a panic, ends the router.
func (d *Daemon) run(ctx context.Context, duty duty) {
	err := duty.try(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	d.logger.WithError(err).WithField("duty", duty.name).Error("duty failed")
	if duty.optional {
		return
	}
	select {
	case d.failed <- errors.Wrap(err, duty.name):
	default:
	}
}

// try runs a duty and turns a panic into an error with its stack.
func (duty duty) try(ctx context.Context) error {
	var err error
	var catcher panics.Catcher
	catcher.Try(func() { err = duty.run(ctx) })
	if recovered := catcher.Recovered(); recovered != nil {
		return recovered.AsError()
	}
	return err
}
