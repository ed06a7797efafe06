package node

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/edge"
)

func listen(what, address string) (net.Listener, error) {
	// Without probes a new connection costs fewer system calls; idle ones are
	// closed by their timeout.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen for %s on %s", what, address)
}

// open listens and serves on all addresses, and returns the callers' server. A
// router without metrics goes on.
func (n *Node) open() (*http.Server, error) {
	callers := &http.Server{
		Handler:           http.HandlerFunc(n.serveCaller),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       edge.WithConn,
		ConnState:         n.callers.Track,
	}
	if err := n.serve("callers", n.settings.Callers, callers); err != nil {
		return nil, err
	}
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: readHeaderTimeout}
	if err := n.serve("readiness", n.settings.Ready, ready); err != nil {
		return nil, err
	}
	if n.settings.Metrics != "" {
		metrics := &http.Server{Handler: n.metrics, ReadHeaderTimeout: readHeaderTimeout}
		if err := n.serve("metrics", n.settings.Metrics, metrics); err != nil {
			n.logger.WithError(err).Error("metrics are not served")
		}
	}
	return callers, nil
}

func (n *Node) serve(what, address string, s *http.Server) error {
	l, err := listen(what, address)
	if err != nil {
		return err
	}
	n.servers = append(n.servers, s)
	n.background.Go(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.logger.WithError(err).WithField("address", address).Error("listener failed")
		}
	})
	return nil
}

// serveCaller passes a request on. While the router stops or has too many of them,
// its answers ask callers to close their connections.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.draining.Load() || n.callers.IsAboveSoftLimit() {
		w.Header().Set("Connection", "close")
	}
	n.server.ServeHTTP(w, r)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
