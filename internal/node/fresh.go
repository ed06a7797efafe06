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
	// refreshAfter: the first by rank, the next refreshStep later. The sum stays
	// well below the two seconds in which a change must be in force.
	refreshAfter = 700 * time.Millisecond
	refreshStep  = 200 * time.Millisecond
	// refreshRanks is the number of steps; later ranks act with the last.
	refreshRanks = 3
	// refreshTick is how often the age is looked at.
	refreshTick = 50 * time.Millisecond
	// refreshPause follows a failed reading.
	refreshPause = 300 * time.Millisecond
)

// Refresher reads configuration and targets from the store again and puts them
// in force.
type Refresher func(ctx context.Context) error

// freshness knows when a router of the fleet last read the store's state.
type freshness struct {
	mu        sync.Mutex
	refreshed time.Time
}

// observe takes the age of a reading by this router or one that it has heard of.
func (f *freshness) observe(now time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-age); at.After(f.refreshed) {
		f.refreshed = at
	}
}

func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.refreshed)
}

// SetRefresher sets how the store is read again; it must come before Run.
func (n *Node) SetRefresher(v Refresher) { n.refresher = v }

// refresh reads the store again whenever it is this router's turn.
func (n *Node) refresh(ctx context.Context) {
	if n.refresher == nil {
		return
	}
	ticker := time.NewTicker(refreshTick)
	defer ticker.Stop()
	var next time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Before(next) || n.fresh.age(now) < refreshAfter+time.Duration(n.refreshRank())*refreshStep {
			continue
		}
		if err := n.refresher(ctx); err != nil {
			// The watches log that the store is lost.
			next = time.Now().Add(refreshPause)
			continue
		}
		n.fresh.observe(now, 0)
	}
}

// refreshRank is this router's place among the live ones that it is linked to.
func (n *Node) refreshRank() int {
	if n.fleet == nil {
		return 0
	}
	plan := n.fleet.plan.Load()
	if plan.IsFollower() {
		return refreshRanks
	}
	var live []ids.Instance
	for _, p := range n.fleet.mesh.Live() {
		// A hub's routers leave the duty to the hubs.
		if plan.FullMesh || plan.IsHub(p.Domain, p.Instance) {
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
	return min(rank, refreshRanks)
}
