package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// tokenBytes and linkBits make a transfer of 3,000 tokens take 6 ms.
const (
	tokenBytes = 100_000
	linkBits   = 400e9
)

// fetchingBed has engines that take parts of prompts from each other, one in each
// of the domains.
func fetchingBed(t *testing.T, domains ...ids.Domain) *bed {
	b := newBed(t, len(domains), 0)
	b.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{
			"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000, TokenBytes: tokenBytes, LinkBits: linkBits}},
		},
		Limits: routing.Limits{TokensPerSecond: 30_000 * float64(len(domains))},
	})
	var all []routing.Target
	for i, d := range domains {
		all = append(all, routing.Target{ID: engineID(i), Service: "llm", Domain: d, Slots: 8})
	}
	b.SetTargets(all)
	return b
}

func engineID(i int) ids.Target { return ids.Target("e" + string(rune('0'+i))) }

// An engine that holds a prompt's shared part and is behind: another one takes the
// part from it rather than read it again.
func TestSharedPartIsTakenFromAnEngineThatHasReadIt(t *testing.T) {
	b := fetchingBed(t, "z", "z")
	behind := admit.Load{Target: "e0", Running: 3, Pending: 40_000}
	b.Report(start, "peer", []admit.Load{{Target: "e0", Cached: []uint64{7}}}, nil, nil)
	now := start.Add(time.Second)
	b.Report(now, "peer", []admit.Load{behind}, nil, nil)
	v := b.submit(now, "a", "llm", prompt(7, 3000, 100)...)
	if v.Target.ID != "e1" || v.FetchFrom.ID != "e0" {
		t.Fatalf("went to %q and takes parts from %q", v.Target.ID, v.FetchFrom.ID)
	}
	if v.Inputs.Uncached != 100 || v.Inputs.Fetched != 3000 {
		t.Errorf("%d tokens are to be read and %d fetched", v.Inputs.Uncached, v.Inputs.Fetched)
	}
	plain := fetchingBed(t, "z", "z").submit(start, "a", "llm", admit.Part{Key: 9, Tokens: 100})
	if transfer := 6 * time.Millisecond; v.Inputs.Predicted < plain.Inputs.Predicted+transfer {
		t.Errorf("first event expected after %v, without a transfer of %v after %v", v.Inputs.Predicted, transfer, plain.Inputs.Predicted)
	}
}

// What is only on its way to be read, small, or known of an engine that fails can't
// be taken; nor can anything where the configuration does not tell of transfers.
func TestSharedPartIsNotTakenInVain(t *testing.T) {
	for _, c := range []struct {
		name   string
		parts  []admit.Part
		after  time.Duration
		before func(b *bed)
	}{
		{name: "not yet read", parts: prompt(7, 3000, 100), after: 50 * time.Millisecond},
		{name: "small", parts: prompt(7, 20, 1000), after: time.Second},
		{name: "forgotten since", parts: prompt(7, 3000, 100), after: 20 * time.Second},
		{name: "leaving", parts: prompt(7, 3000, 100), after: time.Second, before: func(b *bed) {
			b.SetTargets([]routing.Target{
				{ID: "e0", Service: "llm", Domain: "z", Slots: 8, Leaving: true}, {ID: "e1", Service: "llm", Domain: "z", Slots: 8},
			})
		}},
		{name: "no transfers", parts: prompt(7, 3000, 100), after: time.Second, before: func(b *bed) {
			b.SetConfig(&routing.Config{Services: map[string]*routing.Service{
				"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000}},
			}})
		}},
	} {
		b := fetchingBed(t, "z", "z")
		b.Report(start, "peer", []admit.Load{{Target: "e0", Running: 3, Pending: 6_000, Cached: []uint64{7}}}, nil, nil)
		if c.before != nil {
			c.before(b)
		}
		now := start.Add(c.after)
		b.Report(now, "peer", []admit.Load{{Target: "e0", Running: 3, Pending: 60_000}}, nil, nil)
		v := b.submit(now, "a", "llm", c.parts...)
		if v.FetchFrom.ID != "" || v.Inputs.Fetched != 0 {
			t.Errorf("%s: %q takes %d tokens from %q", c.name, v.Target.ID, v.Inputs.Fetched, v.FetchFrom.ID)
		}
	}
}

// Of several engines that hold a part the nearest one gives it, then the one that
// gives less already.
func TestSharedPartIsTakenFromTheNearestEngine(t *testing.T) {
	b := fetchingBed(t, "z", "y", "y", "y")
	b.Report(start, "peer", []admit.Load{
		{Target: "e0", Cached: []uint64{8}}, {Target: "e1", Cached: []uint64{7, 8}}, {Target: "e2", Cached: []uint64{7, 8}},
	}, nil, nil)
	now := start.Add(time.Second)
	full := func(id ids.Target) admit.Load { return admit.Load{Target: id, Running: 8, Pending: 40_000} }
	b.Report(now, "peer", []admit.Load{full("e0"), full("e1"), full("e2")}, nil, nil)
	first := b.submit(now, "a", "llm", prompt(8, 3000, 100)...)
	second := b.submit(now, "a", "llm", prompt(8, 3000, 101)...)
	if first.Target.ID != "e3" || first.FetchFrom.Domain != "y" {
		t.Errorf("%q takes the part from %q in %q", first.Target.ID, first.FetchFrom.ID, first.FetchFrom.Domain)
	}
	third := b.submit(now, "a", "llm", prompt(7, 3000, 102)...)
	if third.FetchFrom.ID == first.FetchFrom.ID || third.FetchFrom.ID == "" {
		t.Errorf("parts are taken from %q and %q, the former gives one already", first.FetchFrom.ID, third.FetchFrom.ID)
	}
	if second.FetchFrom.ID != "" {
		t.Errorf("the part is taken again, from %q", second.FetchFrom.ID)
	}
}

// A long prompt stays in the router's failure domain, at an engine that takes the
// shared part from one elsewhere; later requests find it there.
func TestLongPromptsStayInTheFailureDomain(t *testing.T) {
	b := fetchingBed(t, "y", "z")
	b.Report(start, "peer", []admit.Load{{Target: "e0", Cached: []uint64{7}}}, nil, nil)
	now := start.Add(time.Second)
	for i, want := range []ids.Target{"e0", ""} {
		v := b.submit(now, "a", "llm", prompt(7, 6000, 4000+i)...)
		if v.Target.ID != "e1" || v.FetchFrom.ID != want {
			t.Errorf("request %d went to %q and takes parts from %q, want e1 and %q", i, v.Target.ID, v.FetchFrom.ID, want)
		}
		now = now.Add(time.Second)
		b.serve(v, now)
	}
}

// A failure domain without room passes work on to others at once.
func TestFullFailureDomainPassesWorkOn(t *testing.T) {
	b := fetchingBed(t, "y", "z")
	b.Report(start, "peer", []admit.Load{{Target: "e1", Cached: []uint64{7}}}, nil, nil)
	now := start.Add(time.Second)
	b.Report(now, "peer", []admit.Load{{Target: "e1", Running: 3, Pending: 1_500, Memory: 168_000}}, nil, nil)
	if v := b.submit(now, "a", "llm", prompt(7, 6000, 4000)...); v.Target.ID != "e0" {
		t.Errorf("verdict %+v, e0 has room and e1 has not", v)
	}
}
