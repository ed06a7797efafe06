package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// The exit codes of the tool.
const (
	ExitOK = iota
	// ExitFailed is used for failures without a code of their own.
	ExitFailed
	// ExitUsage means that the command line is invalid.
	ExitUsage
	// ExitConflict means that the object was changed concurrently.
	ExitConflict
	// ExitNotFound means that there is no such object.
	ExitNotFound
	// ExitTimeout means that the change was accepted but isn't yet in force on all
	// live routers.
	ExitTimeout
	// ExitInvalid means that the object breaks a rule; nothing was written.
	ExitInvalid
	// ExitUnconfirmed means that the write may or may not have been applied.
	ExitUnconfirmed
	// ExitUnavailable means that the router or the platform can't be reached;
	// nothing was written.
	ExitUnavailable
)

// exitHelp is the section of the help that lists the exit codes.
const exitHelp = `Exit codes:
  0  done
  1  failed
  2  usage: the command line can't be used
  3  conflict: another operator changed the object in between
  4  not found
  5  timeout: accepted, but not in force everywhere in time
  6  invalid: the object breaks a rule; nothing was written
  7  unsure: the write may or may not have been applied
  8  unavailable: router or platform not reached; nothing was written`

// usageError is the error of an invalid command line.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{errors.Newf(format, args...)}
}

// timeoutError names the routers on which a revision was not in force when --wait
// timed out.
type timeoutError struct {
	revision uint64
	behind   []string
}

func (e *timeoutError) Error() string {
	return fmt.Sprintf("accepted, but revision %d is not in force yet at %v", e.revision, e.behind)
}

// unreachableError is the error of a call that the router did not answer and that
// changed nothing: a read, or a write that was not sent.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return e.err.Error() }

func (e *unreachableError) Unwrap() error { return e.err }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *usageError
	var timeout *timeoutError
	var unreachable *unreachableError
	var fields strictjson.Errors
	var adminErr *adminapi.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &timeout):
		return ExitTimeout
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &fields):
		return ExitInvalid
	case errors.As(err, &adminErr):
		return adminExitCode(adminErr.Code)
	}
	return ExitFailed
}

func adminExitCode(code adminapi.Code) int {
	switch code {
	case adminapi.CodeConflict:
		return ExitConflict
	case adminapi.CodeNotFound:
		return ExitNotFound
	case adminapi.CodeInvalid:
		return ExitInvalid
	case adminapi.CodeUnconfirmed:
		return ExitUnconfirmed
	case adminapi.CodeUnavailable:
		return ExitUnavailable
	}
	return ExitFailed
}

// printError prints an error for the operator, with one line per invalid field and
// with both versions of a conflict.
func printError(w io.Writer, err error) {
	var fields strictjson.Errors
	var adminErr *adminapi.Error
	switch {
	case errors.As(err, &fields):
		printFieldErrors(w, fields)
	case errors.As(err, &adminErr) && len(adminErr.Fields) > 0:
		printFieldErrors(w, adminErr.Fields)
	default:
		_, _ = fmt.Fprintln(w, "umberhill:", err)
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		conflict.show(w)
	}
}

func printFieldErrors(w io.Writer, fields strictjson.Errors) {
	_, _ = fmt.Fprintln(w, "umberhill: not valid; nothing was written:")
	for _, f := range fields {
		_, _ = fmt.Fprintln(w, " ", f.Error())
	}
}
