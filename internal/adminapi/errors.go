package adminapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/platform"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// Code names the reason of a failure, stable for programs.
type Code string

// The codes.
const (
	CodeUnauthorized Code = "unauthorized"
	CodeBadRequest   Code = "bad_request"
	// CodeInvalid: the object breaks a rule; Fields say which.
	CodeInvalid  Code = "invalid"
	CodeNotFound Code = "not_found"
	// CodeConflict: the condition of the write did not hold.
	CodeConflict Code = "conflict"
	// CodeUnavailable: the platform did not take the call; nothing was applied.
	CodeUnavailable Code = "platform_unavailable"
	// CodeUnsure: the write may have been applied.
	CodeUnsure   Code = "unsure"
	CodeInternal Code = "internal"
)

// Error is a failure as operators see it.
type Error struct {
	Status  int    `json:"-"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Fields at fault.
	Fields strictjson.Errors `json:"fields,omitempty"`
	// Expected is the version that the write was conditional on; 0 is absence.
	Expected uint64 `json:"expected"`
	// Current is the object as it stands at the platform; nil where there is
	// none or the failure is no conflict.
	Current *platform.Object `json:"current,omitempty"`
	// RetryAfter is when trying again makes sense; zero where it isn't known.
	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// ErrorBody is the body of an answer that reports a failure.
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

// retryAfter is what operators are told where the platform does not say.
const retryAfter = 5 * time.Second

// asError gives a failure its status and code.
func asError(err error) *Error {
	var known *Error
	var fields strictjson.Errors
	var notApplied *platform.NotAppliedError
	var read *platform.ReadError
	var unsure *platform.UnconfirmedError
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &fields):
		return &Error{Status: http.StatusUnprocessableEntity, Code: CodeInvalid, Message: err.Error(), Fields: fields}
	case errors.Is(err, platform.ErrNotFound):
		return &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: "there is no such object"}
	case errors.As(err, &notApplied):
		return unavailable(err, notApplied.RetryAfter)
	case errors.As(err, &read):
		return unavailable(err, read.RetryAfter)
	case errors.As(err, &unsure):
		return &Error{Status: http.StatusBadGateway, Code: CodeUnsure, Message: err.Error(), RetryAfter: retryAfter}
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeInternal, Message: err.Error()}
}

func unavailable(err error, after time.Duration) *Error {
	return &Error{
		Status: http.StatusServiceUnavailable, Code: CodeUnavailable,
		Message: err.Error(), RetryAfter: max(after, retryAfter),
	}
}
