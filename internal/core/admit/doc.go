// Package admit decides which request goes to which target and when, which
// waits at the router, and which is refused. It is a deterministic state
// machine without I/O, goroutines or clock: requests, progress and peers'
// reports go in with their time, verdicts come out.
//
// It answers the load where more work arrives than the targets carry. Engines
// start requests first come, first served, so what they hold unstarted
// is kept below the tightest latency objective, and the queue forms here:
// workspaces within their fair share go first, then the earliest objective.
// What can't start in time is refused at once with the time after which the
// queue will have drained.
package admit
