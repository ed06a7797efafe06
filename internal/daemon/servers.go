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
	// headerTimeout bounds the reading of a request's headers.
	headerTimeout = 10 * time.Second
	// adminWrite bounds an answer of the admin listener.
	adminWrite = 60 * time.Second
	// adminClose bounds the closing of the admin listener.
	adminClose = time.Second
)

func (d *Daemon) callersServer() *http.Server {
	c := d.settings.Callers
	return &http.Server{
		Handler:           callers.New(d.chain(), d.logger),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       seconds(c.ReadSeconds),
		IdleTimeout:       seconds(c.IdleSeconds),
		MaxHeaderBytes:    c.MaxHeaderBytes,
		ErrorLog:          quietLog(),
	}
}

func (d *Daemon) adminServer() *http.Server {
	return &http.Server{
		Handler:           d.adminHandler(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      adminWrite,
		ErrorLog:          quietLog(),
	}
}

func (d *Daemon) serve(server *http.Server, listener net.Listener, config *tls.Config) {
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	d.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.logger.WithError(err).Error("listener failed")
		}
	})
}

// stop carries out a planned stop of the callers' side.
func (d *Daemon) stop(server *http.Server) {
	d.logger.Info("planned stop begun")
	d.draining.Store(true)
	time.Sleep(milliseconds(d.settings.StopLeadMS))
	d.hold.Stop()
	d.dispatcher.Enqueue(drainEvent)
	ctx, cancel := context.WithTimeout(context.Background(), seconds(d.settings.StopSeconds))
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		d.logger.WithError(err).Warn("running requests cut off at the time limit")
		_ = server.Close()
	}
}

func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), adminClose)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
