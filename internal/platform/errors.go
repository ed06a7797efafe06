package platform

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNotFound indicates that the object does not exist.
var ErrNotFound = errors.New("platform: object not found")

// ErrCompacted indicates that the service no longer has the events after the revision
// of a watch. The caller must list the objects again.
var ErrCompacted = errors.New("platform: revision compacted")

// ConflictError indicates that the condition of a write did not hold. The write was
// not applied.
type ConflictError struct {
	// Current is the current object, or nil if it does not exist.
	Current *Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current == nil {
		return "platform: conflict: the object does not exist"
	}
	return fmt.Sprintf("platform: conflict: %s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}

// NotAppliedError indicates that a write was certainly not applied.
type NotAppliedError struct {
	// Step describes the call, such as "put claims/3".
	Step string
	// URL is the URL of the service.
	URL string
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// RetryAfter is the delay after which the service accepts a retry, or 0 if it
	// did not specify one.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *NotAppliedError) Error() string {
	return fmt.Sprintf("%s at %s: not applied: %v", e.Step, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Err }

// UnconfirmedError indicates that a write may or may not have been applied. The caller
// must read the object to find out.
type UnconfirmedError struct {
	// Step describes the call, such as "put claims/3".
	Step string
	// URL is the URL of the service.
	URL string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s at %s: may have been applied: %v", e.Step, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Err }

// ReadError indicates that a read received no valid response.
type ReadError struct {
	// Step describes the call, such as "list contracts".
	Step string
	// URL is the URL of the service.
	URL string
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// RetryAfter is the delay after which the service accepts a retry, or 0 if it
	// did not specify one.
	RetryAfter time.Duration
	// IsCut is set if the connection ended before a response, in a call that waits for
	// changes and within its time limit.
	IsCut bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s at %s: %v", e.Step, e.URL, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
