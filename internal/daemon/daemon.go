// Package daemon assembles a router process from its parts: the listeners, the
// filter chain and the controllers. Each controller runs as its own duty; the
// failure of a duty that isn't optional stops the router.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/connlimit"
	"github.com/umberhill/umberhill/internal/directory"
	"github.com/umberhill/umberhill/internal/dispatch"
	"github.com/umberhill/umberhill/internal/duty"
	"github.com/umberhill/umberhill/internal/explain"
	"github.com/umberhill/umberhill/internal/filter/account"
	"github.com/umberhill/umberhill/internal/filter/authenticate"
	"github.com/umberhill/umberhill/internal/filter/hold"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/ledger"
	"github.com/umberhill/umberhill/internal/loadpoll"
	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/platform"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/relay"
	"github.com/umberhill/umberhill/internal/settings"
)

// maxRecentRequests is the number of requests that a router keeps for the
// explain call.
const maxRecentRequests = 4096

// Daemon is one router.
type Daemon struct {
	settings      *settings.Settings
	incarnation   ids.Incarnation
	startedAt     time.Time
	logger        *logrus.Entry
	scope         tally.Scope
	metrics       http.Handler
	metricsCloser io.Closer

	listeners listeners
	tls       tlsConfigs
	// callerConns tracks the callers' connections for the drain at a stop.
	callerConns *connlimit.Limiter

	platform   *platform.Client
	config     *configsync.Controller
	mesh       *peer.Mesh
	dispatcher *dispatch.Dispatcher
	ledger     *ledger.Ledger
	quarantine *quarantine.Controller
	// crashRecord keeps the crashes that must outlast a restart of all routers.
	crashRecord *quarantine.Recorder
	burn        *burn.Recorder
	poller      *loadpoll.Poller
	relay       *relay.Client

	directory      *directory.Directory
	recentRequests *explain.RecentRequests
	auth           *authenticate.Filter
	hold           *hold.Filter
	account        *account.Filter

	applier        *applier
	controlTraffic trafficMeter
	// stopping is set once the router stops, see isDraining.
	stopping atomic.Bool
	// background tracks the goroutines that serve the listeners.
	background conc.WaitGroup
}

// listeners holds the router's listeners, which are open from New until Run
// returns.
type listeners struct {
	callers net.Listener
	admin   net.Listener
	peer    net.Listener
}

// New opens the listeners and builds a router. The caller must call Run, which
// closes the listeners. The error names the setting of a listener or TLS file
// that can't be opened.
func New(s *settings.Settings, logger *logrus.Logger) (*Daemon, error) {
	now := time.Now()
	d := &Daemon{
		settings:       s,
		incarnation:    ids.Incarnation(now.UnixNano()),
		startedAt:      now,
		directory:      directory.New(),
		recentRequests: explain.New(maxRecentRequests),
		applier:        newApplier(),
		auth:           authenticate.New(),
		hold:           hold.New(s.Callers.MaxHeld),
	}
	d.controlTraffic.lastReadAt = now
	d.logger = logger.WithFields(logrus.Fields{"instance": s.Instance, "domain": s.Domain})
	d.scope, d.metrics, d.metricsCloser = obs.NewScope(nil)
	d.callerConns = connlimit.New(0, func(c connlimit.Close) {
		d.scope.Tagged(map[string]string{"reason": string(c.Reason)}).Counter("caller_conns_closed").Inc(1)
	})
	if s.MemorySoftMB > 0 {
		debug.SetMemoryLimit(int64(s.MemorySoftMB) << 20)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	if err := d.build(); err != nil {
		d.listeners.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	if d.listeners.callers, err = listen("callers.address", d.settings.Callers.Address); err != nil {
		return err
	}
	if d.listeners.admin, err = listen("admin.address", d.settings.Admin.Address); err != nil {
		d.listeners.close()
		return err
	}
	if d.listeners.peer, err = listen("peer.address", d.settings.Peer.Address); err != nil {
		d.listeners.close()
		return err
	}
	return nil
}

func listen(field, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, errors.Wrapf(err, "%s: listen on %s", field, address)
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.admin, l.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until the context ends and then stops gracefully: readiness turns
// false, waiting requests are refused as not run, and running requests finish.
// It returns the error of a required duty that failed, which stops the router at
// once.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.metricsCloser.Close()
	callers := d.callersServer()
	admin := d.adminServer()
	d.PeersChanged(nil)
	duties := duty.Start(d.logger, d.duties())
	d.serve(callers, d.trackCallers(d.listeners.callers), nil)
	d.serve(admin, d.listeners.admin, d.tls.admin)
	d.logger.WithField("callers", d.listeners.callers.Addr().String()).Info("router started")
	err := d.await(ctx, callers, duties.Failed())
	duties.Stop()
	d.relay.Close()
	closeServer(admin)
	d.background.Wait()
	d.logger.Info("router stopped")
	return err
}

// await blocks until the context ends, and then stops gracefully, or until a
// duty fails, and then closes the callers' connections at once.
func (d *Daemon) await(ctx context.Context, callers *http.Server, failed <-chan error) error {
	select {
	case <-ctx.Done():
		d.stop(callers)
		return nil
	case err := <-failed:
		d.stopping.Store(true)
		_ = callers.Close()
		return err
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }
