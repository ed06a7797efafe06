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
	// askInterval is how often a waiting request asks for its trial.
	askInterval = 50 * time.Millisecond
	// retryTrial is when the caller of a suspect may come back.
	retryTrial = time.Second
)

// maxTold bounds the crashes of one message.
const maxTold = 256

// maxRunning bounds the attempts that are followed.
const maxRunning = 1 << 16

// End is how an attempt ended.
type End int

// The ends.
const (
	// OK: the target answered, whatever it answered.
	OK End = iota
	// Canceled: the attempt ended for a reason that says nothing.
	Canceled
	// Crashed: the target died while the attempt ran.
	Crashed
)

// Options of a Controller.
type Options struct {
	Self        ids.Instance
	Incarnation ids.Incarnation
	// Send tells all other routers; it must not block and may lose messages.
	Send func(*quarantinev1.Message)
	// Alone tells that the router is cut off: the fleet has others, and it
	// hears none. It then tries out no suspect, since the others may be doing
	// so. Default never.
	Alone func() bool
	// Duration of a quarantine. Default DefaultDuration.
	Duration time.Duration
	// Tolerate is the number of targets' deaths after which a request is refused
	// where suspects run like others, without trials: many streams at a target
	// that dies for another reason would else have to run alone. 0 for trials.
	Tolerate int
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
	fp     uint64
	target ids.Target
	solo   bool
	began  int64 // Unix milliseconds
}

// Controller holds a router's view of suspects. It is safe for concurrent use.
type Controller struct {
	opts  Options
	scope tally.Scope

	mu      sync.Mutex
	table   *quarantine.Table
	trials  *quarantine.Trials
	running map[uint64]attempt
	deaths  map[ids.Target]death
	counter uint64
	told    time.Time // last telling of the whole table
	digest  time.Time // last telling of the digest
}

// death is the latest death of a target that this router has seen.
type death struct {
	id string
	at time.Time
}

// sameDeath is the time within which the ends of attempts at a target belong to
// one death.
const sameDeath = time.Second

// New returns a Controller.
func New(o Options) *Controller {
	if o.Duration <= 0 {
		o.Duration = DefaultDuration
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Send == nil {
		o.Send = func(*quarantinev1.Message) {}
	}
	if o.Alone == nil {
		o.Alone = func() bool { return false }
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
		msg.Trials = append(msg.Trials, c.trial(fp, false, true))
	}
	for _, own := range c.trials.Own() {
		msg.Trials = append(msg.Trials, c.trial(own.Fingerprint, own.Running, false))
	}
	if c.table.Len() > 0 && now.Sub(c.digest) >= digestInterval {
		c.digest = now
		msg.Digest, msg.HasDigest = c.table.Digest(), true
	}
	c.scope.Gauge("suspects").Update(float64(c.table.Len()))
	c.mu.Unlock()
	c.send(msg)
}

func (c *Controller) send(msg *quarantinev1.Message) {
	if len(msg.Crashes)+len(msg.Trials) > 0 || msg.HasDigest {
		c.opts.Send(msg)
	}
}

func (c *Controller) trial(fp uint64, running, ended bool) *quarantinev1.Trial {
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
	alone := c.opts.Alone()
	c.mu.Lock()
	now := c.opts.Now()
	s := c.table.Standing(fp, now)
	if alone {
		s = s.Untried(c.opts.Duration, now)
	}
	var v Verdict
	msg := &quarantinev1.Message{}
	if c.opts.Tolerate > 0 {
		v = c.tolerant(fp, now)
		c.mu.Unlock()
		c.count(v)
		return v
	}
	switch s.Level {
	case quarantine.Clean:
		v = Verdict{Run: true}
	case quarantine.Quarantined:
		v = Verdict{Refuse: true, Quarantined: true, RetryAfter: s.Until.Sub(now)}
	case quarantine.Suspect:
		granted, news := c.trials.Ask(fp, now)
		v = Verdict{Run: granted, Solo: granted, Refuse: !granted}
		if !granted {
			v.RetryAfter = retryTrial
		}
		if news {
			msg.Trials = append(msg.Trials, c.askedTrial(fp))
		}
	}
	c.mu.Unlock()
	c.send(msg)
	c.count(v)
	return v
}

// tolerant is the verdict without trials.
func (c *Controller) tolerant(fp uint64, now time.Time) Verdict {
	if c.table.Deaths(fp, now) < c.opts.Tolerate {
		return Verdict{Run: true}
	}
	return Verdict{Refuse: true, Quarantined: true, RetryAfter: c.opts.Duration}
}

// askedTrial describes the own trial after Ask changed it.
func (c *Controller) askedTrial(fp uint64) *quarantinev1.Trial {
	for _, own := range c.trials.Own() {
		if own.Fingerprint == fp {
			return c.trial(fp, own.Running, false)
		}
	}
	return c.trial(fp, false, true)
}

func (c *Controller) count(v Verdict) {
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
		t := time.NewTimer(askInterval)
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
	ended := c.trials.Withdraw(fp)
	c.mu.Unlock()
	if ended {
		c.send(&quarantinev1.Message{Trials: []*quarantinev1.Trial{c.trial(fp, false, true)}})
	}
}

// Started tells that an attempt is about to be dispatched. False says that it
// must not be: since it was admitted, its content has become suspect.
func (c *Controller) Started(id, fp uint64, target ids.Target, solo bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !solo && c.opts.Tolerate == 0 && c.table.Standing(fp, c.opts.Now()).Level != quarantine.Clean {
		c.scope.Counter("stopped").Inc(1)
		return false
	}
	if solo {
		c.trials.Start(fp)
	}
	if len(c.running) < maxRunning {
		c.running[id] = attempt{fp: fp, target: target, solo: solo, began: c.opts.Now().UnixMilli()}
	}
	return true
}

// Ended tells how an attempt ended.
func (c *Controller) Ended(id uint64, how End) {
	c.mu.Lock()
	a, ok := c.running[id]
	if !ok {
		c.mu.Unlock()
		return
	}
	delete(c.running, id)
	msg := &quarantinev1.Message{}
	switch how {
	case OK:
		c.cleared(a, msg)
	case Crashed:
		c.crashed(a, msg)
	case Canceled:
	}
	if a.solo && c.trials.End(a.fp) {
		msg.Trials = append(msg.Trials, c.trial(a.fp, false, true))
	}
	c.mu.Unlock()
	c.send(msg)
}

// cleared takes the crashes back that are held against a request that ended
// well. One that is quarantined stays so unless it ran alone.
func (c *Controller) cleared(a attempt, msg *quarantinev1.Message) {
	now := c.opts.Now()
	if !a.solo && c.table.Standing(a.fp, now).Level == quarantine.Quarantined {
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

func (c *Controller) crashed(a attempt, msg *quarantinev1.Message) {
	now := c.opts.Now()
	crash := quarantine.Crash{
		Fingerprint: a.fp,
		Target:      a.target,
		ID:          c.deathID(a, now),
		Solo:        a.solo,
		Began:       a.began,
		At:          now.UnixMilli(),
	}
	if !c.table.Add(crash, now) {
		return
	}
	c.scope.Counter("crashes").Inc(1)
	c.logLevel(a.fp, now)
	msg.Crashes = append(msg.Crashes, encodeCrash(crash))
}

// deathID names the death of a target; attempts that ran beside each other and
// end together share it.
func (c *Controller) deathID(a attempt, now time.Time) string {
	d, ok := c.deaths[a.target]
	if ok && now.Sub(d.at) < sameDeath && a.began <= d.at.UnixMilli() {
		return d.id
	}
	for t, old := range c.deaths {
		if now.Sub(old.at) >= sameDeath {
			delete(c.deaths, t)
		}
	}
	c.counter++
	d = death{id: fmt.Sprintf("%s/%x/%d", c.opts.Self, uint64(c.opts.Incarnation), c.counter), at: now}
	c.deaths[a.target] = d
	return d.id
}

func (c *Controller) logLevel(fp uint64, now time.Time) {
	if c.table.Standing(fp, now).Level == quarantine.Quarantined {
		c.opts.Logger.WithField("suspects", c.table.Len()).Warn("request quarantined")
	}
}
