package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/callers"
)

const (
	// headerTimeout bounds reading the headers of a request, and on the admin
	// listener the whole request.
	headerTimeout = 10 * time.Second
	// adminWriteTimeout bounds writing a response on the admin listener.
	adminWriteTimeout = 60 * time.Second
	// adminShutdownTimeout bounds the graceful shutdown of the admin server.
	adminShutdownTimeout = time.Second
)

func (d *Daemon) callersServer() *http.Server {
	c := d.settings.Callers
	handler := callers.New(d.chain(), d.logger)
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			handler.ServeHTTP(w, r)
		}),
		ConnState:         d.callerConns.Track,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       seconds(c.ReadSeconds),
		IdleTimeout:       seconds(c.IdleSeconds),
		MaxHeaderBytes:    c.MaxHeaderBytes,
		ErrorLog:          discardLogger(),
	}
}

func (d *Daemon) adminServer() *http.Server {
	return &http.Server{
		Handler:           d.adminHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      adminWriteTimeout,
		ErrorLog:          discardLogger(),
	}
}

// trackCallers returns a listener whose connections are tracked, with TLS if the settings say so.
func (d *Daemon) trackCallers(l net.Listener) net.Listener {
	tcp := l.(*net.TCPListener) //nolint:forcetypeassert // listen listens for TCP
	if d.tls.callers != nil {
		return d.callerConns.ListenTLS(tcp, d.tls.callers)
	}
	return d.callerConns.Listen(tcp)
}

func (d *Daemon) serve(server *http.Server, listener net.Listener, config *tls.Config) {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	d.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			d.logger.WithError(err).Error("HTTP server stopped serving its listener")
		}
	})
}

// stop shuts the callers' server down gracefully. Readiness turns false first, so
// that load balancers stop sending requests within the lead time, before new ones
// are refused.
func (d *Daemon) stop(server *http.Server) {
	d.logger.Info("graceful shutdown started")
	d.stopping.Store(true)
	time.Sleep(milliseconds(d.settings.StopLeadMS))
	d.hold.Stop()
	d.dispatcher.Enqueue(drainEvent)
	_ = d.listeners.callers.Close()
	// http.Server.Shutdown would drop a request that it reads after it has begun.
	select {
	case <-d.callerConns.Drain():
	case <-time.After(seconds(d.settings.StopSeconds)):
		d.logger.Warn("connections closed at the shutdown timeout while requests were still running")
	}
	_ = server.Close()
}

func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), adminShutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
