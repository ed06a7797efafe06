package quarantine

import (
	"time"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

// maxAhead bounds how far in the future another router's clock may put a crash.
const maxAhead = time.Minute

// maxIDLength bounds the ids and names of a message.
const maxIDLength = 256

// Receive learns from another router's message.
func (c *Controller) Receive(from ids.Instance, msg *quarantinev1.Message) {
	c.mu.Lock()
	now := c.opts.Now()
	for _, crash := range msg.GetCrashes() {
		c.learn(crash, now)
	}
	for _, t := range msg.GetTrials() {
		c.hear(from, t, now)
	}
	answer := c.objections(msg.GetTrials(), now)
	if msg.GetHasDigest() && msg.GetDigest() != c.table.Digest() && now.Sub(c.told) >= digestInterval {
		c.told = now
		answer = c.whole()
	}
	c.mu.Unlock()
	if answer != nil {
		c.scope.Counter("told").Inc(1)
		c.send(answer)
	}
}

func (c *Controller) learn(m *quarantinev1.Crash, now time.Time) {
	if len(m.GetCrashId()) > maxIDLength || len(m.GetTarget()) > maxIDLength {
		c.scope.Counter("bad_messages").Inc(1)
		return
	}
	crash := quarantine.Crash{
		Fingerprint: m.GetFingerprint(),
		Target:      ids.Target(m.GetTarget()),
		ID:          m.GetCrashId(),
		Solo:        m.GetSolo(),
		At:          min(m.GetAtMs(), now.Add(maxAhead).UnixMilli()),
		Cleared:     m.GetCleared(),
		Began:       m.GetBeganMs(),
	}
	if c.table.Add(crash, now) {
		c.logLevel(crash.Fingerprint, now)
	}
}

// objections answers routers that announce a trial of what this router holds in
// quarantine: they lack crashes that it knows, as after a partition. The trial's
// settling time leaves room for the answer.
func (c *Controller) objections(trials []*quarantinev1.Trial, now time.Time) *quarantinev1.Message {
	var answer *quarantinev1.Message
	for _, t := range trials {
		fp := t.GetFingerprint()
		if t.GetEnded() || t.GetRunning() || c.table.Standing(fp, now).Level != quarantine.Quarantined {
			continue
		}
		if answer == nil {
			answer = &quarantinev1.Message{}
		}
		for _, crash := range c.table.Of(fp) {
			answer.Crashes = append(answer.Crashes, encodeCrash(crash))
		}
	}
	return answer
}

// hear learns of a trial; a router speaks for itself only.
func (c *Controller) hear(from ids.Instance, m *quarantinev1.Trial, now time.Time) {
	if m.GetInstance() != string(from) {
		c.scope.Counter("bad_messages").Inc(1)
		return
	}
	o := quarantine.Owner{Instance: from, Incarnation: ids.Incarnation(m.GetIncarnation())}
	c.trials.Hear(m.GetFingerprint(), o, m.GetRunning(), m.GetEnded(), now)
}

// whole describes all that this router knows.
func (c *Controller) whole() *quarantinev1.Message {
	msg := &quarantinev1.Message{Digest: c.table.Digest(), HasDigest: true}
	for _, crash := range c.table.Crashes(maxTold) {
		msg.Crashes = append(msg.Crashes, encodeCrash(crash))
	}
	return msg
}

func encodeCrash(c quarantine.Crash) *quarantinev1.Crash {
	return &quarantinev1.Crash{
		Fingerprint: c.Fingerprint,
		Target:      string(c.Target),
		CrashId:     c.ID,
		Solo:        c.Solo,
		AtMs:        c.At,
		Cleared:     c.Cleared,
		BeganMs:     c.Began,
	}
}

// View is what operators see.
type View struct {
	// Suspects run alone, Quarantined not at all.
	Suspects    int `json:"suspects"`
	Quarantined int `json:"quarantined"`
	// Trials are the suspects that this router tries out.
	Trials int `json:"trials"`
}

// View returns the counts as they stand.
func (c *Controller) View() View {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	v := View{Trials: len(c.trials.Own())}
	for _, fp := range c.table.Fingerprints() {
		switch c.table.Standing(fp, now).Level {
		case quarantine.Suspect:
			v.Suspects++
		case quarantine.Quarantined:
			v.Quarantined++
		case quarantine.Clean:
		}
	}
	return v
}
