package adminapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/platform"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// Code identifies the reason of a failure. Its values are a stable interface for
// programs.
type Code string

// The codes of failures.
const (
	CodeUnauthorized Code = "unauthorized"
	CodeBadRequest   Code = "bad_request"
	// CodeInvalid means that the object breaks a rule, which Fields names.
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not_found"
	// CodeConflict means that the condition of the write did not hold.
	CodeConflict Code = "conflict"
	// CodeUnavailable means that the platform did not accept the call; nothing was
	// applied.
	CodeUnavailable Code = "platform_unavailable"
	// CodeUnconfirmed means that the write may have been applied.
	CodeUnconfirmed Code = "unsure"
	CodeInternal    Code = "internal"
)

// Error is a failed call, in the form that is sent to operators.
type Error struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Fields lists the invalid fields of the object and their errors.
	Fields strictjson.Errors `json:"fields,omitempty"`
	// Expected is the version on which the write was conditional; 0 means that no
	// object was expected.
	Expected uint64 `json:"expected"`
	// Current is the current object at the platform; nil if there is none or if
	// the failure isn't a conflict.
	Current *platform.Object `json:"current,omitempty"`
	// RetryAfter is the delay after which a retry may succeed; zero if unknown.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// ErrorBody is the response body of a failed call.
type ErrorBody struct {
	Error *Error `json:"error"`
}

func writeError(w http.ResponseWriter, e *Error) {
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, e.Status, ErrorBody{Error: e})
}

// minRetryAfter is the shortest retry delay in the response to a call that failed
// because of the platform. It also applies if the platform gives no delay.
const minRetryAfter = 5 * time.Second

// asError converts a failure to an Error with its HTTP status and code.
func asError(err error) *Error {
	var adminErr *Error
	var fields strictjson.Errors
	var notApplied *platform.NotAppliedError
	var read *platform.ReadError
	var unconfirmed *platform.UnconfirmedError
	switch {
	case errors.As(err, &adminErr):
		return adminErr
	case errors.As(err, &fields):
		return &Error{Status: http.StatusUnprocessableEntity, Code: CodeInvalid, Message: err.Error(), Fields: fields}
	case errors.Is(err, platform.ErrNotFound):
		return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "there is no such object"}
	case errors.As(err, &notApplied):
		return unavailable(err, notApplied.RetryAfter)
	case errors.As(err, &read):
		return unavailable(err, read.RetryAfter)
	case errors.As(err, &unconfirmed):
		return &Error{Status: http.StatusBadGateway, Code: CodeUnconfirmed, Message: err.Error(), RetryAfter: minRetryAfter}
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error()}
}

func unavailable(err error, after time.Duration) *Error {
	return &Error{
		Status: http.StatusServiceUnavailable, Code: CodeUnavailable,
		Message: err.Error(), RetryAfter: max(after, minRetryAfter),
	}
}
