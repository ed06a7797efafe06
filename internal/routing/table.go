package routing

import (
	"net"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	byHost map[string]map[string]*Route
}

// NewTable indexes the routes. Of two routes with the same host and prefix the
// first holds.
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
		if _, twice := prefixes[r.Prefix]; !twice {
			prefixes[r.Prefix] = r
		}
	}
	return t
}

// Find returns the route with the longest prefix of the path, or nil. The host
// may carry a port.
func (t *Table) Find(host, path string) *Route {
	prefixes := t.byHost[strings.ToLower(host)]
	if prefixes == nil {
		bare, _, err := net.SplitHostPort(host)
		if err != nil {
			return nil
		}
		prefixes = t.byHost[strings.ToLower(bare)]
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
