package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/burn"
	"github.com/umberhill/umberhill/internal/dispatch"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/status"
)

// sampleInterval is how often the plots' series are fed.
const sampleInterval = 5 * time.Second

// sample feeds the series of gap, utilisation and control traffic.
func (d *Daemon) sample(ctx context.Context) error {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.burn.RecordSample(d.sampleNow(ctx))
		}
	}
}

func (d *Daemon) sampleNow(ctx context.Context) burn.Sample {
	decided := d.dispatcher.Inspect(ctx)
	control := d.control.read(d.mesh.Traffic())
	return burn.Sample{
		At:           time.Now().Unix(),
		Gap:          widestGap(decided),
		Utilisation:  utilisation(decided),
		ControlBytes: control.SentPerSecond,
		Routers:      1,
	}
}

func widestGap(decided dispatch.Snapshot) float64 {
	widest := 0.0
	for _, pool := range decided.View.Pools {
		widest = max(widest, pool.Gap)
	}
	return widest
}

// utilisation is the share of this router's permits that are in use, one where
// it holds none.
func utilisation(decided dispatch.Snapshot) float64 {
	held, used := 0, 0
	for _, target := range decided.View.Targets {
		held += target.Held
		used += target.InFlight
	}
	if held == 0 {
		return 1
	}
	return float64(used) / float64(held)
}

// meter turns the links' running totals into rates.
type meter struct {
	mu       sync.Mutex
	at       time.Time
	sent     uint64
	received uint64
	rates    status.Control
}

// minMeterInterval is the least time over which a rate is measured.
const minMeterInterval = time.Second

func (m *meter) read(t peer.Traffic) status.Control {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(m.at)
	if elapsed >= minMeterInterval {
		m.rates.SentPerSecond = float64(t.WireSent-m.sent) / elapsed.Seconds()
		m.rates.ReceivedPerSecond = float64(t.WireReceived-m.received) / elapsed.Seconds()
		m.at, m.sent, m.received = now, t.WireSent, t.WireReceived
	}
	c := m.rates
	c.Bytes = make(map[string]uint64, len(t.Kinds))
	for name, count := range t.Kinds {
		c.Bytes[name] = count.BytesSent + count.BytesReceived
		c.Dropped += count.Dropped
	}
	return c
}
