package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// probeWait is how long a fresh connection to a plain service must stay open
// for the service to count as alive. The listener of a dying process may take
// one more connection, which then closes with the process.
const probeWait = 50 * time.Millisecond

// dead tells whether the target died under the attempt. That its connection
// broke is no evidence by itself: networks break connections too.
func (a *attempt) dead() bool {
	if a.call.Engine {
		return a.engineForgot()
	}
	return a.gone()
}

// engineForgot tells an engine that died from one that lives by asking it to
// cancel the attempt: one that lives knows the attempt, also after its
// connection broke. One that has come back since does not, however soon.
func (a *attempt) engineForgot() bool {
	a.canceled = true
	status, err := a.client.deleteStream(a.call)
	if err != nil {
		return !timedOut(err)
	}
	return status == http.StatusNotFound
}

// gone tells whether the target takes no connections.
func (a *attempt) gone() bool {
	conn, err := net.DialTimeout("tcp", a.call.Address, a.client.opts.Dial)
	if err != nil {
		return !timedOut(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(probeWait)); err != nil {
		return true
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !timedOut(err)
}

func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
