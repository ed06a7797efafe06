package quarantine

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

// PartFingerprint returns the fingerprint of a part of a prompt with the given name.
func PartFingerprint(name string) uint64 {
	return quarantine.PartFingerprint(xxhash.Sum64String(name))
}

// spreadOf returns a number from 0 to 1 that differs between routers.
func spreadOf(self ids.Instance) float64 {
	return float64(xxhash.Sum64String(string(self))>>11) / (1 << 53)
}

// AdmitParts reports whether a request with the given shared parts may run: none of them is
// known to crash the targets that begin an answer on it.
func (c *Controller) AdmitParts(parts []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table.Len() == 0 {
		return true
	}
	now := c.opts.Now()
	for _, p := range parts {
		if c.table.IsPartBlocked(p, now, c.spread) {
			c.scope.Counter("part_refused").Inc(1)
			return false
		}
	}
	return true
}

// Began records that the answer of an attempt has begun: the request's parts are not the cause if
// its target dies from now on, and are sound.
func (c *Controller) Began(id uint64) {
	c.mu.Lock()
	a, ok := c.running[id]
	if !ok || a.began {
		c.mu.Unlock()
		return
	}
	a.began = true
	c.running[id] = a
	msg := c.clearParts(a.parts)
	c.mu.Unlock()
	c.broadcast(msg)
}

// clearParts records that parts are sound and returns the crashes that this clears.
func (c *Controller) clearParts(parts []uint64) *quarantinev1.Message {
	msg := &quarantinev1.Message{}
	now := c.opts.Now()
	for _, p := range parts {
		c.sound.Record(p, now)
		c.clearPart(p, msg)
	}
	return msg
}

// clearPart clears the crashes of a part and adds them to a message.
func (c *Controller) clearPart(part uint64, msg *quarantinev1.Message) {
	if !c.table.Has(part) {
		return
	}
	wasBlocked := c.table.IsPartBlocked(part, c.opts.Now(), c.spread)
	for _, crash := range c.table.Clear(part) {
		msg.Crashes = append(msg.Crashes, encodeCrash(crash))
	}
	c.scope.Counter("part_cleared").Inc(1)
	if wasBlocked {
		c.opts.Logger.WithField("part", partName(part)).Warn("part of prompts released: an answer began on it")
	}
}

// recordPartCrashes records a target's death against the parts of an attempt whose answer had
// not begun, unless an answer began on them elsewhere. The last part, which belongs to the
// request alone, is not among them.
func (c *Controller) recordPartCrashes(a attempt, crash quarantine.Crash, msg *quarantinev1.Message) {
	if a.began {
		return
	}
	now := c.opts.Now()
	for _, p := range a.parts {
		if c.sound.IsSound(p, now) {
			continue
		}
		crash.Fingerprint = p
		wasBlocked := c.table.IsPartBlocked(p, now, c.spread)
		if !c.table.Add(crash, now) {
			continue
		}
		msg.Crashes = append(msg.Crashes, encodeCrash(crash))
		c.logIfBlocked(p, wasBlocked)
	}
}

func (c *Controller) logIfBlocked(part uint64, wasBlocked bool) {
	now := c.opts.Now()
	if !wasBlocked && c.table.IsPartBlocked(part, now, c.spread) {
		c.opts.Logger.WithField("part", partName(part)).WithField("deaths", c.table.CountDeaths(part, now)).Warn("part of prompts quarantined: targets died before an answer began on it")
	}
}

func partName(part uint64) string { return fmt.Sprintf("%016x", part) }
