// Package claim ensures that a once-only request with an idempotency key runs at
// most once in the whole fleet. It claims the key in the ledger before the request
// may be dispatched, and records the outcome, which answers repeated requests.
package claim

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ledger"
	"github.com/umberhill/umberhill/internal/outcome"
)

// ReplayedHeader marks a response that repeats a recorded one.
const ReplayedHeader = "Umberhill-Replayed"

const (
	// claimTimeout limits the wait for a claim to become durable.
	claimTimeout = 10 * time.Second
	// recordTimeout limits the wait for an outcome to become durable before the
	// response ends. The ledger retries in the background after that.
	recordTimeout = 300 * time.Millisecond
	// ledgerRetryAfter is the Retry-After of a request for which no claim could be
	// made.
	ledgerRetryAfter = 5 * time.Second
	// runningRetryAfter is the Retry-After while a request with the same key runs.
	runningRetryAfter = time.Second
)

// Ledger stores the claims of the fleet.
type Ledger interface {
	Claim(ctx context.Context, req ledger.Request) (ledger.Result, error)
	Finish(ctx context.Context, ref ledger.Ref, rec ledger.Record) error
	Release(ctx context.Context, ref ledger.Ref) error
	MarkUnknown(ctx context.Context, ref ledger.Ref) error
}

// Filter claims idempotency keys.
type Filter struct {
	ledger           Ledger
	maxRecordedBytes int
}

// New returns a filter that records at most maxRecordedBytes of a
// response body.
func New(l Ledger, maxRecordedBytes int) *Filter {
	return &Filter{ledger: l, maxRecordedBytes: maxRecordedBytes}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "claim" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	if !x.IsOnceOnly() || x.IdempotencyKey == "" {
		return next(x)
	}
	result, err := f.claim(x)
	if err != nil {
		return f.unavailable()
	}
	switch result.State {
	case ledger.Granted:
		return f.run(x, next, result.Ref)
	case ledger.Finished:
		return replay(x, result.Record)
	case ledger.InProgress:
		return f.inProgress()
	case ledger.KeyReused:
		return f.keyReused()
	default:
		return f.outcomeUnknown()
	}
}

// claim claims the key in the ledger. It continues when the caller disconnects, so
// that no claim remains in the ledger without a router that finishes or releases it.
func (f *Filter) claim(x *filter.Exchange) (ledger.Result, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context()), claimTimeout)
	defer cancel()
	return f.ledger.Claim(ctx, ledger.Request{
		Workspace:   x.Workspace(),
		Key:         x.IdempotencyKey,
		Fingerprint: x.Fingerprint,
		RequestID:   x.ID,
	})
}

// run runs the request under a claim and records its outcome, even if a later
// filter panics.
func (f *Filter) run(x *filter.Exchange, next filter.Handler, ref ledger.Ref) error {
	x.Response.RecordBody(f.maxRecordedBytes)
	x.CanDispatch = ref.CanDispatch
	err := filter.ErrIncomplete
	defer func() { f.record(x, ref, err) }()
	err = next(x)
	return err
}

func (f *Filter) record(x *filter.Exchange, ref ledger.Ref, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.Context()), recordTimeout)
	defer cancel()
	// The errors are ignored, because the ledger retries failed calls in the
	// background.
	switch {
	case err == nil:
		_ = f.ledger.Finish(ctx, ref, record(x))
	case isNotRun(err):
		_ = f.ledger.Release(ctx, ref)
	default:
		_ = f.ledger.MarkUnknown(ctx, ref)
	}
}

func isNotRun(err error) bool {
	var failure *outcome.Error
	return errors.As(err, &failure) && failure.Outcome == outcome.NotRun
}

func record(x *filter.Exchange) ledger.Record {
	body, whole := x.Response.RecordedBody()
	return ledger.Record{
		Status:      x.Response.Status(),
		ContentType: x.Response.Header().Get("Content-Type"),
		Body:        body,
		Truncated:   !whole,
	}
}

// replay answers a repeated request with the recorded outcome. If the recorded body
// is truncated, the caller gets a summary that says that the request is done instead
// of a part of the body.
func replay(x *filter.Exchange, rec *ledger.Record) error {
	h := x.Response.Header()
	h.Set(ReplayedHeader, "true")
	h.Set(outcome.Header, string(outcome.Done))
	body := rec.Body
	if rec.Truncated {
		body = summaryBody(rec.Status)
		h.Set("Content-Type", "application/json")
	} else if rec.ContentType != "" {
		h.Set("Content-Type", rec.ContentType)
	}
	x.Response.Commit(rec.Status)
	if len(body) == 0 {
		return nil
	}
	if _, err := x.Response.Write(body); err != nil {
		return filter.ErrIncomplete
	}
	return nil
}

// summary replaces a recorded response whose body was too long to record.
type summary struct {
	Outcome  outcome.Outcome `json:"outcome"`
	Status   int             `json:"status"`
	BodyKept bool            `json:"body_kept"`
}

func summaryBody(status int) []byte {
	body, _ := json.Marshal(summary{Outcome: outcome.Done, Status: status})
	return body
}

func (f *Filter) unavailable() error {
	e := outcome.Refuse(f.Name(), http.StatusServiceUnavailable, outcome.CodeLedger, "the claim for this idempotency key can't be made durable now")
	e.RetryAfter = ledgerRetryAfter
	return e
}

func (f *Filter) inProgress() error {
	return &outcome.Error{
		Code:       outcome.CodeInProgress,
		Message:    "a request with this idempotency key is running",
		Outcome:    outcome.Unknown,
		RetryAfter: runningRetryAfter,
		Status:     http.StatusConflict,
		Step:       f.Name(),
	}
}

func (f *Filter) outcomeUnknown() error {
	return &outcome.Error{
		Code:    outcome.CodeOutcomeUnknown,
		Message: "a request with this idempotency key may have run; it is not run again",
		Outcome: outcome.Unknown,
		Status:  http.StatusConflict,
		Step:    f.Name(),
	}
}

func (f *Filter) keyReused() error {
	return outcome.Refuse(f.Name(), http.StatusUnprocessableEntity, outcome.CodeKeyReused, "this idempotency key was used with other content")
}
