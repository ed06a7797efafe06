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

// sampleInterval is the time between two points of the series that the burn
// report plots.
const sampleInterval = 5 * time.Second

// sample is the duty that records the series of fairness gap, utilisation and
// control traffic.
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
	scheduling := d.dispatcher.Inspect(ctx)
	control := d.controlTraffic.read(d.mesh.Traffic())
	return burn.Sample{
		At:           time.Now().Unix(),
		Gap:          widestGap(scheduling),
		Utilisation:  utilisation(scheduling),
		ControlBytes: control.SentPerSecond,
		Routers:      1,
	}
}

func widestGap(scheduling dispatch.Snapshot) float64 {
	widest := 0.0
	for _, pool := range scheduling.View.Pools {
		widest = max(widest, pool.Gap)
	}
	return widest
}

// utilisation returns the fraction of this router's permits that are in use, or 1
// if it holds none.
func utilisation(scheduling dispatch.Snapshot) float64 {
	held, used := 0, 0
	for _, target := range scheduling.View.Targets {
		held += target.Held
		used += target.InFlight
	}
	if held == 0 {
		return 1
	}
	return float64(used) / float64(held)
}

// trafficMeter derives rates from the cumulative traffic counters of the peer
// links.
type trafficMeter struct {
	mu         sync.Mutex
	lastReadAt time.Time
	sent       uint64
	received   uint64
	rates      status.Control
}

// minMeterInterval is the minimum time over which a rate is computed; reads
// within it return the last rates.
const minMeterInterval = time.Second

func (m *trafficMeter) read(t peer.Traffic) status.Control {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	elapsed := now.Sub(m.lastReadAt)
	if elapsed >= minMeterInterval {
		m.rates.SentPerSecond = float64(t.WireSent-m.sent) / elapsed.Seconds()
		m.rates.ReceivedPerSecond = float64(t.WireReceived-m.received) / elapsed.Seconds()
		m.lastReadAt, m.sent, m.received = now, t.WireSent, t.WireReceived
	}
	c := m.rates
	c.Bytes = make(map[string]uint64, len(t.Kinds))
	for name, count := range t.Kinds {
		c.Bytes[name] = count.BytesSent + count.BytesReceived
		c.Dropped += count.Dropped
	}
	return c
}
