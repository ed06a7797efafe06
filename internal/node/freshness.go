package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// A watch of the store may miss changes while it waits. If no router has read
	// the full state for refreshAgeShare of the time within which a change of the
	// configuration, the targets or the evacuations must be in force, routers therefore
	// read it again in the order of their rank, each refreshRankShare of that time after
	// the one before.
	refreshAgeShare  = 0.35
	refreshRankShare = 0.1
	// minChangeDelay is the shortest such time that refreshes are made for.
	minChangeDelay = 2 * time.Second
	// maxRefreshRank is the highest rank. Routers beyond it have the same rank.
	maxRefreshRank = 3
	// refreshCheckInterval is how often the age of the last read is checked.
	refreshCheckInterval = 50 * time.Millisecond
	// firstRefreshDelay is how long after its start a router reads the store again at the
	// earliest. Until then it gets the list of routers, which tells whether it is a hub.
	firstRefreshDelay = 300 * time.Millisecond
	// refreshRetryDelay is the delay after a failed read.
	refreshRetryDelay = 300 * time.Millisecond
)

// Refresher reads configuration and targets from the store again and applies them. It
// returns an error if they cannot be read.
type Refresher func(ctx context.Context) error

// freshness tracks when any router of the fleet last read the full state of the
// store.
type freshness struct {
	mu          sync.Mutex
	refreshedAt time.Time
}

// observe records a read by this router or, as reported by a peer, by another
// router. age is the time since that read.
func (f *freshness) observe(now time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := now.Add(-age); at.After(f.refreshedAt) {
		f.refreshedAt = at
	}
}

func (f *freshness) age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.refreshedAt)
}

// SetRefresher sets the function that reads the store again. It must be called
// before Run.
func (n *Node) SetRefresher(v Refresher) { n.refresher = v }

// refresh reads the store again whenever the last read by any router is older than
// this router's rank allows, until ctx ends.
func (n *Node) refresh(ctx context.Context) {
	if n.refresher == nil {
		return
	}
	ticker := time.NewTicker(refreshCheckInterval)
	defer ticker.Stop()
	started := time.Now()
	next := started.Add(firstRefreshDelay)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		isDue := func(f *freshness) bool {
			age := f.age(now)
			if !n.isHub() {
				// The watches read everything at the start. A hub reads it again, so that
				// its followers need not watch.
				age = min(age, now.Sub(started))
			}
			return age >= n.refreshAgeOf(n.refreshRank())
		}
		if now.Sub(started) >= firstRefreshDelay && n.evacuations.refresher != nil && isDue(&n.evacuations.freshness) {
			n.evacuations.refresher()
		}
		if now.Before(next) || !isDue(&n.freshness) {
			continue
		}
		if err := n.refreshNow(ctx); err != nil {
			// The watches of the store log the outage.
			next = time.Now().Add(refreshRetryDelay)
		}
	}
}

// readAgain reads the store again.
func (n *Node) readAgain(ctx context.Context) error {
	start := time.Now()
	if err := n.refresher(ctx); err != nil {
		return err
	}
	n.freshness.observe(start, 0)
	n.directory.recordComplete(start)
	return nil
}

// refreshNow reads the store again and returns once the list is in force, or ctx is done.
// Concurrent calls share a read that begins after them.
func (n *Node) refreshNow(ctx context.Context) error {
	if n.refresher == nil {
		return errors.New("no store to read")
	}
	_, err := n.refreshes.do(ctx, "", func(ctx context.Context) (any, error) { return nil, n.readAgain(ctx) })
	return err
}

// refreshAgeOf returns the age of the last read at which a router of the given rank reads
// the store again.
func (n *Node) refreshAgeOf(rank int) time.Duration {
	delay := min(n.settings.ConfigDelay, n.settings.DrainTimeout)
	if evacuation := n.settings.EvacuationDelay; evacuation > 0 {
		delay = min(delay, evacuation)
	}
	delay = max(delay, minChangeDelay)
	return time.Duration((refreshAgeShare + refreshRankShare*float64(rank)) * float64(delay))
}

// refreshRank returns the rank of this router among the live routers that it is
// linked to. Rank 0 reads the store first.
func (n *Node) refreshRank() int {
	if n.fleet == nil {
		return 0
	}
	plan := n.fleet.plan.Load()
	if plan.IsFollower() {
		return maxRefreshRank
	}
	var live []ids.Instance
	for _, p := range n.fleet.mesh.Live() {
		// Followers are not counted: they read the store after the hubs.
		if plan.FullMesh || plan.IsHub(p.Domain, p.Instance) {
			live = append(live, p.Instance)
		}
	}
	return rankOf(n.settings.Instance, live)
}

// rankOf returns the number of other routers whose names have a higher hash than
// self, at most maxRefreshRank. Ordering by hash distributes the reads over parts
// of a fleet that are not linked to each other.
func rankOf(self ids.Instance, others []ids.Instance) int {
	own := rendezvous.Mix(xxhash.Sum64String(string(self)))
	rank := 0
	for _, o := range others {
		if rendezvous.Mix(xxhash.Sum64String(string(o))) > own {
			rank++
		}
	}
	return min(rank, maxRefreshRank)
}
