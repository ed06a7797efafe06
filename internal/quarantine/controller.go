// Package quarantine isolates requests that crash the targets that run them.
//
// A retried request that crashes its target could otherwise take down one target
// after another. The Controller tracks the attempts of this router, shares crashes
// and trials with the other routers, and decides which requests may run: clean
// ones freely, suspects alone at their target and on one router at a time,
// quarantined ones not at all. Messages may be lost: running trials and a digest of
// all crashes are repeated, and routers whose digests differ send their crashes.
package quarantine

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

// DefaultDuration is the default duration of a quarantine.
const DefaultDuration = 10 * time.Minute

// Intervals of the controller.
const (
	// trialInterval is the interval of Tick, which repeats the announcements of
	// this router's trials.
	trialInterval = time.Second
	// digestInterval is the interval of digests while there are suspects, and the
	// minimum time between two answers to those of one router.
	digestInterval = 5 * time.Second
	// syncMemory is how long it is remembered which crashes were sent last to a router whose
	// digest differs.
	syncMemory = time.Minute
	// trialPollInterval is the interval at which a waiting request retries to
	// acquire its trial.
	trialPollInterval = 50 * time.Millisecond
	// trialRetryAfter is the retry delay returned for a suspect whose trial was
	// not granted.
	trialRetryAfter = time.Second
)

// maxSyncCrashes bounds the crashes in an answer to a digest, which take some 80 KB then.
const maxSyncCrashes = 1024

// maxTrackedAttempts bounds the attempts tracked at a time; the outcome of attempts
// above it is ignored.
const maxTrackedAttempts = 1 << 16

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// OK means that the target answered, with success or an error.
	OK Outcome = iota
	// Canceled means that the attempt ended for a reason that neither clears the
	// request nor counts against it.
	Canceled
	// Crashed means that the target died while the attempt ran.
	Crashed
)

// Options configures a Controller.
type Options struct {
	Self        ids.Instance
	Incarnation ids.Incarnation
	// Broadcast sends a message to all other routers. It must not block and may
	// lose messages. Default: messages are dropped.
	Broadcast func(*quarantinev1.Message)
	// Send sends a message to one router, on the same terms. Default: Broadcast.
	Send func(ids.Instance, *quarantinev1.Message)
	// IsIsolated reports whether the router is partitioned: the fleet has other
	// routers, but none is reachable. It then runs no trials, since the other
	// routers may be running them. Default: never.
	IsIsolated func() bool
	// Duration is the duration of a quarantine. Default: DefaultDuration.
	Duration time.Duration
	// DeathThreshold is the number of target deaths from which a request is
	// refused. Below it, suspects run like other requests, without trials:
	// otherwise the many streams at a target that crashes for an unrelated reason
	// would each have to run solo. 0 uses trials instead of a threshold.
	DeathThreshold int
	// Now is the wall clock. Default: time.Now.
	Now    func() time.Time
	Logger *logrus.Entry
	Scope  tally.Scope
}

// Verdict is the decision on a request.
type Verdict struct {
	// Run is set if the request may run.
	Run bool
	// Solo is set if the request must be the only one at its target. Finish or
	// Withdraw must be called for each request that was admitted solo.
	Solo bool
	// Refuse is set if the request must be refused with RetryAfter.
	Refuse bool
	// Quarantined is set if the request was refused because it is quarantined,
	// rather than because it is a suspect whose trial was not granted.
	Quarantined bool
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter time.Duration
}

// attempt is a dispatched request.
type attempt struct {
	fp uint64
	// parts are the fingerprints of the parts of its prompt that other requests can share.
	parts     []uint64
	target    ids.Target
	solo      bool
	startedMS int64 // Unix milliseconds
	// began is set once its answer has begun.
	began bool
}

// Controller decides which requests may run on this router. It is safe for
// concurrent use.
type Controller struct {
	opts  Options
	scope tally.Scope

	mu     sync.Mutex
	table  *quarantine.Table
	trials *quarantine.Trials
	sound  quarantine.SoundParts
	// spread is that of IsPartBlocked.
	spread       float64
	running      map[uint64]attempt // by attempt ID
	deaths       map[ids.Target]death
	deathCounter uint64
	lastDigestAt time.Time // time of the last digest sent
	// syncs are the last answers to digests, by the router to which they were sent.
	syncs map[ids.Instance]peerSync

	// livePeers are those of the last PeersChanged, which alone uses it.
	livePeers map[ids.Instance]bool
}

// peerSync is the last answer to a router's digest. next is the first of the differing crashes
// that was not sent.
type peerSync struct {
	at   time.Time
	next int
}

// death is the latest death of a target that this router observed.
type death struct {
	id string
	at time.Time
}

// sharedDeathWindow is the time within which crashed attempts at a target belong to
// the same death.
const sharedDeathWindow = time.Second

// New returns a Controller without suspects.
func New(o Options) *Controller {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Broadcast == nil {
		o.Broadcast = func(*quarantinev1.Message) {}
	}
	if o.Send == nil {
		o.Send = func(_ ids.Instance, m *quarantinev1.Message) { o.Broadcast(m) }
	}
	if o.IsIsolated == nil {
		o.IsIsolated = func() bool { return false }
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.SubScope("quarantine")
	scope.Counter("part_refused").Inc(0)
	scope.Counter("part_cleared").Inc(0)
	return &Controller{
		opts:    o,
		scope:   scope,
		table:   quarantine.New(o.Duration),
		trials:  quarantine.NewTrials(quarantine.Owner{Instance: o.Self, Incarnation: o.Incarnation}),
		spread:  spreadOf(o.Self),
		running: map[uint64]attempt{},
		deaths:  map[ids.Target]death{},
		syncs:   map[ids.Instance]peerSync{},
	}
}

// Fingerprint returns the fingerprint of a request: a cryptographic digest of
// workspace, pool and body, truncated to 63 bits. It is cryptographic because
// callers choose the content and must not be able to construct collisions cheaply.
func Fingerprint(ws ids.Workspace, pool ids.Pool, body []byte) uint64 {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{string(ws), string(pool)} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	return quarantine.RequestFingerprint(binary.LittleEndian.Uint64(h.Sum(nil)))
}

// Run calls Tick every trialInterval until ctx is done. It always returns nil.
func (c *Controller) Run(ctx context.Context) error {
	tick := time.NewTicker(trialInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			c.Tick()
		}
	}
}

// Tick deletes expired crashes and trials and broadcasts this router's trials and,
// every digestInterval, the digest of its crashes, since earlier messages may have
// been lost.
func (c *Controller) Tick() {
	c.mu.Lock()
	now := c.opts.Now()
	c.table.Expire(now)
	c.sound.Expire(now)
	maps.DeleteFunc(c.syncs, func(_ ids.Instance, s peerSync) bool { return now.Sub(s.at) > syncMemory })
	msg := &quarantinev1.Message{}
	for _, fp := range c.trials.Expire(now) {
		msg.Trials = append(msg.Trials, c.trialMessage(fp, false, true))
	}
	for _, own := range c.trials.OwnTrials() {
		msg.Trials = append(msg.Trials, c.trialMessage(own.Fingerprint, own.Running, false))
	}
	if c.table.Len() > 0 && now.Sub(c.lastDigestAt) >= digestInterval {
		c.lastDigestAt = now
		c.setDigest(msg)
	}
	c.scope.Gauge("suspects").Update(float64(c.table.Len()))
	c.mu.Unlock()
	c.broadcast(msg)
}

// broadcast sends a message unless it is empty.
func (c *Controller) broadcast(msg *quarantinev1.Message) {
	if len(msg.Crashes)+len(msg.Trials) > 0 || msg.HasDigest {
		c.opts.Broadcast(msg)
	}
}

func (c *Controller) trialMessage(fp uint64, running, ended bool) *quarantinev1.Trial {
	return &quarantinev1.Trial{
		Fingerprint: fp,
		Instance:    string(c.opts.Self),
		Incarnation: uint64(c.opts.Incarnation),
		Running:     running,
		Ended:       ended,
	}
}

// Admit decides whether a request may run now. A suspect is refused until this
// router has acquired its trial; see AdmitWait.
func (c *Controller) Admit(fp uint64) Verdict {
	isolated := c.opts.IsIsolated()
	c.mu.Lock()
	now := c.opts.Now()
	s := c.table.Status(fp, now)
	if isolated {
		s = s.WithoutTrials(c.opts.Duration, now)
	}
	var v Verdict
	msg := &quarantinev1.Message{}
	if c.opts.DeathThreshold > 0 {
		v = c.admitByDeaths(fp, now)
		c.mu.Unlock()
		c.countVerdict(v)
		return v
	}
	switch s.Level {
	case quarantine.Clean:
		v = Verdict{Run: true}
	case quarantine.Quarantined:
		v = Verdict{Refuse: true, Quarantined: true, RetryAfter: s.Until.Sub(now)}
	case quarantine.Suspect:
		granted, changed := c.trials.Acquire(fp, now)
		v = Verdict{Run: granted, Solo: granted, Refuse: !granted}
		if !granted {
			v.RetryAfter = trialRetryAfter
		}
		if changed {
			msg.Trials = append(msg.Trials, c.ownTrialMessage(fp))
		}
	}
	c.mu.Unlock()
	c.broadcast(msg)
	c.countVerdict(v)
	return v
}

// admitByDeaths decides by DeathThreshold, without trials.
func (c *Controller) admitByDeaths(fp uint64, now time.Time) Verdict {
	if c.table.CountDeaths(fp, now) < c.opts.DeathThreshold {
		return Verdict{Run: true}
	}
	return Verdict{Refuse: true, Quarantined: true, RetryAfter: c.opts.Duration}
}

// ownTrialMessage describes this router's trial after Acquire changed it: its state,
// or its end.
func (c *Controller) ownTrialMessage(fp uint64) *quarantinev1.Trial {
	for _, own := range c.trials.OwnTrials() {
		if own.Fingerprint == fp {
			return c.trialMessage(fp, own.Running, false)
		}
	}
	return c.trialMessage(fp, false, true)
}

func (c *Controller) countVerdict(v Verdict) {
	switch {
	case v.Quarantined:
		c.scope.Counter("refused").Inc(1)
	case v.Refuse:
		c.scope.Counter("waited").Inc(1)
	case v.Solo:
		c.scope.Counter("solo").Inc(1)
	}
}

// AdmitWait is like Admit, but a suspect waits for its trial until ctx is done. It
// then returns the last verdict.
func (c *Controller) AdmitWait(ctx context.Context, fp uint64) Verdict {
	for {
		v := c.Admit(fp)
		if v.Run || v.Quarantined {
			return v
		}
		t := time.NewTimer(trialPollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return v
		}
	}
}

// Withdraw ends the trial of a request that was admitted solo but not dispatched.
// It does nothing if the request was dispatched.
func (c *Controller) Withdraw(fp uint64) {
	c.mu.Lock()
	ended := c.trials.ReleaseUndispatched(fp)
	c.mu.Unlock()
	if ended {
		c.broadcast(&quarantinev1.Message{Trials: []*quarantinev1.Trial{c.trialMessage(fp, false, true)}})
	}
}

// TryStart records that an attempt is about to be dispatched. It returns false if
// the attempt must not be dispatched, because its content has become suspect since
// it was admitted. Parts are the fingerprints of the parts of its prompt that other
// requests can share.
func (c *Controller) TryStart(id, fp uint64, parts []uint64, target ids.Target, solo bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !solo && c.opts.DeathThreshold == 0 && c.table.Status(fp, c.opts.Now()).Level != quarantine.Clean {
		c.scope.Counter("stopped").Inc(1)
		return false
	}
	if solo {
		c.trials.MarkDispatched(fp)
	}
	if len(c.running) < maxTrackedAttempts {
		c.running[id] = attempt{fp: fp, parts: parts, target: target, solo: solo, startedMS: c.opts.Now().UnixMilli()}
	}
	return true
}

// Finish records the outcome of an attempt. Attempts that are not tracked are
// ignored.
func (c *Controller) Finish(id uint64, outcome Outcome) {
	c.mu.Lock()
	a, ok := c.running[id]
	if !ok {
		c.mu.Unlock()
		return
	}
	delete(c.running, id)
	msg := &quarantinev1.Message{}
	switch outcome {
	case OK:
		c.clearCrashes(a, msg)
		if !a.began {
			msg.Crashes = append(msg.Crashes, c.clearParts(a.parts).GetCrashes()...)
		}
	case Crashed:
		c.recordCrash(a, msg)
	case Canceled:
	}
	if a.solo && c.trials.Release(a.fp) {
		msg.Trials = append(msg.Trials, c.trialMessage(a.fp, false, true))
	}
	c.mu.Unlock()
	c.broadcast(msg)
}

// clearCrashes clears the crashes recorded for a request that a target answered. A
// quarantined request stays quarantined unless it ran solo.
func (c *Controller) clearCrashes(a attempt, msg *quarantinev1.Message) {
	now := c.opts.Now()
	if !a.solo && c.table.Status(a.fp, now).Level == quarantine.Quarantined {
		return
	}
	changed := c.table.Clear(a.fp)
	for _, crash := range changed {
		msg.Crashes = append(msg.Crashes, encodeCrash(crash))
	}
	if len(changed) > 0 {
		c.scope.Counter("cleared").Inc(1)
	}
}

func (c *Controller) recordCrash(a attempt, msg *quarantinev1.Message) {
	now := c.opts.Now()
	crash := quarantine.Crash{
		Fingerprint: a.fp,
		Target:      a.target,
		ID:          c.deathID(a, now),
		Solo:        a.solo,
		StartedMS:   a.startedMS,
		AtMS:        now.UnixMilli(),
	}
	c.recordPartCrashes(a, crash, msg)
	if !c.table.Add(crash, now) {
		return
	}
	c.scope.Counter("crashes").Inc(1)
	c.logIfQuarantined(a.fp, now)
	msg.Crashes = append(msg.Crashes, encodeCrash(crash))
}

// deathID returns the ID of a target's death. Attempts that ran concurrently and
// end within sharedDeathWindow share it.
func (c *Controller) deathID(a attempt, now time.Time) string {
	d, ok := c.deaths[a.target]
	if ok && now.Sub(d.at) < sharedDeathWindow && a.startedMS <= d.at.UnixMilli() {
		return d.id
	}
	for t, old := range c.deaths {
		if now.Sub(old.at) >= sharedDeathWindow {
			delete(c.deaths, t)
		}
	}
	c.deathCounter++
	d = death{id: fmt.Sprintf("%s/%x/%d", c.opts.Self, uint64(c.opts.Incarnation), c.deathCounter), at: now}
	c.deaths[a.target] = d
	return d.id
}

func (c *Controller) logIfQuarantined(fp uint64, now time.Time) {
	if c.table.Status(fp, now).Level == quarantine.Quarantined {
		c.opts.Logger.WithField("suspects", c.table.Len()).Warn("request quarantined")
	}
}
