package harness

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/faultlink"
)

// routerPair is a directed pair of routers.
type routerPair struct{ from, to *Router }

// Links are the fault-injecting relays of a fleet. Without Spec.UseRelays there
// are none, and the processes connect to each other directly.
type Links struct {
	fleet *Fleet

	mu       sync.Mutex
	peers    map[routerPair]*faultlink.Relay
	platform map[*Router]*faultlink.Relay
	targets  map[*Target]*faultlink.Relay
}

func newLinks(f *Fleet) *Links {
	return &Links{
		fleet:    f,
		peers:    map[routerPair]*faultlink.Relay{},
		platform: map[*Router]*faultlink.Relay{},
		targets:  map[*Target]*faultlink.Relay{},
	}
}

// SetPeerRule sets the rule between two routers. Forward is the direction from a
// to b, whichever of them dialed.
func (l *Links) SetPeerRule(a, b *Router, rule faultlink.Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[routerPair{a, b}].SetDefault(rule)
	l.peers[routerPair{b, a}].SetDefault(faultlink.Rule{Reset: rule.Reset, Forward: rule.Backward, Backward: rule.Forward})
}

// SetPlatformRule sets the rule between a router and the platform.
func (l *Links) SetPlatformRule(r *Router, rule faultlink.Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platform[r].SetDefault(rule)
}

// SetTargetRule sets the rule between a router and a target.
func (l *Links) SetTargetRule(r *Router, t *Target, rule faultlink.Rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.targets[t].SetClient(r.ID, rule)
}

// SetDomainRule sets the rule between a failure domain and all others, for
// routers and targets in both directions.
func (l *Links) SetDomainRule(domain string, rule faultlink.Rule) {
	for _, r := range l.fleet.Routers {
		l.setDomainPeerRules(r, domain, rule)
		for _, t := range append(append([]*Target{}, l.fleet.Engines...), l.fleet.Services...) {
			if (r.Domain == domain) != (t.Object.Domain == domain) {
				l.SetTargetRule(r, t, rule)
			}
		}
	}
}

func (l *Links) setDomainPeerRules(r *Router, domain string, rule faultlink.Rule) {
	if r.Domain != domain {
		return
	}
	for _, other := range l.fleet.Routers {
		if other.Domain != domain {
			l.SetPeerRule(r, other, rule)
		}
	}
}

// Clear removes all rules.
func (l *Links) Clear() {
	for _, relay := range l.relays() {
		relay.Clear()
	}
}

// Report describes the connections of the relays to the targets and to the platform,
// one line for each relay.
func (l *Links) Report() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lines []string
	for t, relay := range l.targets {
		lines = append(lines, fmt.Sprintf("relay to %s: %+v", t.Object.ID, relay.Stats()))
	}
	for r, relay := range l.platform {
		lines = append(lines, fmt.Sprintf("relay from %s to the platform: %+v", r.ID, relay.Stats()))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func (l *Links) close() {
	for _, relay := range l.relays() {
		relay.Close()
	}
}

func (l *Links) relays() []*faultlink.Relay {
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

// peerAddress returns the address at which one router reaches another.
func (l *Links) peerAddress(from, to *Router) (string, error) {
	return startRelay(l, l.peers, routerPair{from, to}, faultlink.Options{Target: to.PeerAddress})
}

// platformAddress returns the address at which a router reaches the platform.
func (l *Links) platformAddress(r *Router) (string, error) {
	return startRelay(l, l.platform, r, faultlink.Options{Target: l.fleet.Platform.Address})
}

// targetAddress returns the address at which routers reach a target.
func (l *Links) targetAddress(t *Target) (string, error) {
	return startRelay(l, l.targets, t, faultlink.Options{Target: t.Address, ClientName: l.connectionOwner})
}

// startRelay starts a relay where the fleet uses relays. It returns the address
// to use instead of opts.Target, or opts.Target itself without relays.
func startRelay[K comparable](l *Links, relays map[K]*faultlink.Relay, key K, opts faultlink.Options) (string, error) {
	if !l.fleet.Spec.UseRelays {
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
	// ownerLookupAttempts bounds the lookups of a connection's owner: a scan of the
	// kernel's socket table can miss an existing socket.
	ownerLookupAttempts = 20
	ownerLookupInterval = 5 * time.Millisecond
)

// connectionOwner returns the ID of the router that holds the client end of a
// connection to a relay, or an empty string for any other connection.
func (l *Links) connectionOwner(client, relay net.Addr) string {
	for range ownerLookupAttempts {
		if id := l.findConnectionOwner(client, relay); id != "" {
			return id
		}
		time.Sleep(ownerLookupInterval)
	}
	return ""
}

func (l *Links) findConnectionOwner(client, relay net.Addr) string {
	inode, ok := socketInode(client, relay)
	if !ok {
		return ""
	}
	for _, r := range l.fleet.Routers {
		if r.IsRunning() && holdsSocket(r.PID(), inode) {
			return r.ID
		}
	}
	return ""
}
