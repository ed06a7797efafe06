// Package duty runs the controllers of a process, each in a goroutine of its own.
// A process that has lost one must not go on as if it were whole, so the first
// failure, by an error or a panic, is told to whoever runs the group.
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
	Name string
	Run  func(ctx context.Context) error
	// Optional duties may fail without a failure of the group.
	Optional bool
}

// Loop is the duty of a function that cannot fail but by a panic.
func Loop(name string, run func(ctx context.Context)) Duty {
	return Duty{Name: name, Run: func(ctx context.Context) error {
		run(ctx)
		return nil
	}}
}

// Group is a set of running duties.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	logger *logrus.Entry
	failed chan error
	wg     conc.WaitGroup
}

// Start runs the duties until End.
func Start(logger *logrus.Entry, duties []Duty) *Group {
	ctx, cancel := context.WithCancel(context.Background())
	g := &Group{ctx: ctx, cancel: cancel, logger: logger, failed: make(chan error, 1)}
	for _, d := range duties {
		g.wg.Go(func() { g.run(d) })
	}
	return g
}

// Failed has the first failure of a duty that is not optional.
func (g *Group) Failed() <-chan error { return g.failed }

// End ends the duties and waits for them.
func (g *Group) End() {
	g.cancel()
	g.wg.Wait()
}

func (g *Group) run(d Duty) {
	err := d.try(g.ctx)
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
		// Only the first failure is told; it ends the process.
	}
}

// try runs a duty and turns a panic into an error with its stack.
func (d Duty) try(ctx context.Context) error {
	var err error
	var catcher panics.Catcher
	catcher.Try(func() { err = d.Run(ctx) })
	if recovered := catcher.Recovered(); recovered != nil {
		return recovered.AsError()
	}
	return err
}
