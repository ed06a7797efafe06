package quarantine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/jsontext"
	"github.com/umberhill/umberhill/internal/platform"
)

const (
	// recordInterval is how often a writer compares the record with its table.
	recordInterval = 250 * time.Millisecond
	// recordName is the name of the object that holds the record.
	recordName = "crashes"
)

// RecorderOptions configures a Recorder.
type RecorderOptions struct {
	Controller *Controller
	Store      *platform.Client
	// Kind is the kind of the record's object.
	Kind api.Kind
	// WriterRank returns this router's place among the writers of the record, and false if
	// it is none.
	WriterRank func() (rank int, isWriter bool)
	Logger     *logrus.Entry
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

// Recorder keeps the crashes that must outlast a restart of all routers in the platform's
// store. A router that becomes a writer reads the record and sends it to the others.
type Recorder struct {
	opts RecorderOptions
	// version is that of the object as last read or written, 0 if there is none.
	version uint64
	// recording is guarded by the controller's lock, as it reads the table.
	recording quarantine.Recording
}

// NewRecorder returns a Recorder. Run starts it.
func NewRecorder(o RecorderOptions) *Recorder {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("quarantine")
	o.Scope.Gauge("recorded").Update(0)
	o.Scope.Counter("record_writes").Inc(0)
	o.Logger = o.Logger.WithField("step", "record of crashes")
	return &Recorder{opts: o}
}

// Run keeps the record until ctx is done.
func (r *Recorder) Run(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.reconcile(ctx)
		}
	}
}

// reconcile makes the calls that are due.
func (r *Recorder) reconcile(ctx context.Context) {
	// A conflict is followed by a read and another write.
	for range 3 {
		call, wanted := r.next()
		var err error
		switch call {
		case quarantine.NoCall:
			return
		case quarantine.ReadRecord:
			err = r.read(ctx)
		case quarantine.WriteRecord:
			err = r.write(ctx, wanted)
		case quarantine.DeleteRecord:
			err = r.delete(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if r.recordResult(err) {
			return
		}
	}
}

// next returns the call that is due and the crashes to record.
func (r *Recorder) next() (quarantine.RecordCall, []quarantine.Crash) {
	rank, isWriter := r.opts.WriterRank()
	c := r.opts.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Now()
	call := r.recording.Next(now, rank, isWriter, c.table)
	if call != quarantine.WriteRecord {
		return call, nil
	}
	return call, c.table.Record(now)
}

// recordResult records the failure of a call, if any, and reports whether to wait.
func (r *Recorder) recordResult(err error) (failed bool) {
	if err == nil {
		return false
	}
	c := r.opts.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, platform.ErrNotFound) {
		r.recording.RecordConflict()
		return false
	}
	r.recording.RecordFailure(c.opts.Now())
	r.opts.Logger.WithError(err).Warn("cannot read or write the record of crashes; retrying")
	return true
}

// read reads the record, and adds its crashes to the table and to those of the other routers.
func (r *Recorder) read(ctx context.Context) error {
	objects, _, err := r.opts.Store.List(ctx, r.opts.Kind)
	if err != nil {
		return err
	}
	var stored []quarantine.Crash
	r.version = 0
	for _, o := range objects {
		if o.Name != recordName {
			continue
		}
		r.version = o.Version
		if stored, err = decodeRecord(o.Value); err != nil {
			r.opts.Logger.WithError(err).Error("record of crashes is invalid; it is replaced")
		}
	}
	added := r.opts.Controller.restore(stored)
	r.recordState(stored)
	if added > 0 {
		r.opts.Logger.WithFields(logrus.Fields{"crashes": len(stored), "unknown": added}).Info("crashes read from the record")
	}
	return nil
}

func (r *Recorder) write(ctx context.Context, wanted []quarantine.Crash) error {
	value, err := encodeRecord(wanted)
	if err != nil {
		return err
	}
	object, err := r.opts.Store.Put(ctx, r.opts.Kind, recordName, value, platform.Condition{Version: r.version, Absent: r.version == 0})
	if err != nil {
		return err
	}
	r.version = object.Version
	r.recordState(wanted)
	r.opts.Scope.Counter("record_writes").Inc(1)
	r.opts.Logger.WithField("crashes", len(wanted)).Info("crashes recorded")
	return nil
}

func (r *Recorder) delete(ctx context.Context) error {
	if _, err := r.opts.Store.Delete(ctx, r.opts.Kind, recordName, platform.Condition{Version: r.version}); err != nil {
		return err
	}
	r.version = 0
	r.recordState(nil)
	r.opts.Scope.Counter("record_writes").Inc(1)
	r.opts.Logger.Info("record of crashes deleted; none counts any more")
	return nil
}

func (r *Recorder) recordState(stored []quarantine.Crash) {
	c := r.opts.Controller
	c.mu.Lock()
	defer c.mu.Unlock()
	r.recording.RecordState(c.opts.Now(), stored)
	r.opts.Scope.Gauge("recorded").Update(float64(len(stored)))
}

// restore adds crashes from the record and broadcasts those that were unknown. It returns
// their number.
func (c *Controller) restore(crashes []quarantine.Crash) (added int) {
	c.mu.Lock()
	now := c.opts.Now()
	msg := &quarantinev1.Message{}
	for _, crash := range crashes {
		encoded := encodeCrash(crash)
		if c.applyCrash(encoded, now, msg) {
			msg.Crashes = append(msg.Crashes, encoded)
			added++
		}
	}
	c.mu.Unlock()
	c.broadcast(msg)
	return added
}

// recordedCrash is a crash in the JSON encoding of the record.
type recordedCrash struct {
	// Fingerprint is hexadecimal.
	Fingerprint string `json:"fingerprint"`
	Target      string `json:"target"`
	ID          string `json:"id"`
	Solo        bool   `json:"solo,omitempty"`
	// AtMS and StartedMS are Unix times in ms.
	AtMS      int64 `json:"atMs"`
	StartedMS int64 `json:"startedMs"`
}

// record is the JSON encoding of the record.
type record struct {
	Crashes []recordedCrash `json:"crashes"`
}

func encodeRecord(crashes []quarantine.Crash) (json.RawMessage, error) {
	out := record{Crashes: make([]recordedCrash, 0, len(crashes))}
	for _, c := range crashes {
		out.Crashes = append(out.Crashes, recordedCrash{
			Fingerprint: strconv.FormatUint(c.Fingerprint, 16), Target: string(c.Target), ID: c.ID, Solo: c.Solo, AtMS: c.AtMS, StartedMS: c.StartedMS,
		})
	}
	raw, err := json.Marshal(out)
	return raw, errors.Wrap(err, "encode the record of crashes")
}

func decodeRecord(raw json.RawMessage) ([]quarantine.Crash, error) {
	var in record
	if err := jsontext.Unmarshal(raw, &in); err != nil {
		return nil, errors.Wrap(err, "decode the record of crashes")
	}
	out := make([]quarantine.Crash, 0, len(in.Crashes))
	for _, c := range in.Crashes {
		fp, err := strconv.ParseUint(c.Fingerprint, 16, 64)
		if err != nil {
			return nil, errors.Wrap(err, "decode the record of crashes")
		}
		out = append(out, quarantine.Crash{Fingerprint: fp, Target: ids.Target(c.Target), ID: c.ID, Solo: c.Solo, AtMS: c.AtMS, StartedMS: c.StartedMS})
	}
	return out, nil
}
