package node

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/catchup"
	"github.com/umberhill/umberhill/internal/core/freshness"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// pullTimeout bounds a call that pulls newer state from a peer.
	pullTimeout = time.Second
	// catchUpInterval is how often a router that lacks state decides what to do.
	catchUpInterval = 25 * time.Millisecond
)

// Reader reads one kind of the store's state and applies it. It returns an error if the state
// cannot be read.
type Reader func(ctx context.Context) error

// syncedState is the controller of one kind of the store's state that routers pull from each
// other. Kinds do not wait for each other, and calls to peers and the store not for one another.
type syncedState struct {
	node *Node
	// method is the method of calls that return a peer's state, and names the state in logs.
	method string
	// read reads the store, nil if there is none.
	read Reader
	// onRead, if set, is called after a successful read with the time at which it began, and
	// returns once what was read is in force.
	onRead func(start time.Time)
	// apply applies what a peer returned, and returns once it is in force.
	apply func(from ids.Instance, raw []byte) error
	// lacking holds an element after the router has learned of a revision that it lacks.
	lacking chan struct{}
	// lacked is the time from when the router knew of a revision until it held it. maxDelay
	// bounds the age of a revision when it came to be held.
	lacked, maxDelay tally.Histogram
	// reads counts the reads of the store for lacked state.
	reads tally.Counter

	mu      sync.Mutex
	tracker *catchup.Tracker
	// reportedAt is when a peer last reported what it holds and as of when that is complete.
	reportedAt time.Time
	// isRefreshing is set while the state is read again for its age, and refreshAt is when the
	// next such read may begin.
	isRefreshing bool
	refreshAt    time.Time
}

// stateDelayBuckets are the bounds of the histograms of delays, up to twice the usual bounds.
var stateDelayBuckets = tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 1.5, 14)

func newSyncedState(n *Node, method string) *syncedState {
	scope := n.scope.Tagged(map[string]string{"state": method})
	s := &syncedState{
		node: n, method: method, lacking: make(chan struct{}, 1),
		lacked: scope.Histogram("state_lacked_seconds", stateDelayBuckets), maxDelay: scope.Histogram("state_max_delay_seconds", stateDelayBuckets),
		reads:   scope.Counter("state_lacked_reads"),
		tracker: catchup.New(catchup.Settings{Self: n.settings.Instance, Bound: n.changeDelay(), Origin: n.readOrigin()}),
	}
	s.reads.Inc(0)
	return s
}

// revision returns the revision that this router holds, 0 for none.
func (s *syncedState) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Held()
}

// claim returns the revision that this router holds, and as of when it is complete.
func (s *syncedState) claim() (revision uint64, c freshness.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Held(), s.tracker.Complete()
}

// age returns the time since the state was complete.
func (s *syncedState) age(now time.Time) time.Duration {
	_, c := s.claim()
	return now.Sub(c.At)
}

// sinceReport returns the time since a peer last reported as of when its state is complete.
func (s *syncedState) sinceReport(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.reportedAt)
}

// claimedAge returns the same according to peers alone, counting state that this router is
// about to pull.
func (s *syncedState) claimedAge(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.tracker.ClaimedAt(now))
}

// recordReport records what a peer reports. It returns whether this router holds all that the
// peer holds.
func (s *syncedState) recordReport(now time.Time, from ids.Instance, r catchup.Report) bool {
	s.mu.Lock()
	s.tracker.RecordReport(now, from, r)
	if !r.CompleteAt.IsZero() {
		s.reportedAt = now
	}
	isLacking := !s.tracker.LackedSince().IsZero()
	holdsAll := r.Revision <= s.tracker.Held()
	s.mu.Unlock()
	if isLacking {
		select {
		case s.lacking <- struct{}{}:
		default:
		}
	}
	return holdsAll
}

// recordHeld records that a revision has come into force.
func (s *syncedState) recordHeld(revision uint64) catchup.Change {
	s.mu.Lock()
	change := s.tracker.RecordHeld(time.Now(), revision)
	s.mu.Unlock()
	if change.KnownFor > 0 {
		s.lacked.RecordDuration(change.KnownFor)
	}
	if change.MaxDelay > 0 {
		s.maxDelay.RecordDuration(change.MaxDelay)
	}
	return change
}

// recordComplete records that the state in force is complete as of the start of a read.
func (s *syncedState) recordComplete(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordComplete(at)
}

func (s *syncedState) recordLinkEnd(peer ids.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordLinkEnd(peer)
}

// catchUp obtains what this router lacks from peers and the store until ctx ends.
func (s *syncedState) catchUp(ctx context.Context) {
	var calls conc.WaitGroup
	defer calls.Wait()
	ticker := time.NewTicker(catchUpInterval)
	ticker.Stop()
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.lacking:
			ticker.Reset(catchUpInterval)
		case <-ticker.C:
		}
		if !s.act(ctx, &calls) {
			ticker.Stop()
		}
	}
}

// act begins the calls that are due, and reports whether the router lacks state.
func (s *syncedState) act(ctx context.Context, calls *conc.WaitGroup) (isLacking bool) {
	for {
		now := time.Now()
		s.mu.Lock()
		action := s.tracker.Next(now)
		since := s.tracker.LackedSince()
		s.mu.Unlock()
		switch {
		case action.Read:
			calls.Go(func() { s.readLacked(ctx) })
		case action.Call != "":
			calls.Go(func() { s.pull(ctx, action.Call) })
		default:
			return !since.IsZero()
		}
	}
}

// pull fetches the state of a peer, which may reach the platform's store while this router does
// not.
func (s *syncedState) pull(ctx context.Context, from ids.Instance) {
	before, start := s.revision(), time.Now()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	raw, err := s.node.fleet.mesh.Call(ctx, from, s.method, nil)
	if err == nil {
		err = s.apply(from, raw)
	}
	s.mu.Lock()
	held := s.tracker.Held()
	s.tracker.RecordCall(time.Now(), from, err == nil && held > before)
	s.mu.Unlock()
	if err != nil {
		s.node.logger.WithError(err).WithFields(s.lagFields()).WithFields(logrus.Fields{
			"step": "pull " + s.method, "peer": from, "took_ms": time.Since(start).Milliseconds(),
		}).Warn("cannot pull newer state from peer")
	}
}

// readLacked reads the store for state that no peer has given in time.
func (s *syncedState) readLacked(ctx context.Context) {
	s.reads.Inc(1)
	start := time.Now()
	logger := s.node.logger.WithFields(s.lagFields()).WithField("step", "read "+s.method)
	err := s.refresh(ctx)
	s.mu.Lock()
	if err != nil {
		s.tracker.RecordReadFailure(time.Now())
	} else {
		s.tracker.RecordRead(time.Now())
	}
	s.mu.Unlock()
	logger = logger.WithField("took_ms", time.Since(start).Milliseconds())
	if err != nil {
		logger.WithError(err).Warn("cannot read newer state in the store")
		return
	}
	logger.WithField("revision", s.revision()).Info("read state in the store that no peer gave in time")
}

// lagFields are the fields of log lines that tell what this router lacks.
func (s *syncedState) lagFields() logrus.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := logrus.Fields{"held": s.tracker.Held(), "newest": s.tracker.Newest()}
	if since := s.tracker.LackedSince(); !since.IsZero() {
		f["lacked_ms"] = time.Since(since).Milliseconds()
	}
	return f
}

// startRefresh reports whether the state may be read again for its age, and records that it is.
func (s *syncedState) startRefresh(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read == nil || s.isRefreshing || now.Before(s.refreshAt) {
		return false
	}
	s.isRefreshing = true
	return true
}

// endRefresh records the end of such a read. The watches of the store log an outage.
func (s *syncedState) endRefresh(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isRefreshing = false
	if err != nil {
		s.refreshAt = time.Now().Add(refreshRetryDelay)
	}
}

// refresh reads the store and returns once what it read is in force. Concurrent calls share a
// read that begins after them.
func (s *syncedState) refresh(ctx context.Context) error {
	if s.read == nil {
		return errors.New("no store to read")
	}
	_, err := s.node.refreshes.do(ctx, s.method, func(ctx context.Context) (any, error) {
		start := time.Now()
		if err := s.read(ctx); err != nil {
			return nil, err
		}
		if s.onRead != nil {
			s.onRead(start)
		}
		s.recordComplete(start)
		return nil, nil
	})
	return err
}
