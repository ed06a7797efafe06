package node

import (
	"context"
	"time"

	"github.com/umberhill/umberhill/internal/pause"
)

// Intervals at which a router watches the store.
const (
	// watchInterval applies to hubs and to routers without a hub.
	// followerWatchInterval applies to followers, which get the state from a hub soon.
	watchInterval         = 100 * time.Millisecond
	followerWatchInterval = 700 * time.Millisecond
	// routerListInterval and followerRouterListInterval bound the rate of watches of
	// the list of routers, the latter for followers that hubs keep up to date.
	routerListInterval         = time.Second
	followerRouterListInterval = 4 * time.Second
	// While the whole fleet starts, a router's first list of routers lacks most of them.
	// startingRouterListInterval bounds the rate of watches of the list during the first
	// startDuration, and routerListSettleTime is how long a router waits for further routers
	// before it takes the fleet for a small one.
	startingRouterListInterval = 250 * time.Millisecond
	startDuration              = 2 * time.Second
	routerListSettleTime       = 300 * time.Millisecond
	// hubTimeout is how long a router that starts waits for its hub before it reads the
	// store, and hubCheckInterval how often it checks.
	hubTimeout       = 1200 * time.Millisecond
	hubCheckInterval = 20 * time.Millisecond
	// followerRetryDelay is added to the delay after each failed call of a follower.
	// The hubs retry more often, and send it the state once one of them reaches the
	// store.
	followerRetryDelay = 2500 * time.Millisecond
)

// isFollower reports whether this router gets the fleet's state from hubs.
func (n *Node) isFollower() bool { return n.fleet != nil && n.fleet.plan.Load().IsFollower() }

// isHub reports whether this router sums up the reports of its failure domain.
func (n *Node) isHub() bool { return n.fleet != nil && n.fleet.plan.Load().Hub }

// IsConfigUpdatedByHub reports whether this router is a follower and the configuration that its
// peers hold is recent enough that it need not watch the store itself.
func (n *Node) IsConfigUpdatedByHub() bool { return n.isUpdatedByHub(n.configState) }

// AreTargetsUpdatedByHub is IsConfigUpdatedByHub for the list of targets.
func (n *Node) AreTargetsUpdatedByHub() bool { return n.isUpdatedByHub(n.targetsState) }

func (n *Node) isUpdatedByHub(s *syncedState) bool {
	return n.isFollower() && s.claimedAge(time.Now()) < n.refreshAgeOf(maxRefreshRank)
}

// IsUpdatedByHub reports whether hubs keep all state of this router up to date.
func (n *Node) IsUpdatedByHub() bool {
	return n.IsConfigUpdatedByHub() && n.AreTargetsUpdatedByHub()
}

// AreEvacuationsUpdatedByHub is IsUpdatedByHub for the set of evacuated domains.
func (n *Node) AreEvacuationsUpdatedByHub() bool { return n.evacuations.isUpdatedByHub() }

// IsRouterListCurrent reports whether this router is a follower whose hub has the same hubs
// on its list of routers, as of the given era of the store, so that it need not watch the
// list. Of that list a follower only needs the hubs of its failure domain.
func (n *Node) IsRouterListCurrent(era uint64) bool {
	return n.IsUpdatedByHub() && !n.fleet.hubsDiffer.Load() && n.fleet.hubEra.Load() == era
}

// AwaitHub returns once hubs keep this router up to date, once it has known for
// routerListSettleTime that it has no hub, or after hubTimeout.
func (n *Node) AwaitHub(ctx context.Context) {
	if n.fleet == nil {
		return
	}
	var listedSince time.Time
	for deadline := time.Now().Add(hubTimeout); ctx.Err() == nil && !n.IsUpdatedByHub(); pause.Sleep(ctx, hubCheckInterval) {
		now := time.Now()
		switch {
		case now.After(deadline):
			return
		case !n.fleet.hasRouterList.Load() || n.isFollower():
			listedSince = time.Time{}
		case listedSince.IsZero():
			listedSince = now
		case now.Sub(listedSince) > routerListSettleTime:
			return
		}
	}
}

// WatchInterval returns the minimum time between two watches of the store, so that
// changes in quick succession do not need one call each.
func (n *Node) WatchInterval() time.Duration {
	if n.isFollower() {
		return followerWatchInterval
	}
	return watchInterval
}

// ExtraRetryDelay returns the time to add to the delay before this router retries a
// store that does not respond. It is zero for hubs and for routers without a hub.
func (n *Node) ExtraRetryDelay() time.Duration {
	if n.isFollower() {
		return followerRetryDelay
	}
	return 0
}

// RouterListInterval returns the minimum time between two watches of the list of
// routers, so that a rolling restart of the fleet does not cause a call from each
// router for each restart.
func (n *Node) RouterListInterval() time.Duration {
	switch {
	case n.IsUpdatedByHub():
		return followerRouterListInterval
	case time.Since(n.createdAt) < startDuration:
		return startingRouterListInterval
	}
	return routerListInterval
}
