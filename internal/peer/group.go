package peer

import (
	"context"
	"sync"

	"github.com/sourcegraph/conc"
)

// group runs duties that may start further ones. The first that fails or
// panics cancels the rest; wait returns its error or panics again.
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

// run starts a duty that ends the whole group when it fails.
func (g *group) run(duty func() error) {
	g.wg.Go(func() {
		returned := false
		defer func() {
			if !returned {
				g.cancel()
			}
		}()
		err := duty()
		returned = true
		if err == nil {
			return
		}
		g.once.Do(func() { g.err = err })
		g.cancel()
	})
}

func (g *group) wait() error {
	defer g.cancel()
	g.wg.Wait()
	return g.err
}
