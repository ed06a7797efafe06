package config

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/api"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

var modelKinds = []api.Kind{api.KindContract, api.KindTarget}

// parseModel rejects values that start with "bad".
func parseModel(_ Key, value []byte) (any, error) {
	if len(value) >= 3 && string(value[:3]) == "bad" {
		return nil, errors.New("bad value")
	}
	return string(value), nil
}

// writeHistory is the test oracle for the platform: all writes of all objects.
type writeHistory struct {
	revision uint64
	history  map[Key][]Object // in order of revision
}

func (h *writeHistory) write(key Key, value string, deleted bool) {
	h.revision++
	o := Object{Key: key, Version: h.revision, Deleted: deleted}
	if !deleted {
		o.Value = []byte(value)
	}
	h.history[key] = append(h.history[key], o)
}

// at returns an object's last write up to a revision. It reports false if there is
// none.
func (h *writeHistory) at(key Key, revision uint64) (Object, bool) {
	var last Object
	for _, o := range h.history[key] {
		if o.Version <= revision {
			last = o
		}
	}
	return last, last.Version > 0
}

func (h *writeHistory) deletedAfter(key Key, revision uint64) bool {
	return slices.ContainsFunc(h.history[key], func(o Object) bool { return o.Deleted && o.Version > revision })
}

func (h *writeHistory) list(kind api.Kind, revision uint64) Listing {
	l := Listing{Kind: kind, Revision: revision}
	for key := range h.history {
		if o, ok := h.at(key, revision); ok && key.Kind == kind && !o.Deleted {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

func (h *writeHistory) changes(since, revision uint64) []Object {
	var out []Object
	for key := range h.history {
		if o, ok := h.at(key, revision); ok && o.Version > since {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// packet is a message in flight.
type packet struct {
	from, to int
	msg      *configv1.Message
}

// fleet is the platform, the routers' sets and the messages in flight.
type fleet struct {
	platform *writeHistory
	sets     []*Set
	last     []observed
	packets  []packet
	pageSize int
}

// observed is the state of a set at the previous check.
type observed struct {
	complete, revision uint64
	versions, inForce  map[Key]uint64
}

func newFleet(n int) *fleet {
	f := &fleet{platform: &writeHistory{history: map[Key][]Object{}}, pageSize: 2 * objectOverheadBytes}
	for range n {
		f.sets = append(f.sets, New(parseModel))
		f.last = append(f.last, observed{})
	}
	return f
}

func (f *fleet) send(from, to int, msg *configv1.Message) {
	if msg != nil && from != to {
		f.packets = append(f.packets, packet{from, to, proto.CloneOf(msg)})
	}
}

// broadcastChanges sends router i's changes after revision prev to all others.
func (f *fleet) broadcastChanges(i int, prev uint64) {
	if f.sets[i].Revision() <= prev {
		return
	}
	push := &configv1.Message{Body: &configv1.Message_Push{Push: f.sets[i].Delta(prev, 1000)}}
	for j := range f.sets {
		f.send(i, j, push)
	}
}

func pullMessage(p *configv1.Pull) *configv1.Message {
	if p == nil {
		return nil
	}
	return &configv1.Message{Body: &configv1.Message_Pull{Pull: p}}
}

func (f *fleet) deliver(p packet) {
	s := f.sets[p.to]
	prev := s.Revision()
	switch b := p.msg.GetBody().(type) {
	case *configv1.Message_Push:
		if s.ApplyPush(b.Push).Gap {
			f.send(p.to, p.from, pullMessage(s.StartTransfer(fmt.Sprint(p.from))))
		}
	case *configv1.Message_Pull:
		f.send(p.to, p.from, s.AnswerPull(b.Pull, f.pageSize))
	case *configv1.Message_Page:
		_, next := s.ApplyPage(fmt.Sprint(p.from), b.Page)
		f.send(p.to, p.from, pullMessage(next))
	}
	f.broadcastChanges(p.to, prev)
}

// checkInvariants checks that no set has reverted, and that each is as complete as it
// claims.
func (f *fleet) checkInvariants(t *rapid.T) {
	for i, s := range f.sets {
		last := f.last[i]
		if s.CompleteRevision() < last.complete || s.Revision() < last.revision {
			t.Fatalf("router %d reverted: complete/revision %d/%d after %d/%d", i, s.CompleteRevision(), s.Revision(), last.complete, last.revision)
		}
		now := observed{s.CompleteRevision(), s.Revision(), map[Key]uint64{}, map[Key]uint64{}}
		for key := range f.platform.history {
			f.checkKey(t, i, key, now)
		}
		f.last[i] = now
	}
}

func (f *fleet) checkKey(t *rapid.T, i int, key Key, now observed) {
	s, last := f.sets[i], f.last[i]
	held, ok := s.Newest(key)
	_, inForce := s.Lookup(key)
	now.versions[key], now.inForce[key] = held.Version, inForce
	if ok && held.Version < last.versions[key] {
		t.Fatalf("router %d: version of %v decreased from %d to %d", i, key, last.versions[key], held.Version)
	}
	if inForce < last.inForce[key] && (!ok || !held.Deleted) && (inForce != 0 || ok) {
		t.Fatalf("router %d: version in force of %v decreased from %d to %d", i, key, last.inForce[key], inForce)
	}
	want, exists := f.platform.at(key, s.CompleteRevision())
	switch {
	case (!ok || held.Deleted) && f.platform.deletedAfter(key, s.CompleteRevision()):
		// The set holds a later state, from a list, in which the object is deleted.
	case exists && !want.Deleted && (!ok || held.Version < want.Version):
		t.Fatalf("router %d: complete up to %d but holds %v at version %d, want at least %d", i, s.CompleteRevision(), key, held.Version, want.Version)
	case (!exists || want.Deleted) && ok && !held.Deleted && held.Version <= s.CompleteRevision():
		t.Fatalf("router %d: complete up to %d but holds %v at version %d, want it deleted at %d", i, s.CompleteRevision(), key, held.Version, want.Version)
	}
}

// synchronize applies a list to router 0, lets all others pull from it, and checks that
// all are complete up to the platform's revision.
func (f *fleet) synchronize(t *rapid.T) {
	f.packets = nil
	f.sets[0].ApplyList([]Listing{f.platform.list(modelKinds[0], f.platform.revision), f.platform.list(modelKinds[1], f.platform.revision)})
	for i := range f.sets {
		for next := f.sets[i].StartTransfer("0"); i > 0 && next != nil; {
			_, next = f.sets[i].ApplyPage("0", f.sets[0].AnswerPull(next, f.pageSize).GetPage())
		}
	}
	f.checkInvariants(t)
	for i, s := range f.sets {
		if s.CompleteRevision() != f.platform.revision {
			t.Fatalf("router %d: got complete revision %d, want %d", i, s.CompleteRevision(), f.platform.revision)
		}
	}
}

// actions returns the actions of the model. They include stale lists, delayed and
// duplicated messages and restarts with an empty set, none of which may violate the
// invariants.
func (f *fleet) actions() map[string]func(*rapid.T) {
	router := rapid.IntRange(0, len(f.sets)-1)
	key := rapid.Custom(func(t *rapid.T) Key {
		return Key{rapid.SampledFrom(modelKinds).Draw(t, "kind"), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")}
	})
	revision := func(t *rapid.T, from uint64) uint64 {
		return rapid.Uint64Range(min(from, f.platform.revision), f.platform.revision).Draw(t, "revision")
	}
	return map[string]func(*rapid.T){
		"": f.checkInvariants,
		"write": func(t *rapid.T) {
			f.platform.write(key.Draw(t, "key"), rapid.SampledFrom([]string{"x", "y", "bad"}).Draw(t, "value"), false)
		},
		"delete": func(t *rapid.T) {
			k := key.Draw(t, "key")
			if o, ok := f.platform.at(k, f.platform.revision); ok && !o.Deleted {
				f.platform.write(k, "", true)
			}
		},
		"other write": func(*rapid.T) { f.platform.revision++ },
		"list": func(t *rapid.T) {
			i := router.Draw(t, "router")
			prev := f.sets[i].Revision()
			floor := rapid.SampledFrom([]uint64{0, f.sets[i].CompleteRevision(), f.platform.revision}).Draw(t, "floor")
			f.sets[i].ApplyList([]Listing{f.platform.list(modelKinds[0], revision(t, floor)), f.platform.list(modelKinds[1], revision(t, floor))})
			f.broadcastChanges(i, prev)
		},
		"watch": func(t *rapid.T) {
			i := router.Draw(t, "router")
			prev, since := f.sets[i].Revision(), revision(t, 0)
			at := revision(t, since)
			f.sets[i].ApplyWatch(since, at, f.platform.changes(since, at))
			f.broadcastChanges(i, prev)
		},
		"pull": func(t *rapid.T) {
			i, j := router.Draw(t, "router"), router.Draw(t, "peer")
			f.send(i, j, pullMessage(f.sets[i].StartTransfer(fmt.Sprint(j))))
		},
		"trim": func(t *rapid.T) {
			f.sets[router.Draw(t, "router")].TrimTombstones(rapid.IntRange(0, 2).Draw(t, "keep"))
		},
		"abandon": func(t *rapid.T) { f.sets[router.Draw(t, "router")].AbortTransfer() },
		"restart": func(t *rapid.T) {
			i := router.Draw(t, "router")
			f.sets[i], f.last[i] = New(parseModel), observed{}
		},
		"deliver": func(t *rapid.T) { f.deliverOne(t) }, "deliver 2": f.deliverOne, "deliver 3": f.deliverOne,
	}
}

// deliverOne delivers a random message in flight and may keep it for another delivery.
func (f *fleet) deliverOne(t *rapid.T) {
	if len(f.packets) == 0 {
		return
	}
	n := rapid.IntRange(0, len(f.packets)-1).Draw(t, "packet")
	p := f.packets[n]
	if !rapid.Bool().Draw(t, "repeat") {
		f.packets = slices.Delete(f.packets, n, n+1)
	}
	f.deliver(p)
}

// TestModel compares the sets with the platform's write history while messages are
// lost, delayed, duplicated and reordered, and checks at the end that all sets hold the
// platform's objects. The value in force may still differ between sets if the newest
// write is not valid.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		t.Repeat(f.actions())
		f.synchronize(t)
		want := map[Key]uint64{}
		for key := range f.platform.history {
			if o, ok := f.platform.at(key, f.platform.revision); ok && !o.Deleted {
				want[key] = o.Version
			}
		}
		for i, s := range f.sets {
			if got := f.liveVersions(s); !maps.Equal(got, want) {
				t.Fatalf("router %d: got versions %v, want %v", i, got, want)
			}
		}
	})
}

// liveVersions returns the versions of the objects in a set, without tombstones.
func (f *fleet) liveVersions(s *Set) map[Key]uint64 {
	out := map[Key]uint64{}
	for key := range f.platform.history {
		if o, ok := s.Newest(key); ok && !o.Deleted {
			out[key] = o.Version
		}
	}
	return out
}

// TestMain sets the default seed and number of checks; the command line overrides them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
