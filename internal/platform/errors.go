package platform

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotFound says that the object does not exist.
var ErrNotFound = errors.New("platform: object not found")

// ErrCompacted says that the service no longer has the events after the
// revision of a watch: the caller lists again.
var ErrCompacted = errors.New("platform: revision compacted")

// ConflictError says that the condition of a write did not hold. The write was
// not applied.
type ConflictError struct {
	// Current is the object as it stands; nil where there is none.
	Current *Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return "platform: conflict: the object does not exist"
	}
	return fmt.Sprintf("platform: conflict: %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// NotAppliedError says that a write was certainly not applied.
type NotAppliedError struct {
	// Step is the call, such as "put claims/3".
	Step string
	// Peer is the service's URL.
	Peer string
	// Status is the HTTP status; 0 where there was no answer.
	Status int
	// RetryAfter is when the service asks to be called again; 0 where it does
	// not say.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("%s at %s: not applied: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// UnsureError says that a write may have been applied: the caller reads back.
type UnsureError struct {
	// Step is the call, such as "put claims/3".
	Step string
	// Peer is the service's URL.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnsureError) Error() string {
	return fmt.Sprintf("%s at %s: may have been applied: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *UnsureError) Unwrap() error { return e.Err }

// ReadError says that a read had no answer that can be used.
type ReadError struct {
	// Step is the call, such as "list contracts".
	Step string
	// Peer is the service's URL.
	Peer string
	// Status is the HTTP status; 0 where there was no answer.
	Status int
	// RetryAfter is when the service asks to be called again; 0 where it does
	// not say.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
