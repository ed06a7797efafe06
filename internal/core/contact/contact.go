// Package contact decides from the results of calls to a service whether the service counts
// as lost. It is a deterministic state machine without I/O or clock.
//
// Invariants: a call that was cut off while it waited for changes does not by itself make the
// service count as lost; the call after it decides. While the service counts as lost, or that
// decision is open, the next call must not wait, so that its result shows the state soon.
package contact

// Failure says how a call failed.
type Failure int

// The kinds of failures.
const (
	// NoResponse means that no valid response arrived although one was due.
	NoResponse Failure = iota
	// Cut means that the connection ended while the call waited for changes.
	Cut
)

type state int

const (
	connected state = iota
	doubtful
	lost
)

// Contact is the state of the contact with a service. The zero value is connected. It is not
// safe for concurrent use.
type Contact struct{ state state }

// Fail records a failed call and reports whether the service counts as lost since.
func (c *Contact) Fail(f Failure) (isNowLost bool) {
	switch {
	case c.state == lost:
		return false
	case f == Cut && c.state == connected:
		c.state = doubtful
		return false
	}
	c.state = lost
	return true
}

// Succeed records a valid response and reports whether the service counted as lost until now.
func (c *Contact) Succeed() (hasReturned bool) {
	hasReturned = c.state == lost
	c.state = connected
	return hasReturned
}

// IsLost reports whether the service counts as lost.
func (c *Contact) IsLost() bool { return c.state == lost }

// MayWait reports whether the next call may wait for changes.
func (c *Contact) MayWait() bool { return c.state == connected }
