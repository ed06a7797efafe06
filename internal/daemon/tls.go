package daemon

import (
	"crypto/tls"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/settings"
	"github.com/umberhill/umberhill/internal/tlsfiles"
)

// tlsConfigs holds the TLS configurations of the three listeners; nil means
// plain TCP.
type tlsConfigs struct {
	callers, admin, peer *tls.Config
	// sources reload the certificate files when they change.
	sources []*tlsfiles.Source
}

// openTLS loads the certificate files that the settings name. The peer listener
// uses mutual TLS.
func (d *Daemon) openTLS() error {
	server := func(s *tlsfiles.Source) (*tls.Config, error) { return s.Server(false) }
	mutual := (*tlsfiles.Source).Peer
	var err error
	if d.tls.callers, err = d.openFiles("callers.tls", d.settings.Callers.TLS, server); err != nil {
		return err
	}
	if d.tls.admin, err = d.openFiles("admin.tls", d.settings.Admin.TLS, server); err != nil {
		return err
	}
	d.tls.peer, err = d.openFiles("peer.tls", d.settings.Peer.TLS, mutual)
	return err
}

func (d *Daemon) openFiles(field string, files *settings.TLS, use func(*tlsfiles.Source) (*tls.Config, error)) (*tls.Config, error) {
	if files == nil {
		return nil, nil
	}
	source, err := tlsfiles.Open(*files, tlsfiles.Options{Logger: d.logger, Scope: d.scope})
	if err != nil {
		return nil, errors.Wrap(err, field)
	}
	d.tls.sources = append(d.tls.sources, source)
	config, err := use(source)
	return config, errors.Wrap(err, field)
}
