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

// parseModel refuses values that start with "bad".
func parseModel(_ Key, value []byte) (any, error) {
	if len(value) >= 3 && string(value[:3]) == "bad" {
		return nil, errors.New("bad value")
	}
	return string(value), nil
}

// register is the oracle: every write of every object, by revision.
type register struct {
	revision uint64
	history  map[Key][]Object
}

func (r *register) write(key Key, value string, deleted bool) {
	r.revision++
	o := Object{Key: key, Version: r.revision, Deleted: deleted}
	if !deleted {
		o.Value = []byte(value)
	}
	r.history[key] = append(r.history[key], o)
}

// at returns an object's last write up to a revision.
func (r *register) at(key Key, revision uint64) (Object, bool) {
	var last Object
	for _, o := range r.history[key] {
		if o.Version <= revision {
			last = o
		}
	}
	return last, last.Version > 0
}

func (r *register) deletedAfter(key Key, revision uint64) bool {
	return slices.ContainsFunc(r.history[key], func(o Object) bool { return o.Deleted && o.Version > revision })
}

func (r *register) list(kind api.Kind, revision uint64) Listing {
	l := Listing{Kind: kind, Revision: revision}
	for key := range r.history {
		if o, ok := r.at(key, revision); ok && key.Kind == kind && !o.Deleted {
			l.Objects = append(l.Objects, o)
		}
	}
	return l
}

func (r *register) changes(since, revision uint64) []Object {
	var out []Object
	for key := range r.history {
		if o, ok := r.at(key, revision); ok && o.Version > since {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return out
}

// packet is a message under way.
type packet struct {
	from, to int
	msg      *configv1.Message
}

// fleet is the routers, the register and the messages under way.
type fleet struct {
	reg      *register
	sets     []*Set
	last     []observed
	packets  []packet
	pageSize int
}

// observed is what a set showed before.
type observed struct {
	complete, revision uint64
	versions, inForce  map[Key]uint64
}

func newFleet(n int) *fleet {
	f := &fleet{reg: &register{history: map[Key][]Object{}}, pageSize: 2 * objectOverhead}
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

// spread pushes what changed since prev to all others.
func (f *fleet) spread(i int, prev uint64) {
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
			f.send(p.to, p.from, pullMessage(s.Pull(fmt.Sprint(p.from))))
		}
	case *configv1.Message_Pull:
		f.send(p.to, p.from, s.Answer(b.Pull, f.pageSize))
	case *configv1.Message_Page:
		_, next := s.ApplyPage(fmt.Sprint(p.from), b.Page)
		f.send(p.to, p.from, pullMessage(next))
	}
	f.spread(p.to, prev)
}

// check holds what is true at any moment.
func (f *fleet) check(t *rapid.T) {
	for i, s := range f.sets {
		last := f.last[i]
		if s.Complete() < last.complete || s.Revision() < last.revision {
			t.Fatalf("router %d went back: %d/%d after %d/%d", i, s.Complete(), s.Revision(), last.complete, last.revision)
		}
		now := observed{s.Complete(), s.Revision(), map[Key]uint64{}, map[Key]uint64{}}
		for key := range f.reg.history {
			f.checkKey(t, i, key, now)
		}
		f.last[i] = now
	}
}

func (f *fleet) checkKey(t *rapid.T, i int, key Key, now observed) {
	s, last := f.sets[i], f.last[i]
	held, ok := s.Newest(key)
	_, good := s.Lookup(key)
	now.versions[key], now.inForce[key] = held.Version, good
	if ok && held.Version < last.versions[key] {
		t.Fatalf("router %d: %v went back from %d to %d", i, key, last.versions[key], held.Version)
	}
	if good < last.inForce[key] && (!ok || !held.Deleted) && (good != 0 || ok) {
		t.Fatalf("router %d: %v in force went back from %d to %d", i, key, last.inForce[key], good)
	}
	want, exists := f.reg.at(key, s.Complete())
	switch {
	case (!ok || held.Deleted) && f.reg.deletedAfter(key, s.Complete()):
		// The set knows a later state, from a list, in which the object is gone.
	case exists && !want.Deleted && (!ok || held.Version < want.Version):
		t.Fatalf("router %d: complete to %d but holds %v at %d, not %d", i, s.Complete(), key, held.Version, want.Version)
	case (!exists || want.Deleted) && ok && !held.Deleted && held.Version <= s.Complete():
		t.Fatalf("router %d: complete to %d but holds %v at %d, deleted at %d", i, s.Complete(), key, held.Version, want.Version)
	}
}

// settle lets router 0 list and all others pull from it, and compares.
func (f *fleet) settle(t *rapid.T) {
	f.packets = nil
	f.sets[0].ApplyList([]Listing{f.reg.list(modelKinds[0], f.reg.revision), f.reg.list(modelKinds[1], f.reg.revision)})
	for i := range f.sets {
		for next := f.sets[i].Pull("0"); i > 0 && next != nil; {
			_, next = f.sets[i].ApplyPage("0", f.sets[0].Answer(next, f.pageSize).GetPage())
		}
	}
	f.check(t)
	for i, s := range f.sets {
		if s.Complete() != f.reg.revision {
			t.Fatalf("router %d is complete to %d, not %d", i, s.Complete(), f.reg.revision)
		}
	}
}

// actions of the model. The naive ones are the steps that a router must not be
// upset by: stale lists, late and repeated messages, restarts without memory.
func (f *fleet) actions() map[string]func(*rapid.T) {
	router := rapid.IntRange(0, len(f.sets)-1)
	key := rapid.Custom(func(t *rapid.T) Key {
		return Key{rapid.SampledFrom(modelKinds).Draw(t, "kind"), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")}
	})
	revision := func(t *rapid.T, from uint64) uint64 {
		return rapid.Uint64Range(min(from, f.reg.revision), f.reg.revision).Draw(t, "revision")
	}
	return map[string]func(*rapid.T){
		"": f.check,
		"write": func(t *rapid.T) {
			f.reg.write(key.Draw(t, "key"), rapid.SampledFrom([]string{"x", "y", "bad"}).Draw(t, "value"), false)
		},
		"delete": func(t *rapid.T) {
			k := key.Draw(t, "key")
			if o, ok := f.reg.at(k, f.reg.revision); ok && !o.Deleted {
				f.reg.write(k, "", true)
			}
		},
		"other write": func(*rapid.T) { f.reg.revision++ },
		"list": func(t *rapid.T) {
			i := router.Draw(t, "router")
			prev := f.sets[i].Revision()
			floor := rapid.SampledFrom([]uint64{0, f.sets[i].Complete(), f.reg.revision}).Draw(t, "floor")
			f.sets[i].ApplyList([]Listing{f.reg.list(modelKinds[0], revision(t, floor)), f.reg.list(modelKinds[1], revision(t, floor))})
			f.spread(i, prev)
		},
		"watch": func(t *rapid.T) {
			i := router.Draw(t, "router")
			prev, since := f.sets[i].Revision(), revision(t, 0)
			at := revision(t, since)
			f.sets[i].ApplyWatch(since, at, f.reg.changes(since, at))
			f.spread(i, prev)
		},
		"pull": func(t *rapid.T) {
			i, j := router.Draw(t, "router"), router.Draw(t, "peer")
			f.send(i, j, pullMessage(f.sets[i].Pull(fmt.Sprint(j))))
		},
		"trim":    func(t *rapid.T) { f.sets[router.Draw(t, "router")].Trim(rapid.IntRange(0, 2).Draw(t, "keep")) },
		"abandon": func(t *rapid.T) { f.sets[router.Draw(t, "router")].Abandon() },
		"restart": func(t *rapid.T) {
			i := router.Draw(t, "router")
			f.sets[i], f.last[i] = New(parseModel), observed{}
		},
		"deliver": func(t *rapid.T) { f.deliverOne(t) }, "deliver 2": f.deliverOne, "deliver 3": f.deliverOne,
	}
}

// deliverOne delivers any message under way, and may keep it for later.
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

// TestModel runs the sets against the register, with everything lost, late,
// repeated and reordered, and then checks that they agree with it. The last
// valid write in force may differ where the newest one is not valid.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(4)
		t.Repeat(f.actions())
		f.settle(t)
		want := map[Key]uint64{}
		for key := range f.reg.history {
			if o, ok := f.reg.at(key, f.reg.revision); ok && !o.Deleted {
				want[key] = o.Version
			}
		}
		for i, s := range f.sets {
			if got := f.live(s); !maps.Equal(got, want) {
				t.Fatalf("router %d holds %v, not %v", i, got, want)
			}
		}
	})
}

// live returns the versions of the objects that a set holds.
func (f *fleet) live(s *Set) map[Key]uint64 {
	out := map[Key]uint64{}
	for key := range f.reg.history {
		if o, ok := s.Newest(key); ok && !o.Deleted {
			out[key] = o.Version
		}
	}
	return out
}

// TestMain fixes the seed where the command line does not give one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
