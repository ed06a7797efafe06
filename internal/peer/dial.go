package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/pause"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// maxHandshakes bounds the incoming connections whose handshake is not
	// complete.
	maxHandshakes = 64
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
)

// dialBackoff spaces the dials of an unreachable peer.
var dialBackoff = pause.Spec{Initial: 100 * time.Millisecond, Max: 2 * time.Second, Multiplier: 1.6, Jitter: 0.5}

// accept serves incoming connections until ctx ends. Above maxHandshakes
// concurrent handshakes, connections are closed and counted as refused.
func (m *Mesh) accept(ctx context.Context, g *group, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			closeNonNil(conn)
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept peer connections")
			}
			pause.Sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case m.handshakes <- struct{}{}:
			g.run(func() error { m.serve(ctx, conn); return nil })
		default:
			m.metrics.countRefused(refusedBusy)
			discard(conn)
		}
	}
}

// serve performs the handshake of an incoming connection and runs its link.
func (m *Mesh) serve(ctx context.Context, raw net.Conn) {
	l, err := m.serverHandshake(ctx, raw)
	<-m.handshakes
	if err != nil {
		discard(raw)
		m.countHandshakeError(err)
		return
	}
	m.run(ctx, l)
}

// serverHandshake exchanges hello messages on an incoming connection, within
// handshakeTimeout, and joins the link.
func (m *Mesh) serverHandshake(ctx context.Context, raw net.Conn) (*link, error) {
	stop := context.AfterFunc(ctx, func() { discard(raw) })
	defer stop()
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}
	conn := net.Conn(&meteredConn{Conn: raw, traffic: m.traffic})
	if m.opts.TLS != nil {
		conn = tls.Server(conn, m.opts.TLS)
	}
	info, err := m.readHello(conn, "")
	if err != nil {
		return nil, err
	}
	// The link joins before this router sends its hello, so that the dialing
	// side does not treat a refused link as established.
	l, err := m.join(conn, info, info.Instance)
	if err != nil {
		return nil, err
	}
	if err := m.finishHandshake(conn); err != nil {
		m.leave(l, err)
		return nil, err
	}
	return l, nil
}

func (m *Mesh) finishHandshake(conn net.Conn) error {
	if err := m.sendHello(conn); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// dialSeed dials a peer, performs the handshake and joins the link, all within
// handshakeTimeout.
func (m *Mesh) dialSeed(ctx context.Context, seed settings.Seed) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", seed.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s at %s", seed.Instance, seed.Address)
	}
	stop := context.AfterFunc(ctx, func() { discard(raw) })
	l, err := m.clientHandshake(raw, ids.Instance(seed.Instance))
	if !stop() && err == nil {
		err = ctx.Err()
		m.leave(l, err)
	}
	if err != nil {
		discard(raw)
		return nil, errors.Wrapf(err, "handshake with %s at %s", seed.Instance, seed.Address)
	}
	return l, nil
}

// clientHandshake exchanges hello messages on an outgoing connection and joins the
// link. The peer must be instance.
func (m *Mesh) clientHandshake(raw net.Conn, instance ids.Instance) (*link, error) {
	conn := net.Conn(&meteredConn{Conn: raw, traffic: m.traffic})
	if m.opts.TLS != nil {
		conn = tls.Client(conn, m.opts.TLS)
	}
	if err := m.sendHello(conn); err != nil {
		return nil, err
	}
	info, err := m.readHello(conn, instance)
	if err != nil {
		return nil, err
	}
	return m.join(conn, info, m.opts.Self)
}

// countHandshakeError counts a failed handshake or dial by its cause.
func (m *Mesh) countHandshakeError(err error) {
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		m.metrics.countRefused(refused.reason)
	case isProtocolViolation(err):
		m.metrics.malformed.Inc(1)
	default:
		m.metrics.dialFailures.Inc(1)
	}
}

// join adds a link whose peer has sent a valid hello to the live set. It returns a
// *refusedError if the set refuses the link.
func (m *Mesh) join(conn net.Conn, info member.Info, dialer ids.Instance) (*link, error) {
	m.mu.Lock()
	m.lastLinkID++
	now := time.Now()
	decision := m.set.Join(now, m.lastLinkID, info, dialer)
	if decision.Refused != "" {
		m.mu.Unlock()
		return nil, &refusedError{refusalReason(decision.Refused)}
	}
	l := newLink(m, m.lastLinkID, info, conn, dialer == m.opts.Self)
	m.links[l.id] = l
	replaced := m.links[decision.Replaces]
	m.mu.Unlock()
	if replaced != nil {
		replaced.cancel(errReplaced)
	}
	m.metrics.opened.Inc(1)
	signal(m.liveChanged)
	return l, nil
}

// leave removes a link that has ended. It updates the metrics first, so that an
// observer who finds the link removed also finds it counted.
func (m *Mesh) leave(l *link, reason error) {
	l.cancel(reason)
	for _, f := range l.queue.close() {
		m.traffic.drop(f.kind)
	}
	m.metrics.closed.Inc(1)
	m.mu.Lock()
	delete(m.links, l.id)
	wasLive := m.set.Leave(l.info.Instance, l.id)
	m.mu.Unlock()
	if wasLive {
		signal(m.liveChanged)
	}
	close(l.done)
}

// dialAll runs one dialing goroutine for each peer in seedsToDial until ctx
// ends.
func (m *Mesh) dialAll(ctx context.Context) error {
	g, ctx := newGroup(ctx)
	running := make(map[settings.Seed]context.CancelFunc)
	for {
		select {
		case <-ctx.Done():
			return g.wait()
		case <-m.desiredChanged:
			m.reconcile(ctx, g, running)
		}
	}
}

// reconcile starts and stops dialing goroutines so that running matches
// seedsToDial.
func (m *Mesh) reconcile(ctx context.Context, g *group, running map[settings.Seed]context.CancelFunc) {
	wanted := m.seedsToDial()
	for seed, cancel := range running {
		if !wanted[seed] {
			cancel()
			delete(running, seed)
		}
	}
	for seed := range wanted {
		if running[seed] != nil {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		running[seed] = cancel
		g.run(func() error { m.maintainLink(dialCtx, ctx, seed); return nil })
	}
}

// seedsToDial returns the seeds that this router dials: the members of the
// desired set that member.SelectPeers selects.
func (m *Mesh) seedsToDial() map[settings.Seed]bool {
	m.mu.Lock()
	desired := m.desired
	m.mu.Unlock()
	byName := make(map[ids.Instance]settings.Seed, len(desired))
	candidates := make([]member.Candidate, 0, len(desired))
	for _, seed := range desired {
		name := ids.Instance(seed.Instance)
		if _, duplicate := byName[name]; !duplicate {
			candidates = append(candidates, member.Candidate{Instance: name, Domain: ids.Domain(seed.Domain)})
		}
		byName[name] = seed
	}
	self := member.Candidate{Instance: m.opts.Self, Domain: m.opts.Domain}
	wanted := make(map[settings.Seed]bool)
	for _, c := range member.SelectPeers(self, candidates, member.DefaultDegree) {
		wanted[byName[c.Instance]] = true
	}
	return wanted
}

// maintainLink dials a peer whenever no link to it is open, until dialCtx ends.
// A link that it opened stays open until linkCtx ends.
func (m *Mesh) maintainLink(dialCtx, linkCtx context.Context, seed settings.Seed) {
	delays := dialBackoff.Backoff()
	instance := ids.Instance(seed.Instance)
	if instance < m.opts.Self {
		// Of a pair, the router with the lower name dials first. This router
		// dials only if no link exists after the timeout.
		pause.Sleep(dialCtx, m.opts.Timeout)
	}
	for dialCtx.Err() == nil {
		if l := m.linkTo(instance); l != nil {
			waitForClose(dialCtx, l)
			delays.Reset()
			m.yieldToLowerName(dialCtx, instance)
			continue
		}
		l, err := m.dialSeed(dialCtx, seed)
		if err != nil {
			m.dialFailed(dialCtx, instance, err)
			pause.Sleep(dialCtx, delays.NextBackOff())
			continue
		}
		opened := time.Now()
		m.run(linkCtx, l)
		if time.Since(opened) > m.opts.Timeout {
			delays.Reset()
		}
		pause.Sleep(dialCtx, delays.NextBackOff())
	}
}

// yieldToLowerName waits for one heartbeat interval if the peer has the lower
// name of the pair, so that it can redial first.
func (m *Mesh) yieldToLowerName(ctx context.Context, instance ids.Instance) {
	if instance < m.opts.Self {
		pause.Sleep(ctx, m.opts.HeartbeatInterval)
	}
}

func (m *Mesh) dialFailed(ctx context.Context, instance ids.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	m.countHandshakeError(err)
	m.logState(instance, "unreachable", err)
}

func waitForClose(ctx context.Context, l *link) {
	select {
	case <-ctx.Done():
	case <-l.done:
	}
}

func closeNonNil(conn net.Conn) {
	if conn != nil {
		discard(conn)
	}
}

// discard closes c and ignores the error: c is no longer needed.
func discard(c io.Closer) { _ = c.Close() }
