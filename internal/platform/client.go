// Package platform is a client for the platform's object service. It uses the
// protocol of docs/PROTOCOLS.md, or another one implemented by a Wire.
//
// Revisions and versions that the client takes and returns include the store's era, see
// package revision. A condition on a version of an earlier era than the store's is not
// sent, since the store gives out its revisions again.
//
// A write is sent at most once: neither this package nor net/http retries it. A failed
// write was either certainly not applied (NotAppliedError, ConflictError, ErrNotFound)
// or may have been applied (UnconfirmedError).
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/revision"
)

// Limits of bodies, in bytes.
const (
	// MaxValueBytes is the size limit of an object's value.
	MaxValueBytes  = 1 << 20
	maxObjectBytes = MaxValueBytes + 64<<10
	// DefaultMaxListBytes is the default of Options.MaxListBytes.
	DefaultMaxListBytes = 128 << 20
)

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 2 * time.Second

// Object is a versioned object of the service.
type Object struct {
	Kind    api.Kind        `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Event is a change of an object. In a deletion, the version of the object is the
// revision of the deletion.
type Event struct {
	Deleted bool   `json:"deleted,omitempty"`
	Object  Object `json:"object"`
}

// WatchResult holds the changes after the revision at which a watch started.
type WatchResult struct {
	// Revision is the revision up to which the events are complete.
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
	// Undecoded has an error for each event that cannot be decoded. Those are not among Events.
	Undecoded []error `json:"-"`
}

// Condition makes a write conditional. The zero value is unconditional.
type Condition struct {
	// Version is the version that the object must have, or 0 for any.
	Version uint64
	// Absent requires that the object does not exist.
	Absent bool
}

// Options configures a Client.
type Options struct {
	// URL is the URL of the service, such as "http://127.0.0.1:7000". Required.
	URL string
	// Token is sent as a bearer token. Default: none.
	Token string
	// Timeout is the time limit of a call. The duration that a watch waits for
	// changes is added to it. Default DefaultTimeout.
	Timeout time.Duration
	// MaxListBytes is the size limit, in bytes, of the answer to a watch and of all pages
	// of a list together. What exceeds it is an error. Default DefaultMaxListBytes.
	MaxListBytes int64
	// Wire is the protocol of the service. Default: that of docs/PROTOCOLS.md.
	Wire Wire
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
	// Logger receives a warning about elements that cannot be decoded. Default: none.
	Logger *logrus.Entry
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	baseURL atomic.Pointer[string]
	token   string
	timeout time.Duration
	maxList int64
	wire    Wire
	scope   tally.Scope
	http    *http.Client
	// era is the highest era of a response so far.
	era atomic.Uint64

	logger *logrus.Entry
	// undecodedLog bounds the warnings about elements that cannot be decoded.
	undecodedLog rate.Sometimes
}

// undecodedLogInterval is the least time between warnings about elements that cannot be decoded.
// One stays in the store for as long as its writer leaves it there, and lists repeat it.
const undecodedLogInterval = time.Minute

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.MaxListBytes <= 0 {
		o.MaxListBytes = DefaultMaxListBytes
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Logger == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		o.Logger = logrus.NewEntry(discard)
	}
	if o.Wire == nil {
		o.Wire = defaultWire{}
	}
	c := &Client{
		wire:    o.Wire,
		token:   o.Token,
		timeout: o.Timeout,
		maxList: o.MaxListBytes,
		scope:   o.Scope,
		http:    newHTTPClient(o.Timeout),
		logger:  o.Logger,

		undecodedLog: rate.Sometimes{Interval: undecodedLogInterval},
	}
	c.scope.Counter("platform_undecoded_elements").Inc(0)
	c.SetURL(o.URL)
	return c
}

// SetURL changes the URL of the service for subsequent calls.
func (c *Client) SetURL(url string) {
	baseURL := strings.TrimSuffix(url, "/")
	c.baseURL.Store(&baseURL)
}

func (c *Client) url() string { return *c.baseURL.Load() }

// observeEra records the era in a response's header and returns it, or the highest era so
// far if the header has none.
func (c *Client) observeEra(era uint64) uint64 {
	for {
		highest := c.era.Load()
		if era == 0 {
			return highest
		}
		if era <= highest {
			return era
		}
		if c.era.CompareAndSwap(highest, era) {
			c.scope.Gauge("store_era").Update(float64(era))
		}
	}
}

// storeVersion returns the store's own version for the condition of a write.
func (c *Client) storeVersion(cl Call) (uint64, error) {
	era, version := revision.Split(cl.Condition.Version)
	if known := c.era.Load(); version > 0 && era < known {
		err := errors.Newf("condition on a version of era %d; the store is in era %d", era, known)
		return 0, &NotAppliedError{Step: cl.step(), URL: c.url(), Err: err}
	}
	return version, nil
}

// Get returns an object. The error is ErrNotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (Object, error) {
	cl := Call{Op: OpGet, Kind: kind, Name: name}
	var out Object
	err := c.read(ctx, cl, maxObjectBytes, func(body []byte, era uint64) error {
		obj, err := c.wire.Object(cl, body)
		if err == nil && obj != nil {
			out = *obj
			out.Version = revision.Join(era, out.Version)
		}
		return err
	})
	return out, err
}

// List returns the objects of a kind and the earliest revision of its pages. A watch from
// that revision returns the changes made while the further pages were read.
func (c *Client) List(ctx context.Context, kind api.Kind) (objs []Object, asOf uint64, err error) {
	return c.list(ctx, Call{Op: OpList, Kind: kind})
}

// ListStale is like List, but the objects may be some seconds old, where the service has a
// cheaper read of that kind. A watch from the returned revision returns what changed since.
func (c *Client) ListStale(ctx context.Context, kind api.Kind) (objs []Object, asOf uint64, err error) {
	return c.list(ctx, Call{Op: OpList, Kind: kind, MayBeStale: true})
}

func (c *Client) list(ctx context.Context, cl Call) (objs []Object, asOf uint64, err error) {
	var listEra uint64
	left := c.maxList
	for {
		var page Page
		var pageEra uint64
		err = c.read(ctx, cl, left, func(body []byte, era uint64) (err error) {
			page, err = c.wire.Page(cl, body)
			if err == nil && page.Next != "" && page.Next == cl.After {
				err = errors.Newf("page after %q ends where it starts", cl.After)
			}
			pageEra = era
			left -= int64(len(body))
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		c.recordUndecoded(cl, page.Undecoded)
		pageRevision := revision.Join(pageEra, page.Revision)
		if cl.After == "" {
			listEra, asOf = pageEra, pageRevision
		}
		if pageEra != listEra {
			// The pages are of different copies of the store.
			objs, cl.After, left = nil, "", c.maxList
			continue
		}
		// Pages that may be stale are not necessarily of increasing revisions.
		asOf = min(asOf, pageRevision)
		for _, o := range page.Objects {
			o.Version = revision.Join(pageEra, o.Version)
			objs = append(objs, o)
		}
		if page.Next == "" {
			return objs, asOf, nil
		}
		cl.After = page.Next
	}
}

// recordUndecoded records elements of a response that cannot be decoded.
func (c *Client) recordUndecoded(cl Call, undecoded []error) {
	if len(undecoded) == 0 {
		return
	}
	c.scope.Counter("platform_undecoded_elements").Inc(int64(len(undecoded)))
	c.undecodedLog.Do(func() {
		c.logger.WithError(undecoded[0]).WithFields(logrus.Fields{"step": cl.step(), "elements": len(undecoded)}).Warn("elements of the store's response cannot be decoded; the others are used")
	})
}

// Watch waits for changes of the kinds after the revision since, for at most the
// duration wait. The error is ErrCompacted if the service no longer has the events
// after since, or has returned from an older copy, and if one of them cannot be decoded: a list
// shows what it has changed.
func (c *Client) Watch(ctx context.Context, kinds []api.Kind, since uint64, wait time.Duration) (WatchResult, error) {
	sinceEra, storeSince := revision.Split(since)
	cl := Call{Op: OpWatch, Kinds: kinds, Since: storeSince, Wait: wait}
	var out WatchResult
	err := c.read(ctx, cl, c.maxList, func(body []byte, era uint64) (err error) {
		if era != sinceEra {
			return ErrCompacted
		}
		if out, err = c.wire.Events(cl, body); err != nil {
			return err
		}
		if len(out.Undecoded) > 0 {
			c.recordUndecoded(cl, out.Undecoded)
			return ErrCompacted
		}
		out.Revision = revision.Join(era, out.Revision)
		for i := range out.Events {
			out.Events[i].Object.Version = revision.Join(era, out.Events[i].Object.Version)
		}
		return nil
	})
	return out, err
}

// Put writes an object and returns it with its new version. The error is ErrNotFound
// or a *ConflictError, *NotAppliedError or *UnconfirmedError.
func (c *Client) Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond Condition) (Object, error) {
	cl := Call{Op: OpPut, Kind: kind, Name: name, Value: value, Condition: cond}
	if len(value) > MaxValueBytes {
		err := errors.Newf("value of %d bytes is over the limit of %d", len(value), MaxValueBytes)
		return Object{}, &NotAppliedError{Step: cl.step(), URL: c.url(), Err: err}
	}
	var err error
	if cl.Condition.Version, err = c.storeVersion(cl); err != nil {
		return Object{}, err
	}
	var out Object
	err = c.write(ctx, cl, func(body []byte, era uint64) error {
		obj, err := c.wire.Object(cl, body)
		if err == nil && obj != nil {
			out = *obj
			out.Version = revision.Join(era, out.Version)
		}
		return err
	})
	return out, err
}

// Delete deletes an object and returns the revision of the deletion, or 0 if the
// service does not report it. The errors are those of Put.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, cond Condition) (uint64, error) {
	cl := Call{Op: OpDelete, Kind: kind, Name: name, Condition: cond}
	var version uint64
	var err error
	if cl.Condition.Version, err = c.storeVersion(cl); err != nil {
		return 0, err
	}
	err = c.write(ctx, cl, func(body []byte, era uint64) error {
		deleted, err := c.wire.DeletionRevision(body)
		if deleted > 0 {
			version = revision.Join(era, deleted)
		}
		return err
	})
	return version, err
}
