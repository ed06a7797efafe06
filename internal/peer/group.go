package peer

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
)

// group runs tasks in goroutines; a task may start further ones. The first task
// that fails or panics cancels the group's context. wait returns its error or
// repeats its panic.
type group struct {
	wg     conc.WaitGroup
	cancel context.CancelFunc

	once sync.Once
	err  error
}

func newGroup(ctx context.Context) (*group, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	return &group{cancel: cancel}, ctx
}

// run starts a task. The group's context is canceled when the task fails or
// panics.
func (g *group) run(task func() error) {
	g.wg.Go(func() {
		returned := false
		defer func() {
			if !returned {
				g.cancel()
			}
		}()
		err := task()
		returned = true
		if err == nil {
			return
		}
		g.once.Do(func() { g.err = err })
		g.cancel()
	})
}

// wait returns the first error once all tasks have ended.
func (g *group) wait() error {
	defer g.cancel()
	g.wg.Wait()
	return g.err
}
