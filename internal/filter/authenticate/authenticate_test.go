package authenticate_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/filter/authenticate"
	"github.com/umberhill/umberhill/internal/ids"
)

func contract(ws string, keys ...string) *api.Contract {
	c := &api.Contract{Workspace: ws}
	for _, key := range keys {
		hash := sha256.Sum256([]byte(key))
		c.Keys = append(c.Keys, api.KeyHash{ID: key, SHA256: hex.EncodeToString(hash[:])})
	}
	return c
}

func workspaceOf(t testing.TB, f *authenticate.Filter, key string) ids.Workspace {
	t.Helper()
	r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
	r.Header.Set("Authorization", "Bearer "+key)
	x := &filter.Exchange{Request: r}
	_ = f.Serve(x, func(*filter.Exchange) error { return nil })
	return x.Workspace()
}

// Keys that are withdrawn or moved to another workspace must not give access to
// their old workspace.
func TestUpdate(t *testing.T) {
	f := authenticate.New()
	a := contract("a", "k1", "k2")
	b := contract("b", "k3")
	f.Update(map[ids.Workspace]*api.Contract{"a": a, "b": b})
	// k2 is withdrawn, k3 moves from b to c, and b is removed.
	f.Update(map[ids.Workspace]*api.Contract{"a": contract("a", "k1"), "c": contract("c", "k3")})
	for key, want := range map[string]ids.Workspace{"k1": "a", "k2": "", "k3": "c", "": "", "k4": ""} {
		if got := workspaceOf(t, f, key); got != want {
			t.Errorf("key %q: workspace %q, want %q", key, got, want)
		}
	}
}

// A patch may name the old and the new workspace of a key in any order, and may
// name one twice. The removal from the old contract must not remove the new entry.
func TestPatchMovesKeyBetweenContracts(t *testing.T) {
	f := authenticate.New()
	a, b := contract("a", "k1"), contract("b", "k2")
	f.Update(map[ids.Workspace]*api.Contract{"a": a, "b": b})
	f.Patch(map[ids.Workspace]*api.Contract{"a": a, "c": contract("c", "k2")}, []ids.Workspace{"b", "c", "c"})
	for key, want := range map[string]ids.Workspace{"k1": "a", "k2": "c"} {
		if got := workspaceOf(t, f, key); got != want {
			t.Errorf("key %q: workspace %q, want %q", key, got, want)
		}
	}
}

// BenchmarkPatch measures the change of one contract among many.
func BenchmarkPatch(b *testing.B) {
	for _, n := range []int{16, 4_600, 46_000} {
		b.Run(fmt.Sprintf("contracts=%d", n), func(b *testing.B) {
			f := authenticate.New()
			contracts := make(map[ids.Workspace]*api.Contract, n)
			for i := range n {
				ws := fmt.Sprintf("ws-%d", i)
				contracts[ids.Workspace(ws)] = contract(ws, "key-"+ws)
			}
			f.Update(contracts)
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				next := maps.Clone(contracts)
				next["ws-1"] = contract("ws-1", "key-ws-1")
				b.StartTimer()
				f.Patch(next, []ids.Workspace{"ws-1"})
				contracts = next
			}
		})
	}
}
