// Package faultlink is a small TCP relay for tests. It stands between two
// processes and cuts or delays what flows between them, by direction and by
// client.
package faultlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	dialTimeout = 5 * time.Second
	chunkBytes  = 32 << 10
	queueChunks = 16
)

// Way is what happens to the bytes of one direction.
type Way struct {
	// Hold keeps the bytes back, as a network that drops packets does: they
	// arrive once the rule is lifted.
	Hold bool
	// Delay of each byte.
	Delay time.Duration
}

// Rule is what happens to a client's connections.
type Rule struct {
	// Reset drops all connections and accepts no new ones.
	Reset bool
	// Forward is the direction from the client to the address relayed to.
	Forward Way
	// Back is the other direction.
	Back Way
}

// Cut is the rule of a network partition in both directions.
func Cut() Rule { return Rule{Forward: Way{Hold: true}, Back: Way{Hold: true}} }

// Options of a Relay.
type Options struct {
	// Listen is the address to listen on. Default "127.0.0.1:0".
	Listen string
	// Target is the address relayed to.
	Target string
	// Client names the client of an accepted connection by both its ends, so that
	// rules can be set by client; none where nil.
	Client func(client, relay net.Addr) string
}

// Relay forwards connections under the rules in force.
type Relay struct {
	opts     Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	mu      sync.Mutex
	rules   map[string]Rule
	all     Rule
	changed chan struct{}
	conns   map[*link]struct{}
}

// New starts a relay.
func New(opts Options) (*Relay, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "relay to %s: listen", opts.Target)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		opts:     opts,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		rules:    map[string]Rule{},
		changed:  make(chan struct{}),
		conns:    map[*link]struct{}{},
	}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the IP and port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the rule of all clients that have none of their own.
func (r *Relay) Set(rule Rule) {
	r.change(func() { r.all = rule })
}

// SetClient replaces the rule of one client.
func (r *Relay) SetClient(client string, rule Rule) {
	r.change(func() { r.rules[client] = rule })
}

// Clear lifts all rules.
func (r *Relay) Clear() {
	r.change(func() {
		r.all = Rule{}
		r.rules = map[string]Rule{}
	})
}

// Close drops all connections and returns once the relay has stopped.
func (r *Relay) Close() {
	r.cancel()
	_ = r.listener.Close()
	r.change(func() {})
	r.wg.Wait()
}

func (r *Relay) change(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
	for l := range r.conns {
		if r.ctx.Err() != nil || r.ruleLocked(l.client).Reset {
			l.close()
		}
	}
}

// rule returns a client's rule and a channel closed at the next change.
func (r *Relay) rule(client string) (Rule, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ruleLocked(client), r.changed
}

func (r *Relay) ruleLocked(client string) Rule {
	if rule, ok := r.rules[client]; ok {
		return rule
	}
	return r.all
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(conn) })
	}
}

// serve relays one connection until either side ends it.
func (r *Relay) serve(client net.Conn) {
	defer client.Close()
	l := &link{relay: r, near: client}
	if r.opts.Client != nil {
		l.client = r.opts.Client(client.RemoteAddr(), client.LocalAddr())
	}
	rule, _ := r.rule(l.client)
	if rule.Reset {
		return
	}
	far, err := net.DialTimeout("tcp", r.opts.Target, dialTimeout)
	if err != nil {
		return
	}
	l.far = far
	if !r.add(l) {
		l.close()
		return
	}
	defer r.remove(l)
	l.run()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil || r.ruleLocked(l.client).Reset {
		return false
	}
	r.conns[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, l)
}
