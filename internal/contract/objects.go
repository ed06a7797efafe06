package contract

import (
	"net/netip"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// ParseTarget decodes and validates a target as the platform lists it. It ignores
// unknown fields, since the platform may be newer. The error is of type
// strictjson.Errors.
func ParseTarget(data []byte) (*api.Target, error) {
	t := &api.Target{}
	if err := strictjson.DecodeKnown(data, t); err != nil {
		return nil, err
	}
	var errs strictjson.Errors
	checkName(&errs, "id", t.ID)
	checkAddress(&errs, "address", t.Address)
	if t.Kind == api.TargetEngine && t.Service != "" {
		errs.Add("service", "must be left out of an engine")
	}
	if t.Kind == api.TargetService && t.Service == "" {
		errs.Add("service", "is required of a plain service")
	}
	return t, errs.Err()
}

// ParseRouter decodes and validates a router as the platform lists it. It ignores
// unknown fields, since the platform may be newer. The error is of type
// strictjson.Errors.
func ParseRouter(data []byte) (*api.Router, error) {
	r := &api.Router{}
	if err := strictjson.DecodeKnown(data, r); err != nil {
		return nil, err
	}
	var errs strictjson.Errors
	checkName(&errs, "id", r.ID)
	checkAddress(&errs, "peer_address", r.PeerAddress)
	return r, errs.Err()
}

// ParseDrain decodes and validates a drain. The error is of type strictjson.Errors.
func ParseDrain(data []byte) (*api.Drain, error) {
	d := &api.Drain{}
	if err := strictjson.Decode(data, d); err != nil {
		return nil, err
	}
	var errs strictjson.Errors
	checkName(&errs, "id", d.ID)
	return d, errs.Err()
}

// DrainName returns the object name of the drain of a target or instance. The name
// includes the kind, since a target and an instance may have the same id.
func DrainName(of api.DrainOf, id string) string { return string(of) + "." + id }

func checkAddress(errs *strictjson.Errors, path, address string) {
	if ap, err := netip.ParseAddrPort(address); err != nil || ap.Port() == 0 {
		errs.Add(path, "must be an IP and port, such as 127.0.0.1:8080")
	}
}
