package upstream

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/ids"
)

// Options of a Pool.
type Options struct {
	// DialTimeout bounds connecting.
	DialTimeout time.Duration
	// Idle bounds an idle connection where the target does not say.
	Idle time.Duration
	// Unacked is the time after which the kernel gives a connection up whose
	// bytes are not acknowledged.
	Unacked time.Duration
	// MaxIdle bounds the idle connections to an endpoint.
	MaxIdle func(Endpoint) int
}

// idleMargin is the part of the idle time stated by a target for which a
// connection is used again, so that the target does not close it under a request.
const idleMargin = 0.75

// Endpoint names one run of a target. Connections are never shared between
// endpoints, so that an address that is used again does not get old ones.
type Endpoint struct {
	Target  ids.Target
	Born    int64
	Address string
}

// Pool keeps idle connections.
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

// Get returns a live connection: the idle one that was used last, or a new one.
// An error means that no byte was sent.
func (p *Pool) Get(ctx context.Context, e Endpoint) (*Conn, error) {
	for {
		c := p.take(e)
		if c == nil {
			return p.dial(ctx, e)
		}
		if time.Now().Before(c.reusable) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) take(e Endpoint) *Conn {
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
	raw, err := p.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s at %s", e.Target, e.Address)
	}
	return newConn(raw, e), nil
}

// Refuses tells whether nothing listens at an endpoint: its process is gone. No
// answer at all is no evidence, since networks are cut, too.
func (p *Pool) Refuses(ctx context.Context, e Endpoint) bool {
	c, err := p.dial(ctx, e)
	if err == nil {
		c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Put takes a connection back whose last answer has been read in full. It is
// closed where it can't be used again.
func (p *Pool) Put(c *Conn) {
	if c.broken || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	idle := p.opts.Idle
	if c.keepAlive > 0 {
		idle = min(idle, time.Duration(idleMargin*float64(c.keepAlive)))
	}
	c.reusable = time.Now().Add(idle)
	most := p.opts.MaxIdle(c.endpoint)
	p.mu.Lock()
	list := p.idle[c.endpoint]
	full := len(list) >= most
	if !full {
		p.idle[c.endpoint] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.Close()
	}
}

// Retain closes the idle connections of all endpoints but those that keep tells.
func (p *Pool) Retain(keep func(Endpoint) bool) {
	now := time.Now()
	var drop []*Conn
	p.mu.Lock()
	for e, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(e) && now.Before(c.reusable) {
				kept = append(kept, c)
			} else {
				drop = append(drop, c)
			}
		}
		clear(list[len(kept):])
		p.idle[e] = kept
		if len(kept) == 0 {
			delete(p.idle, e)
		}
	}
	p.mu.Unlock()
	for _, c := range drop {
		c.Close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(func(Endpoint) bool { return false }) }

// keepAliveTimeout reads the idle time in "timeout=5, max=100"; 0 for none.
func keepAliveTimeout(header string) time.Duration {
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
