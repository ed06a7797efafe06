package relay

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// probeTimeout is how long a new connection to a plain service must stay open
// for the service to count as running. The listener of a terminating process may
// accept one more connection, which is closed when the process exits.
const probeTimeout = 50 * time.Millisecond

// hasTargetCrashed reports whether the target crashed during the attempt. A
// broken connection alone does not prove a crash: network faults break
// connections too.
func (a *attempt) hasTargetCrashed() bool {
	if a.call.Engine {
		return a.hasEngineLostAttempt()
	}
	return a.isServiceDown()
}

// hasEngineLostAttempt cancels the attempt at the engine and reports whether the
// engine fails to respond or responds that it has no such attempt. An engine that
// kept running still has the attempt after its connection broke; one that has
// restarted, however quickly, does not. A timeout does not count as a loss.
func (a *attempt) hasEngineLostAttempt() bool {
	a.cancelSent = true
	status, err := a.client.deleteStream(a.call)
	if err != nil {
		return !isTimeout(err)
	}
	return status == http.StatusNotFound
}

// isServiceDown reports whether a plain service accepts no connections or closes
// a new one within probeTimeout. A timeout while connecting does not count as
// down.
func (a *attempt) isServiceDown() bool {
	conn, err := net.DialTimeout("tcp", a.call.Address, a.client.opts.DialTimeout)
	if err != nil {
		return !isTimeout(err)
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(probeTimeout)); err != nil {
		return true
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !isTimeout(err)
}

func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
