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

// retryBurst is how many retries a router may make before it has first tries.
const retryBurst = 10

// chain joins the filters in the order in which a request passes them.
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

// quietLog drops what net/http would log about single connections; counters
// tell of them.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }
