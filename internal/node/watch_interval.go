package node

import "time"

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
	// followerRetryDelay is added to the delay after each failed call of a follower.
	// The hubs retry more often, and send it the state once one of them reaches the
	// store.
	followerRetryDelay = 2500 * time.Millisecond
)

// isFollower reports whether this router gets the fleet's state from hubs.
func (n *Node) isFollower() bool { return n.fleet != nil && n.fleet.plan.Load().IsFollower() }

// IsUpdatedByHub reports whether this router is a follower and its state is recent
// enough that it need not watch the store itself.
func (n *Node) IsUpdatedByHub() bool {
	return n.isFollower() && n.freshness.age(time.Now()) < n.refreshAgeOf(maxRefreshRank)
}

// IsRouterListCurrent reports whether this router is a follower whose hub has the same hubs
// on its list of routers, as of the given era of the store, so that it need not watch the
// list. Of that list a follower only needs the hubs of its failure domain.
func (n *Node) IsRouterListCurrent(era uint64) bool {
	return n.IsUpdatedByHub() && !n.fleet.hubsDiffer.Load() && n.fleet.hubEra.Load() == era
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
	if n.IsUpdatedByHub() {
		return followerRouterListInterval
	}
	return routerListInterval
}
