// Package loopback reserves addresses in 127.0.0.0/8 for programs that must
// listen on an address known before they start.
//
// A free port does not stay free: the kernel may assign it to any process of the
// machine, for a listener or for an outgoing connection. Each pool therefore has
// its own IP address. Outgoing connections use 127.0.0.1 and so cannot take the
// port of a program that starts or restarts.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// pools counts the pools of this process.
var pools atomic.Int32

// Pool reserves addresses of one IP address. It is safe for concurrent use.
type Pool struct {
	ip string

	mu sync.Mutex
	// taken holds the addresses returned before; the kernel may offer them again
	// while nothing listens on them.
	taken map[string]bool
}

// NewPool returns a pool whose IP address differs from those of the other pools
// of the machine.
func NewPool() *Pool {
	const lowest, span = 64, 128
	pid, n := os.Getpid(), int(pools.Add(1))
	return &Pool{
		ip:    fmt.Sprintf("127.%d.%d.%d", lowest+n%span, pid>>8&0xff, pid&0xff),
		taken: map[string]bool{},
	}
}

// Reserve returns n distinct addresses on which nothing listens and that were not
// returned before.
func (p *Pool) Reserve(n int) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "loopback: reserve address")
		}
		// All listeners stay open until the last address is known, so that no
		// address is returned twice.
		defer func() { _ = listener.Close() }()
		if address := listener.Addr().String(); !p.taken[address] {
			p.taken[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}

// Listen listens on an address that was not returned before. It stays free for a program that
// listens on it again.
func (p *Pool) Listen() (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "loopback: listen")
		}
		if address := listener.Addr().String(); !p.taken[address] {
			p.taken[address] = true
			return listener, nil
		}
		_ = listener.Close()
	}
}
