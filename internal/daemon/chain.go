package daemon

import (
	"io"
	"log"

	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/core/retry"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/filter/attempt"
	"github.com/umberhill/umberhill/internal/filter/claim"
	"github.com/umberhill/umberhill/internal/filter/classify"
	quarantinefilter "github.com/umberhill/umberhill/internal/filter/quarantine"
	"github.com/umberhill/umberhill/internal/filter/queue"
	retryfilter "github.com/umberhill/umberhill/internal/filter/retry"
	"github.com/umberhill/umberhill/internal/filter/validate"
	"github.com/umberhill/umberhill/internal/quarantine"
)

// retryBurst is the number of retries that a router may make before first
// attempts have added to its retry budget.
const retryBurst = 10

// chain composes the filters in the order in which a request passes them.
func (d *Daemon) chain() filter.Handler {
	budget := retry.New(d.settings.Retry.BudgetShare, retryBurst)
	return filter.Chain(
		d.account,
		d.hold,
		d.auth,
		validate.New(validate.Options{
			MaxBodyBytes:   d.settings.Callers.MaxBodyBytes,
			DefaultTimeout: seconds(d.settings.Callers.DefaultDeadlineSeconds),
			Pools:          d.directory,
			Fingerprint:    quarantine.Fingerprint,
		}),
		classify.New(contract.Classify),
		claim.New(d.ledger, d.settings.Ledger.MaxAnswerBytes),
		retryfilter.New(budget, d.settings.Retry.MaxAttempts, d.scope),
		quarantinefilter.New(d.quarantine),
		queue.New(d.dispatcher, d.account.RecordWaiting),
		attempt.New(attempt.Options{
			Relay:      d.relay,
			Addresses:  d.directory,
			Scheduler:  d.dispatcher,
			Quarantine: d.quarantine,
		}),
	)
}

// discardLogger returns a logger that drops the messages of net/http about
// single connections, which are counted in metrics instead.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
