// Package quarantine refuses requests that crash the targets that run them. The
// quarantine controller makes the decisions.
package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/quarantine"
)

// maxTrialWait limits the time that a suspect request waits for its trial.
const maxTrialWait = 5 * time.Second

// Controller decides on suspect and quarantined requests.
type Controller interface {
	// AdmitWait returns the verdict on a request. A suspect request waits for its
	// trial until ctx is done.
	AdmitWait(ctx context.Context, fingerprint uint64) quarantine.Verdict
	// Withdraw ends the trial of a suspect request that was not dispatched.
	Withdraw(fingerprint uint64)
}

// Filter submits each attempt to the controller.
type Filter struct {
	controller Controller
}

// New returns a filter that submits attempts to the controller.
func New(c Controller) *Filter { return &Filter{controller: c} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "quarantine" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	verdict := f.admit(x)
	if verdict.Refuse {
		return f.refuse(verdict)
	}
	x.Solo = verdict.Solo
	if x.Solo {
		defer f.controller.Withdraw(x.Fingerprint)
	}
	return next(x)
}

func (f *Filter) admit(x *filter.Exchange) quarantine.Verdict {
	ctx, cancel := context.WithDeadline(x.Context(), earlier(x.Deadline, time.Now().Add(maxTrialWait)))
	defer cancel()
	return f.controller.AdmitWait(ctx, x.Fingerprint)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (f *Filter) refuse(verdict quarantine.Verdict) error {
	message := "this request is suspected of crashing the targets that run it"
	if verdict.Quarantined {
		message = "this request has crashed the targets that ran it"
	}
	e := outcome.Refuse(f.Name(), http.StatusServiceUnavailable, outcome.CodeQuarantined, message)
	e.RetryAfter = verdict.RetryAfter
	return e
}
