package harness

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// fleets counts the fleets started by this process.
var fleets atomic.Int32

// loopbackIP returns an address of 127.0.0.0/8 for the listeners of one fleet.
// Connections go out from 127.0.0.1, so that none takes the port of a listener
// that is being restarted.
func loopbackIP() string {
	const lowest, span = 64, 128
	pid, n := os.Getpid(), int(fleets.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", lowest+n%span, pid>>8&0xff, pid&0xff)
}

// ports hands out addresses with ports from the kernel.
type ports struct {
	ip string
	// taken addresses were handed out before; the kernel may offer them again
	// while nobody listens on them.
	taken map[string]bool
}

// reserve returns n distinct addresses that are free.
func (p ports) reserve(n int) ([]string, error) {
	addresses := make([]string, n)
	for i := 0; i < n; {
		listener, err := net.Listen("tcp", net.JoinHostPort(p.ip, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "harness: reserve a port")
		}
		// All are held until the last is known, so that none comes twice.
		defer func() { _ = listener.Close() }()
		address := listener.Addr().String()
		if p.taken[address] {
			continue
		}
		p.taken[address] = true
		addresses[i] = address
		i++
	}
	return addresses, nil
}
