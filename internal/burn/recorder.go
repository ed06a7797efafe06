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
	// MaxWorkspaces bounds the workspaces that a recorder holds by default.
	MaxWorkspaces = 512
	// The counters of an hour are kept by the minute, those of six hours by
	// ten minutes.
	fineSeconds   = 60
	fineBuckets   = 61
	coarseSeconds = 600
	coarseBuckets = 37
	// SampleSeconds is the resolution of the samples, of which one hour is kept.
	SampleSeconds = 10
	maxSamples    = 360
	// Histograms hold 1 ms to 1 h with one significant digit; the current one
	// takes the place of the last every histogramSpan.
	histogramMinMS  = 1
	histogramMaxMS  = 3_600_000
	histogramDigits = 1
	histogramSpan   = time.Hour
	// evictEvery bounds the searches for an idle workspace where all places
	// are taken.
	evictEvery = time.Minute
)

// Options of a Recorder.
type Options struct {
	// Instance of the router.
	Instance ids.Instance
	// Objectives returns a workspace's objectives in force; nil for none.
	Objectives func(ids.Workspace) *api.Objectives
	// MaxWorkspaces held at a time. Default MaxWorkspaces.
	MaxWorkspaces int
	// Now is the clock. Default time.Now.
	Now func() time.Time
}

// Recorder counts the observations of one router. It is safe for concurrent
// use.
type Recorder struct {
	opts Options

	mu         sync.Mutex
	workspaces map[ids.Workspace]*record
	uncounted  uint64
	samples    []Sample
	// nextEvict is when a search for an idle workspace is worth while again.
	nextEvict time.Time
}

// record is what is held of one workspace.
type record struct {
	fine, coarse ring
	queue, first latencies
	last         time.Time
}

// latencies is a histogram over one to two spans of time.
type latencies struct {
	current, previous *hdrhistogram.Histogram
	since             time.Time
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
	return &Recorder{opts: opts, workspaces: make(map[ids.Workspace]*record)}
}

// Record counts an observation. Workspaces without objectives are not held,
// and where MaxWorkspaces are held, the one idle for longer than the longest
// window makes room; else the observation is only counted as uncounted.
func (r *Recorder) Record(o Observation) {
	slo := r.opts.Objectives(o.Workspace)
	if slo == nil || !o.Fault.Counts() {
		return
	}
	if o.At.IsZero() {
		o.At = r.opts.Now()
	}
	v := judge(o, slo)
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.record(o.Workspace, o.At)
	if rec == nil {
		r.uncounted++
		return
	}
	rec.last = o.At
	rec.fine.at(o.At.Unix()).add(v)
	rec.coarse.at(o.At.Unix()).add(v)
	if o.QueueTime >= 0 {
		rec.queue.record(o.At, o.QueueTime)
	}
	if o.FirstToken > 0 {
		rec.first.record(o.At, o.FirstToken)
	}
}

// Sample keeps a point of the plots. At may be zero for now.
func (r *Recorder) Sample(s Sample) {
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

// Snapshot returns what is held, by workspace name.
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
	slices.SortFunc(snap.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return snap
}

func (r *Recorder) record(name ids.Workspace, at time.Time) *record {
	if rec := r.workspaces[name]; rec != nil {
		return rec
	}
	if len(r.workspaces) >= r.opts.MaxWorkspaces && !r.evict(at) {
		return nil
	}
	rec := &record{
		fine:   newRing(fineSeconds, fineBuckets),
		coarse: newRing(coarseSeconds, coarseBuckets),
	}
	r.workspaces[name] = rec
	return rec
}

// evict removes a workspace whose observations have all left the windows.
func (r *Recorder) evict(now time.Time) bool {
	if now.Before(r.nextEvict) {
		return false
	}
	for name, rec := range r.workspaces {
		if now.Sub(rec.last) > coarseBuckets*coarseSeconds*time.Second {
			delete(r.workspaces, name)
			return true
		}
	}
	r.nextEvict = now.Add(evictEvery)
	return false
}

func (rec *record) snapshot(name ids.Workspace, now time.Time) Workspace {
	return Workspace{
		Workspace: name,
		Fine:      rec.fine.snapshot(now.Unix()),
		Coarse:    rec.coarse.snapshot(now.Unix()),
		Queue:     rec.queue.encode(now),
		First:     rec.first.encode(now),
	}
}

func (l *latencies) record(at time.Time, d time.Duration) {
	l.turn(at)
	ms := min(max(d.Milliseconds(), histogramMinMS), histogramMaxMS)
	_ = l.current.RecordValue(ms)
}

// turn starts a new histogram where the span of the current one is over.
func (l *latencies) turn(at time.Time) {
	if l.current == nil {
		l.current = newHistogram()
		l.since = at
		return
	}
	age := at.Sub(l.since)
	if age < histogramSpan {
		return
	}
	l.previous = l.current
	if age >= 2*histogramSpan {
		l.previous = nil
	}
	l.current = newHistogram()
	l.since = at
}

func (l *latencies) encode(now time.Time) []byte {
	if l.current == nil {
		return nil
	}
	sum := newHistogram()
	if now.Sub(l.since) < 2*histogramSpan {
		sum.Merge(l.current)
	}
	if l.previous != nil && now.Sub(l.since) < histogramSpan {
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
