package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/strictjson"
)

// maxFileBytes bounds the settings file.
const maxFileBytes = 1 << 20

// Load reads the settings file. Faults of fields are strictjson.Errors.
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

// Parse decodes and checks settings and sets the defaults of what they leave
// out. The error is of type strictjson.Errors.
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

// check holds the rules that concern more than the range of one field.
func (s *Settings) check() error {
	var errs strictjson.Errors
	checkListen(&errs, "callers.address", s.Callers.Address)
	checkListen(&errs, "admin.address", s.Admin.Address)
	checkListen(&errs, "peer.address", s.Peer.Address)
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

func checkListen(errs *strictjson.Errors, path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		errs.Add(path, "must be an IP and port, such as 127.0.0.1:8080")
	}
}

// checkDial checks an address that others connect to.
func checkDial(errs *strictjson.Errors, path, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		errs.Add(path, "must be an IP and port, such as 127.0.0.1:8080")
		return
	}
	if ap.Addr().IsUnspecified() || ap.Port() == 0 {
		errs.Add(path, "must be an IP and port that others can connect to")
	}
}

// checkAdvertise lets the port 0 pass where the listener has it too: the port
// is then the one that the kernel chose.
func checkAdvertise(errs *strictjson.Errors, p Peer) {
	ap, err := netip.ParseAddrPort(p.Advertise)
	if p.Advertise == p.Address && err == nil && ap.Port() == 0 && !ap.Addr().IsUnspecified() {
		return
	}
	checkDial(errs, "peer.advertise", p.Advertise)
}

func checkSeeds(errs *strictjson.Errors, s *Settings) {
	seen := map[string]bool{}
	for i, seed := range s.Peer.Seeds {
		path := seedPath(i)
		checkDial(errs, path+".address", seed.Address)
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
