// Package edge is the reverse proxy of the platform's routers. It looks up the
// route and the workspace of a caller's request, gets a target from
// internal/core/admit, forwards the request and relays the response.
//
// Invariants: the caller gets either a complete response or a connection that is
// closed before the end of the response, never a truncated response that looks
// complete. A request counts as not run only if no byte of it was written to a
// target or if the target stated that it did not run it.
package edge
