package upstream

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/linkload"
)

// Options configures a Pool.
type Options struct {
	// DialTimeout bounds connecting to a target.
	DialTimeout time.Duration
	// IdleTimeout bounds how long a connection stays idle. A timeout stated by the
	// target can shorten it.
	IdleTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection; 0 leaves the kernel's default.
	TCPUserTimeout time.Duration
	// LinkMeter measures what the connections send and receive; it may be nil.
	LinkMeter *linkload.Meter
	// MaxIdleConns returns the maximum number of idle connections to an endpoint.
	MaxIdleConns func(Endpoint) int
}

// keepAliveFraction is the fraction of the idle timeout stated by a target for which
// a connection is reused, so that the target does not close it while a request is
// being sent.
const keepAliveFraction = 0.75

// Endpoint identifies one run of a target. Connections are never shared between
// endpoints, so that a target that reuses an address gets no connections to the
// target that had it before.
type Endpoint struct {
	Target ids.Target
	// StartTimeMS is the start of the run as a Unix time in milliseconds.
	StartTimeMS int64
	Address     string
}

// Pool holds idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer

	mu   sync.Mutex
	idle map[Endpoint][]*Conn
}

// NewPool returns an empty pool.
func NewPool(o Options) *Pool {
	return &Pool{opts: o, dialer: newDialer(o), idle: make(map[Endpoint][]*Conn)}
}

// Get returns an open connection: the most recently used idle one, or a new one if
// none is reusable. If it returns an error, no byte of a request was sent.
func (p *Pool) Get(ctx context.Context, e Endpoint) (*Conn, error) {
	for {
		c := p.popIdle(e)
		if c == nil {
			return p.dial(ctx, e)
		}
		if time.Now().Before(c.reusableUntil) && c.isOpenAndEmpty() {
			return c, nil
		}
		c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(e Endpoint) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[e]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[e] = list[:len(list)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, e Endpoint) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	netConn, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to target %s at %s", e.Target, e.Address)
	}
	return newConn(netConn, e, p.opts.LinkMeter), nil
}

// IsConnectionRefused reports whether a connection to an endpoint is refused, which
// means that the target's process has exited. A timeout proves nothing, because a
// network partition causes one too.
func (p *Pool) IsConnectionRefused(ctx context.Context, e Endpoint) bool {
	c, err := p.dial(ctx, e)
	if err == nil {
		c.Close()
		return false
	}
	return IsRefused(err)
}

// HasOpenIdle reports whether an idle connection to an endpoint is open, so that its process has
// not exited.
func (p *Pool) HasOpenIdle(e Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[e], (*Conn).isOpenAndEmpty)
}

// IsRefused reports whether an error of Get means that the endpoint refused the connection.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Put returns a connection to the pool whose last response, if any, was read in
// full. It closes the connection if it can't be reused.
func (p *Pool) Put(c *Conn) {
	if c.mustClose || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	idleTimeout := p.opts.IdleTimeout
	if c.keepAlive > 0 {
		idleTimeout = min(idleTimeout, time.Duration(keepAliveFraction*float64(c.keepAlive)))
	}
	c.reusableUntil = time.Now().Add(idleTimeout)
	maxIdle := p.opts.MaxIdleConns(c.endpoint)
	p.mu.Lock()
	list := p.idle[c.endpoint]
	isFull := len(list) >= maxIdle
	if !isFull {
		p.idle[c.endpoint] = append(list, c)
	}
	p.mu.Unlock()
	if isFull {
		c.Close()
	}
}

// Retain closes the idle connections to endpoints for which keep returns false, and
// those that can no longer be reused.
func (p *Pool) Retain(keep func(Endpoint) bool) {
	now := time.Now()
	var closable []*Conn
	p.mu.Lock()
	for e, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(e) && now.Before(c.reusableUntil) {
				kept = append(kept, c)
			} else {
				closable = append(closable, c)
			}
		}
		clear(list[len(kept):])
		p.idle[e] = kept
		if len(kept) == 0 {
			delete(p.idle, e)
		}
	}
	p.mu.Unlock()
	for _, c := range closable {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(func(Endpoint) bool { return false }) }

// parseKeepAliveTimeout returns the idle timeout of a Keep-Alive header such as
// "timeout=5, max=100", or 0 if it has none.
func parseKeepAliveTimeout(header string) time.Duration {
	for _, field := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.Trim(value, `"`))
		if err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
