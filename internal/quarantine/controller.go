// Package quarantine isolates requests that crash the targets that run them.
// The Controller is told which requests start and how they end, tells the other
// routers about crashes, and says which requests may run.
package quarantine

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
)

// DefaultDuration of a quarantine.
const DefaultDuration = 10 * time.Minute

// Intervals of the controller's duties.
const (
	// trialInterval is how often running trials are told again.
	trialInterval = time.Second
	// digestInterval is how often the digest is told while there are suspects,
	// and the least time between two tellings of the whole table.
	digestInterval = 5 * time.Second
	// trialPollInterval is how often a waiting request asks for its trial.
	trialPollInterval = 50 * time.Millisecond
	// trialRetryAfter is when the caller of a suspect may come back.
	trialRetryAfter = time.Second
)

// maxSyncCrashes bounds the crashes of one message.
const maxSyncCrashes = 256

// maxTrackedAttempts bounds the attempts that are followed.
const maxTrackedAttempts = 1 << 16

// Outcome is how an attempt ended.
type Outcome int

// The ends.
const (
	// OK: the target answered, whatever it answered.
	OK Outcome = iota
	// Canceled: the attempt ended for a reason that says nothing.
	Canceled
	// Crashed: the target died while the attempt ran.
	Crashed
)

// Options of a Controller.
type Options struct {
	Self        ids.Instance
	Incarnation ids.Incarnation
	// Broadcast tells all other routers; it must not block and may lose messages.
	Broadcast func(*quarantinev1.Message)
	// IsIsolated tells that the router is cut off: the fleet has others, and it
	// hears none. It then tries out no suspect, since the others may be doing
	// so. Default never.
	IsIsolated func() bool
	// Duration of a quarantine. Default DefaultDuration.
	Duration time.Duration
	// DeathThreshold is the number of targets' deaths after which a request is refused
	// where suspects run like others, without trials: many streams at a target
	// that dies for another reason would else have to run alone. 0 for trials.
	DeathThreshold int
	// Now is the wall clock. Default time.Now.
	Now    func() time.Time
	Logger *logrus.Entry
	Scope  tally.Scope
}

// Verdict says what may be done with a request.
type Verdict struct {
	// Run: the request may run.
	Run bool
	// Solo: it must be the only request at its target. Every request that was
	// admitted solo must come to Ended or Withdraw.
	Solo bool
	// Refuse: the request must be refused with RetryAfter.
	Refuse bool
	// Quarantined tells a quarantine from a suspect that another request with
	// the same content tries out.
	Quarantined bool
	RetryAfter  time.Duration
}

// attempt is a request at a target.
type attempt struct {
	fp        uint64
	target    ids.Target
	solo      bool
	startedMS int64 // Unix milliseconds
}

// Controller holds a router's view of suspects. It is safe for concurrent use.
type Controller struct {
	opts  Options
	scope tally.Scope

	mu           sync.Mutex
	table        *quarantine.Table
	trials       *quarantine.Trials
	running      map[uint64]attempt
	deaths       map[ids.Target]death
	deathCounter uint64
	lastFullSync time.Time // last telling of the whole table
	lastDigest   time.Time // last telling of the digest
}

// death is the latest death of a target that this router has seen.
type death struct {
	id string
	at time.Time
}

// sharedDeathWindow is the time within which the ends of attempts at a target belong to
// one death.
const sharedDeathWindow = time.Second

// New returns a Controller.
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
	if o.IsIsolated == nil {
		o.IsIsolated = func() bool { return false }
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Controller{
		opts:    o,
		scope:   o.Scope.SubScope("quarantine"),
		table:   quarantine.New(o.Duration),
		trials:  quarantine.NewTrials(quarantine.Owner{Instance: o.Self, Incarnation: o.Incarnation}),
		running: map[uint64]attempt{},
		deaths:  map[ids.Target]death{},
	}
}

// Fingerprint returns a request's fingerprint. It is a cryptographic digest cut
// to 64 bits, since callers choose the content.
func Fingerprint(ws ids.Workspace, pool ids.Pool, body []byte) uint64 {
	h := sha256.New()
	var n [8]byte
	for _, s := range []string{string(ws), string(pool)} {
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	return binary.LittleEndian.Uint64(h.Sum(nil))
}

// Run tells trials and digests until ctx is done.
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

// Tick forgets what is old and repeats what others may have missed.
func (c *Controller) Tick() {
	c.mu.Lock()
	now := c.opts.Now()
	c.table.Expire(now)
	msg := &quarantinev1.Message{}
	for _, fp := range c.trials.Expire(now) {
		msg.Trials = append(msg.Trials, c.trialMessage(fp, false, true))
	}
	for _, own := range c.trials.OwnTrials() {
		msg.Trials = append(msg.Trials, c.trialMessage(own.Fingerprint, own.Running, false))
	}
	if c.table.Len() > 0 && now.Sub(c.lastDigest) >= digestInterval {
		c.lastDigest = now
		msg.Digest, msg.HasDigest = c.table.Digest(), true
	}
	c.scope.Gauge("suspects").Update(float64(c.table.Len()))
	c.mu.Unlock()
	c.broadcast(msg)
}

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

// Admit says what may be done with a request now. A suspect is refused until
// this router has the right to try it out; see AdmitWait.
func (c *Controller) Admit(fp uint64) Verdict {
	alone := c.opts.IsIsolated()
	c.mu.Lock()
	now := c.opts.Now()
	s := c.table.Status(fp, now)
	if alone {
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
		granted, news := c.trials.Acquire(fp, now)
		v = Verdict{Run: granted, Solo: granted, Refuse: !granted}
		if !granted {
			v.RetryAfter = trialRetryAfter
		}
		if news {
			msg.Trials = append(msg.Trials, c.ownTrialMessage(fp))
		}
	}
	c.mu.Unlock()
	c.broadcast(msg)
	c.countVerdict(v)
	return v
}

// admitByDeaths is the verdict without trials.
func (c *Controller) admitByDeaths(fp uint64, now time.Time) Verdict {
	if c.table.CountDeaths(fp, now) < c.opts.DeathThreshold {
		return Verdict{Run: true}
	}
	return Verdict{Refuse: true, Quarantined: true, RetryAfter: c.opts.Duration}
}

// ownTrialMessage describes the own trial after Ask changed it.
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

// AdmitWait is Admit, but a suspect waits for its trial for as long as ctx
// lasts.
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

// Withdraw ends a solo admission whose request was not dispatched; it does
// nothing where it was.
func (c *Controller) Withdraw(fp uint64) {
	c.mu.Lock()
	ended := c.trials.ReleaseUndispatched(fp)
	c.mu.Unlock()
	if ended {
		c.broadcast(&quarantinev1.Message{Trials: []*quarantinev1.Trial{c.trialMessage(fp, false, true)}})
	}
}

// Started tells that an attempt is about to be dispatched. False says that it
// must not be: since it was admitted, its content has become suspect.
func (c *Controller) TryStart(id, fp uint64, target ids.Target, solo bool) bool {
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
		c.running[id] = attempt{fp: fp, target: target, solo: solo, startedMS: c.opts.Now().UnixMilli()}
	}
	return true
}

// Ended tells how an attempt ended.
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

// clearCrashes takes the crashes back that are held against a request that ended
// well. One that is quarantined stays so unless it ran alone.
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
	if !c.table.Add(crash, now) {
		return
	}
	c.scope.Counter("crashes").Inc(1)
	c.logIfQuarantined(a.fp, now)
	msg.Crashes = append(msg.Crashes, encodeCrash(crash))
}

// deathID names the death of a target; attempts that ran beside each other and
// end together share it.
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
