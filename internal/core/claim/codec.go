package claim

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/ids"
)

// formatVersion is the version of the encoding. Decode rejects other versions, so
// that a bucket in another format is never overwritten.
const formatVersion = 1

type wireBucket struct {
	Format            int         `json:"v"`
	WindowMS          int64       `json:"w"`
	LastWriter        string      `json:"l,omitempty"`
	ConsecutiveWrites int         `json:"n,omitempty"`
	Owners            []wireOwner `json:"o,omitempty"`
	Clocks            []wireClock `json:"c,omitempty"`
	// Entries are sorted by time and key.
	Entries []wireEntry `json:"e,omitempty"`
}

type wireOwner struct {
	Instance    string `json:"i"`
	Incarnation uint64 `json:"n"`
}

type wireClock struct {
	Instance string `json:"i"`
	UnixMS   int64  `json:"t"`
}

type wireEntry struct {
	Key         string `json:"k"`
	Fingerprint uint64 `json:"f"`
	Owner       int    `json:"o"`
	Seq         uint64 `json:"n"`
	RequestID   string `json:"r,omitempty"`
	ClaimedAtMS int64  `json:"t"`
	State       State  `json:"s"`
	// Status and the fields below it are the record of a finished claim.
	Status      int    `json:"h,omitempty"`
	ContentType string `json:"y,omitempty"`
	Body        []byte `json:"b,omitempty"`
	Truncated   bool   `json:"x,omitempty"`
}

// Encode returns the bucket as JSON. Equal buckets have equal encodings.
func (b *Bucket) Encode() (json.RawMessage, error) {
	w := wireBucket{Format: formatVersion, WindowMS: b.windowMS, LastWriter: string(b.lastWriter), ConsecutiveWrites: b.consecutiveWrites}
	owners := map[Owner]int{}
	for _, e := range b.entriesByTime() {
		i, ok := owners[e.ID.Owner]
		if !ok {
			i = len(w.Owners)
			owners[e.ID.Owner] = i
			w.Owners = append(w.Owners, wireOwner{
				Instance:    string(e.ID.Owner.Instance),
				Incarnation: uint64(e.ID.Owner.Incarnation),
			})
		}
		w.Entries = append(w.Entries, encodeEntry(e, i))
	}
	for _, c := range b.clocks {
		w.Clocks = append(w.Clocks, wireClock{Instance: string(c.instance), UnixMS: c.unixMS})
	}
	raw, err := json.Marshal(w)
	return raw, errors.Wrap(err, "encode claims")
}

func encodeEntry(e *Entry, owner int) wireEntry {
	w := wireEntry{
		Key:         e.Key.String(),
		Fingerprint: e.Fingerprint,
		Owner:       owner,
		Seq:         e.ID.Seq,
		RequestID:   e.RequestID,
		ClaimedAtMS: e.ClaimedAtMS,
		State:       e.State,
	}
	if r := e.Record; r != nil {
		w.Status, w.ContentType = r.Status, r.ContentType
		w.Body, w.Truncated = r.Body, r.Truncated
	}
	return w
}

// Decode parses an encoded bucket. It returns an error, and no bucket, for
// another format version and for any invalid entry.
func Decode(raw json.RawMessage) (*Bucket, error) {
	var w wireBucket
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, errors.Wrap(err, "decode claims")
	}
	if w.Format != formatVersion {
		return nil, errors.Newf("decode claims: unsupported format version %d", w.Format)
	}
	b := NewBucket()
	b.windowMS, b.lastWriter, b.consecutiveWrites = w.WindowMS, ids.Instance(w.LastWriter), w.ConsecutiveWrites
	for _, c := range w.Clocks {
		b.clocks = append(b.clocks, writerClock{instance: ids.Instance(c.Instance), unixMS: c.UnixMS})
		b.size += ownerFixedSize + maxEscapeFactor*len(c.Instance)
	}
	for i := range w.Entries {
		e, err := decodeEntry(&w.Entries[i], w.Owners)
		if err != nil {
			return nil, errors.Wrapf(err, "decode claims: entry %d", i)
		}
		if _, duplicate := b.entries[e.Key]; duplicate {
			return nil, errors.Newf("decode claims: entry %d: duplicate key", i)
		}
		b.insert(e)
	}
	return b, nil
}

func decodeEntry(w *wireEntry, owners []wireOwner) (*Entry, error) {
	key, err := parseKey(w.Key)
	if err != nil {
		return nil, err
	}
	if w.Owner < 0 || w.Owner >= len(owners) {
		return nil, errors.Newf("owner index %d out of range", w.Owner)
	}
	if w.State < Granted || w.State > Finished {
		return nil, errors.Newf("invalid state %d", w.State)
	}
	o := owners[w.Owner]
	e := &Entry{
		Key:         key,
		Fingerprint: w.Fingerprint,
		ID: ID{
			Owner: Owner{Instance: ids.Instance(o.Instance), Incarnation: ids.Incarnation(o.Incarnation)},
			Seq:   w.Seq,
		},
		RequestID:   w.RequestID,
		ClaimedAtMS: w.ClaimedAtMS,
		State:       w.State,
	}
	if w.State == Finished {
		e.Record = &Record{Status: w.Status, ContentType: w.ContentType, Body: w.Body, Truncated: w.Truncated}
	}
	return e, nil
}
