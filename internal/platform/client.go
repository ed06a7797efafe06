// Package platform is a client for the platform's object service. It uses the
// protocol of docs/PROTOCOLS.md, or another one implemented by a Wire.
//
// A write is sent at most once: neither this package nor net/http retries it. A failed
// write was either certainly not applied (NotAppliedError, ConflictError, ErrNotFound)
// or may have been applied (UnconfirmedError).
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/api"
)

// Limits of bodies, in bytes.
const (
	// MaxValueBytes is the size limit of an object's value.
	MaxValueBytes  = 1 << 20
	maxObjectBytes = MaxValueBytes + 64<<10
	maxListBytes   = 128 << 20
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
	// Wire is the protocol of the service. Default: that of docs/PROTOCOLS.md.
	Wire Wire
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	baseURL atomic.Pointer[string]
	token   string
	timeout time.Duration
	wire    Wire
	scope   tally.Scope
	http    *http.Client
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Wire == nil {
		o.Wire = defaultWire{}
	}
	c := &Client{
		wire:    o.Wire,
		token:   o.Token,
		timeout: o.Timeout,
		scope:   o.Scope,
		http:    newHTTPClient(o.Timeout),
	}
	c.SetURL(o.URL)
	return c
}

// SetURL changes the URL of the service for subsequent calls.
func (c *Client) SetURL(url string) {
	baseURL := strings.TrimSuffix(url, "/")
	c.baseURL.Store(&baseURL)
}

func (c *Client) url() string { return *c.baseURL.Load() }

// Get returns an object. The error is ErrNotFound if the object does not exist.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (Object, error) {
	cl := Call{Op: OpGet, Kind: kind, Name: name}
	var out Object
	err := c.read(ctx, cl, maxObjectBytes, func(body []byte) error {
		obj, err := c.wire.Object(cl, body)
		if err == nil && obj != nil {
			out = *obj
		}
		return err
	})
	return out, err
}

// List returns the objects of a kind and the revision of the first page. A watch from
// that revision returns the changes made while the further pages were read.
func (c *Client) List(ctx context.Context, kind api.Kind) (objs []Object, revision uint64, err error) {
	cl := Call{Op: OpList, Kind: kind}
	for {
		var page Page
		err = c.read(ctx, cl, maxListBytes, func(body []byte) (err error) {
			page, err = c.wire.Page(cl, body)
			return err
		})
		if err != nil {
			return nil, 0, err
		}
		if cl.After == "" {
			revision = page.Revision
		}
		objs = append(objs, page.Objects...)
		if page.Next == "" {
			return objs, revision, nil
		}
		cl.After = page.Next
	}
}

// Watch waits for changes of the kinds after the revision since, for at most the
// duration wait. The error is ErrCompacted if the service no longer has the events
// after since.
func (c *Client) Watch(ctx context.Context, kinds []api.Kind, since uint64, wait time.Duration) (WatchResult, error) {
	cl := Call{Op: OpWatch, Kinds: kinds, Since: since, Wait: wait}
	var out WatchResult
	err := c.read(ctx, cl, maxListBytes, func(body []byte) (err error) {
		out, err = c.wire.Events(cl, body)
		return err
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
	var out Object
	err := c.write(ctx, cl, func(body []byte) error {
		obj, err := c.wire.Object(cl, body)
		if err == nil && obj != nil {
			out = *obj
		}
		return err
	})
	return out, err
}

// Delete deletes an object and returns the revision of the deletion, or 0 if the
// service does not report it. The errors are those of Put.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, cond Condition) (uint64, error) {
	var version uint64
	err := c.write(ctx, Call{Op: OpDelete, Kind: kind, Name: name, Condition: cond}, func(body []byte) (err error) {
		version, err = c.wire.DeletionRevision(body)
		return err
	})
	return version, err
}
