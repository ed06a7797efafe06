package faultlink

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// relayedConn is one relayed connection: the accepted connection of a client and the
// connection to the target.
type relayedConn struct {
	relay      *Relay
	clientName string
	clientConn net.Conn
	targetConn net.Conn
}

// chunk is a piece of the data of one direction with its arrival time.
type chunk struct {
	data      []byte
	arrivedAt time.Time
}

func (rc *relayedConn) close() {
	_ = rc.clientConn.Close()
	_ = rc.targetConn.Close()
}

// run relays both directions until both have ended, then closes both connections.
func (rc *relayedConn) run() {
	defer rc.close()
	var wg conc.WaitGroup
	wg.Go(func() { rc.relayDirection(rc.clientConn, rc.targetConn, func(r Rule) Impairment { return r.Forward }) })
	wg.Go(func() { rc.relayDirection(rc.targetConn, rc.clientConn, func(r Rule) Impairment { return r.Backward }) })
	wg.Wait()
}

// relayDirection relays one direction. When from ends, the write side of to is closed;
// a write error closes both connections. direction selects the direction's impairment
// from a rule.
func (rc *relayedConn) relayDirection(from, to net.Conn, direction func(Rule) Impairment) {
	queue := make(chan chunk, queueChunks)
	var wg conc.WaitGroup
	wg.Go(func() { rc.readChunks(from, queue) })
	for c := range queue {
		if !rc.waitUntilAllowed(c.arrivedAt, direction) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			rc.close()
			break
		}
	}
	rc.closeWrite(to, direction)
	// The queue is drained so that readChunks can return.
	for range queue {
	}
	wg.Wait()
}

// readChunks queues the data of a connection until it ends or fails.
func (rc *relayedConn) readChunks(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], arrivedAt: time.Now()}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilAllowed waits until the rule in force lets data pass that arrived at the
// given time. It returns false if the relay is closed before that.
func (rc *relayedConn) waitUntilAllowed(arrivedAt time.Time, direction func(Rule) Impairment) bool {
	for {
		rule, changed := rc.relay.rule(rc.clientName)
		if rc.relay.ctx.Err() != nil {
			return false
		}
		if !direction(rule).Hold {
			return rc.sleep(time.Until(arrivedAt.Add(direction(rule).Delay)))
		}
		rc.relay.updateStats(func(s *Stats) { s.Held++ })
		<-changed
		rc.relay.updateStats(func(s *Stats) { s.Held-- })
	}
}

// sleep waits for d. It returns false if the relay is closed before that.
func (rc *relayedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-rc.relay.ctx.Done():
		return false
	}
}

// closeWrite closes the write side of to, so that the receiver sees the end of the
// data, once the rule in force lets data pass. If it cannot, it closes both
// connections.
func (rc *relayedConn) closeWrite(to net.Conn, direction func(Rule) Impairment) {
	if !rc.waitUntilAllowed(time.Now(), direction) {
		rc.close()
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		return
	}
	rc.close()
}
