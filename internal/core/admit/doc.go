// Package admit implements admission control and load balancing for the requests of one
// router: it decides which target serves a request and when, which requests wait in the
// router's queue, and which are refused. It is a deterministic state machine without
// I/O, goroutines or a clock: requests, their progress and peer reports are passed in
// together with the current time, and verdicts are returned.
//
// It handles overload, where more work arrives than the targets can serve. Engines
// start requests in the order of arrival, so the prefill work outstanding at an engine
// is kept below the shortest latency objective and the queue forms at the router
// instead. There, workspaces within their fair share go first, then more urgent
// requests, then the request that is due first. A request that cannot start in time is
// refused at once; its Retry-After is the time in which the queue is expected to empty.
//
// In a large fleet each router's view of the load is old. There a router considers few
// engines (see subset) and spreads requests over plain targets at random (see throttle).
package admit
