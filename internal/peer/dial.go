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
	// maxHandshakes bounds the incoming links that have not greeted yet.
	maxHandshakes = 64
	// acceptPause follows a failed accept.
	acceptPause = 50 * time.Millisecond
)

// dialPauses are between dials of a peer that can't be reached.
var dialPauses = pause.Spec{First: 100 * time.Millisecond, Most: 2 * time.Second, Factor: 1.6, Jitter: 0.5}

// accept takes incoming links.
func (m *Mesh) accept(ctx context.Context, g *group, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			closeIf(conn)
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "accept links")
			}
			pause.Sleep(ctx, acceptPause)
			continue
		}
		select {
		case m.handshakes <- struct{}{}:
			g.run(func() error { m.serve(ctx, conn); return nil })
		default:
			m.metrics.refused(refusedBusy)
			discard(conn)
		}
	}
}

// serve greets an incoming link and runs it.
func (m *Mesh) serve(ctx context.Context, raw net.Conn) {
	l, err := m.greetIncoming(ctx, raw)
	<-m.handshakes
	if err != nil {
		discard(raw)
		m.countGreeting(err)
		return
	}
	m.run(ctx, l)
}

func (m *Mesh) greetIncoming(ctx context.Context, raw net.Conn) (*link, error) {
	stop := context.AfterFunc(ctx, func() { discard(raw) })
	defer stop()
	if err := raw.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
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
	// The link joins before the answer, so that the dialler does not take a
	// refused link for a good one.
	l, err := m.join(conn, info, info.Instance)
	if err != nil {
		return nil, err
	}
	if err := m.finishGreeting(conn); err != nil {
		m.leave(l, err)
		return nil, err
	}
	return l, nil
}

func (m *Mesh) finishGreeting(conn net.Conn) error {
	if err := m.sendHello(conn); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func (m *Mesh) greetOutgoing(ctx context.Context, seed settings.Seed) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", seed.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s at %s", seed.Instance, seed.Address)
	}
	stop := context.AfterFunc(ctx, func() { discard(raw) })
	l, err := m.greetDialled(raw, ids.Instance(seed.Instance))
	if !stop() && err == nil {
		err = ctx.Err()
		m.leave(l, err)
	}
	if err != nil {
		discard(raw)
		return nil, errors.Wrapf(err, "greet %s at %s", seed.Instance, seed.Address)
	}
	return l, nil
}

func (m *Mesh) greetDialled(raw net.Conn, instance ids.Instance) (*link, error) {
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

func (m *Mesh) countGreeting(err error) {
	var refused *refusedError
	switch {
	case errors.As(err, &refused):
		m.metrics.refused(refused.reason)
	case hostile(err):
		m.metrics.malformed.Inc(1)
	default:
		m.metrics.dialFailures.Inc(1)
	}
}

// join enters a greeted link into the live set.
func (m *Mesh) join(conn net.Conn, info member.Info, dialer ids.Instance) (*link, error) {
	m.mu.Lock()
	m.lastLink++
	now := time.Now()
	verdict := m.set.Join(now, m.lastLink, info, dialer)
	if verdict.Refused != "" {
		m.mu.Unlock()
		return nil, &refusedError{refusal(verdict.Refused)}
	}
	l := newLink(m, m.lastLink, info, conn, dialer == m.opts.Self)
	m.links[l.id] = l
	replaced := m.links[verdict.Replaces]
	m.mu.Unlock()
	if replaced != nil {
		replaced.cancel(errReplaced)
	}
	m.metrics.opened.Inc(1)
	poke(m.liveSet)
	return l, nil
}

// leave removes a link that has ended. It is counted first, so that whoever sees that
// it is gone finds it in the counts.
func (m *Mesh) leave(l *link, reason error) {
	l.cancel(reason)
	for _, f := range l.ring.close() {
		m.traffic.drop(f.kind)
	}
	m.metrics.closed.Inc(1)
	m.mu.Lock()
	delete(m.links, l.id)
	wasLive := m.set.Leave(l.info.Instance, l.id)
	m.mu.Unlock()
	if wasLive {
		poke(m.liveSet)
	}
	close(l.done)
}

// dialAll keeps one dialling goroutine for each desired peer.
func (m *Mesh) dialAll(ctx context.Context) error {
	g, ctx := newGroup(ctx)
	running := make(map[settings.Seed]context.CancelFunc)
	for {
		select {
		case <-ctx.Done():
			return g.wait()
		case <-m.desiredSet:
			m.reconcile(ctx, g, running)
		}
	}
}

func (m *Mesh) reconcile(ctx context.Context, g *group, running map[settings.Seed]context.CancelFunc) {
	wanted := m.wanted()
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
		g.run(func() error { m.keep(dialCtx, ctx, seed); return nil })
	}
}

// wanted is the bounded choice of the desired set.
func (m *Mesh) wanted() map[settings.Seed]bool {
	m.mu.Lock()
	desired := m.desired
	m.mu.Unlock()
	byName := make(map[ids.Instance]settings.Seed, len(desired))
	candidates := make([]member.Candidate, 0, len(desired))
	for _, seed := range desired {
		name := ids.Instance(seed.Instance)
		if _, twice := byName[name]; !twice {
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

// keep dials a peer whenever it has no link, until dialCtx ends. A link that
// it opened lives on until linkCtx ends.
func (m *Mesh) keep(dialCtx, linkCtx context.Context, seed settings.Seed) {
	wait := dialPauses.Backoff()
	instance := ids.Instance(seed.Instance)
	if instance < m.opts.Self {
		// The lower name dials first; this end only where that fails.
		pause.Sleep(dialCtx, m.opts.Timeout)
	}
	for dialCtx.Err() == nil {
		if l := m.linkTo(instance); l != nil {
			waitEnd(dialCtx, l)
			wait.Reset()
			m.yieldToLower(dialCtx, instance)
			continue
		}
		l, err := m.greetOutgoing(dialCtx, seed)
		if err != nil {
			m.dialFailed(dialCtx, instance, err)
			pause.Sleep(dialCtx, wait.NextBackOff())
			continue
		}
		opened := time.Now()
		m.run(linkCtx, l)
		if time.Since(opened) > m.opts.Timeout {
			wait.Reset()
		}
		pause.Sleep(dialCtx, wait.NextBackOff())
	}
}

// yieldToLower gives the lower name of a pair the time to dial again.
func (m *Mesh) yieldToLower(ctx context.Context, instance ids.Instance) {
	if instance < m.opts.Self {
		pause.Sleep(ctx, m.opts.Heartbeat)
	}
}

func (m *Mesh) dialFailed(ctx context.Context, instance ids.Instance, err error) {
	if ctx.Err() != nil {
		return
	}
	m.countGreeting(err)
	m.logState(instance, "unreachable", err)
}

func waitEnd(ctx context.Context, l *link) {
	select {
	case <-ctx.Done():
	case <-l.done:
	}
}

func closeIf(conn net.Conn) {
	if conn != nil {
		discard(conn)
	}
}

// discard closes what is no longer needed; its error tells nothing new.
func discard(c io.Closer) { _ = c.Close() }
