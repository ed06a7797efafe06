package node

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

func listen(what, address string) (net.Listener, error) {
	// Without probes a new connection costs fewer system calls; idle ones are
	// closed by their timeout.
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp", address)
	return l, errors.Wrapf(err, "listen for %s on %s", what, address)
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.logger.WithError(err).WithField("address", l.Addr().String()).Error("listener failed")
		}
	}()
}

func (n *Node) startMetrics() error {
	if n.settings.Metrics == "" {
		return nil
	}
	l, err := listen("metrics", n.settings.Metrics)
	if err != nil {
		return err
	}
	n.serve(&http.Server{Handler: n.metrics, ReadHeaderTimeout: readHeaderTimeout}, l)
	return nil
}

// serveCaller passes a request on. While the router stops, its answers ask
// callers to close their connections.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	if n.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	n.server.ServeHTTP(w, r)
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
