package peer

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// acceptBacklog bounds the streams that the other side has opened and this
	// one has not looked at.
	acceptBacklog = 16
	// streamWindow bounds the unread bytes of one stream.
	streamWindow = 256 << 10
	// streamClose bounds a half-closed stream.
	streamClose = 10 * time.Second
	// flushOnStop bounds the last write of a link that is being closed.
	flushOnStop = 500 * time.Millisecond
)

// Reasons for the end of a link.
var (
	errSilent   = errors.New("peer is silent")
	errReplaced = errors.New("replaced by a newer link")
)

// link is one connection to another router.
type link struct {
	mesh    *Mesh
	id      member.LinkID
	info    member.Info
	conn    net.Conn
	dialled bool
	ring    *ring
	// ctx ends with the link; its cause is the reason.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed once the link has left the mesh.
	done chan struct{}

	// session is set before opened is closed.
	opened  chan struct{}
	session *yamux.Session

	// heardAt is the time since the mesh was made, in ns.
	heardAt atomic.Int64
	peer    atomic.Pointer[Peer]
}

func newLink(m *Mesh, id member.LinkID, info member.Info, conn net.Conn, dialled bool) *link {
	ctx, cancel := context.WithCancelCause(context.Background())
	l := &link{
		mesh:    m,
		id:      id,
		info:    info,
		conn:    conn,
		dialled: dialled,
		ring:    newRing(),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		opened:  make(chan struct{}),
	}
	now := time.Now()
	l.heard(now)
	l.peer.Store(&Peer{
		Instance:    info.Instance,
		Incarnation: info.Incarnation,
		Domain:      info.Domain,
		Address:     info.Address,
		Since:       now,
		LastHeard:   now,
	})
	return l
}

// run carries a joined link until it fails or ctx ends.
func (m *Mesh) run(ctx context.Context, l *link) {
	m.logState(l.info.Instance, "linked", nil)
	stop := context.AfterFunc(ctx, func() { l.cancel(ctx.Err()) })
	defer stop()
	err := l.carry()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	if hostile(err) {
		m.metrics.malformed.Inc(1)
	}
	m.leave(l, err)
	if ctx.Err() == nil && !errors.Is(err, errReplaced) {
		m.logState(l.info.Instance, "lost", err)
	}
}

func (m *Mesh) logState(instance ids.Instance, state string, err error) {
	fields := logrus.Fields{"peer": string(instance)}
	level := logrus.InfoLevel
	if err != nil {
		fields["error"] = err.Error()
		level = logrus.WarnLevel
	}
	m.changes.Set(level, "link to "+string(instance), state, fields)
}

func (l *link) carry() error {
	session, control, err := l.open()
	if err != nil {
		return err
	}
	g, ctx := newGroup(l.ctx)
	written := make(chan struct{})
	g.run(func() error {
		<-ctx.Done()
		waitOrTimeout(written, flushOnStop)
		return session.Close()
	})
	g.run(func() error { return l.read(control) })
	g.run(func() error {
		defer close(written)
		return l.write(ctx, control)
	})
	g.run(func() error { return l.serveCalls(ctx, g, session) })
	err = g.wait()
	// A closed session tells why it ended.
	if _, cause := session.AcceptStream(); hostile(cause) {
		return cause
	}
	return err
}

// open starts the session; the end that dialled opens the control stream.
func (l *link) open() (*yamux.Session, *yamux.Stream, error) {
	session, err := l.newSession()
	if err != nil {
		discard(l.conn)
		return nil, nil, errors.Wrap(err, "start session")
	}
	control, err := l.controlStream(session)
	if err != nil {
		discard(session)
		return nil, nil, errors.Wrap(err, "open control stream")
	}
	l.session = session
	close(l.opened)
	return session, control, nil
}

func (l *link) newSession() (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.AcceptBacklog = acceptBacklog
	cfg.MaxStreamWindowSize = streamWindow
	cfg.ConnectionWriteTimeout = l.mesh.opts.Timeout
	cfg.StreamOpenTimeout = l.mesh.opts.Timeout
	cfg.StreamCloseTimeout = streamClose
	cfg.LogOutput = io.Discard
	conn := &joiningConn{Conn: &guardConn{Conn: l.conn, refuse: l.cancel}}
	if l.dialled {
		return yamux.Client(conn, cfg)
	}
	return yamux.Server(conn, cfg)
}

func (l *link) controlStream(session *yamux.Session) (*yamux.Stream, error) {
	if l.dialled {
		return session.OpenStream()
	}
	ctx, cancel := context.WithTimeout(l.ctx, helloTimeout)
	defer cancel()
	return session.AcceptStreamWithContext(ctx)
}

// read hands on what the other side sends.
func (l *link) read(control io.Reader) error {
	reader := newFrameReader(control)
	for {
		env, k, wire, err := reader.readEnvelope()
		if err != nil {
			return errors.Wrap(err, "read")
		}
		l.heard(time.Now())
		l.mesh.traffic.received[k].add(wire)
		switch body := env.GetBody().(type) {
		case nil:
			continue
		case *peerv1.Envelope_Hello:
			return errors.Wrap(errMalformed, "second hello")
		case *peerv1.Envelope_Heartbeat:
			l.beat(body.Heartbeat)
		}
		l.mesh.opts.Handler.Receive(*l.peer.Load(), env)
	}
}

// beat notes the state that a heartbeat carries.
func (l *link) beat(beat *peerv1.Heartbeat) {
	m := l.mesh
	state := member.Heartbeat{Revision: beat.GetRevision(), Draining: beat.GetDraining(), Watcher: beat.GetWatcher()}
	m.mu.Lock()
	changed := m.set.ApplyHeartbeat(l.lastHeard(), l.info.Instance, l.id, state)
	mem, ok := m.set.Get(l.info.Instance)
	m.mu.Unlock()
	if ok && mem.Link == l.id {
		p := peerOf(mem)
		l.peer.Store(&p)
	}
	if changed {
		poke(m.liveSet)
	}
}

// write sends heartbeats and what waits in the ring, many frames in one write.
func (l *link) write(ctx context.Context, control net.Conn) error {
	ticker := time.NewTicker(l.mesh.opts.Heartbeat)
	defer ticker.Stop()
	out := &flusher{link: l, control: control}
	if err := out.heartbeat(); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return out.flush()
		case <-ticker.C:
			err = out.heartbeat()
		case <-l.ring.ready:
			err = out.flush()
		}
		if err != nil {
			return err
		}
	}
}

// heard notes when the last message came. It goes by the steady clock: a wall clock
// that is set is no silence.
func (l *link) heard(now time.Time) { l.heardAt.Store(int64(now.Sub(l.mesh.started))) }

func (l *link) lastHeard() time.Time { return l.mesh.started.Add(time.Duration(l.heardAt.Load())) }

// flusher writes frames to a control stream.
type flusher struct {
	link     *link
	control  net.Conn
	buf      []byte
	sequence uint64
}

func (f *flusher) heartbeat() error {
	beat := f.link.mesh.opts.Beat()
	f.sequence++
	beat.Sequence = f.sequence
	bytes, k, err := encode(&peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: beat}})
	if err != nil {
		return errors.Wrap(err, "encode heartbeat")
	}
	return f.write([]frame{{kind: k, bytes: bytes}})
}

// flush writes all that waits.
func (f *flusher) flush() error {
	for {
		frames := f.link.ring.take()
		if len(frames) == 0 {
			return nil
		}
		if err := f.write(frames); err != nil {
			return err
		}
	}
}

func (f *flusher) write(frames []frame) error {
	f.buf = f.buf[:0]
	for _, fr := range frames {
		f.buf = append(f.buf, fr.bytes...)
	}
	deadline := time.Now().Add(f.link.mesh.opts.Timeout)
	if err := f.control.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := f.control.Write(f.buf); err != nil {
		return errors.Wrap(err, "write")
	}
	for _, fr := range frames {
		f.link.mesh.traffic.sent[fr.kind].add(len(fr.bytes))
	}
	if cap(f.buf) > flushBytes {
		f.buf = nil
	}
	return nil
}

func waitOrTimeout(done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
