package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// expired is a deadline that ends reads and writes immediately.
var expired = time.Unix(1, 0)

// openStreams are the open streams of a link's session. When a session ends, yamux closes
// its streams only after the connection and the receive loop. Until then a Read without
// data and a Write without window never block and never return: they use a processor,
// which on an instance with one may be what the end of the session waits for. Deadlines
// in the past end them.
type openStreams struct {
	mu       sync.Mutex
	released bool
	streams  map[*yamux.Stream]struct{}
}

// add returns the stream, which must be closed with its own Close.
func (o *openStreams) add(s *yamux.Stream) *stream {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.streams == nil {
		o.streams = make(map[*yamux.Stream]struct{})
	}
	o.streams[s] = struct{}{}
	if o.released {
		_ = s.SetDeadline(expired)
	}
	return &stream{Stream: s, open: o}
}

// release ends all reads and writes on the streams, now and later.
func (o *openStreams) release() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.released = true
	for s := range o.streams {
		_ = s.SetDeadline(expired)
	}
}

func (o *openStreams) isReleased() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.released
}

// stream is a stream whose reads and writes end with its session.
type stream struct {
	*yamux.Stream
	open *openStreams
}

// Read implements io.Reader. It returns io.EOF once the session ends.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, yamux.ErrTimeout) && s.open.isReleased() {
		err = io.EOF
	}
	return n, err
}

// Write implements io.Writer. It returns yamux.ErrSessionShutdown once the session ends.
func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Stream.Write(p)
	if errors.Is(err, yamux.ErrTimeout) && s.open.isReleased() {
		err = yamux.ErrSessionShutdown
	}
	return n, err
}

// SetDeadline sets the deadline of reads and writes unless the session ends.
func (s *stream) SetDeadline(t time.Time) error {
	s.open.mu.Lock()
	defer s.open.mu.Unlock()
	if s.open.released {
		return nil
	}
	return s.Stream.SetDeadline(t)
}

// SetWriteDeadline sets the deadline of writes unless the session ends.
func (s *stream) SetWriteDeadline(t time.Time) error {
	s.open.mu.Lock()
	defer s.open.mu.Unlock()
	if s.open.released {
		return nil
	}
	return s.Stream.SetWriteDeadline(t)
}

// Close implements io.Closer.
func (s *stream) Close() error {
	s.open.mu.Lock()
	delete(s.open.streams, s.Stream)
	s.open.mu.Unlock()
	return s.Stream.Close()
}

// releasingConn releases a session's streams when yamux closes the connection, which it
// does first at every end of a session.
type releasingConn struct {
	net.Conn
	streams *openStreams
}

// Close implements io.Closer.
func (c *releasingConn) Close() error {
	c.streams.release()
	return c.Conn.Close()
}
