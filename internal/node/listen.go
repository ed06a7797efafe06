package node

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/edge"
)

func listen(purpose, address string) (net.Listener, error) {
	// Without keep-alive probes a new connection needs fewer system calls. Idle
	// connections are closed by their timeout.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen for %s on %s", purpose, address)
}

// openListeners listens and serves on all addresses, and returns the callers' listener. A
// failure to listen for metrics is logged but is not an error.
func (n *Node) openListeners() (net.Listener, error) {
	callers := &http.Server{ //nolint:gosec // closeIdleConns enforces the time for a head
		Handler:        http.HandlerFunc(n.serveCaller),
		MaxHeaderBytes: maxHeaderBytes,
		ConnContext:    edge.WithConn,
		ConnState:      n.callerConns.Track,
	}
	l, err := listen("callers", n.settings.CallerAddress)
	if err != nil {
		return nil, err
	}
	if tcp, ok := l.(*net.TCPListener); ok {
		l = n.callerConns.Listen(tcp)
	}
	n.serveListener(l, callers)
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	if err := n.serve("readiness", n.settings.ReadyAddress, ready); err != nil {
		return nil, err
	}
	if n.settings.MetricsAddress != "" {
		metrics := &http.Server{Handler: n.metrics, ReadHeaderTimeout: readHeaderTimeout}
		if err := n.serve("metrics", n.settings.MetricsAddress, metrics); err != nil {
			n.logger.WithError(err).Error("cannot listen for metrics; serving without them")
		}
	}
	return l, nil
}

func (n *Node) serve(purpose, address string, s *http.Server) error {
	l, err := listen(purpose, address)
	if err != nil {
		return err
	}
	n.serveListener(l, s)
	return nil
}

func (n *Node) serveListener(l net.Listener, s *http.Server) {
	n.servers = append(n.servers, s)
	n.background.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			n.logger.WithError(err).WithField("address", l.Addr()).Error("listener failed")
		}
	})
}

// serveCaller handles a caller's request. While the router is draining its responses ask callers
// to close their connections; while it has many of them, some do.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.draining.Load() || rand.Float64() < n.callerConns.CloseShare() {
		w.Header().Set("Connection", "close")
	}
	n.server.ServeHTTP(w, r)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.loadShedder.CheckDivert() || !n.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
