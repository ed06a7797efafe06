// Package platform is the client of the platform's object service, as
// docs/PROTOCOLS.md describes it.
//
// A call is sent at most once: nothing here or in net/http sends a write again.
// A write that fails is either certainly not applied (NotAppliedError,
// ConflictError, ErrNotFound) or may have been (UnsureError).
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
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
	// Scope counts the calls; none where nil.
	Scope tally.Scope
}

// Client calls the service. It is safe for concurrent use.
type Client struct {
	base    string
	token   string
	timeout time.Duration
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
	return &Client{
		base:    strings.TrimSuffix(o.URL, "/"),
		token:   o.Token,
		timeout: o.Timeout,
		scope:   o.Scope,
		http:    newHTTPClient(o.Timeout),
	}
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (Object, error) {
	var out Object
	err := c.read(ctx, call{op: "get", kind: kind, name: name, path: objectPath(kind, name), limit: maxObjectBytes}, &out)
	return out, err
}

// List returns the objects of a kind and the revision at which they stood.
func (c *Client) List(ctx context.Context, kind api.Kind) (objs []Object, revision uint64, err error) {
	var out struct {
		Revision uint64   `json:"revision"`
		Objects  []Object `json:"objects"`
	}
	err = c.read(ctx, call{op: "list", kind: kind, path: objectPath(kind, ""), limit: maxListBytes}, &out)
	return out.Objects, out.Revision, err
}

// Watch waits for changes of the kinds after the revision since, for as long as
// wait. It returns ErrCompacted where since is too old.
func (c *Client) Watch(ctx context.Context, kinds []api.Kind, since uint64, wait time.Duration) (WatchResult, error) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = string(k)
	}
	q := url.Values{}
	q.Set("kinds", strings.Join(names, ","))
	q.Set("since", strconv.FormatUint(since, 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var out WatchResult
	err := c.read(ctx, call{op: "watch", path: "/v1/watch?" + q.Encode(), limit: maxListBytes, wait: wait}, &out)
	return out, err
}

// Put writes an object and returns it with its new version.
func (c *Client) Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond Condition) (Object, error) {
	if len(value) > MaxValueBytes {
		err := errors.Newf("value of %d bytes is over the limit of %d", len(value), MaxValueBytes)
		return Object{}, &NotAppliedError{Step: "put " + string(kind) + "/" + name, Peer: c.base, Err: err}
	}
	var out Object
	err := c.write(ctx, call{op: "put", kind: kind, name: name, method: http.MethodPut, body: value, cond: cond}, &out)
	return out, err
}

// Delete removes an object and returns the revision of the deletion, or
// ErrNotFound.
func (c *Client) Delete(ctx context.Context, kind api.Kind, name string, cond Condition) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := c.write(ctx, call{op: "delete", kind: kind, name: name, method: http.MethodDelete, cond: cond}, &out)
	return out.Version, err
}

func objectPath(kind api.Kind, name string) string {
	path := "/v1/objects/" + url.PathEscape(string(kind))
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}
