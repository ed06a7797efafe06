// Package peer links the routers of a fleet: yamux over TCP, with
// length-delimited protobuf on one control stream for each link and one stream
// for each call. Each pair of routers has at most one link. Heartbeats on the
// link show that the peer is alive and carry its state. Sending never blocks:
// each link has a bounded send queue, and messages that exceed it are dropped and
// counted. Malformed input closes the link that it arrived on and is counted.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/settings"
)

// Peer is the state of another live router.
type Peer struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
	Domain      ids.Domain
	// Address is the IP and port at which the peer accepts links.
	Address string
	// Revision is the configuration revision that the peer holds.
	Revision uint64
	// Draining is set while the peer is stopping or marked as draining.
	Draining bool
	// Watcher is set while the peer itself watches the platform.
	Watcher bool
	// FirstSeenAt is when this incarnation was first linked, LastSeenAt when its last
	// message arrived.
	FirstSeenAt, LastSeenAt time.Time
}

// Handler handles the events of a mesh. Its methods are called concurrently.
type Handler interface {
	// Receive handles a message, heartbeats included. It runs on the link's
	// reading goroutine and must not block.
	Receive(from Peer, env *peerv1.Envelope)
	// PeersChanged is called with the live peers after the set has changed. Calls
	// do not overlap, and changes in quick succession are combined into one.
	PeersChanged(live []Peer)
	// Serve returns the response to a call. It may block until ctx ends. The text
	// of an error is sent to the caller.
	Serve(ctx context.Context, from Peer, method string, body []byte) ([]byte, error)
}

// Options configures a Mesh.
type Options struct {
	// Fleet is the fleet's name; links to routers of other fleets are refused.
	Fleet string
	// Self is the name of this router.
	Self ids.Instance
	// Incarnation identifies this process; a later process of the same router has a
	// greater one.
	Incarnation ids.Incarnation
	// Domain is the failure domain of this router.
	Domain ids.Domain
	// Listener accepts incoming links. If nil, Run listens on Address.
	Listener net.Listener
	// Address is the IP and port to listen on.
	Address string
	// Advertise is the IP and port that peers dial. Default: the address of
	// Listener, or Address.
	Advertise string
	// TLS is the configuration for both sides of a link, see tlsfiles.Peer. If
	// nil, links use plain TCP.
	TLS *tls.Config
	// HeartbeatInterval is the interval between heartbeats. Default 1 s.
	HeartbeatInterval time.Duration
	// Timeout is the time without a message after which a peer is no longer live
	// and its link is closed. It also bounds each write. Default 3 s.
	Timeout time.Duration
	// Handler receives messages, calls and changes of the live set.
	Handler Handler
	// NewHeartbeat returns a heartbeat with the state to send; the mesh sets
	// Sequence. Default: an empty heartbeat.
	NewHeartbeat func() *peerv1.Heartbeat
	// Logger receives the changes of link states. Default: the standard logrus
	// logger.
	Logger *logrus.Entry
	// Scope is the parent scope of the metrics. Default: no metrics.
	Scope tally.Scope
}

// Default values of Options, and bounds of the log.
const (
	defaultHeartbeatInterval = time.Second
	defaultTimeout           = 3 * time.Second
	// logRate, in lines per second, and logBurst, in lines, bound the log lines
	// about links.
	logRate  = 5
	logBurst = 50
)

// Mesh maintains the links of one router.
type Mesh struct {
	opts    Options
	traffic *traffic
	metrics *metrics
	changes *obs.ChangeLogger

	// desiredChanged and liveChanged hold an element after a change of the
	// desired or the live set.
	desiredChanged chan struct{}
	liveChanged    chan struct{}
	// createdAt is the origin of the times that links record.
	createdAt time.Time
	// handshakes has an element for each incoming connection whose handshake is
	// not complete.
	handshakes chan struct{}

	mu         sync.Mutex
	set        *member.Set
	links      map[member.LinkID]*link
	lastLinkID member.LinkID
	desired    []settings.Seed
}

// New returns a mesh. It opens no links until Run is called.
func New(opts Options) *Mesh {
	opts = withDefaults(opts)
	scope := opts.Scope.SubScope("peer")
	return &Mesh{
		opts:           opts,
		traffic:        newTraffic(scope),
		metrics:        newMetrics(scope),
		changes:        obs.NewChangeLogger(opts.Logger, logRate, logBurst),
		desiredChanged: make(chan struct{}, 1),
		liveChanged:    make(chan struct{}, 1),
		handshakes:     make(chan struct{}, maxHandshakes),
		createdAt:      time.Now(),
		set:            member.New(opts.Self, opts.Timeout),
		links:          make(map[member.LinkID]*link),
	}
}

func withDefaults(opts Options) Options {
	if opts.HeartbeatInterval <= 0 {
		opts.HeartbeatInterval = defaultHeartbeatInterval
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Logger == nil {
		opts.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.NewHeartbeat == nil {
		opts.NewHeartbeat = func() *peerv1.Heartbeat { return new(peerv1.Heartbeat) }
	}
	if opts.Advertise == "" && opts.Listener != nil {
		opts.Advertise = opts.Listener.Addr().String()
	}
	if opts.Advertise == "" {
		opts.Advertise = opts.Address
	}
	return opts
}

// Run maintains the links until ctx ends, then sends the queued messages, closes
// all links and returns nil. It returns an error if it cannot listen or if
// accepting connections fails.
func (m *Mesh) Run(ctx context.Context) error {
	listener, err := m.listen()
	if err != nil {
		return err
	}
	g, ctx := newGroup(ctx)
	g.run(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	g.run(func() error { return m.accept(ctx, g, listener) })
	g.run(func() error { return m.dialAll(ctx) })
	g.run(func() error { return m.expireLoop(ctx) })
	g.run(func() error { return m.notifyLoop(ctx) })
	return g.wait()
}

func (m *Mesh) listen() (net.Listener, error) {
	if m.opts.Listener != nil {
		return m.opts.Listener, nil
	}
	listener, err := net.Listen("tcp", m.opts.Address)
	return listener, errors.Wrapf(err, "listen for peers at %s", m.opts.Address)
}

// Send queues a message for a peer and reports whether it was queued. It never
// blocks: a message is dropped and counted if it is too large, if the peer has no
// link or if the link's send queue is full. A queued message may still be lost
// when the link fails.
func (m *Mesh) Send(to ids.Instance, env *peerv1.Envelope) bool {
	f, err := newFrame(env, time.Now())
	if err != nil {
		m.traffic.drop(f.kind)
		return false
	}
	return m.queue(to, f)
}

// queue queues a frame for a peer and reports whether there was a link and room.
func (m *Mesh) queue(to ids.Instance, f frame) bool {
	l := m.linkTo(to)
	if l == nil || !l.queue.push(f) {
		m.traffic.drop(f.kind)
		return false
	}
	return true
}

// Broadcast sends a message to the live peers for which isReceiver returns true, on the terms of
// Send. It encodes the message once.
func (m *Mesh) Broadcast(env *peerv1.Envelope, isReceiver func(Peer) bool) {
	var receivers []Peer
	for _, p := range m.Live() {
		if isReceiver(p) {
			receivers = append(receivers, p)
		}
	}
	if len(receivers) == 0 {
		return
	}
	f, err := newFrame(env, time.Now())
	for _, p := range receivers {
		if err != nil {
			m.traffic.drop(f.kind)
			continue
		}
		m.queue(p.Instance, f)
	}
}

// Live returns the live peers, sorted by name, without this router.
func (m *Mesh) Live() []Peer {
	m.mu.Lock()
	members := m.set.Live()
	m.mu.Unlock()
	peers := make([]Peer, len(members))
	for i, mem := range members {
		peers[i] = peerOf(mem)
	}
	return peers
}

// SetPeers replaces the desired set: the routers to link to. It may contain this
// router. The link of a router that is removed from the set stays open until it
// fails, but the router is not dialed again. Above member.MaxFullMeshPeers peers,
// only a bounded selection of the set is dialed, see member.SelectPeers.
func (m *Mesh) SetPeers(seeds []settings.Seed) {
	m.mu.Lock()
	m.desired = append([]settings.Seed(nil), seeds...)
	m.mu.Unlock()
	signal(m.desiredChanged)
}

// Traffic returns the traffic of all links since the mesh was created.
func (m *Mesh) Traffic() Traffic { return m.traffic.snapshot() }

// expireLoop removes timed-out peers until ctx ends.
func (m *Mesh) expireLoop(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.HeartbeatInterval / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			m.expire(now)
		}
	}
}

// expire removes the peers whose last message is older than the timeout from the
// live set and closes their links.
func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	for id, l := range m.links {
		m.set.RecordMessage(l.lastReceived(), l.info.Instance, id)
	}
	expired := m.set.Tick(now)
	var timedOut []*link
	for _, mem := range expired {
		if l, ok := m.links[mem.Link]; ok {
			timedOut = append(timedOut, l)
		}
	}
	m.mu.Unlock()
	for _, l := range timedOut {
		m.metrics.timeouts.Inc(1)
		l.cancel(errPeerTimeout)
	}
	if len(expired) > 0 {
		signal(m.liveChanged)
	}
}

// notifyLoop calls the handler after changes of the live set, one call at a time.
func (m *Mesh) notifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.liveChanged:
			live := m.Live()
			m.metrics.live.Update(float64(len(live)))
			m.opts.Handler.PeersChanged(live)
		}
	}
}

// linkTo returns the current link to a router, or nil.
func (m *Mesh) linkTo(instance ids.Instance) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem, ok := m.set.Get(instance)
	if !ok {
		return nil
	}
	return m.links[mem.Link]
}

func peerOf(m member.Member) Peer {
	return Peer{
		Instance:    m.Instance,
		Incarnation: m.Incarnation,
		Domain:      m.Domain,
		Address:     m.Address,
		Revision:    m.Revision,
		Draining:    m.Draining,
		Watcher:     m.Watcher,
		FirstSeenAt: m.JoinedAt,
		LastSeenAt:  m.LastMessageAt,
	}
}

// signal puts an element into c unless it holds one already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
