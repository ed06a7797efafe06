package quarantine

import (
	"time"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

// maxClockLead bounds how far another router's clock may be ahead of this one. Crash
// times further in the future are reduced to that bound.
const maxClockLead = time.Minute

// maxIDBytes bounds the length of a crash ID or target name in a message, in bytes.
const maxIDBytes = 256

// Receive applies a message from another router. In response it broadcasts the
// crashes of quarantined requests for which the sender announces a trial, and sends those that
// the sender may lack if the digests differ.
//
// It returns what routers that have no link to the sender need to learn: what was unknown here.
// Crashes that answer a digest are left out, unless requests are refused for them from now on:
// routers that lack them get them by their own digests.
func (c *Controller) Receive(from ids.Instance, msg *quarantinev1.Message) (news *quarantinev1.Message) {
	c.mu.Lock()
	now := c.opts.Now()
	cleared := &quarantinev1.Message{}
	news = &quarantinev1.Message{Trials: msg.GetTrials()}
	isSync := msg.GetIsSync() || msg.GetHasDigest()
	for _, crash := range msg.GetCrashes() {
		if c.applyCrash(crash, now, cleared) && (!isSync || c.isRestricted(crash.GetFingerprint(), now)) {
			news.Crashes = append(news.Crashes, crash)
		}
	}
	for _, t := range msg.GetTrials() {
		c.applyTrial(from, t, now)
	}
	response := c.crashesOfQuarantined(msg.GetTrials(), now)
	var missing *quarantinev1.Message
	if msg.GetHasDigest() && msg.GetDigest() != c.table.Digest() {
		missing = c.syncWith(from, msg.GetGroupDigests(), now)
	}
	c.mu.Unlock()
	c.broadcast(cleared)
	if response != nil {
		c.scope.Counter("told").Inc(1)
		c.broadcast(response)
	}
	if missing != nil {
		c.scope.Counter("told").Inc(1)
		c.opts.Send(from, missing)
	}
	return news
}

// applyCrash records another router's report, and reports whether it changed the table. It
// adds the crashes that it clears, since an answer has just begun here on the part, to a
// message.
func (c *Controller) applyCrash(m *quarantinev1.Crash, now time.Time, cleared *quarantinev1.Message) (changed bool) {
	if len(m.GetCrashId()) > maxIDBytes || len(m.GetTarget()) > maxIDBytes {
		c.scope.Counter("bad_messages").Inc(1)
		return false
	}
	crash := quarantine.Crash{
		Fingerprint: m.GetFingerprint(),
		Target:      ids.Target(m.GetTarget()),
		ID:          m.GetCrashId(),
		Solo:        m.GetSolo(),
		AtMS:        min(m.GetAtMs(), now.Add(maxClockLead).UnixMilli()),
		Cleared:     m.GetCleared(),
		StartedMS:   m.GetBeganMs(),
	}
	wasBlocked := c.table.IsPartBlocked(crash.Fingerprint, now, c.spread)
	if !c.table.Add(crash, now) {
		return false
	}
	if !quarantine.IsPart(crash.Fingerprint) {
		c.logIfQuarantined(crash.Fingerprint, now)
		return true
	}
	if c.sound.IsSound(crash.Fingerprint, now) {
		c.clearPart(crash.Fingerprint, cleared)
	}
	c.logIfBlocked(crash.Fingerprint, wasBlocked)
	return true
}

// crashesOfQuarantined returns a message with the crashes of the requests that are
// quarantined on this router and for which the sender announces a trial, or nil if
// there are none. The sender lacks crashes that this router has recorded, for
// example after a partition. A trial is announced for SettleTime before it starts,
// which leaves time for this message to arrive.
func (c *Controller) crashesOfQuarantined(trials []*quarantinev1.Trial, now time.Time) *quarantinev1.Message {
	var response *quarantinev1.Message
	for _, t := range trials {
		fp := t.GetFingerprint()
		if t.GetEnded() || t.GetRunning() || c.table.Status(fp, now).Level != quarantine.Quarantined {
			continue
		}
		if response == nil {
			response = &quarantinev1.Message{}
		}
		for _, crash := range c.table.CrashesOf(fp) {
			response.Crashes = append(response.Crashes, encodeCrash(crash))
		}
	}
	return response
}

// applyTrial records another router's trial. It rejects trials that name another
// router than the sender.
func (c *Controller) applyTrial(from ids.Instance, m *quarantinev1.Trial, now time.Time) {
	if m.GetInstance() != string(from) {
		c.scope.Counter("bad_messages").Inc(1)
		return
	}
	owner := quarantine.Owner{Instance: from, Incarnation: ids.Incarnation(m.GetIncarnation())}
	c.trials.Observe(m.GetFingerprint(), owner, m.GetRunning(), m.GetEnded(), now)
}

// syncWith returns the crashes that a router with the given digests may lack, at most
// maxSyncCrashes of them and others each time, and the own digests, by which that router does the
// same. It returns nil if the router got the last ones less than digestInterval ago.
func (c *Controller) syncWith(peer ids.Instance, digests []uint64, now time.Time) *quarantinev1.Message {
	last := c.syncs[peer]
	if now.Sub(last.at) < digestInterval {
		return nil
	}
	crashes := c.table.CrashesThatDiffer(digests)
	begin := last.next
	if begin >= len(crashes) {
		begin = 0
	}
	end := min(begin+maxSyncCrashes, len(crashes))
	c.syncs[peer] = peerSync{at: now, next: end}
	msg := &quarantinev1.Message{IsSync: true}
	c.setDigest(msg)
	for _, crash := range crashes[begin:end] {
		msg.Crashes = append(msg.Crashes, encodeCrash(crash))
	}
	return msg
}

// setDigest sets the digests of the table in a message.
func (c *Controller) setDigest(msg *quarantinev1.Message) {
	msg.Digest, msg.HasDigest, msg.GroupDigests = c.table.Digest(), true, c.table.GroupDigests()
}

func encodeCrash(c quarantine.Crash) *quarantinev1.Crash {
	return &quarantinev1.Crash{
		Fingerprint: c.Fingerprint,
		Target:      string(c.Target),
		CrashId:     c.ID,
		Solo:        c.Solo,
		AtMs:        c.AtMS,
		Cleared:     c.Cleared,
		BeganMs:     c.StartedMS,
	}
}

// View is the state of the controller in status output.
type View struct {
	// Suspects and Quarantined are the numbers of fingerprints at these levels.
	Suspects    int `json:"suspects"`
	Quarantined int `json:"quarantined"`
	// Trials is the number of this router's announced and running trials.
	Trials int `json:"trials"`
}

// View returns the current counts.
func (c *Controller) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	v := View{Trials: len(c.trials.OwnTrials())}
	for _, fp := range c.table.Fingerprints() {
		switch c.table.Status(fp, now).Level {
		case quarantine.Suspect:
			v.Suspects++
		case quarantine.Quarantined:
			v.Quarantined++
		case quarantine.Clean:
		}
	}
	return v
}
