package quarantine

// AttemptEnd is what a router knows of the end of an attempt at a target.
type AttemptEnd struct {
	// Sent is set if bytes of the request may have reached the target.
	Sent bool
	// NotRun is set if the target stated that it did not run the request.
	NotRun bool
	// Whole is set if the response was read up to its end, EndsWithConn if it has no other end
	// than that of the connection.
	Whole, EndsWithConn bool
	// ConnEnded is set if the connection ended, but not by this router.
	ConnEnded bool
	// Failed is set if the attempt ended because of what the target did.
	Failed bool
}

// CrashCheck says whether a router checks if the target of an attempt is still there.
type CrashCheck struct {
	Due bool
	// Delayed is set if this router ended the connection, so that a crash may follow.
	Delayed bool
	// Optional is set if the attempt alone is no sign of a crash. Such checks are made as far as
	// they cost little.
	Optional bool
}

// CrashCheck returns the check that follows the end of an attempt. It does not depend on the point
// that the response had reached: a target that crashes may have sent any part of it, and its caller
// may leave at the same time.
func (e AttemptEnd) CrashCheck() CrashCheck {
	switch {
	case !e.Sent || e.NotRun || e.Whole && !e.EndsWithConn:
		return CrashCheck{}
	case e.Whole:
		return CrashCheck{Due: true, Delayed: true, Optional: true}
	}
	return CrashCheck{Due: true, Delayed: !e.ConnEnded, Optional: !e.ConnEnded && !e.Failed}
}
