package peer

import (
	"encoding/binary"
	"net"

	"github.com/cockroachdb/errors"
)

// meteredConn counts the bytes on a connection.
type meteredConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.wireReceived.Add(uint64(n))
	c.traffic.tWireReceived.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.wireSent.Add(uint64(n))
	c.traffic.tWireSent.Inc(int64(n))
	return n, err
}

// The head of a yamux frame: version, type, flags (2), stream (4), length (4).
const (
	yamuxHeader     = 12
	yamuxVersion    = 0
	yamuxTypeAt     = 1
	yamuxTypeData   = 0
	yamuxTypePing   = 2
	yamuxTypeGoAway = 3
	yamuxLengthFrom = 8
)

// joiningConn writes the head of a yamux data frame together with the body
// that follows, where yamux would cause a packet and a TLS record for each.
// Only yamux's one sending goroutine may write to it.
type joiningConn struct {
	net.Conn
	held []byte
}

// Write implements net.Conn.
func (c *joiningConn) Write(p []byte) (int, error) {
	if len(c.held) == 0 {
		if headOfData(p) {
			c.held = append(c.held, p...)
			return len(p), nil
		}
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	if cap(c.held) > readChunk {
		c.held = nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func headOfData(p []byte) bool {
	return len(p) == yamuxHeader &&
		p[yamuxTypeAt] == yamuxTypeData &&
		binary.BigEndian.Uint32(p[yamuxLengthFrom:]) > 0
}

// guardConn checks the heads of the yamux frames that come in. Beside heads
// that yamux would refuse too, it refuses pings: routers send none, and yamux
// starts a goroutine for each.
type guardConn struct {
	net.Conn
	// refuse is told why the connection is refused.
	refuse func(error)

	head [yamuxHeader]byte
	have int
	// skip is what is left of a data frame's body.
	skip int
}

// Read implements net.Conn.
func (c *guardConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if bad := c.scan(p[:n]); bad != nil {
		c.refuse(bad)
		return 0, bad
	}
	return n, err
}

func (c *guardConn) scan(p []byte) error {
	for len(p) > 0 {
		if c.skip > 0 {
			n := min(c.skip, len(p))
			c.skip -= n
			p = p[n:]
			continue
		}
		n := copy(c.head[c.have:], p)
		c.have += n
		p = p[n:]
		if c.have < yamuxHeader {
			return nil
		}
		c.have = 0
		if err := c.check(); err != nil {
			return err
		}
	}
	return nil
}

func (c *guardConn) check() error {
	if c.head[0] != yamuxVersion || c.head[yamuxTypeAt] > yamuxTypeGoAway {
		return errors.Wrap(errMalformed, "yamux head")
	}
	if c.head[yamuxTypeAt] == yamuxTypePing {
		return errors.Wrap(errMalformed, "yamux ping")
	}
	if c.head[yamuxTypeAt] != yamuxTypeData {
		return nil
	}
	size := binary.BigEndian.Uint32(c.head[yamuxLengthFrom:])
	if size > streamWindow {
		return errors.Wrap(errTooLarge, "yamux data")
	}
	c.skip = int(size)
	return nil
}
