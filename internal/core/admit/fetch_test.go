package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// With tokenBytes and linkBits a transfer of 3,000 tokens takes 6 ms.
const (
	tokenBytes = 100_000
	linkBits   = 400e9
)

// newFetchHarness returns a harness whose engines fetch parts of prompts from each
// other, with one engine in each of the listed domains.
func newFetchHarness(t *testing.T, domains ...ids.Domain) *harness {
	h := newHarness(t, len(domains), 0)
	h.SetConfig(&routing.Config{
		Services: map[string]*routing.Service{
			"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000, TokenBytes: tokenBytes, LinkBitsPerSecond: linkBits}},
		},
		Limits: routing.Limits{TokensPerSecond: 30_000 * float64(len(domains))},
	})
	var all []routing.Target
	for i, d := range domains {
		all = append(all, routing.Target{ID: engineID(i), Service: "llm", Domain: d, Slots: 8})
	}
	h.SetTargets(all)
	return h
}

func engineID(i int) ids.Target { return ids.Target("e" + string(rune('0'+i))) }

// If the engine that has cached a prompt's shared part has a long backlog, another one
// must fetch the part from it instead of prefilling it again.
func TestSharedPartIsFetchedFromAnEngineThatCachedIt(t *testing.T) {
	h := newFetchHarness(t, "z", "z")
	backlogged := admit.Load{Target: "e0", Running: 3, PendingTokens: 40_000}
	h.ApplyPeerReport(start, "peer", []admit.Load{{Target: "e0", CachedKeys: []uint64{7}}}, nil, nil)
	now := start.Add(time.Second)
	h.ApplyPeerReport(now, "peer", []admit.Load{backlogged}, nil, nil)
	v := h.submit(now, "a", "llm", prompt(7, 3000, 100)...)
	if v.Target.ID != "e1" || v.FetchFrom.ID != "e0" {
		t.Fatalf("sent to %q, fetching from %q, want e1 fetching from e0", v.Target.ID, v.FetchFrom.ID)
	}
	if v.Inputs.UncachedTokens != 100 || v.Inputs.FetchedTokens != 3000 {
		t.Errorf("got %d uncached and %d fetched tokens, want 100 and 3000", v.Inputs.UncachedTokens, v.Inputs.FetchedTokens)
	}
	plain := newFetchHarness(t, "z", "z").submit(start, "a", "llm", admit.Part{Key: 9, Tokens: 100})
	if transfer := 6 * time.Millisecond; v.Inputs.PredictedLatency < plain.Inputs.PredictedLatency+transfer {
		t.Errorf("got a predicted latency of %v, want at least the transfer of %v more than %v", v.Inputs.PredictedLatency, transfer, plain.Inputs.PredictedLatency)
	}
}

// A part must not be fetched if its prefill has not completed, if it is small or
// expired, if its engine is draining, or if the configuration has no transfers.
func TestSharedPartIsNotFetchedWhenUnavailable(t *testing.T) {
	for _, c := range []struct {
		name   string
		parts  []admit.Part
		after  time.Duration
		before func(h *harness)
	}{
		{name: "not yet prefilled", parts: prompt(7, 3000, 100), after: 50 * time.Millisecond},
		{name: "small", parts: prompt(7, 20, 1000), after: time.Second},
		{name: "expired", parts: prompt(7, 3000, 100), after: 20 * time.Second},
		{name: "draining", parts: prompt(7, 3000, 100), after: time.Second, before: func(h *harness) {
			h.SetTargets([]routing.Target{
				{ID: "e0", Service: "llm", Domain: "z", Slots: 8, Draining: true}, {ID: "e1", Service: "llm", Domain: "z", Slots: 8},
			})
		}},
		{name: "no transfers", parts: prompt(7, 3000, 100), after: time.Second, before: func(h *harness) {
			h.SetConfig(&routing.Config{Services: map[string]*routing.Service{
				"llm": {Name: "llm", Engine: &routing.Engine{MemoryTokens: 200_000}},
			}})
		}},
	} {
		h := newFetchHarness(t, "z", "z")
		h.ApplyPeerReport(start, "peer", []admit.Load{{Target: "e0", Running: 3, PendingTokens: 6_000, CachedKeys: []uint64{7}}}, nil, nil)
		if c.before != nil {
			c.before(h)
		}
		now := start.Add(c.after)
		h.ApplyPeerReport(now, "peer", []admit.Load{{Target: "e0", Running: 3, PendingTokens: 60_000}}, nil, nil)
		v := h.submit(now, "a", "llm", c.parts...)
		if v.FetchFrom.ID != "" || v.Inputs.FetchedTokens != 0 {
			t.Errorf("%s: %q fetches %d tokens from %q, want none", c.name, v.Target.ID, v.Inputs.FetchedTokens, v.FetchFrom.ID)
		}
	}
}

// Among several engines that have cached a part, the source must be one in the target's
// failure domain, then the one with the fewest tokens in transfer.
func TestSharedPartIsFetchedFromTheNearestEngine(t *testing.T) {
	h := newFetchHarness(t, "z", "y", "y", "y")
	h.ApplyPeerReport(start, "peer", []admit.Load{
		{Target: "e0", CachedKeys: []uint64{8}}, {Target: "e1", CachedKeys: []uint64{7, 8}}, {Target: "e2", CachedKeys: []uint64{7, 8}},
	}, nil, nil)
	now := start.Add(time.Second)
	full := func(id ids.Target) admit.Load { return admit.Load{Target: id, Running: 8, PendingTokens: 40_000} }
	h.ApplyPeerReport(now, "peer", []admit.Load{full("e0"), full("e1"), full("e2")}, nil, nil)
	first := h.submit(now, "a", "llm", prompt(8, 3000, 100)...)
	second := h.submit(now, "a", "llm", prompt(8, 3000, 101)...)
	if first.Target.ID != "e3" || first.FetchFrom.Domain != "y" {
		t.Errorf("%q fetches from %q in domain %q, want e3 fetching from domain y", first.Target.ID, first.FetchFrom.ID, first.FetchFrom.Domain)
	}
	third := h.submit(now, "a", "llm", prompt(7, 3000, 102)...)
	if third.FetchFrom.ID == first.FetchFrom.ID || third.FetchFrom.ID == "" {
		t.Errorf("parts are fetched from %q and %q, want two different engines", first.FetchFrom.ID, third.FetchFrom.ID)
	}
	if second.FetchFrom.ID != "" {
		t.Errorf("the part is fetched a second time, from %q, want no fetch", second.FetchFrom.ID)
	}
}

// A long prompt must stay in the router's failure domain, at an engine that fetches the
// shared part from another domain. Later requests must find the part cached there.
func TestLongPromptsStayInTheFailureDomain(t *testing.T) {
	h := newFetchHarness(t, "y", "z")
	h.ApplyPeerReport(start, "peer", []admit.Load{{Target: "e0", CachedKeys: []uint64{7}}}, nil, nil)
	now := start.Add(time.Second)
	for i, want := range []ids.Target{"e0", ""} {
		v := h.submit(now, "a", "llm", prompt(7, 6000, 4000+i)...)
		if v.Target.ID != "e1" || v.FetchFrom.ID != want {
			t.Errorf("request %d was sent to %q, fetching from %q, want e1 and %q", i, v.Target.ID, v.FetchFrom.ID, want)
		}
		now = now.Add(time.Second)
		h.serve(v, now)
	}
}

// If the router's failure domain has no room, a request must go to another domain at
// once.
func TestFullFailureDomainOverflowsToAnother(t *testing.T) {
	h := newFetchHarness(t, "y", "z")
	h.ApplyPeerReport(start, "peer", []admit.Load{{Target: "e1", CachedKeys: []uint64{7}}}, nil, nil)
	now := start.Add(time.Second)
	h.ApplyPeerReport(now, "peer", []admit.Load{{Target: "e1", Running: 3, PendingTokens: 1_500, MemoryTokens: 168_000}}, nil, nil)
	if v := h.submit(now, "a", "llm", prompt(7, 6000, 4000)...); v.Target.ID != "e0" {
		t.Errorf("got verdict %+v, want e0, which has room; e1 has none", v)
	}
}
