// Package platform is the client of an object service. It speaks the protocol
// of docs/PROTOCOLS.md, or another one by its Wire.
//
// A call is sent at most once: nothing here or in net/http sends a write again.
// A write that fails is either certainly not applied (NotAppliedError,
// ConflictError, ErrNotFound) or may have been (UnsureError).
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

// Bounds of bodies in bytes.
const (
	// MaxValueBytes is the largest value that the service holds.
	MaxValueBytes  = 1 << 20
	maxObjectBytes = MaxValueBytes + 64<<10
	maxListBytes   = 128 << 20
)

// DefaultTimeout bounds a call where Options do not say.
const DefaultTimeout = 2 * time.Second

// Object is an object of the service.
type Object struct {
	Kind    api.Kind        `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Event is a change of an object. The object of a deletion has the version of
// the deletion.
type Event struct {
	Deleted bool   `json:"deleted,omitempty"`
	Object  Object `json:"object"`
}

// WatchResult holds the changes after the revision that was asked for.
type WatchResult struct {
	// Revision up to which the events are complete.
	Revision uint64  `json:"revision"`
	Events   []Event `json:"events"`
}

// Condition makes a write conditional. The zero value is unconditional.
type Condition struct {
	// Version that the object must have; 0 for any.
	Version uint64
	// Absent asks that there is no object.
	Absent bool
}

// Options of a Client.
type Options struct {
	// URL of the service, such as "http://127.0.0.1:7000". Required.
	URL string
	// Token is sent as a bearer token; none where empty.
	Token string
	// Timeout of one call, watches apart. Default DefaultTimeout.
	Timeout time.Duration
	// Wire is the service's protocol. Default: that of docs/PROTOCOLS.md.
	Wire Wire
	// Scope counts the calls; none where nil.
	Scope tally.Scope
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	base    atomic.Pointer[string]
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
		o.Wire = ownWire{}
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

// SetURL changes the service's URL for the calls to come.
func (c *Client) SetURL(url string) {
	base := strings.TrimSuffix(url, "/")
	c.base.Store(&base)
}

func (c *Client) url() string { return *c.base.Load() }

// Get returns an object, or ErrNotFound.
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

// List returns the objects of a kind and the revision at which they stood. What
// changes between the pages of a long list comes again with a watch from there.
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

// Watch waits for changes of the kinds after the revision since, for as long as
// wait. It returns ErrCompacted where since is too old.
func (c *Client) Watch(ctx context.Context, kinds []api.Kind, since uint64, wait time.Duration) (WatchResult, error) {
	cl := Call{Op: OpWatch, Kinds: kinds, Since: since, Wait: wait}
	var out WatchResult
	err := c.read(ctx, cl, maxListBytes, func(body []byte) (err error) {
		out, err = c.wire.Events(cl, body)
		return err
	})
	return out, err
}

// Put writes an object and returns it with its new version.
func (c *Client) Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond Condition) (Object, error) {
	cl := Call{Op: OpPut, Kind: kind, Name: name, Value: value, Condition: cond}
	if len(value) > MaxValueBytes {
		err := errors.Newf("value of %d bytes is over the limit of %d", len(value), MaxValueBytes)
		return Object{}, &NotAppliedError{Step: cl.step(), Peer: c.url(), Err: err}
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

// Delete removes an object and returns the revision of the deletion, 0 where the
// service does not tell it, or ErrNotFound.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, cond Condition) (uint64, error) {
	var version uint64
	err := c.write(ctx, Call{Op: OpDelete, Kind: kind, Name: name, Condition: cond}, func(body []byte) (err error) {
		version, err = c.wire.Deleted(body)
		return err
	})
	return version, err
}
