package peer

import (
	"encoding/binary"
	"net"

	"github.com/cockroachdb/errors"
)

// meteredConn counts the bytes read from and written to a connection.
type meteredConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.wireReceived.Add(uint64(n))
	c.traffic.wireReceivedMetric.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.wireSent.Add(uint64(n))
	c.traffic.wireSentMetric.Inc(int64(n))
	return n, err
}

// Layout of a yamux frame header: version (1 byte), type (1), flags (2),
// stream (4), length (4).
const (
	yamuxHeaderSize   = 12
	yamuxVersion      = 0
	yamuxTypeOffset   = 1
	yamuxTypeData     = 0
	yamuxTypePing     = 2
	yamuxTypeGoAway   = 3
	yamuxLengthOffset = 8
)

// coalescingConn writes the header of a yamux data frame and the body that
// follows in one call. Yamux writes them separately, which would cost a packet
// and a TLS record for each. It is not safe for concurrent writes: only yamux's
// single sending goroutine may write to it.
type coalescingConn struct {
	net.Conn
	// pending is a header that waits for its body.
	pending []byte
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pending) == 0 {
		if isDataHeader(p) {
			c.pending = append(c.pending, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.pending = append(c.pending, p...)
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if cap(c.pending) > readChunkBytes {
		c.pending = nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func isDataHeader(p []byte) bool {
	return len(p) == yamuxHeaderSize &&
		p[yamuxTypeOffset] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthOffset:]) > 0
}

// validatingConn checks the headers of incoming yamux frames. It rejects headers
// that yamux would reject too, data frames longer than the stream window, and
// pings: routers send none, and yamux starts a goroutine for each.
type validatingConn struct {
	net.Conn
	// reject is called with the reason before Read fails.
	reject func(error)

	header [yamuxHeaderSize]byte
	// headerLen is the number of header bytes received so far.
	headerLen int
	// bodyLeft is the number of bytes of the current data frame's body that have
	// not been read yet.
	bodyLeft int
}

// Read implements net.Conn.
func (c *validatingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if invalid := c.scan(p[:n]); invalid != nil {
		c.reject(invalid)
		return 0, invalid
	}
	return n, err
}

// scan validates the headers in the next bytes of the stream and skips the
// bodies.
func (c *validatingConn) scan(p []byte) error {
	for len(p) > 0 {
		if c.bodyLeft > 0 {
			n := min(c.bodyLeft, len(p))
			c.bodyLeft -= n
			p = p[n:]
			continue
		}
		n := copy(c.header[c.headerLen:], p)
		c.headerLen += n
		p = p[n:]
		if c.headerLen < yamuxHeaderSize {
			return nil
		}
		c.headerLen = 0
		if err := c.checkHeader(); err != nil {
			return err
		}
	}
	return nil
}

func (c *validatingConn) checkHeader() error {
	if c.header[0] != yamuxVersion || c.header[yamuxTypeOffset] > yamuxTypeGoAway {
		return errors.Wrap(errMalformed, "invalid yamux frame header")
	}
	if c.header[yamuxTypeOffset] == yamuxTypePing {
		return errors.Wrap(errMalformed, "unexpected yamux ping")
	}
	if c.header[yamuxTypeOffset] != yamuxTypeData {
		return nil
	}
	size := binary.BigEndian.Uint32(c.header[yamuxLengthOffset:])
	if size > streamWindowBytes {
		return errors.Wrap(errTooLarge, "yamux data frame larger than the stream window")
	}
	c.bodyLeft = int(size)
	return nil
}
