// Package upstream speaks HTTP/1.1 to targets. Each request is written at most
// once, on a connection known to be alive and to carry nothing left over from an
// earlier answer; nothing here sends a request again. net/http's Transport is
// not used on this path because it replays requests by itself, hands each one
// through two more goroutines, and does not tell whether a byte was written.
package upstream
