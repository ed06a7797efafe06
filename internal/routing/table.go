package routing

import (
	"net"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	// byHost maps a host in lower case to its routes by path prefix.
	byHost map[string]map[string]*Route
}

// NewTable returns a Table of the routes. Of two routes with the same host and prefix
// the first takes precedence.
func NewTable(routes []Route) *Table {
	t := &Table{byHost: make(map[string]map[string]*Route)}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		prefixes := t.byHost[host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.byHost[host] = prefixes
		}
		if _, isDuplicate := prefixes[r.Prefix]; !isDuplicate {
			prefixes[r.Prefix] = r
		}
	}
	return t
}

// Find returns the route of the host whose prefix is the longest one of the path, or
// nil if there is none. Only prefixes that end with a slash match. The host may include
// a port.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.byHost[strings.ToLower(host)]
	if prefixes == nil {
		hostname, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		prefixes = t.byHost[strings.ToLower(hostname)]
	}
	for end := len(path); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if r := prefixes[path[:end]]; r != nil {
			return r
		}
	}
	return nil
}

// routes yields all routes, in no particular order.
func (t *Table) routes(yield func(*Route) bool) {
	for _, prefixes := range t.byHost {
		for _, r := range prefixes {
			if !yield(r) {
				return
			}
		}
	}
}
