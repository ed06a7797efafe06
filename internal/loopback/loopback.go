// Package loopback hands out addresses of 127.0.0.0/8 for programs that are to
// listen on an address known before they start.
//
// A port that was free is not free for long: every process of the machine may
// be given it by the kernel, for a listener or for a connection that goes out.
// Each pool therefore has an IP address of its own. Connections go out from
// 127.0.0.1, so that none takes the port of a program that starts or restarts.
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

// Pool hands out addresses with one IP address. It is safe for concurrent use.
type Pool struct {
	ip string

	mu sync.Mutex
	// taken addresses were handed out before; the kernel may offer them again
	// while nobody listens on them.
	taken map[string]bool
}

// NewPool returns a pool whose IP address no other pool of the machine has.
func NewPool() *Pool {
	const lowest, span = 64, 128
	pid, n := os.Getpid(), int(pools.Add(1))
	return &Pool{
		ip:    fmt.Sprintf("127.%d.%d.%d", lowest+n%span, pid>>8&0xff, pid&0xff),
		taken: map[string]bool{},
	}
}

// Reserve returns n distinct addresses on which nothing listens and that were
// not handed out before.
func (p *Pool) Reserve(n int) ([]string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "loopback: reserve a port")
		}
		// All are held until the last is known, so that none comes twice.
		defer func() { _ = listener.Close() }()
		if address := listener.Addr().String(); !p.taken[address] {
			p.taken[address] = true
			addresses = append(addresses, address)
		}
	}
	return addresses, nil
}
