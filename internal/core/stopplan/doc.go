// Package stopplan decides which requests a stopping router still sends to targets. It has no
// clock: callers pass the time.
package stopplan
