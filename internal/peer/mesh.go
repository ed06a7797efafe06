// Package peer links the routers of a fleet: yamux over TCP, with
// length-delimited protobuf on one control stream for each link and one stream
// for each call. Every pair of routers has one link. Heartbeats on it tell that
// the other side lives and which state it holds. Sending never blocks: each
// link has a bounded ring, and what finds no room is dropped and counted.
// Malformed input closes its link and is counted.
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

// Peer is another router that is live.
type Peer struct {
	Instance    ids.Instance
	Incarnation ids.Incarnation
	Domain      ids.Domain
	// Address at which it accepts links.
	Address string
	// Revision of the configuration that it holds.
	Revision uint64
	// Draining is set once it is stopping.
	Draining bool
	// Watcher is set while it watches the platform itself.
	Watcher bool
	// Since is when this incarnation was first heard, LastHeard when the last
	// message came.
	Since, LastHeard time.Time
}

// Handler receives what the links bring.
type Handler interface {
	// Receive takes a message, heartbeats included. It runs on the link's
	// reading goroutine and must not block.
	Receive(from Peer, env *peerv1.Envelope)
	// Changed tells the live set after it changed. Calls do not overlap, and
	// changes in quick succession come as one.
	Changed(live []Peer)
	// Serve answers a call. It may block until ctx ends.
	Serve(ctx context.Context, from Peer, method string, body []byte) ([]byte, error)
}

// Options of a Mesh.
type Options struct {
	// Fleet name; routers of other fleets are refused.
	Fleet string
	// Self is this router.
	Self ids.Instance
	// Incarnation of this run; a later run has a greater one.
	Incarnation ids.Incarnation
	// Domain of this router.
	Domain ids.Domain
	// Listen accepts links. Where nil, Run listens on Address.
	Listen net.Listener
	// Address is the IP and port to listen on.
	Address string
	// Advertise is the IP and port that peers dial. Default: the listener's.
	Advertise string
	// TLS of both sides, see tlsfiles.Peer; nil for plain TCP.
	TLS *tls.Config
	// Heartbeat is the interval between heartbeats. Default 1 s.
	Heartbeat time.Duration
	// Timeout is the silence after which a peer is dead. Default 3 s.
	Timeout time.Duration
	// Handler of what the links bring.
	Handler Handler
	// Beat returns the state that a heartbeat carries; the mesh sets Sequence.
	Beat func() *peerv1.Heartbeat
	// Logger for changes of state. Default: logrus' standard logger.
	Logger *logrus.Entry
	// Scope of the metrics. Default: none.
	Scope tally.Scope
}

// Defaults of Options.
const (
	defaultHeartbeat = time.Second
	defaultTimeout   = 3 * time.Second
	// logRate and logBurst bound the lines about links.
	logRate  = 5
	logBurst = 50
)

// Mesh keeps the links of one router.
type Mesh struct {
	opts    Options
	traffic *traffic
	metrics *metrics
	changes *obs.Changes

	// desiredSet and liveSet have an element after a change.
	desiredSet chan struct{}
	liveSet    chan struct{}
	// started is when the mesh was made; links count the time from there.
	started time.Time
	// handshakes bounds the incoming links that have not said who they are.
	handshakes chan struct{}

	mu       sync.Mutex
	set      *member.Set
	links    map[member.LinkID]*link
	lastLink member.LinkID
	desired  []settings.Seed
}

// New returns a mesh that Run starts.
func New(opts Options) *Mesh {
	opts = withDefaults(opts)
	scope := opts.Scope.SubScope("peer")
	return &Mesh{
		opts:       opts,
		traffic:    newTraffic(scope),
		metrics:    newMetrics(scope),
		changes:    obs.NewChanges(opts.Logger, logRate, logBurst),
		desiredSet: make(chan struct{}, 1),
		liveSet:    make(chan struct{}, 1),
		handshakes: make(chan struct{}, maxHandshakes),
		started:    time.Now(),
		set:        member.New(opts.Self, opts.Timeout),
		links:      make(map[member.LinkID]*link),
	}
}

func withDefaults(opts Options) Options {
	if opts.Heartbeat <= 0 {
		opts.Heartbeat = defaultHeartbeat
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
	if opts.Beat == nil {
		opts.Beat = func() *peerv1.Heartbeat { return new(peerv1.Heartbeat) }
	}
	if opts.Advertise == "" && opts.Listen != nil {
		opts.Advertise = opts.Listen.Addr().String()
	}
	if opts.Advertise == "" {
		opts.Advertise = opts.Address
	}
	return opts
}

// Run keeps the links until ctx ends, then sends what waits, closes all links
// and returns nil. It fails where it cannot listen.
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
	g.run(func() error { return m.tick(ctx) })
	g.run(func() error { return m.notify(ctx) })
	return g.wait()
}

func (m *Mesh) listen() (net.Listener, error) {
	if m.opts.Listen != nil {
		return m.opts.Listen, nil
	}
	listener, err := net.Listen("tcp", m.opts.Address)
	return listener, errors.Wrapf(err, "listen for peers at %s", m.opts.Address)
}

// Send queues a message for a peer and tells whether it was taken. It never
// blocks; a message that finds no link or no room is dropped and counted. A
// taken message may still be lost with its link.
func (m *Mesh) Send(to ids.Instance, env *peerv1.Envelope) bool {
	bytes, k, err := encode(env)
	if err != nil {
		m.traffic.drop(k)
		return false
	}
	l := m.linkTo(to)
	if l == nil || !l.ring.push(frame{kind: k, bytes: bytes}) {
		m.traffic.drop(k)
		return false
	}
	return true
}

// Live returns the live peers by name, this router excluded.
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

// SetPeers replaces the set of routers that should be linked, this one may be
// among them. A router that leaves the set keeps its link while it lives, but
// is not dialled again. Above member.MaxFullMeshPeers routers, a bounded choice of the
// set is dialled.
func (m *Mesh) SetPeers(seeds []settings.Seed) {
	m.mu.Lock()
	m.desired = append([]settings.Seed(nil), seeds...)
	m.mu.Unlock()
	poke(m.desiredSet)
}

// Traffic returns what the links have carried since the start.
func (m *Mesh) Traffic() Traffic { return m.traffic.snapshot() }

// tick finds the peers that fell silent.
func (m *Mesh) tick(ctx context.Context) error {
	ticker := time.NewTicker(m.opts.Heartbeat / 2)
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

func (m *Mesh) expire(now time.Time) {
	m.mu.Lock()
	for id, l := range m.links {
		m.set.RecordMessage(l.lastHeard(), l.info.Instance, id)
	}
	expired := m.set.Tick(now)
	var silent []*link
	for _, mem := range expired {
		if l, ok := m.links[mem.Link]; ok {
			silent = append(silent, l)
		}
	}
	m.mu.Unlock()
	for _, l := range silent {
		m.metrics.timeouts.Inc(1)
		l.cancel(errSilent)
	}
	if len(expired) > 0 {
		poke(m.liveSet)
	}
}

// notify tells the handler of changes of the live set, one at a time.
func (m *Mesh) notify(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.liveSet:
			live := m.Live()
			m.metrics.live.Update(float64(len(live)))
			m.opts.Handler.Changed(live)
		}
	}
}

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
		Since:       m.Since,
		LastHeard:   m.LastMessage,
	}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
