// Package relay sends one attempt of a request to a target and forwards the
// response to the caller. It implements the protocols of engines and plain
// services, and handles connections that fail, targets that stall or crash and
// responses that arrive truncated or belong to another request.
//
// An attempt has the outcome not-run only if it certainly did not run. A partial
// response is never forwarded as a complete one.
package relay
