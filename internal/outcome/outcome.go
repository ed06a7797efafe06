// Package outcome holds what a router may truthfully say about a request that
// it does not answer with the target's own answer.
package outcome

import (
	"fmt"
	"time"
)

// Header is the response header that carries the Outcome.
const Header = "Umberhill-Outcome"

// RequestIDHeader is the response header that carries the request's id.
const RequestIDHeader = "Umberhill-Request"

// StatusClientClosed is the customary status for a caller that went away.
const StatusClientClosed = 499

// Outcome says whether a request ran.
type Outcome string

// The three outcomes.
const (
	// NotRun: no byte was written towards a target, or the target itself
	// refused before running.
	NotRun Outcome = "not-run"
	// Unknown: the request may have run, in part or in whole.
	Unknown Outcome = "unknown"
	// Done: the request ran and its answer is complete.
	Done Outcome = "done"
)

// Code names the reason of a refusal, stable for programs.
type Code string

// The codes that callers see.
const (
	CodeBadRequest      Code = "bad_request"
	CodeBodyTooLarge    Code = "body_too_large"
	CodeUnauthorized    Code = "unauthorized"
	CodeUnknownModel    Code = "unknown_model"
	CodeUnknownService  Code = "unknown_service"
	CodeQueueFull       Code = "queue_full"
	CodeRateLimited     Code = "rate_limited"
	CodeConcurrency     Code = "concurrency_limited"
	CodeAllowance       Code = "allowance_spent"
	CodeDeadline        Code = "deadline"
	CodeNoTarget        Code = "no_target"
	CodeQuarantined     Code = "quarantined"
	CodeInProgress      Code = "in_progress"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeKeyReused       Code = "idempotency_key_reused"
	CodeLedger          Code = "ledger_unavailable"
	CodeTargetFailed    Code = "target_failed"
	CodeTargetRefused   Code = "target_refused"
	CodeShuttingDown    Code = "shutting_down"
	CodeTooManyRequests Code = "too_many_held"
	CodeCanceled        Code = "canceled"
	CodeInternal        Code = "internal"
)

// Error is a refusal or failure as callers see it.
type Error struct {
	// Code names the reason.
	Code Code `json:"code"`
	// Message is one plain sentence.
	Message string `json:"message"`
	// Outcome says whether the request ran.
	Outcome Outcome `json:"outcome"`
	// RetryAfter is when trying again makes sense; zero where it does not.
	RetryAfter time.Duration `json:"-"`
	// Status is the HTTP status.
	Status int `json:"-"`
	// Step is the part of the request's path at which the error arose.
	Step string `json:"step,omitempty"`
	// Peer is the target or instance at which it arose.
	Peer string `json:"peer,omitempty"`
}

// Refuse returns the error of a step that ends a request before any of it ran.
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
