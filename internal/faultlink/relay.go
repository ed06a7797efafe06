// Package faultlink provides a TCP relay that injects network faults in tests. Placed
// between two processes, it holds back, delays or resets the traffic between them, by
// direction and by client.
package faultlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/pause"
)

const (
	dialTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// chunkBytes is the largest size of a chunk.
	chunkBytes = 32 << 10
	// queueChunks bounds the chunks that are read ahead in each direction.
	queueChunks = 16
)

// Impairment is the fault injected into one direction. The zero value passes all data
// without delay.
type Impairment struct {
	// Hold holds the data back until the rule is changed. To both ends this looks
	// like a network that drops packets: TCP delivers the data once the network
	// recovers.
	Hold bool
	// Delay is the time between the arrival of data and its forwarding.
	Delay time.Duration
}

// Rule is the set of faults injected into a client's connections. The zero value
// injects none.
type Rule struct {
	// Reset closes all connections, and closes new ones as soon as they are accepted.
	Reset bool
	// Forward applies to the direction from the client to the target.
	Forward Impairment
	// Backward applies to the direction from the target to the client.
	Backward Impairment
}

// Partition returns the rule of a network partition in both directions.
func Partition() Rule { return Rule{Forward: Impairment{Hold: true}, Backward: Impairment{Hold: true}} }

// Options configures a Relay.
type Options struct {
	// Listen is the address to listen on. Default "127.0.0.1:0".
	Listen string
	// Target is the address to which connections are relayed.
	Target string
	// ClientName returns the name of the client of an accepted connection from the
	// addresses of both its ends, for use with SetClient. If nil, clients have the
	// empty name.
	ClientName func(client, relay net.Addr) string
}

// Relay relays TCP connections and applies the rules in force. Its methods are safe
// for concurrent use.
type Relay struct {
	opts     Options
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	mu          sync.Mutex
	rules       map[string]Rule
	defaultRule Rule
	changed     chan struct{}
	conns       map[*relayedConn]struct{}
	stats       Stats
}

// Stats describes the connections of a relay.
type Stats struct {
	// Accepted counts the accepted connections, AcceptErrors the failed accepts.
	Accepted, AcceptErrors int
	// Unnamed counts the connections for which ClientName returned an empty name.
	// LongestNaming is the longest time that it took; no data is relayed before.
	Unnamed       int
	LongestNaming time.Duration
	// Dialed counts the connections to the target, DialErrors the failed ones.
	Dialed, DialErrors int
	// Open is the number of relayed connections by client, and Held the number of their
	// directions that wait for a change of the rules.
	Open map[string]int
	Held int
}

// New starts a relay. It runs until Close is called.
func New(opts Options) (*Relay, error) {
	if opts.Listen == "" {
		opts.Listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "relay to %s: listen", opts.Target)
	}
	return start(opts, listener), nil
}

func start(opts Options, listener net.Listener) *Relay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		opts:     opts,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		rules:    map[string]Rule{},
		changed:  make(chan struct{}),
		conns:    map[*relayedConn]struct{}{},
	}
	r.wg.Go(r.accept)
	return r
}

// Address returns the IP and port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetDefault replaces the rule for all clients without a rule of their own.
func (r *Relay) SetDefault(rule Rule) {
	r.updateRules(func() { r.defaultRule = rule })
}

// SetClient replaces the rule for one client.
func (r *Relay) SetClient(client string, rule Rule) {
	r.updateRules(func() { r.rules[client] = rule })
}

// Clear removes all rules.
func (r *Relay) Clear() {
	r.updateRules(func() {
		r.defaultRule = Rule{}
		r.rules = map[string]Rule{}
	})
}

// Stats returns the state of the relay's connections since it was created.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats
	stats.Open = make(map[string]int)
	for rc := range r.conns {
		stats.Open[rc.clientName]++
	}
	return stats
}

func (r *Relay) updateStats(change func(*Stats)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.stats)
}

// Close closes all connections and returns once the relay has stopped.
func (r *Relay) Close() {
	r.cancel()
	_ = r.listener.Close()
	r.updateRules(func() {})
	r.wg.Wait()
}

// updateRules applies a change of the rules, notifies the connections and closes those
// that the rules now reset.
func (r *Relay) updateRules(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
	for rc := range r.conns {
		if r.ctx.Err() != nil || r.ruleLocked(rc.clientName).Reset {
			rc.close()
		}
	}
}

// rule returns the rule in force for a client and a channel that is closed at the next
// change of the rules.
func (r *Relay) rule(client string) (Rule, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ruleLocked(client), r.changed
}

func (r *Relay) ruleLocked(client string) Rule {
	if rule, ok := r.rules[client]; ok {
		return rule
	}
	return r.defaultRule
}

// accept serves incoming connections until the relay is closed. Accept also fails while
// the system lacks memory or file descriptors.
func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if r.ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		if err != nil {
			r.updateStats(func(s *Stats) { s.AcceptErrors++ })
			pause.Sleep(r.ctx, acceptRetryDelay)
			continue
		}
		r.updateStats(func(s *Stats) { s.Accepted++ })
		r.wg.Go(func() { r.serve(conn) })
	}
}

// serve relays one accepted connection until it ends.
func (r *Relay) serve(client net.Conn) {
	defer client.Close()
	rc := &relayedConn{relay: r, clientConn: client}
	if r.opts.ClientName != nil {
		rc.clientName = r.nameClient(client)
	}
	rule, _ := r.rule(rc.clientName)
	if rule.Reset {
		return
	}
	target, err := net.DialTimeout("tcp", r.opts.Target, dialTimeout)
	if err != nil {
		r.updateStats(func(s *Stats) { s.DialErrors++ })
		return
	}
	r.updateStats(func(s *Stats) { s.Dialed++ })
	rc.targetConn = target
	if !r.add(rc) {
		rc.close()
		return
	}
	defer r.remove(rc)
	rc.run()
}

func (r *Relay) nameClient(client net.Conn) string {
	began := time.Now()
	name := r.opts.ClientName(client.RemoteAddr(), client.LocalAddr())
	took := time.Since(began)
	r.updateStats(func(s *Stats) {
		s.LongestNaming = max(s.LongestNaming, took)
		if name == "" {
			s.Unnamed++
		}
	})
	return name
}

// add registers a connection. It returns false if the relay is closed or the rule in
// force resets the connection.
func (r *Relay) add(rc *relayedConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ctx.Err() != nil || r.ruleLocked(rc.clientName).Reset {
		return false
	}
	r.conns[rc] = struct{}{}
	return true
}

func (r *Relay) remove(rc *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, rc)
}
