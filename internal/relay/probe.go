package relay

import (
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// probeWait is how long a fresh connection to a target must stay open for the
// target to count as alive. The listener of a dying process may take one more
// connection, which then closes with the process.
const probeWait = 50 * time.Millisecond

// dead tells whether the target no longer takes connections. An attempt whose
// connection broke is no evidence by itself: networks break connections too.
func (a *attempt) dead() bool {
	conn, err := net.DialTimeout("tcp", a.call.Address, a.client.opts.Dial)
	if err != nil {
		return true
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(probeWait)); err != nil {
		return true
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}
