// Package quarantine keeps requests that crash targets away from them. The
// decisions are those of the quarantine controller.
package quarantine

import (
	"context"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/quarantine"
)

// trialWait bounds the wait of a suspect for its trial.
const trialWait = 5 * time.Second

// Controller knows suspects and quarantined requests.
type Controller interface {
	// AdmitWait decides on a request; a suspect waits for its trial.
	AdmitWait(ctx context.Context, fingerprint uint64) quarantine.Verdict
	// Withdraw ends the trial of a suspect that was not dispatched.
	Withdraw(fingerprint uint64)
}

// Filter asks the controller about each attempt.
type Filter struct {
	controller Controller
}

// New returns a filter that asks the controller.
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
	ctx, stop := context.WithDeadline(x.Context(), earlier(x.Deadline, time.Now().Add(trialWait)))
	defer stop()
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
