// Package claim makes sure that once-only work with an idempotency key runs at
// most once over the fleet: the key is claimed in the ledger before the request
// may be dispatched, and its outcome is recorded for repeats.
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

// ReplayedHeader marks an answer that was recorded earlier.
const ReplayedHeader = "Umberhill-Replayed"

const (
	// claimTimeout bounds the wait for a claim to become durable.
	claimTimeout = 10 * time.Second
	// recordTimeout bounds the wait for an outcome to become durable before
	// the answer ends; the ledger goes on trying afterwards.
	recordTimeout = 300 * time.Millisecond
	// ledgerRetryAfter is when a request may come back that got no claim.
	ledgerRetryAfter = 5 * time.Second
	// runningRetryAfter is when to ask again for the outcome of a running one.
	runningRetryAfter = time.Second
)

// Ledger keeps the claims of the fleet.
type Ledger interface {
	Claim(ctx context.Context, req ledger.Request) (ledger.Result, error)
	Finish(ctx context.Context, ref ledger.Ref, rec ledger.Record) error
	Release(ctx context.Context, ref ledger.Ref) error
	MarkUnknown(ctx context.Context, ref ledger.Ref) error
}

// Filter claims keys.
type Filter struct {
	ledger    Ledger
	maxAnswer int
}

// New returns a filter that records at most maxAnswer bytes of an answer.
func New(l Ledger, maxAnswer int) *Filter {
	return &Filter{ledger: l, maxAnswer: maxAnswer}
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "claim" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	if !x.OnceOnly() || x.Key == "" {
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
		return f.reused()
	default:
		return f.unknown()
	}
}

// claim goes on when the caller leaves, so that the ledger is not left with a
// claim that nobody ends.
func (f *Filter) claim(x *filter.Exchange) (ledger.Result, error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(x.Context()), claimTimeout)
	defer stop()
	return f.ledger.Claim(ctx, ledger.Request{
		Workspace:   x.Workspace(),
		Key:         x.Key,
		Fingerprint: x.Fingerprint,
		RequestID:   x.ID,
	})
}

// run carries the request out under a claim and records how it ended, also
// where a filter behind this one panics.
func (f *Filter) run(x *filter.Exchange, next filter.Handler, ref ledger.Ref) error {
	x.Out.Keep(f.maxAnswer)
	x.MayDispatch = ref.CanDispatch
	err := filter.ErrBroken
	defer func() { f.record(x, ref, err) }()
	err = next(x)
	return err
}

func (f *Filter) record(x *filter.Exchange, ref ledger.Ref, err error) {
	ctx, stop := context.WithTimeout(context.WithoutCancel(x.Context()), recordTimeout)
	defer stop()
	// The ledger repeats what fails here in the background.
	switch {
	case err == nil:
		_ = f.ledger.Finish(ctx, ref, record(x))
	case notRun(err):
		_ = f.ledger.Release(ctx, ref)
	default:
		_ = f.ledger.MarkUnknown(ctx, ref)
	}
}

func notRun(err error) bool {
	var failure *outcome.Error
	return errors.As(err, &failure) && failure.Outcome == outcome.NotRun
}

func record(x *filter.Exchange) ledger.Record {
	body, whole := x.Out.Kept()
	return ledger.Record{
		Status:      x.Out.Status(),
		ContentType: x.Out.Header().Get("Content-Type"),
		Body:        body,
		Truncated:   !whole,
	}
}

// replay answers a repeat with the recorded outcome. A body that was not kept
// whole is not passed on in part; the caller learns that the request is done.
func replay(x *filter.Exchange, rec *ledger.Record) error {
	h := x.Out.Header()
	h.Set(ReplayedHeader, "true")
	h.Set(outcome.Header, string(outcome.Done))
	body := rec.Body
	if rec.Truncated {
		body = notKept(rec.Status)
		h.Set("Content-Type", "application/json")
	} else if rec.ContentType != "" {
		h.Set("Content-Type", rec.ContentType)
	}
	x.Out.Commit(rec.Status)
	if len(body) == 0 {
		return nil
	}
	if _, err := x.Out.Write(body); err != nil {
		return filter.ErrBroken
	}
	return nil
}

// summary stands for a recorded answer whose body was too long to keep.
type summary struct {
	Outcome  outcome.Outcome `json:"outcome"`
	Status   int             `json:"status"`
	BodyKept bool            `json:"body_kept"`
}

func notKept(status int) []byte {
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

func (f *Filter) unknown() error {
	return &outcome.Error{
		Code:    outcome.CodeOutcomeUnknown,
		Message: "a request with this idempotency key may have run; it is not run again",
		Outcome: outcome.Unknown,
		Status:  http.StatusConflict,
		Step:    f.Name(),
	}
}

func (f *Filter) reused() error {
	return outcome.Refuse(f.Name(), http.StatusUnprocessableEntity, outcome.CodeKeyReused, "this idempotency key was used with other content")
}
