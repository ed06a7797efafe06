package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/freshness"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// A watch of the store may miss changes while it waits. If the state that a router holds is
	// not known to be complete as of refreshAgeShare of the time within which a change of the
	// configuration, the targets or the evacuations must be in force, routers therefore
	// read it again in the order of their rank, each refreshRankShare of that time after
	// the one before.
	refreshAgeShare  = 0.35
	refreshRankShare = 0.1
	// Followers read it from followerAgeShare on, spread over followerSpreadShare of that time,
	// so that those of a large fleet do not call the store at the same moment.
	followerAgeShare    = 0.6
	followerSpreadShare = 0.1
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

// sharedFreshness tracks as of when state is complete. It is safe for concurrent use.
type sharedFreshness struct {
	mu    sync.Mutex
	state freshness.Freshness
}

func (f *sharedFreshness) record(c freshness.Claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Record(c)
}

func (f *sharedFreshness) latest() freshness.Claim {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Latest()
}

func (f *sharedFreshness) age(now time.Time) time.Duration { return now.Sub(f.latest().At) }

// readOrigin identifies this process in claims about its reads.
func (n *Node) readOrigin() uint64 {
	return rendezvous.Mix(xxhash.Sum64String(string(n.settings.Instance)) ^ uint64(n.incarnation))
}

func encodeRead(r freshness.Read) *fleetv1.StateRead {
	if r.Origin == 0 {
		return nil
	}
	return &fleetv1.StateRead{Origin: r.Origin, Number: r.Number}
}

func decodeRead(r *fleetv1.StateRead) freshness.Read {
	return freshness.Read{Origin: r.GetOrigin(), Number: r.GetNumber()}
}

// SetReaders sets the functions that read the configuration and the list of targets in the
// store. It must be called before Run.
func (n *Node) SetReaders(config, targets Reader) {
	n.configState.read, n.targetsState.read = config, targets
}

// refresh reads each kind of state in the store again whenever it is older than this router's
// rank allows, until ctx ends.
func (n *Node) refresh(ctx context.Context) {
	var reads conc.WaitGroup
	defer reads.Wait()
	ticker := time.NewTicker(refreshCheckInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(started) < firstRefreshDelay {
			continue
		}
		maxAge := n.refreshAge()
		isDue := func(age time.Duration) bool {
			if !n.isHub() {
				// The watches read everything at the start. A hub reads it again, so that
				// its followers need not watch.
				age = min(age, now.Sub(started))
			}
			return age >= maxAge
		}
		if n.evacuations.refresher != nil && isDue(n.evacuations.freshness.age(now)) {
			n.evacuations.refresher()
		}
		for _, s := range []*syncedState{n.configState, n.targetsState} {
			if isDue(s.age(now)) && s.startRefresh(now) {
				reads.Go(func() { s.endRefresh(s.refresh(ctx)) })
			}
		}
	}
}

// refreshNow reads the store again and returns once the list is in force, or ctx is done.
// Concurrent calls share a read that begins after them.
func (n *Node) refreshNow(ctx context.Context) error {
	var reads conc.WaitGroup
	var ofConfig, ofTargets error
	reads.Go(func() { ofConfig = n.configState.refresh(ctx) })
	reads.Go(func() { ofTargets = n.targetsState.refresh(ctx) })
	reads.Wait()
	return errors.CombineErrors(ofTargets, ofConfig)
}

// changeDelay returns the time within which a change of any kind of state must be in force.
func (n *Node) changeDelay() time.Duration {
	delay := min(n.settings.ConfigDelay, n.settings.DrainTimeout)
	if evacuation := n.settings.EvacuationDelay; evacuation > 0 {
		delay = min(delay, evacuation)
	}
	return max(delay, minChangeDelay)
}

// refreshAge returns the age of state at which this router reads the store again.
func (n *Node) refreshAge() time.Duration {
	if n.isFollower() {
		return time.Duration((followerAgeShare + followerSpreadShare*n.spread) * float64(n.changeDelay()))
	}
	return n.refreshAgeOf(n.refreshRank())
}

// refreshAgeOf returns the age of state at which a hub, or a router without one, of the given
// rank reads the store again.
func (n *Node) refreshAgeOf(rank int) time.Duration {
	return time.Duration((refreshAgeShare + refreshRankShare*float64(rank)) * float64(n.changeDelay()))
}

// refreshRank returns the rank of this hub, or router without one, among the live routers that
// it is linked to. Rank 0 reads the store first.
func (n *Node) refreshRank() int {
	if n.fleet == nil {
		return 0
	}
	plan := n.fleet.plan.Load()
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
