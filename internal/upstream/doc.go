// Package upstream is an HTTP/1.1 client with connection pools for targets. Each
// request is written at most once, on a connection that was open and without unread
// data from an earlier response when it was taken from the pool. The package never
// retries a request. It does not use net/http's Transport, which replays requests by
// itself, passes each one through two more goroutines, and does not report whether a
// byte was written.
package upstream
