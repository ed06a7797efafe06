package faultlink

import (
	"net"
	"time"

	"github.com/sourcegraph/conc"
)

// link is one relayed connection.
type link struct {
	relay  *Relay
	client string
	near   net.Conn
	far    net.Conn
}

// chunk is some bytes and the time at which they arrived.
type chunk struct {
	data []byte
	at   time.Time
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

// run relays both directions until both have ended.
func (l *link) run() {
	defer l.close()
	var wg conc.WaitGroup
	wg.Go(func() { l.pump(l.near, l.far, func(r Rule) Way { return r.Forward }) })
	wg.Go(func() { l.pump(l.far, l.near, func(r Rule) Way { return r.Back }) })
	wg.Wait()
}

// pump relays one direction. The end of the source is passed on; a failure of
// either side ends the connection.
func (l *link) pump(from, to net.Conn, way func(Rule) Way) {
	queue := make(chan chunk, queueChunks)
	var wg conc.WaitGroup
	wg.Go(func() { l.read(from, queue) })
	for c := range queue {
		if !l.pass(c.at, way) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			l.close()
			break
		}
	}
	l.end(to, way)
	// Drained so that the reader can end.
	for range queue {
	}
	wg.Wait()
}

func (l *link) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buf := make([]byte, chunkBytes)
		n, err := from.Read(buf)
		if n > 0 {
			queue <- chunk{data: buf[:n], at: time.Now()}
		}
		if err != nil {
			return
		}
	}
}

// pass waits until bytes that arrived at a time may go on; false where the
// relay was closed.
func (l *link) pass(at time.Time, way func(Rule) Way) bool {
	for {
		rule, changed := l.relay.rule(l.client)
		if l.relay.ctx.Err() != nil {
			return false
		}
		if !way(rule).Hold {
			return l.delay(time.Until(at.Add(way(rule).Delay)))
		}
		<-changed
	}
}

func (l *link) delay(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.relay.ctx.Done():
		return false
	}
}

// end passes the end of a direction on, once bytes may.
func (l *link) end(to net.Conn, way func(Rule) Way) {
	if !l.pass(time.Now(), way) {
		l.close()
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		return
	}
	l.close()
}
