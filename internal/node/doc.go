// Package node runs one router of a fleet that gets its configuration and targets
// from a platform. It runs the listeners, readiness, the request path and the links
// to the other routers, and stops the router gracefully. Long-running controllers
// run as separate duties.
//
// The router keeps serving while the platform's store is unavailable: it keeps its
// targets and pulls newer state from peers that still reach the store.
//
// Invariants: the configuration version in force never decreases, and a router
// whose duty has failed stops instead of running without it.
package node
