package routing_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/routing"
)

// route returns a route with services of the same weight.
func route(prefix string, services ...string) routing.Route {
	r := routing.Route{Host: "Api.Example", Prefix: prefix}
	for _, s := range services {
		r.Split = append(r.Split, routing.WeightedService{Service: s, Weight: 1})
	}
	return r
}

// Guards against a stream that goes on at another service, since a configuration has moved the
// route of its requests.
func TestMovedRoutesAreRemembered(t *testing.T) {
	const ttl = 30 * time.Second
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		before, after []routing.Route
		// moved and held are paths whose requests may and may not have gone to other services.
		moved, held string
	}{
		"another service":                       {[]routing.Route{route("/a/", "x")}, []routing.Route{route("/a/", "y")}, "/a/1", ""},
		"split":                                 {[]routing.Route{route("/a/", "x")}, []routing.Route{route("/a/", "x", "y")}, "/a/1", ""},
		"no longer split":                       {[]routing.Route{route("/a/", "x", "y")}, []routing.Route{route("/a/", "y")}, "/a/1", ""},
		"other weights":                         {[]routing.Route{route("/a/", "x", "y")}, []routing.Route{route("/a/", "y", "x")}, "", "/a/1"},
		"other route moved":                     {[]routing.Route{route("/a/", "x"), route("/b/", "x")}, []routing.Route{route("/a/", "x"), route("/b/", "y")}, "/b/1", "/a/1"},
		"new route":                             {[]routing.Route{route("/a/", "x")}, []routing.Route{route("/a/", "x"), route("/b/", "y")}, "", "/b/1"},
		"part of a route to another service":    {[]routing.Route{route("/a/", "x")}, []routing.Route{route("/a/", "x"), route("/a/b/", "y")}, "/a/b/1", "/a/1"},
		"part of a route, same service":         {[]routing.Route{route("/a/", "x")}, []routing.Route{route("/a/", "x"), route("/a/b/", "x")}, "", "/a/b/1"},
		"part of a route back to its whole":     {[]routing.Route{route("/a/", "x"), route("/a/b/", "y")}, []routing.Route{route("/a/", "x")}, "/a/b/1", ""},
		"route removed, the rest has its place": {[]routing.Route{route("/", "x"), route("/a/", "x")}, []routing.Route{route("/", "x")}, "", "/a/1"},
	} {
		before, after := routing.NewTable(c.before), routing.NewTable(c.after)
		// A later configuration without moves does not end the memory.
		m := routing.NewMoves(ttl).After(start, before, after).After(start.Add(ttl/2), after, after)
		if c.moved != "" {
			r := after.Find("api.example", c.moved)
			if !m.HasMoved(start.Add(ttl), r) {
				t.Errorf("%s: requests to %s count as never moved", name, c.moved)
			}
			if m.HasMoved(start.Add(ttl+1), r) {
				t.Errorf("%s: the move is remembered for longer than %s", name, ttl)
			}
		}
		if c.held != "" && m.HasMoved(start, after.Find("api.example", c.held)) {
			t.Errorf("%s: requests to %s count as moved", name, c.held)
		}
	}
}

// Guards against a move that is forgotten when a part of the route gets a route of its own.
func TestPartOfAMovedRouteCountsAsMoved(t *testing.T) {
	start := time.Unix(1000, 0)
	x, y := routing.NewTable([]routing.Route{route("/a/", "x")}), routing.NewTable([]routing.Route{route("/a/", "y")})
	part := routing.NewTable([]routing.Route{route("/a/", "y"), route("/a/b/", "y")})
	m := routing.NewMoves(time.Minute).After(start, x, y).After(start.Add(time.Second), y, part)
	if !m.HasMoved(start.Add(time.Minute), part.Find("api.example", "/a/b/1")) {
		t.Error("part of a route that moved 60 s ago: counts as never moved")
	}
}

// Guards against a move that is not seen since the route was removed in between.
func TestRouteThatReturnsWithAnotherServiceCountsAsMoved(t *testing.T) {
	start := time.Unix(1000, 0)
	x, none, y := routing.NewTable([]routing.Route{route("/a/", "x")}), routing.NewTable(nil), routing.NewTable([]routing.Route{route("/a/", "y")})
	m := routing.NewMoves(time.Minute).After(start, x, none).After(start.Add(time.Second), none, y)
	if !m.HasMoved(start.Add(2*time.Second), y.Find("api.example", "/a/1")) {
		t.Error("route that went to another service 2 s ago: counts as never moved")
	}
}
