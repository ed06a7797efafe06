// Package speed estimates how fast each target is, relative to the other targets of its
// service, from the latencies that all routers observe. It has no I/O, goroutines or clock.
// See docs/design/TARGET-SPEED.md.
package speed
