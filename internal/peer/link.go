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
	// acceptBacklog bounds the streams that the peer has opened and this router
	// has not accepted yet.
	acceptBacklog = 16
	// streamWindowBytes bounds the unread bytes of one stream.
	streamWindowBytes = 256 << 10
	// streamCloseTimeout bounds how long a stream stays half-closed.
	streamCloseTimeout = 10 * time.Second
	// finalFlushTimeout bounds the last write of a link that is being closed.
	finalFlushTimeout = 500 * time.Millisecond
)

// Causes for which this router closes a link.
var (
	errPeerTimeout = errors.New("no message from the peer within its timeout")
	errReplaced    = errors.New("replaced by a newer link")
)

// link is one connection to another router.
type link struct {
	mesh   *Mesh
	id     member.LinkID
	info   member.Info
	conn   net.Conn
	dialed bool
	queue  *sendQueue
	// ctx is canceled when the link ends, with the reason as its cause.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// done is closed once the link has been removed from the mesh.
	done chan struct{}

	// session is set before opened is closed, and is read only after that.
	opened  chan struct{}
	session *yamux.Session
	streams openStreams
	// opening has an element for each goroutine that opens a stream.
	opening chan struct{}

	// lastReceivedNanos is when the last message arrived, in ns since
	// Mesh.createdAt.
	lastReceivedNanos atomic.Int64
	// peer is the peer's state as of its last heartbeat.
	peer atomic.Pointer[Peer]
}

func newLink(m *Mesh, id member.LinkID, info member.Info, conn net.Conn, dialed bool) *link {
	ctx, cancel := context.WithCancelCause(context.Background())
	l := &link{
		mesh:    m,
		id:      id,
		info:    info,
		conn:    conn,
		dialed:  dialed,
		queue:   newSendQueue(m.traffic.drop),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		opened:  make(chan struct{}),
		opening: make(chan struct{}, acceptBacklog),
	}
	now := time.Now()
	l.markReceived(now)
	l.peer.Store(&Peer{
		Instance:    info.Instance,
		Incarnation: info.Incarnation,
		Domain:      info.Domain,
		Address:     info.Address,
		FirstSeenAt: now,
		LastSeenAt:  now,
	})
	return l
}

// run serves a joined link until it fails or ctx ends, then removes it.
func (m *Mesh) run(ctx context.Context, l *link) {
	m.logState(l.info.Instance, "linked", nil)
	stop := context.AfterFunc(ctx, func() { l.cancel(ctx.Err()) })
	defer stop()
	err := l.runSession()
	if cause := context.Cause(l.ctx); cause != nil {
		err = cause
	}
	if isProtocolViolation(err) {
		m.metrics.malformed.Inc(1)
	}
	m.leave(l, err)
	if ctx.Err() == nil && !errors.Is(err, errReplaced) {
		m.logState(l.info.Instance, "lost", err)
	}
}

// logState logs a change of a link's state: at warning level with err, else at
// info level.
func (m *Mesh) logState(instance ids.Instance, state string, err error) {
	fields := logrus.Fields{"peer": string(instance)}
	level := logrus.InfoLevel
	if err != nil {
		fields["error"] = err.Error()
		level = logrus.WarnLevel
	}
	m.changes.Set(level, "link to "+string(instance), state, fields)
}

// runSession reads, writes and serves calls until one of them fails or the
// link's context ends. At the end, queued messages are written for up to
// finalFlushTimeout before the session is closed.
func (l *link) runSession() error {
	session, control, err := l.openSession()
	if err != nil {
		return err
	}
	g, ctx := newGroup(l.ctx)
	written := make(chan struct{})
	g.run(func() error {
		<-ctx.Done()
		waitOrTimeout(written, finalFlushTimeout)
		return session.Close()
	})
	g.run(func() error { return l.read(control) })
	g.run(func() error {
		defer close(written)
		return l.write(ctx, control)
	})
	g.run(func() error { return l.serveCalls(ctx, g, session) })
	return violationOr(session, g.wait())
}

// violationOr returns the protocol violation that ended a closed session, or err if
// another cause ended it. AcceptStream returns the cause once no accepted stream is left;
// before that it may return the error of a stream.
func violationOr(session *yamux.Session, err error) error {
	for range acceptBacklog + 1 {
		if _, cause := session.AcceptStream(); isProtocolViolation(cause) {
			return cause
		}
	}
	return err
}

// openSession starts the yamux session and opens the control stream. The side
// that dialed opens the stream; the other side accepts it.
func (l *link) openSession() (*yamux.Session, *stream, error) {
	session, err := l.newSession()
	if err != nil {
		discard(l.conn)
		return nil, nil, errors.Wrap(err, "start session")
	}
	control, err := l.controlStream(session)
	if err != nil {
		discard(session)
		return nil, nil, errors.Wrap(violationOr(session, err), "open control stream")
	}
	l.session = session
	close(l.opened)
	return session, l.streams.add(control), nil
}

func (l *link) newSession() (*yamux.Session, error) {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.AcceptBacklog = acceptBacklog
	cfg.MaxStreamWindowSize = streamWindowBytes
	cfg.ConnectionWriteTimeout = l.mesh.opts.Timeout
	cfg.StreamOpenTimeout = l.mesh.opts.Timeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	conn := &releasingConn{
		Conn:    &coalescingConn{Conn: &validatingConn{Conn: l.conn, reject: l.cancel}},
		streams: &l.streams,
	}
	if l.dialed {
		return yamux.Client(conn, cfg)
	}
	return yamux.Server(conn, cfg)
}

func (l *link) controlStream(session *yamux.Session) (*yamux.Stream, error) {
	if l.dialed {
		return session.OpenStream()
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	return session.AcceptStreamWithContext(ctx)
}

// read passes the messages on the control stream to the handler until the stream
// fails.
func (l *link) read(control io.Reader) error {
	reader := newFrameReader(control)
	for {
		env, k, wire, err := reader.readEnvelope()
		if err != nil {
			return errors.Wrap(err, "read control stream")
		}
		l.markReceived(time.Now())
		l.mesh.traffic.received[k].add(wire)
		switch body := env.GetBody().(type) {
		case nil:
			continue
		case *peerv1.Envelope_Hello:
			return errors.Wrap(errMalformed, "unexpected second hello")
		case *peerv1.Envelope_Heartbeat:
			l.handleHeartbeat(body.Heartbeat)
		}
		l.mesh.opts.Handler.Receive(*l.peer.Load(), env)
	}
}

// handleHeartbeat stores the state that a heartbeat carries. A heartbeat of a link
// that has been replaced does not change the peer's state.
func (l *link) handleHeartbeat(heartbeat *peerv1.Heartbeat) {
	m := l.mesh
	state := member.Heartbeat{Revision: heartbeat.GetRevision(), Draining: heartbeat.GetDraining(), Watcher: heartbeat.GetWatcher()}
	m.mu.Lock()
	changed := m.set.ApplyHeartbeat(l.lastReceived(), l.info.Instance, l.id, state)
	mem, ok := m.set.Get(l.info.Instance)
	m.mu.Unlock()
	if ok && mem.Link == l.id {
		p := peerOf(mem)
		l.peer.Store(&p)
	}
	if changed {
		signal(m.liveChanged)
	}
}

// write sends heartbeats and the queued messages until ctx ends. It combines
// queued frames into one write.
func (l *link) write(ctx context.Context, control net.Conn) error {
	ticker := time.NewTicker(l.mesh.opts.HeartbeatInterval)
	defer ticker.Stop()
	writer := &frameWriter{link: l, control: control}
	if err := writer.heartbeat(); err != nil {
		return err
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return writer.flush()
		case <-ticker.C:
			err = writer.heartbeat()
		case <-l.queue.ready:
			err = writer.flush()
		}
		if err != nil {
			return err
		}
	}
}

// markReceived records the arrival time of a message. The time is kept on the
// monotonic clock, so that setting the wall clock does not time the peer out.
func (l *link) markReceived(now time.Time) {
	l.lastReceivedNanos.Store(int64(now.Sub(l.mesh.createdAt)))
}

// lastReceived returns the arrival time of the last message, with a monotonic
// clock reading.
func (l *link) lastReceived() time.Time {
	return l.mesh.createdAt.Add(time.Duration(l.lastReceivedNanos.Load()))
}

// frameWriter writes frames to a control stream and counts them.
type frameWriter struct {
	link     *link
	control  net.Conn
	buf      []byte
	sequence uint64
}

// heartbeat writes a heartbeat with the next sequence number.
func (f *frameWriter) heartbeat() error {
	heartbeat := f.link.mesh.opts.NewHeartbeat()
	f.sequence++
	heartbeat.Sequence = f.sequence
	bytes, k, err := encode(&peerv1.Envelope{Body: &peerv1.Envelope_Heartbeat{Heartbeat: heartbeat}})
	if err != nil {
		return errors.Wrap(err, "encode heartbeat")
	}
	return f.write([]frame{{kind: k, bytes: bytes}})
}

// flush writes all queued frames.
func (f *frameWriter) flush() error {
	for {
		frames := f.link.queue.take()
		if len(frames) == 0 {
			return nil
		}
		if err := f.write(frames); err != nil {
			return err
		}
	}
}

func (f *frameWriter) write(frames []frame) error {
	f.buf = f.buf[:0]
	for _, fr := range frames {
		f.buf = append(f.buf, fr.bytes...)
	}
	deadline := time.Now().Add(f.link.mesh.opts.Timeout)
	if err := f.control.SetWriteDeadline(deadline); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	if _, err := f.control.Write(f.buf); err != nil {
		return errors.Wrap(err, "write to control stream")
	}
	for _, fr := range frames {
		f.link.mesh.traffic.sent[fr.kind].add(len(fr.bytes))
	}
	if cap(f.buf) > maxWriteBytes {
		f.buf = nil
	}
	return nil
}

// waitOrTimeout waits until done is closed, for at most d.
func waitOrTimeout(done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}
