package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/adminapi"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// Exit codes of the tool.
const (
	ExitOK = iota
	// ExitFailed: anything that has no code of its own.
	ExitFailed
	// ExitUsage: the command line can't be used.
	ExitUsage
	// ExitConflict: another operator changed the object in between.
	ExitConflict
	// ExitNotFound: there is no such object.
	ExitNotFound
	// ExitTimeout: the change was accepted but isn't in force everywhere yet.
	ExitTimeout
	// ExitInvalid: the object breaks a rule; nothing was written.
	ExitInvalid
	// ExitUnsure: the write may or may not have been applied.
	ExitUnsure
	// ExitUnavailable: the router or the platform can't be reached; nothing was
	// written.
	ExitUnavailable
)

// exitHelp lists the codes in the help.
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

// usageError marks a command line that can't be used.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{errors.Newf(format, args...)}
}

// timeoutError says which routers lack a revision.
type timeoutError struct {
	revision uint64
	behind   []string
}

func (e *timeoutError) Error() string {
	return fmt.Sprintf("accepted, but revision %d is not in force yet at %v", e.revision, e.behind)
}

// unreachableError says that a call was not sent.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return e.err.Error() }

func (e *unreachableError) Unwrap() error { return e.err }

// exitCode returns the code of an error.
func exitCode(err error) int {
	var usage *usageError
	var timeout *timeoutError
	var unreachable *unreachableError
	var fields strictjson.Errors
	var api *adminapi.Error
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
	case errors.As(err, &api):
		return apiExitCode(api.Code)
	}
	return ExitFailed
}

func apiExitCode(code adminapi.Code) int {
	switch code {
	case adminapi.CodeConflict:
		return ExitConflict
	case adminapi.CodeNotFound:
		return ExitNotFound
	case adminapi.CodeInvalid:
		return ExitInvalid
	case adminapi.CodeUnsure:
		return ExitUnsure
	case adminapi.CodeUnavailable:
		return ExitUnavailable
	}
	return ExitFailed
}

// report writes an error for the operator.
func report(w io.Writer, err error) {
	var fields strictjson.Errors
	var api *adminapi.Error
	switch {
	case errors.As(err, &fields):
		reportFields(w, fields)
	case errors.As(err, &api) && len(api.Fields) > 0:
		reportFields(w, api.Fields)
	default:
		_, _ = fmt.Fprintln(w, "umberhill:", err)
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		conflict.show(w)
	}
}

func reportFields(w io.Writer, fields strictjson.Errors) {
	_, _ = fmt.Fprintln(w, "umberhill: not valid; nothing was written:")
	for _, f := range fields {
		_, _ = fmt.Fprintln(w, " ", f.Error())
	}
}
