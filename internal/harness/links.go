package harness

import (
	"net"
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/faultlink"
)

// pair is a directed pair of routers.
type pair struct{ from, to *Router }

// Links are the relays of a fleet; without Spec.Links there are none, and
// addresses are the processes' own.
type Links struct {
	fleet *Fleet

	mu       sync.Mutex
	peers    map[pair]*faultlink.Relay
	platform map[*Router]*faultlink.Relay
	targets  map[*Target]*faultlink.Relay
}

func newLinks(f *Fleet) *Links {
	return &Links{
		fleet:    f,
		peers:    map[pair]*faultlink.Relay{},
		platform: map[*Router]*faultlink.Relay{},
		targets:  map[*Target]*faultlink.Relay{},
	}
}

// Pair sets the rule between two routers: forward is the direction from a
// to b, whichever of them dialed.
func (l *Links) Pair(a, b *Router, rule faultlink.Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[pair{a, b}].SetDefault(rule)
	l.peers[pair{b, a}].SetDefault(faultlink.Rule{Reset: rule.Reset, Forward: rule.Backward, Backward: rule.Forward})
}

// Platform sets the rule between a router and the platform.
func (l *Links) Platform(r *Router, rule faultlink.Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platform[r].SetDefault(rule)
}

// Target sets the rule between a router and a target.
func (l *Links) Target(r *Router, t *Target, rule faultlink.Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[t].SetClient(r.ID, rule)
}

// Domain sets the rule between a failure domain and all others: their routers
// and their targets, in both directions.
func (l *Links) Domain(domain string, rule faultlink.Rule) {
	for _, r := range l.fleet.Routers {
		l.domainPeers(r, domain, rule)
		for _, t := range append(append([]*Target{}, l.fleet.Engines...), l.fleet.Services...) {
			if (r.Domain == domain) != (t.Object.Domain == domain) {
				l.Target(r, t, rule)
			}
		}
	}
}

func (l *Links) domainPeers(r *Router, domain string, rule faultlink.Rule) {
	if r.Domain != domain {
		return
	}
	for _, other := range l.fleet.Routers {
		if other.Domain != domain {
			l.Pair(r, other, rule)
		}
	}
}

// Clear lifts all rules.
func (l *Links) Clear() {
	for _, relay := range l.all() {
		relay.Clear()
	}
}

func (l *Links) close() {
	for _, relay := range l.all() {
		relay.Close()
	}
}

func (l *Links) all() []*faultlink.Relay {
	l.mu.Lock()
	defer l.mu.Unlock()
	var relays []*faultlink.Relay
	for _, relay := range l.peers {
		relays = append(relays, relay)
	}
	for _, relay := range l.platform {
		relays = append(relays, relay)
	}
	for _, relay := range l.targets {
		relays = append(relays, relay)
	}
	return relays
}

// between returns the address at which one router reaches another.
func (l *Links) between(from, to *Router) (string, error) {
	return place(l, l.peers, pair{from, to}, faultlink.Options{Target: to.Peer})
}

// toPlatform returns the address at which a router reaches the platform.
func (l *Links) toPlatform(r *Router) (string, error) {
	return place(l, l.platform, r, faultlink.Options{Target: l.fleet.Platform.Address})
}

// toTarget returns the address at which routers reach a target.
func (l *Links) toTarget(t *Target) (string, error) {
	return place(l, l.targets, t, faultlink.Options{Target: t.Address, ClientName: l.owner})
}

// place starts a relay where the fleet has them, and returns the address to
// be used in place of the target's.
func place[K comparable](l *Links, relays map[K]*faultlink.Relay, key K, opts faultlink.Options) (string, error) {
	if !l.fleet.Spec.Links {
		return opts.Target, nil
	}
	relay, err := faultlink.New(opts)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	relays[key] = relay
	return relay.Address(), nil
}

const (
	// ownerTries is how often a connection's owner is looked for: the system's
	// table of sockets is read in parts and can miss one that it has.
	ownerTries = 20
	ownerPause = 5 * time.Millisecond
)

// owner returns the id of the router that holds the client's end of a connection to a
// relay, empty for the connections of others.
func (l *Links) owner(client, relay net.Addr) string {
	for range ownerTries {
		if id := l.findOwner(client, relay); id != "" {
			return id
		}
		time.Sleep(ownerPause)
	}
	return ""
}

func (l *Links) findOwner(client, relay net.Addr) string {
	inode, ok := socketInode(client, relay)
	if !ok {
		return ""
	}
	for _, r := range l.fleet.Routers {
		if r.Running() && holdsSocket(r.PID(), inode) {
			return r.ID
		}
	}
	return ""
}
