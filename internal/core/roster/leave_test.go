package roster_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/roster"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// leaveBound is the drain timeout in these tests, and useBound the time for which a router
	// may use a target after it knew that the store lacks its entry: the timeout, less the time
	// until a router knows.
	leaveBound = 4 * time.Second
	useBound   = 3 * time.Second
	// leaveStep is the resolution of the model, which is also the interval at which a router
	// checks missing entries.
	leaveStep = 50 * time.Millisecond
	// readInterval is the longest time between two reads of the store by a router that reaches it.
	readInterval = 1400 * time.Millisecond
	// checkInInterval is the interval at which targets write their entries.
	checkInInterval = 1200 * time.Millisecond
)

// Guards against a removed target that is used for longer with each loss and return of the router's
// contact with the store (DRAIN).
func TestLossOfContactDoesNotExtendTheUseOfARemovedTarget(t *testing.T) {
	type span struct{ lost, regained time.Duration }
	const forGood = time.Hour
	every := func(interval, length time.Duration) (out []span) {
		for at := time.Second; at < 15*time.Second; at += interval {
			out = append(out, span{at, at + length})
		}
		return out
	}
	for name, losses := range map[string][]span{
		"none":                   nil,
		"once":                   {{1000 * time.Millisecond, 1600 * time.Millisecond}},
		"twice":                  {{1000 * time.Millisecond, 1600 * time.Millisecond}, {3000 * time.Millisecond, 3500 * time.Millisecond}},
		"for half a second each": every(2*time.Second, 500*time.Millisecond),
		"for 300 ms each":        every(time.Second, 300*time.Millisecond),
		"until after the bound":  {{1000 * time.Millisecond, 6 * time.Second}},
		"for good":               {{1000 * time.Millisecond, forGood}},
		"at once, for good":      {{200 * time.Millisecond, forGood}},
		"at once, and again":     {{200 * time.Millisecond, 2200 * time.Millisecond}, {2300 * time.Millisecond, 5 * time.Second}},
	} {
		for _, peers := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, peers %t", name, peers), func(t *testing.T) {
				r := roster.New(leaveBound)
				other := entry(5, false)
				other.ID = "b"
				r.Apply(start, []roster.Change{{Entry: entry(5, false)}, {Entry: other}}, 5)
				r.MarkStoreDown()
				at := func(d time.Duration) time.Time { return start.Add(time.Minute + d) }
				r.MarkStoreUp(at(-time.Second))
				r.Apply(at(100*time.Millisecond), removal(9), 9)
				var last time.Duration
				for d := 100 * time.Millisecond; d < 15*time.Second; d += leaveStep {
					isLost := false
					for _, s := range losses {
						switch d {
						case s.lost:
							r.MarkStoreDown()
						case s.regained:
							r.MarkStoreUp(at(d))
						}
						isLost = isLost || d >= s.lost && d < s.regained
					}
					if peers && d%readInterval == 0 {
						r.RecordRead(at(d))
					}
					if !isLost && d%readInterval == 0 {
						r.Replace(at(d), []roster.Entry{other}, 9)
					}
					r.DropMissing(at(d))
					if isListed(r, "a") {
						last = d
					}
				}
				if last > useBound {
					t.Errorf("target used until %v after its removal, want at most %v", last, useBound)
				}
				if !isListed(r, "b") {
					t.Error("a target whose entry is listed is not used")
				}
			})
		}
	}
}

// Guards against a removed target that is used for longer since events from before its removal are
// read again.
func TestEventsFromBeforeARemovalDoNotExtendTheUseOfTheTarget(t *testing.T) {
	for name, before := range map[string]roster.Change{"entry as known": {Entry: entry(5, false)}, "later change": {Entry: entry(7, false)}} {
		t.Run(name, func(t *testing.T) {
			r := roster.New(leaveBound)
			r.Apply(start, []roster.Change{{Entry: entry(5, false)}}, 5)
			r.MarkStoreDown()
			r.MarkStoreUp(start)
			r.Replace(start, nil, 9)
			for d := time.Duration(0); d <= 2*useBound; d += 200 * time.Millisecond {
				// The watch begins anew at the revision of an older list, and returns a part.
				r.MarkStoreDown()
				r.MarkStoreUp(start.Add(d))
				r.Apply(start.Add(d), []roster.Change{before}, 8)
				if r.DropMissing(start.Add(d)); d > useBound && isListed(r, "a") {
					t.Fatalf("the target is used %v after its removal, want at most %v", d, useBound)
				}
			}
			if r.Apply(start.Add(time.Hour), []roster.Change{{Entry: entry(10, false)}}, 10); !isListed(r, "a") {
				t.Error("a target that has written its entry again is not used")
			}
		})
	}
}

// Guards against waits that add up: a router that gets a list which is not settled counts the
// retention of a missing entry from its own receipt of that list.
func TestRetentionOfAnEntryCountsFromTheFirstRouterThatMissedIt(t *testing.T) {
	hub, follower := newRosterWithOneTarget(), newRosterWithOneTarget()
	for _, r := range []*roster.Roster{hub, follower} {
		r.MarkStoreDown()
		r.MarkStoreUp(start)
	}
	hub.Replace(start, nil, 9)
	at := start.Add(time.Second)
	passMissing(hub, follower)
	follower.Merge(at, hub.Entries(), hub.AsOf(), hub.IsSettled(at))
	follower.DropMissing(start.Add(drainTimeout - 200*time.Millisecond))
	if isListed(follower, "a") {
		t.Error("the follower uses the target for longer than the hub that told it of the removal")
	}
}

// Guards against live targets that are lost since the store goes away again before they could write
// their entries, and against the use of one that left by a router that only lost its own contact.
func TestEntriesThatLapsedAreKeptInASecondOutageOnly(t *testing.T) {
	listed := entry(9, false)
	listed.ID = "b"
	for _, c := range []struct {
		name                string
		peers, readsGoOn    bool
		isOtherListed, want bool
	}{
		{"peers report that none reads the store", true, false, true, true},
		{"peers read the store", true, true, true, false},
		{"no peers", false, false, true, false},
		{"no peers, and no other target", false, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRosterWithOneTarget()
			r.MarkStoreDown()
			at := func(d time.Duration) time.Time { return start.Add(time.Minute + d) }
			r.MarkStoreUp(at(0))
			list := []roster.Entry{}
			if c.isOtherListed {
				list = append(list, listed)
			}
			r.Replace(at(0), list, 9)
			r.MarkStoreDown()
			r.RecordPeers(c.peers)
			for d := time.Duration(0); d <= 10*time.Second; d += 100 * time.Millisecond {
				if c.readsGoOn {
					r.RecordRead(at(d))
				}
				r.DropMissing(at(d))
			}
			if got := isListed(r, "a"); got != c.want {
				t.Errorf("target is used 10 s after its entry lapsed: %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against targets that are used after their removal, since the router lost its own contact for
// less time than an entry takes to lapse.
func TestBriefLossOfContactIsNoOutage(t *testing.T) {
	for name, c := range map[string]struct {
		peerRead, returned time.Duration
		wantKept           bool
	}{
		"brief":                        {-time.Second, 500 * time.Millisecond, false},
		"long, others read the store":  {3 * time.Second, 4 * time.Second, false},
		"long, nobody reads the store": {-time.Second, 4 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New(drainTimeout, roster.WithCheckInInterval(checkInInterval))
			r.Apply(start, []roster.Change{{Entry: entry(5, false)}}, 5)
			at := func(d time.Duration) time.Time { return start.Add(time.Minute + d) }
			for d := -time.Minute; d <= c.peerRead; d += time.Second {
				if d == 0 {
					r.MarkStoreDown()
				}
				r.RecordRead(at(d))
			}
			r.MarkStoreDown()
			r.MarkStoreUp(at(c.returned))
			r.Replace(at(c.returned), nil, 9)
			if got := isListed(r, "a"); got != c.wantKept {
				t.Errorf("entry that the store lacks is kept after the loss: %v, want %v", got, c.wantKept)
			}
		})
	}
}

func isListed(r *roster.Roster, id ids.Target) bool {
	return slices.ContainsFunc(r.Targets(), func(t routing.Target) bool { return t.ID == id })
}

// passMissing tells a router which entries a peer misses.
func passMissing(from, to *roster.Roster) { to.MergeLacks(from.Lacks(), from.AsOf()) }

// leaveModel is a store, its targets and one router, with a peer that reads the store.
type leaveModel struct {
	random   *rand.Rand
	now      time.Time
	revision uint64
	entries  map[ids.Target]roster.Entry
	history  []roster.Change
	// isAlive is set while a target lives, and returnsAt is when one whose entry has lapsed
	// writes it again, zero if it has one or the store is away.
	isAlive   map[ids.Target]bool
	returnsAt map[ids.Target]time.Time
	// awaySince and backAt are of the store's last outage.
	awaySince, backAt time.Time
	// usedBefore are the targets that the router used when that began.
	usedBefore map[ids.Target]bool

	router *roster.Roster
	// knowsCheckIns is set if routers know the interval at which targets write their entries.
	knowsCheckIns bool
	// hasPeer is set if the router has a peer, isLinked while their link is up.
	hasPeer, isLinked bool
	// isCut is set while the router does not reach the store, and hasLost once it knows.
	isCut, hasLost bool
	// watched is the revision of the router's watch, nextRead when it reads the whole list.
	watched  uint64
	nextRead time.Time
	peer     *roster.Roster
	peerRead time.Time
	// knownAt is when the router knew that the store lacks the entry of a target that has left.
	knownAt map[ids.Target]time.Time
}

func (m *leaveModel) isAway() bool { return !m.awaySince.IsZero() && m.backAt.IsZero() }

func (m *leaveModel) chance(n int) bool { return m.random.IntN(n) == 0 }

func newLeaveModel(seed uint64) *leaveModel {
	m := &leaveModel{
		random: rand.New(rand.NewPCG(seed, 2)), now: start, entries: make(map[ids.Target]roster.Entry),
		isAlive: make(map[ids.Target]bool), returnsAt: make(map[ids.Target]time.Time), knownAt: make(map[ids.Target]time.Time),
		hasPeer: seed%3 > 0, isLinked: seed%3 > 0, knowsCheckIns: seed%2 > 0,
	}
	for i := range 8 {
		m.isAlive[modelTarget(i)] = true
		m.put(modelTarget(i))
	}
	m.start()
	m.peer = m.newRoster()
	m.peer.Replace(m.now, m.list(), m.revision)
	return m
}

// newRoster returns a roster that knows the targets' check-in interval, or not.
func (m *leaveModel) newRoster() *roster.Roster {
	if m.knowsCheckIns {
		return roster.New(leaveBound, roster.WithCheckInInterval(checkInInterval))
	}
	return roster.New(leaveBound)
}

// start starts the router, which reads the store.
func (m *leaveModel) start() {
	m.router, m.hasLost = m.newRoster(), false
	m.readList()
}

// serviceOf returns the service of a target, one of two.
func serviceOf(id ids.Target) string { return fmt.Sprint(id[len(id)-1] % 2) }

func (m *leaveModel) put(id ids.Target) {
	m.revision++
	m.entries[id] = roster.Entry{Target: routing.Target{ID: id, Service: serviceOf(id)}, Revision: m.revision}
	m.history = append(m.history, roster.Change{Entry: m.entries[id]})
}

func (m *leaveModel) remove(id ids.Target) {
	m.revision++
	m.history = append(m.history, roster.Change{Entry: roster.Entry{Target: m.entries[id].Target, Revision: m.revision}, Removed: true})
	delete(m.entries, id)
}

func (m *leaveModel) list() (out []roster.Entry) {
	for i := range 8 {
		if e, exists := m.entries[modelTarget(i)]; exists {
			out = append(out, e)
		}
	}
	return out
}

func (m *leaveModel) reachesStore() bool { return !m.isCut && !m.isAway() }

func (m *leaveModel) readList() {
	m.router.MarkStoreUp(m.now)
	m.hasLost = false
	m.router.Replace(m.now, m.list(), m.revision)
	m.watched, m.nextRead = m.revision, m.now.Add(readInterval)
	m.recordKnown(m.list())
}

// recordKnown records that the router was told of a list.
func (m *leaveModel) recordKnown(list []roster.Entry) {
	for id, isAlive := range m.isAlive {
		isListed := slices.ContainsFunc(list, func(e roster.Entry) bool { return e.ID == id })
		if _, known := m.knownAt[id]; !known && !isAlive && !isListed {
			m.knownAt[id] = m.now
		}
	}
}

// step lets leaveStep pass.
func (m *leaveModel) step() {
	m.now = m.now.Add(leaveStep)
	m.stepStore()
	m.stepPeer()
	m.stepRouter()
}

// stepStore lets targets leave and the store go away and return. Entries of live targets lapse
// in an outage of two check-in intervals, and are written again within two seconds of its end.
func (m *leaveModel) stepStore() {
	switch {
	case m.isAway() && m.now.Sub(m.awaySince) > 2*checkInInterval && m.chance(30):
		m.backAt = m.now
		for i := range 8 {
			if id := modelTarget(i); m.isAlive[id] && m.random.IntN(2) == 0 {
				m.remove(id)
				m.returnsAt[id] = m.now.Add(time.Duration(m.random.IntN(1950)) * time.Millisecond)
			}
		}
	case !m.isAway() && (m.awaySince.IsZero() || m.now.Sub(m.backAt) > 10*time.Second) && m.chance(300):
		m.awaySince, m.backAt = m.now, time.Time{}
		m.usedBefore = make(map[ids.Target]bool)
		for _, target := range m.router.Targets() {
			m.usedBefore[target.ID] = true
		}
	}
	for id, at := range m.returnsAt {
		if !at.After(m.now) {
			m.put(id)
			delete(m.returnsAt, id)
		}
	}
	if id := modelTarget(m.random.IntN(8)); !m.isAway() && m.isAlive[id] && m.chance(10) {
		m.put(id)
		delete(m.returnsAt, id)
	}
	isStable := !m.isAway() && (m.awaySince.IsZero() || m.now.Sub(m.backAt) > leaveBound)
	if id := modelTarget(m.random.IntN(8)); isStable && m.isAlive[id] && m.hasOther(id) && m.chance(60) {
		m.isAlive[id] = false
		m.remove(id)
	}
}

// hasOther reports whether another target of the same service lives.
func (m *leaveModel) hasOther(id ids.Target) bool {
	for other, isAlive := range m.isAlive {
		if other != id && isAlive && serviceOf(other) == serviceOf(id) {
			return true
		}
	}
	return false
}

// stepPeer lets the peer read the store, and tell the router when it did and what it holds.
func (m *leaveModel) stepPeer() {
	if !m.hasPeer {
		return
	}
	if m.isAway() {
		m.peer.MarkStoreDown()
	} else {
		m.peer.MarkStoreUp(m.now)
		if m.now.Sub(m.peerRead) >= readInterval || m.chance(10) {
			m.peer.Replace(m.now, m.list(), m.revision)
			m.peerRead = m.now
		}
	}
	m.peer.DropMissing(m.now)
	if m.chance(100) {
		m.isLinked = !m.isLinked
	}
	m.router.RecordPeers(m.isLinked)
	if !m.isLinked {
		return
	}
	m.router.RecordRead(m.peerRead)
	if m.peer.AsOf() > m.router.AsOf() && m.chance(3) {
		list := m.peer.Entries()
		passMissing(m.peer, m.router)
		m.router.Merge(m.now, list, m.peer.AsOf(), m.peer.IsSettled(m.now))
		m.recordKnown(list)
	}
}

// stepRouter lets the router lose and regain its contact with the store, restart, and read it.
func (m *leaveModel) stepRouter() {
	switch {
	case m.isCut && m.chance(10), !m.isCut && m.chance(30):
		m.isCut = !m.isCut
	case m.reachesStore() && m.chance(400):
		m.start()
	}
	switch {
	case !m.reachesStore():
		if !m.hasLost && m.chance(4) {
			m.hasLost = true
			m.router.MarkStoreDown()
		}
	case !m.now.Before(m.nextRead) || m.hasLost && m.chance(2):
		m.readList()
	case m.chance(2):
		// A watch begins at the revision of the last one, or of an older list.
		from := m.watched
		if m.chance(4) {
			from = uint64(m.random.IntN(int(m.watched) + 1))
		}
		until := from + uint64(m.random.IntN(int(m.revision-from)+1))
		m.router.MarkStoreUp(m.now)
		m.hasLost = false
		m.router.Apply(m.now, m.history[from:until], until)
		if m.watched = max(m.watched, until); m.watched == m.revision {
			m.recordKnown(m.list())
		}
	}
	m.router.DropMissing(m.now)
}

// Guards against targets that are used beyond the bound after the router knew that they had left,
// and against live targets that are dropped since their entries lapsed in an outage of the
// store: in any order of leaves, outages, losses and returns of contact, lists, events and restarts.
func TestUseOfTargetsIsBoundedInAnyOrderOfEvents(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { testUseOfTargets(t, seed) })
	}
}

func testUseOfTargets(t *testing.T, seed uint64) {
	t.Helper()
	m := newLeaveModel(seed)
	startedAt := make(map[*roster.Roster]time.Time)
	for range 1200 {
		m.step()
		if _, known := startedAt[m.router]; !known {
			startedAt[m.router] = m.now
		}
		inUse := make(map[ids.Target]bool)
		for _, target := range m.router.Targets() {
			inUse[target.ID] = true
		}
		for i := range 8 {
			id := modelTarget(i)
			_, isLapsed := m.returnsAt[id]
			knownAt, isKnown := m.knownAt[id]
			// The store was not away since shortly before the router knew.
			isStable := m.awaySince.Before(knownAt) && !m.isAway()
			switch {
			case isKnown && inUse[id] && isStable && m.now.Sub(knownAt) > useBound:
				t.Fatalf("at %v: target %s is used %v after the router knew that it had left", m.now.Sub(start), id, m.now.Sub(knownAt))
			case isLapsed && m.usedBefore[id] && !inUse[id] && startedAt[m.router].Before(m.awaySince):
				t.Fatalf("at %v: target %s is not used %v after the return of the store, although it lives", m.now.Sub(start), id, m.now.Sub(m.backAt))
			}
		}
	}
}
