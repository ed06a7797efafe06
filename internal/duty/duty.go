// Package duty runs the controllers of a process, each in a goroutine of its own.
// A process in which a controller has failed must not continue as if it were fully
// functional, so the first failure, whether an error or a panic, is reported to the
// owner of the group.
package duty

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// Duty is a controller that runs until its context ends.
type Duty struct {
	// Name appears in the log and in the error that Failed reports.
	Name string
	// Run returns once ctx ends. An error that it returns before that is a
	// failure.
	Run func(ctx context.Context) error
	// Optional is set if a failure of the duty is only logged and is not a failure
	// of the group.
	Optional bool
}

// Loop returns a duty for a function that returns no error, so that only a panic is
// a failure.
func Loop(name string, run func(ctx context.Context)) Duty {
	return Duty{Name: name, Run: func(ctx context.Context) error {
		run(ctx)
		return nil
	}}
}

// Group is a set of running duties. Its methods are safe for concurrent use.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	logger *logrus.Entry
	failed chan error
	wg     conc.WaitGroup
}

// Start starts the duties. They run until Stop is called.
func Start(logger *logrus.Entry, duties []Duty) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{ctx: ctx, cancel: cancel, logger: logger, failed: make(chan error, 1)}
	for _, d := range duties {
		g.wg.Go(func() { g.run(d) })
	}
	return g
}

// Failed returns a channel that receives the first failure of a duty that is not
// optional.
func (g *Group) Failed() <-chan error { return g.failed }

// Stop cancels the context of the duties and waits until all have returned.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}

// run runs a duty and reports its failure. An error after the group's context has
// ended is not a failure.
func (g *Group) run(d Duty) {
	err := d.runRecovered(g.ctx)
	if err == nil || g.ctx.Err() != nil {
		return
	}
	g.logger.WithError(err).WithField("duty", d.Name).Error("duty failed")
	if d.Optional {
		return
	}
	select {
	case g.failed <- errors.Wrap(err, d.Name):
	default:
		// Only the first failure is reported, as it ends the process.
	}
}

// runRecovered runs a duty and returns a panic as an error with the panic's stack.
func (d Duty) runRecovered(ctx context.Context) error {
	var err error
	var catcher panics.Catcher
	catcher.Try(func() { err = d.Run(ctx) })
	if recovered := catcher.Recovered(); recovered != nil {
		return recovered.AsError()
	}
	return err
}
