// Package linkload measures how much of a router's network link its connections to callers
// and targets use.
package linkload

import (
	"sync/atomic"
	"time"
)

const (
	// packetBytes is the payload of a full packet, and packetOverhead what the headers of
	// Ethernet, IP and TCP add to it.
	packetBytes    = 1448
	packetOverhead = 66
)

// Meter counts the bytes that connections send and receive. The zero value and nil are valid
// and measure a link of unlimited bandwidth. Sent and Received are safe for concurrent use.
type Meter struct {
	sent, received atomic.Int64
	bytesPerSecond float64
	// The counts as of lastAt, when Use was last called.
	lastSent, lastReceived int64
	lastAt                 time.Time
}

// New returns a meter of a link with the given bandwidth, 0 for an unlimited one.
func New(bitsPerSecond float64) *Meter { return &Meter{bytesPerSecond: bitsPerSecond / 8} }

// Sent records that a write has sent n bytes of payload.
func (m *Meter) Sent(n int) {
	if m != nil {
		m.sent.Add(onLink(n))
	}
}

// Received records that a read has returned n bytes of payload.
func (m *Meter) Received(n int) {
	if m != nil {
		m.received.Add(onLink(n))
	}
}

// onLink returns the bytes that a payload occupies on the link.
func onLink(n int) int64 {
	if n <= 0 {
		return 0
	}
	packets := (n + packetBytes - 1) / packetBytes
	return int64(n + packets*packetOverhead)
}

// Use returns the fraction of the bandwidth in use in each direction since the last call. It
// must not be called by several goroutines.
func (m *Meter) Use(now time.Time) (sent, received float64) {
	if m == nil || m.bytesPerSecond <= 0 {
		return 0, 0
	}
	allSent, allReceived, elapsed := m.sent.Load(), m.received.Load(), now.Sub(m.lastAt)
	if !m.lastAt.IsZero() && elapsed > 0 {
		capacity := m.bytesPerSecond * elapsed.Seconds()
		sent, received = float64(allSent-m.lastSent)/capacity, float64(allReceived-m.lastReceived)/capacity
	}
	m.lastSent, m.lastReceived, m.lastAt = allSent, allReceived, now
	return sent, received
}
