package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// A watch of the store may miss changes for as long as it waits, so one
	// router after the other reads the state again where none has done so for
	// verifyAfter: the first by rank, the next verifyStep later. The sum stays
	// well below the two seconds in which a change must be in force.
	verifyAfter = 700 * time.Millisecond
	verifyStep  = 200 * time.Millisecond
	// verifyRanks is the number of steps; later ranks act with the last.
	verifyRanks = 3
	// verifyTick is how often the age is looked at.
	verifyTick = 50 * time.Millisecond
	// watchPause is between the watches of a router that others rely on or that
	// has no hub, fedPause between those of one that a hub will soon feed.
	watchPause = 100 * time.Millisecond
	fedPause   = 700 * time.Millisecond
	// verifyPause follows a failed reading.
	verifyPause = 300 * time.Millisecond
)

// Verifier reads configuration and targets from the store again and puts them
// in force.
type Verifier func(ctx context.Context) error

// freshness knows when a router of the fleet last read the store's state.
type freshness struct {
	mu       sync.Mutex
	verified time.Time
}

// heard takes the age of a reading by this router or one that it has heard of.
func (f *freshness) heard(now time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-age); at.After(f.verified) {
		f.verified = at
	}
}

func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.verified)
}

// Fed tells whether hubs keep this router up to date, so that it need not watch
// the store itself.
func (n *Node) Fed() bool {
	if n.fleet == nil {
		return false
	}
	plan := n.fleet.plan.Load()
	return !plan.Direct && !plan.Hub && n.fresh.age(time.Now()) < verifyAfter+verifyRanks*verifyStep
}

// WatchPause is the least time between two watches of the store, so that changes
// in quick succession do not cost a call each.
func (n *Node) WatchPause() time.Duration {
	if n.fleet == nil {
		return watchPause
	}
	if plan := n.fleet.plan.Load(); plan.Direct || plan.Hub {
		return watchPause
	}
	return fedPause
}

// SetVerifier sets how the store is read again; it must come before Run.
func (n *Node) SetVerifier(v Verifier) { n.verifier = v }

// verify reads the store again whenever it is this router's turn.
func (n *Node) verify(ctx context.Context) {
	if n.verifier == nil {
		return
	}
	ticker := time.NewTicker(verifyTick)
	defer ticker.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Before(next) || n.fresh.age(now) < verifyAfter+time.Duration(n.verifyRank())*verifyStep {
			continue
		}
		if err := n.verifier(ctx); err != nil {
			// The watches log that the store is lost.
			next = time.Now().Add(verifyPause)
			continue
		}
		n.fresh.heard(now, 0)
	}
}

// verifyRank is this router's place among the live ones that it is linked to.
func (n *Node) verifyRank() int {
	if n.fleet == nil {
		return 0
	}
	plan := n.fleet.plan.Load()
	if !plan.Direct && !plan.Hub {
		return verifyRanks
	}
	var live []ids.Instance
	for _, p := range n.fleet.mesh.Live() {
		// A hub's routers leave the duty to the hubs.
		if plan.Direct || plan.IsHub(p.Domain, p.Instance) {
			live = append(live, p.Instance)
		}
	}
	return rankOf(n.settings.Instance, live)
}

// rankOf orders routers by the hash of their names, which spreads the duty over
// parts of a fleet that are not linked to each other.
func rankOf(self ids.Instance, others []ids.Instance) int {
	own := rendezvous.Mix(xxhash.Sum64String(string(self)))
	rank := 0
	for _, o := range others {
		if rendezvous.Mix(xxhash.Sum64String(string(o))) > own {
			rank++
		}
	}
	return min(rank, verifyRanks)
}
