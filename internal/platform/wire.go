package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
)

// Op is a call of an object service.
type Op string

// The calls.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Call is what a Wire encodes.
type Call struct {
	Op   Op
	Kind api.Kind
	Name string
	// After continues a list after a name.
	After string
	// Kinds, Since and Wait of a watch.
	Kinds []api.Kind
	Since uint64
	Wait  time.Duration
	// Value and Condition of a write.
	Value     json.RawMessage
	Condition Condition
}

// Request is an encoded call.
type Request struct {
	Method string
	// Path with its query.
	Path   string
	Header http.Header
	// Body is nil for none.
	Body []byte
}

// Fate is what became of a call by its answer.
type Fate int

// The fates.
const (
	// Unsure: a write may have been applied.
	Unsure Fate = iota
	// Done: the call was carried out.
	Done
	// NotApplied: the service looked at the call and certainly did nothing.
	NotApplied
	// Conflicting: the condition of a write did not hold.
	Conflicting
	// Missing: there is no such object.
	Missing
	// Compacted: the events after the watch's revision are gone.
	Compacted
)

// Page is a part of a list.
type Page struct {
	Objects []Object
	// Revision at which the part stood.
	Revision uint64
	// Next is the name after which to go on, empty at the end.
	Next string
}

// Wire is a service's protocol over HTTP.
type Wire interface {
	// Encode returns the request of a call.
	Encode(c Call) (Request, error)
	// Fate judges an answer by its status and header.
	Fate(op Op, status int, h http.Header) Fate
	// Object decodes the object in the answer of a get or put, or one that
	// stands against a conflicting write, nil for none.
	Object(c Call, body []byte) (*Object, error)
	// Page decodes the answer of a list.
	Page(c Call, body []byte) (Page, error)
	// Events decodes the answer of a watch.
	Events(c Call, body []byte) (WatchResult, error)
	// Deleted decodes the revision of a deletion, 0 where it is not told.
	Deleted(body []byte) (uint64, error)
}

// appliedHeader is "no" where a write was certainly not applied.
const appliedHeader = "Umberhill-Applied"

// ownWire is the protocol of docs/PROTOCOLS.md.
type ownWire struct{}

// Encode implements Wire.
func (ownWire) Encode(c Call) (Request, error) {
	r := Request{Method: http.MethodGet, Path: objectPath(c.Kind, c.Name), Header: make(http.Header)}
	switch c.Op {
	case OpWatch:
		names := make([]string, len(c.Kinds))
		for i, k := range c.Kinds {
			names[i] = string(k)
		}
		q := url.Values{}
		q.Set("kinds", strings.Join(names, ","))
		q.Set("since", strconv.FormatUint(c.Since, 10))
		q.Set("wait_ms", strconv.FormatInt(c.Wait.Milliseconds(), 10))
		r.Path = "/v1/watch?" + q.Encode()
	case OpPut:
		r.Method, r.Body = http.MethodPut, c.Value
	case OpDelete:
		r.Method = http.MethodDelete
	}
	if c.Condition.Absent {
		r.Header.Set("If-None-Match", "*")
	}
	if c.Condition.Version > 0 {
		r.Header.Set("If-Match", `"`+strconv.FormatUint(c.Condition.Version, 10)+`"`)
	}
	return r, nil
}

func objectPath(kind api.Kind, name string) string {
	path := "/v1/objects/" + url.PathEscape(string(kind))
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	return path
}

// Fate implements Wire.
func (ownWire) Fate(op Op, status int, h http.Header) Fate {
	switch {
	case status == http.StatusOK:
		return Done
	case status == http.StatusPreconditionFailed:
		return Conflicting
	case status == http.StatusGone:
		return Compacted
	case status == http.StatusNotFound && op != OpPut:
		return Missing
	case h.Get(appliedHeader) == "no" || refusedBeforeWrite(status):
		return NotApplied
	}
	return Unsure
}

// refusedBeforeWrite tells the statuses by which the service refuses a write
// that it looked at.
func refusedBeforeWrite(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// Object implements Wire. The object that stands against a write is wrapped.
func (ownWire) Object(_ Call, body []byte) (*Object, error) {
	var out struct {
		Object
		Error   string  `json:"error"`
		Current *Object `json:"current"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return nil, errors.Wrap(err, "bad answer")
	}
	if out.Error != "" {
		return out.Current, nil
	}
	return &out.Object, nil
}

// Page implements Wire.
func (ownWire) Page(_ Call, body []byte) (Page, error) {
	var out struct {
		Revision uint64   `json:"revision"`
		Objects  []Object `json:"objects"`
	}
	err := json.Unmarshal(body, &out)
	return Page{Objects: out.Objects, Revision: out.Revision}, errors.Wrap(err, "bad answer")
}

// Events implements Wire.
func (ownWire) Events(_ Call, body []byte) (WatchResult, error) {
	var out WatchResult
	return out, errors.Wrap(json.Unmarshal(body, &out), "bad answer")
}

// Deleted implements Wire.
func (ownWire) Deleted(body []byte) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(body, &out)
	return out.Version, errors.Wrap(err, "bad answer")
}
