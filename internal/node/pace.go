package node

import "time"

// How often a router watches the store. Untuned first values.
const (
	// watchPause is between the watches of a router that others rely on or that
	// has no hub, followerPause between those of one that a hub will soon feed.
	watchPause    = 100 * time.Millisecond
	followerPause = 700 * time.Millisecond
	// routersPause and followerRoutersPause bound the rate of watches of the routers'
	// list; a router with a hub needs no more of it than its domain's hubs.
	routersPause         = time.Second
	followerRoutersPause = 4 * time.Second
	// outagePause is added after each failed call of a router with a hub: the hubs
	// try often, and feed it once one of them reaches the store.
	outagePause = 2500 * time.Millisecond
)

// follows tells whether this router leaves it to hubs to keep it up to date.
func (n *Node) follows() bool { return n.fleet != nil && n.fleet.plan.Load().IsFollower() }

// FollowsHub tells whether hubs do keep this router up to date, so that it need not watch
// the store itself.
func (n *Node) FollowsHub() bool {
	return n.follows() && n.fresh.age(time.Now()) < refreshAfter+refreshRanks*refreshStep
}

// WatchPause is the least time between two watches of the store, so that changes
// in quick succession do not cost a call each.
func (n *Node) WatchPause() time.Duration {
	if n.follows() {
		return followerPause
	}
	return watchPause
}

// OutagePause is the time by which this router tries a store that does not answer
// less often than one that others rely on.
func (n *Node) OutagePause() time.Duration {
	if n.follows() {
		return outagePause
	}
	return 0
}

// RoutersPause is the least time between two watches of the routers' list, so that
// a fleet that restarts does not cost a call of each router for each restart.
func (n *Node) RoutersPause() time.Duration {
	if n.follows() {
		return followerRoutersPause
	}
	return routersPause
}
