package routing_test

import (
	"testing"

	"github.com/umberhill/umberhill/internal/routing"
)

// Guards against a shorter prefix taking precedence over a longer one, a prefix that
// ends within a path segment, and hosts that fail to match because of case or a port.
func TestFindReturnsTheLongestPrefix(t *testing.T) {
	table := routing.NewTable([]routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "root", Host: "b.example", Prefix: "/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.Example:8080", "/x/y/", "long"},
		{"a.example", "/x/yy", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/xx/", ""},
		{"b.example", "/anything", "root"},
		{"c.example", "/x/y/", ""},
		{"", "/", ""},
	} {
		got := ""
		if r := table.Find(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Find(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Each service gets the part of [0, 1) that corresponds to its weight.
func TestPickHonorsTheWeights(t *testing.T) {
	r := routing.Route{Split: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, c := range []struct {
		x    float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}} {
		if got := r.Pick(c.x); got != c.want {
			t.Errorf("Pick(%v) = %q, want %q", c.x, got, c.want)
		}
	}
	if got := (&routing.Route{}).Pick(0.5); got != "" {
		t.Errorf("Pick(0.5) of a route without services = %q, want an empty name", got)
	}
}
