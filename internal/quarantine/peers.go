package quarantine

import (
	"time"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

// PeersChanged records the routers to which links are open, and sends the new ones the
// crashes of what may not run freely. It must not be called concurrently.
func (c *Controller) PeersChanged(live []ids.Instance) {
	before := c.livePeers
	c.livePeers = make(map[ids.Instance]bool, len(live))
	for _, peer := range live {
		c.livePeers[peer] = true
		if !before[peer] {
			c.PeerJoined(peer)
		}
	}
}

// PeerJoined sends a router to which a link has just been opened the crashes of what is
// refused, or must run solo. The router may have restarted, and would let such requests crash
// targets until the next digest.
func (c *Controller) PeerJoined(peer ids.Instance) {
	c.mu.Lock()
	now := c.opts.Now()
	msg := &quarantinev1.Message{}
	for _, fp := range c.table.Fingerprints() {
		if !c.isRestricted(fp, now) || len(msg.Crashes) >= maxSyncCrashes {
			continue
		}
		for _, crash := range c.table.CrashesOf(fp) {
			msg.Crashes = append(msg.Crashes, encodeCrash(crash))
		}
	}
	c.mu.Unlock()
	if len(msg.Crashes) > 0 {
		c.opts.Send(peer, msg)
	}
}

// isRestricted reports whether requests with the fingerprint, or with the part, are refused
// or must run solo.
func (c *Controller) isRestricted(fp uint64, now time.Time) bool {
	switch {
	case quarantine.IsPart(fp):
		return c.table.IsPartBlocked(fp, now, c.spread)
	case c.opts.DeathThreshold > 0:
		return c.table.CountDeaths(fp, now) >= c.opts.DeathThreshold
	}
	return c.table.Status(fp, now).Level != quarantine.Clean
}
