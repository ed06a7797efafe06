package routing_test

import (
	"testing"

	"github.com/umberhill/umberhill/internal/routing"
)

func TestFindTakesTheLongestPrefix(t *testing.T) {
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

func TestPickFollowsTheWeights(t *testing.T) {
	r := routing.Route{Split: []routing.Weighted{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, c := range []struct {
		x    float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.999, "b"}} {
		if got := r.Pick(c.x); got != c.want {
			t.Errorf("Pick(%v) = %q, want %q", c.x, got, c.want)
		}
	}
	if got := (&routing.Route{}).Pick(0.5); got != "" {
		t.Errorf("a route without services picks %q", got)
	}
}
