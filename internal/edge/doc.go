// Package edge is the reverse proxy of the platform's routers. It looks up the
// route and the workspace of a caller's request, gets a target from
// internal/core/admit, forwards the request and relays the answer.
//
// Invariants: the caller gets either a complete answer or a connection that is
// closed before the end of the answer, never a truncated answer that looks
// complete. A request counts as not run only if no byte of it was written to a
// target or if the target stated that it did not run it.
package edge
