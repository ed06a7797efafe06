// Package outcome defines the errors with which a router answers a request that
// has no response of a target. Each states whether the request ran, so that the
// caller can decide whether a retry is safe; a router reports "not run" only if that
// is certain.
package outcome

import (
	"fmt"
	"time"
)

// Header is the response header that carries the Outcome.
const Header = "Umberhill-Outcome"

// RequestIDHeader is the response header that carries the id of the request.
const RequestIDHeader = "Umberhill-Request"

// StatusClientClosed is the customary HTTP status of a request whose caller closed
// the connection before the response.
const StatusClientClosed = 499

// Outcome states whether a request ran.
type Outcome string

// The three outcomes.
const (
	// NotRun means that no byte was written towards a target, or that the target
	// rejected the request before running it.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, partly or completely.
	Unknown Outcome = "unknown"
	// Done means that the request ran and its response is complete.
	Done Outcome = "done"
)

// Code identifies the reason of a refusal or failure. Its values are a stable
// interface for programs.
type Code string

// The codes that are sent to callers.
const (
	CodeBadRequest     Code = "bad_request"
	CodeBodyTooLarge   Code = "body_too_large"
	CodeUnauthorized   Code = "unauthorized"
	CodeUnknownModel   Code = "unknown_model"
	CodeUnknownService Code = "unknown_service"
	CodeQueueFull      Code = "queue_full"
	CodeRateLimited    Code = "rate_limited"
	CodeConcurrency    Code = "concurrency_limited"
	CodeAllowance      Code = "allowance_spent"
	CodeDeadline       Code = "deadline"
	CodeNoTarget       Code = "no_target"
	CodeQuarantined    Code = "quarantined"
	CodeInProgress     Code = "in_progress"
	CodeOutcomeUnknown Code = "outcome_unknown"
	CodeKeyReused      Code = "idempotency_key_reused"
	CodeLedger         Code = "ledger_unavailable"
	CodeTargetFailed   Code = "target_failed"
	CodeTargetRejected Code = "target_refused"
	CodeShuttingDown   Code = "shutting_down"
	CodeTooManyHeld    Code = "too_many_held"
	CodeCanceled       Code = "canceled"
	CodeInternal       Code = "internal"
)

// Error is a refusal or failure, in the form that is sent to callers.
type Error struct {
	// Code identifies the reason.
	Code Code `json:"code"`
	// Message describes the reason in one sentence.
	Message string `json:"message"`
	// Outcome states whether the request ran.
	Outcome Outcome `json:"outcome"`
	// RetryAfter is the delay after which a retry may succeed; zero if a retry does
	// not make sense.
	RetryAfter time.Duration `json:"-"`
	// Status is the HTTP status.
	Status int `json:"-"`
	// Step is the step of the request's path in which the error occurred.
	Step string `json:"step,omitempty"`
	// Peer is the target or instance at which the error occurred, if any.
	Peer string `json:"peer,omitempty"`
}

// Refuse returns the error of a step that refuses a request, or whose target rejects
// it, before any part of it ran.
func Refuse(step string, status int, code Code, message string) *Error {
	return &Error{Code: code, Message: message, Outcome: NotRun, Status: status, Step: step}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer != "" {
		return fmt.Sprintf("%s: %s at %s: %s (%s)", e.Step, e.Code, e.Peer, e.Message, e.Outcome)
	}
	return fmt.Sprintf("%s: %s: %s (%s)", e.Step, e.Code, e.Message, e.Outcome)
}
