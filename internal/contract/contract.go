// Package contract parses and validates contracts and the other objects of package
// api, and classifies requests by the routes of a contract. The command-line tool and
// the daemon share it, so that they accept the same objects.
package contract

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// MaxBytes is the size limit of a contract's JSON.
const MaxBytes = 256 << 10

// DefaultPathPrefix matches any path.
const DefaultPathPrefix = "/"

var (
	nameFormat   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hashFormat   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	methodFormat = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// Parse decodes and validates a contract and sets the defaults of absent fields. The
// error is of type strictjson.Errors.
func Parse(data []byte) (*api.Contract, error) {
	if len(data) > MaxBytes {
		return nil, strictjson.Errors{{Message: fmt.Sprintf("larger than %d bytes", MaxBytes)}}
	}
	c := &api.Contract{}
	if err := strictjson.Decode(data, c); err != nil {
		return nil, err
	}
	if c.Limits.Burst == 0 {
		c.Limits.Burst = int(math.Ceil(c.Limits.RequestsPerSecond))
	}
	if err := Validate(c); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate validates a contract. The error is of type strictjson.Errors and names the
// path of each invalid field.
func Validate(c *api.Contract) error {
	if err := strictjson.Check(c); err != nil {
		return err
	}
	var errs strictjson.Errors
	checkName(&errs, "workspace", c.Workspace)
	checkKeys(&errs, c.Keys)
	checkRoutes(&errs, c.Routes)
	checkObjectives(&errs, c.Objectives)
	return errs.Err()
}

func checkName(errs *strictjson.Errors, path, name string) {
	if !nameFormat.MatchString(name) {
		errs.Add(path, "must be letters, digits, dots, underscores and hyphens, and start with a letter or digit")
	}
}

func checkKeys(errs *strictjson.Errors, keys []api.KeyHash) {
	if len(keys) == 0 {
		errs.Add("keys", "must have at least one item")
	}
	ids := map[string]bool{}
	hashes := map[string]bool{}
	for i, k := range keys {
		path := fmt.Sprintf("keys[%d]", i)
		if ids[k.ID] {
			errs.Add(path+".id", "is given twice")
		}
		if !hashFormat.MatchString(k.SHA256) {
			errs.Add(path+".sha256", "must be 64 lower-case hexadecimal digits")
		} else if hashes[k.SHA256] {
			errs.Add(path+".sha256", "is given twice")
		}
		ids[k.ID] = true
		hashes[k.SHA256] = true
	}
}

func checkRoutes(errs *strictjson.Errors, routes []api.Route) {
	seen := map[string]bool{}
	for i, r := range routes {
		path := fmt.Sprintf("routes[%d]", i)
		if r.Service != "" && r.Model != "" {
			errs.Add(path+".model", "must be left out where service is given")
		}
		if !strings.HasPrefix(r.PathPrefix, "/") && r.PathPrefix != "" {
			errs.Add(path+".path_prefix", "must start with /")
		}
		checkMethods(errs, path, r.Methods)
		key := routeKey(r)
		if seen[key] {
			errs.Add(path, "matches the same requests as an earlier route")
		}
		seen[key] = true
	}
}

func checkMethods(errs *strictjson.Errors, path string, methods []string) {
	for i, m := range methods {
		methodPath := fmt.Sprintf("%s.methods[%d]", path, i)
		if !methodFormat.MatchString(m) {
			errs.Add(methodPath, "must be an HTTP method in capitals")
		}
		if slices.Contains(methods[:i], m) {
			errs.Add(methodPath, "is given twice")
		}
	}
}

// routeKey returns a key that is equal for routes that match the same requests.
func routeKey(r api.Route) string {
	methods := slices.Sorted(slices.Values(r.Methods))
	return fmt.Sprintf("%q %q %q %q", r.Service, r.Model, methods, prefixOrDefault(r))
}

func checkObjectives(errs *strictjson.Errors, o *api.Objectives) {
	if o == nil {
		return
	}
	if o.Availability == 0 && o.QueueTime == nil && o.FirstToken == nil {
		errs.Add("objectives", "must have at least one of availability, queue_time and first_token")
	}
}
