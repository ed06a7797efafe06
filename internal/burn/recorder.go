package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// MaxWorkspaces is the default bound on the workspaces that a recorder holds.
	MaxWorkspaces = 512
	// Fine buckets of a minute cover one hour, coarse buckets of ten minutes cover six
	// hours.
	fineBucketSeconds   = 60
	fineBucketCount     = 61
	coarseBucketSeconds = 600
	coarseBucketCount   = 37
	// SampleSeconds is the resolution of the samples. The samples of one hour are kept.
	SampleSeconds = 10
	maxSamples    = 360
	// Histograms cover 1 ms to 1 h with one significant digit and are rotated every
	// histogramSpan.
	histogramMinMS  = 1
	histogramMaxMS  = 3_600_000
	histogramDigits = 1
	histogramSpan   = time.Hour
	// evictRetryInterval is the least interval between two searches for an idle workspace,
	// which take place while MaxWorkspaces are held, if the first one found none.
	evictRetryInterval = time.Minute
)

// Options of a Recorder.
type Options struct {
	// Instance is the router's instance.
	Instance ids.Instance
	// Objectives returns a workspace's current objectives; nil if it has none.
	Objectives func(ids.Workspace) *api.Objectives
	// MaxWorkspaces bounds the workspaces held at a time. Default MaxWorkspaces.
	MaxWorkspaces int
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Recorder counts the observations of one router. It is safe for concurrent
// use.
type Recorder struct {
	opts Options

	mu         sync.Mutex
	workspaces map[ids.Workspace]*workspaceCounters
	uncounted  uint64
	samples    []Sample
	// nextEvict is the earliest time of the next search for an idle workspace.
	nextEvict time.Time
}

// workspaceCounters holds the observations of one workspace.
type workspaceCounters struct {
	fine, coarse          ring
	queueTime, firstToken latencyHistogram
	lastAt                time.Time
}

// latencyHistogram is a latency histogram over a time of one to two histogramSpans up to
// now.
type latencyHistogram struct {
	current, previous *hdrhistogram.Histogram
	startedAt         time.Time
}

// New returns an empty recorder.
func New(opts Options) *Recorder {
	if opts.MaxWorkspaces <= 0 {
		opts.MaxWorkspaces = MaxWorkspaces
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Objectives == nil {
		opts.Objectives = func(ids.Workspace) *api.Objectives { return nil }
	}
	return &Recorder{opts: opts, workspaces: make(map[ids.Workspace]*workspaceCounters)}
}

// Record counts an observation. Observations of workspaces without objectives are
// ignored. If MaxWorkspaces are held already, a new workspace replaces one that has been
// idle for longer than the longest window; if there is none, the observation only
// increments Snapshot.Uncounted.
func (r *Recorder) Record(o Observation) {
	slo := r.opts.Objectives(o.Workspace)
	if slo == nil || !o.Fault.IsCounted() {
		return
	}
	if o.At.IsZero() {
		o.At = r.opts.Now()
	}
	v := evaluate(o, slo)
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.workspaceRecord(o.Workspace, o.At)
	if rec == nil {
		r.uncounted++
		return
	}
	rec.lastAt = o.At
	rec.fine.bucketAt(o.At.Unix()).add(v)
	rec.coarse.bucketAt(o.At.Unix()).add(v)
	if o.QueueTime >= 0 {
		rec.queueTime.record(o.At, o.QueueTime)
	}
	if o.FirstToken > 0 {
		rec.firstToken.record(o.At, o.FirstToken)
	}
}

// RecordSample records a sample, in place of an earlier one of the same SampleSeconds. A
// zero At stands for the current time.
func (r *Recorder) RecordSample(s Sample) {
	if s.At == 0 {
		s.At = r.opts.Now().Unix()
	}
	s.At -= s.At % SampleSeconds
	s.Routers = 1
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.samples); n > 0 && r.samples[n-1].At == s.At {
		r.samples[n-1] = s
		return
	}
	r.samples = append(r.samples, s)
	if len(r.samples) > maxSamples {
		r.samples = slices.Clone(r.samples[len(r.samples)-maxSamples:])
	}
}

// Snapshot returns a copy of the recorded data, with workspaces ordered by name.
func (r *Recorder) Snapshot() Snapshot {
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := Snapshot{
		Routers:   []string{string(r.opts.Instance)},
		At:        now,
		Uncounted: r.uncounted,
		Samples:   slices.Clone(r.samples),
	}
	for name, rec := range r.workspaces {
		snap.Workspaces = append(snap.Workspaces, rec.snapshot(name, now))
	}
	slices.SortFunc(snap.Workspaces, func(a, b WorkspaceSnapshot) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return snap
}

func (r *Recorder) workspaceRecord(name ids.Workspace, at time.Time) *workspaceCounters {
	if rec := r.workspaces[name]; rec != nil {
		return rec
	}
	if len(r.workspaces) >= r.opts.MaxWorkspaces && !r.evict(at) {
		return nil
	}
	rec := &workspaceCounters{
		fine:   newRing(fineBucketSeconds, fineBucketCount),
		coarse: newRing(coarseBucketSeconds, coarseBucketCount),
	}
	r.workspaces[name] = rec
	return rec
}

// evict removes one workspace whose observations are all older than the longest window.
// It returns false if there is none or if the last search was too recent.
func (r *Recorder) evict(now time.Time) bool {
	if now.Before(r.nextEvict) {
		return false
	}
	for name, rec := range r.workspaces {
		if now.Sub(rec.lastAt) > coarseBucketCount*coarseBucketSeconds*time.Second {
			delete(r.workspaces, name)
			return true
		}
	}
	r.nextEvict = now.Add(evictRetryInterval)
	return false
}

func (rec *workspaceCounters) snapshot(name ids.Workspace, now time.Time) WorkspaceSnapshot {
	return WorkspaceSnapshot{
		Workspace:  name,
		Fine:       rec.fine.snapshot(now.Unix()),
		Coarse:     rec.coarse.snapshot(now.Unix()),
		QueueTime:  rec.queueTime.encode(now),
		FirstToken: rec.firstToken.encode(now),
	}
}

func (l *latencyHistogram) record(at time.Time, d time.Duration) {
	l.rotate(at)
	ms := min(max(d.Milliseconds(), histogramMinMS), histogramMaxMS)
	_ = l.current.RecordValue(ms)
}

// rotate starts a new histogram if the span of the current one is over.
func (l *latencyHistogram) rotate(at time.Time) {
	if l.current == nil {
		l.current = newHistogram()
		l.startedAt = at
		return
	}
	age := at.Sub(l.startedAt)
	if age < histogramSpan {
		return
	}
	l.previous = l.current
	if age >= 2*histogramSpan {
		l.previous = nil
	}
	l.current = newHistogram()
	l.startedAt = at
}

func (l *latencyHistogram) encode(now time.Time) []byte {
	if l.current == nil {
		return nil
	}
	sum := newHistogram()
	if now.Sub(l.startedAt) < 2*histogramSpan {
		sum.Merge(l.current)
	}
	if l.previous != nil && now.Sub(l.startedAt) < histogramSpan {
		sum.Merge(l.previous)
	}
	encoded, err := sum.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return encoded
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMS, histogramMaxMS, histogramDigits)
}
