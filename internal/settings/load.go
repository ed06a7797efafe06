package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/strictjson"
)

// maxFileBytes is the size limit of the settings file.
const maxFileBytes = 1 << 20

// Load reads and parses the settings file at path. Errors of fields are of type
// strictjson.Errors.
func Load(path string) (*Settings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	if info.Size() > maxFileBytes {
		return nil, errors.Newf("read settings: %s is larger than %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse decodes and validates settings and sets the defaults of absent fields. The
// error is of type strictjson.Errors.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := strictjson.Decode(data, s); err != nil {
		return nil, err
	}
	if s.Peer.Advertise == "" {
		s.Peer.Advertise = s.Peer.Address
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s, nil
}

// check validates the formats of fields and the relations between them. The ranges of
// single fields are checked by strictjson.
func (s *Settings) check() error {
	var errs strictjson.Errors
	checkListenAddress(&errs, "callers.address", s.Callers.Address)
	checkListenAddress(&errs, "admin.address", s.Admin.Address)
	checkListenAddress(&errs, "peer.address", s.Peer.Address)
	checkAdvertise(&errs, s.Peer)
	checkSeeds(&errs, s)
	checkTLS(&errs, "callers.tls", s.Callers.TLS, false)
	checkTLS(&errs, "admin.tls", s.Admin.TLS, false)
	checkTLS(&errs, "peer.tls", s.Peer.TLS, true)
	checkURL(&errs, "platform.url", s.Platform.URL)
	if s.Peer.TimeoutMS < 2*s.Peer.HeartbeatMS {
		errs.Add("peer.timeout_ms", "must be at least twice peer.heartbeat_ms, %d", 2*s.Peer.HeartbeatMS)
	}
	return errs.Err()
}

func checkListenAddress(errs *strictjson.Errors, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		errs.Add(path, "must be an IP and port, such as 127.0.0.1:8080")
	}
}

// checkDialAddress checks an address to which others connect.
func checkDialAddress(errs *strictjson.Errors, path, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		errs.Add(path, "must be an IP and port, such as 127.0.0.1:8080")
		return
	}
	if ap.Addr().IsUnspecified() || ap.Port() == 0 {
		errs.Add(path, "must be an IP and port that others can connect to")
	}
}

// checkAdvertise checks the address to which peers connect. It accepts port 0 if the
// listener has it too, since the kernel then selects the port.
func checkAdvertise(errs *strictjson.Errors, p Peer) {
	ap, err := netip.ParseAddrPort(p.Advertise)
	if p.Advertise == p.Address && err == nil && ap.Port() == 0 && !ap.Addr().IsUnspecified() {
		return
	}
	checkDialAddress(errs, "peer.advertise", p.Advertise)
}

func checkSeeds(errs *strictjson.Errors, s *Settings) {
	seen := map[string]bool{}
	for i, seed := range s.Peer.Seeds {
		path := seedPath(i)
		checkDialAddress(errs, path+".address", seed.Address)
		if seen[seed.Instance] {
			errs.Add(path+".instance", "is given twice")
		}
		seen[seed.Instance] = true
	}
}

func checkTLS(errs *strictjson.Errors, path string, t *TLS, mutual bool) {
	switch {
	case t == nil:
	case mutual && t.CAFile == "":
		errs.Add(path+".ca_file", "is required")
	case !mutual && t.CAFile != "":
		errs.Add(path+".ca_file", "is for peer.tls only: this listener verifies no client certificates")
	}
}

func checkURL(errs *strictjson.Errors, path, text string) {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" {
		errs.Add(path, "must be an http or https URL, such as http://127.0.0.1:7000")
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		errs.Add(path, "must name the host by its IP")
	}
}

func seedPath(i int) string { return fmt.Sprintf("peer.seeds[%d]", i) }
