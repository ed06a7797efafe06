package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
)

// Op is an operation of an object service.
type Op string

// The operations.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Call is a call of an object service, independent of the protocol.
type Call struct {
	Op   Op
	Kind api.Kind
	Name string
	// After is the name after which a list continues.
	After string
	// MayBeStale allows a list that is some seconds old. A service without such reads
	// ignores it.
	MayBeStale bool
	// Kinds, Since and Wait are the parameters of a watch.
	Kinds []api.Kind
	Since uint64
	Wait  time.Duration
	// Value and Condition are the parameters of a write.
	Value     json.RawMessage
	Condition Condition
}

// Request is an encoded call.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	// Body is nil if there is none.
	Body []byte
}

// Outcome is the result of a call that the status and header of its response imply.
type Outcome int

// The outcomes.
const (
	// Unconfirmed means that a write may or may not have been applied.
	Unconfirmed Outcome = iota
	// Succeeded means that the call was executed.
	Succeeded
	// NotApplied means that the service rejected the call and certainly changed
	// nothing.
	NotApplied
	// Conflict means that the condition of a write did not hold.
	Conflict
	// NotFound means that the object does not exist.
	NotFound
	// Compacted means that the service no longer has the events after the revision
	// of the watch.
	Compacted
)

// Page is one page of a list.
type Page struct {
	// Objects are the objects. One that cannot be decoded is among them, without a value, if its
	// name can be.
	Objects []Object
	// Undecoded has an error for each element that cannot be decoded.
	Undecoded []error
	// Revision is the revision at which the page was read.
	Revision uint64
	// Next is the name after which the list continues. It is empty on the last
	// page.
	Next string
}

// Wire encodes calls and decodes responses in a service's HTTP protocol.
type Wire interface {
	// Encode returns the request of a call.
	Encode(c Call) (Request, error)
	// Outcome derives the outcome of a call from the response's status and header.
	Outcome(op Op, status int, h http.Header) Outcome
	// Era returns the era of the store from a response's header, 0 if it has none.
	Era(h http.Header) uint64
	// Object decodes the object in the response to a get or put, or in a conflict
	// response the current object, which is nil if it does not exist.
	Object(c Call, body []byte) (*Object, error)
	// Page decodes the response to a list. No element makes another one unreadable.
	Page(c Call, body []byte) (Page, error)
	// Events decodes the response to a watch. No element makes another one unreadable.
	Events(c Call, body []byte) (WatchResult, error)
	// DeletionRevision decodes the revision of a deletion from its response. It is 0
	// if the service does not report it.
	DeletionRevision(body []byte) (uint64, error)
}

// appliedHeader is the response header that has the value "no" if a write was
// certainly not applied.
const appliedHeader = "Umberhill-Applied"

// defaultWire implements the protocol of docs/PROTOCOLS.md.
type defaultWire struct{}

// Era implements Wire. The protocol has no eras.
func (defaultWire) Era(http.Header) uint64 { return 0 }

// Encode implements Wire.
func (defaultWire) Encode(c Call) (Request, error) {
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

// Outcome implements Wire.
func (defaultWire) Outcome(op Op, status int, h http.Header) Outcome {
	switch {
	case status == http.StatusOK:
		return Succeeded
	case status == http.StatusPreconditionFailed:
		return Conflict
	case status == http.StatusGone:
		return Compacted
	case status == http.StatusNotFound && op != OpPut:
		return NotFound
	case h.Get(appliedHeader) == "no" || isRejectedStatus(status):
		return NotApplied
	}
	return Unconfirmed
}

// isRejectedStatus reports whether the service uses the status to reject a write
// before applying it.
func isRejectedStatus(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusForbidden,
		http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// Object implements Wire. A conflict response holds the current object in an error
// envelope.
func (defaultWire) Object(_ Call, body []byte) (*Object, error) {
	var current *Object
	isError := false
	o, err := decodeObject(body, func(name string, text []byte) error {
		switch name {
		case "error":
			isError = string(text) != `""`
		case "current":
			if string(text) == "null" {
				return nil
			}
			c, err := decodeObject(text, nil)
			current = &c
			return err
		}
		return nil
	})
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "bad answer")
	case isError:
		return current, nil
	}
	return &o, nil
}

// decodeObject decodes an object, whose value may be any JSON. beside, if set, is called with the
// other members. After an error the object has what was decoded before it, and no value.
func decodeObject(text []byte, beside func(name string, text []byte) error) (Object, error) {
	var o Object
	err := EachMember(text, func(name string, text []byte) error {
		switch name {
		case "kind":
			return json.Unmarshal(text, &o.Kind)
		case "name":
			return json.Unmarshal(text, &o.Name)
		case "version":
			return json.Unmarshal(text, &o.Version)
		case "value":
			o.Value = bytes.Clone(text)
		default:
			if beside != nil {
				return beside(name, text)
			}
		}
		return nil
	})
	if err != nil {
		o.Value = nil
	}
	return o, errors.Wrap(err, "decode the object")
}

// decodeEvent decodes an event. After an error it has what was decoded before it.
func decodeEvent(text []byte) (Event, error) {
	var e Event
	err := EachMember(text, func(name string, text []byte) (err error) {
		switch name {
		case "deleted":
			return json.Unmarshal(text, &e.Deleted)
		case "object":
			e.Object, err = decodeObject(text, nil)
		}
		return err
	})
	return e, errors.Wrap(err, "decode the event")
}

// Page implements Wire.
func (defaultWire) Page(_ Call, body []byte) (Page, error) {
	var out Page
	elements, err := Format{Array: "objects", Members: []string{"revision"}, IsElement: func(text []byte) bool {
		o, err := decodeObject(text, nil)
		return err == nil && o.Name != ""
	}}.Split(body)
	if err == nil {
		err = elements.Decode("revision", &out.Revision)
	}
	if err != nil {
		return Page{}, errors.Wrap(err, "bad answer")
	}
	for _, text := range elements.Texts {
		o, err := decodeObject(text, nil)
		out.Add(o, err)
	}
	return out, nil
}

// Add adds an element, and the error of decoding it, if any.
func (p *Page) Add(o Object, err error) {
	if err != nil {
		p.Undecoded = append(p.Undecoded, errors.Wrapf(err, "object %q", o.Name))
	}
	if err == nil || o.Name != "" {
		p.Objects = append(p.Objects, o)
	}
}

// Events implements Wire.
func (defaultWire) Events(_ Call, body []byte) (WatchResult, error) {
	var out WatchResult
	elements, err := Format{Array: "events", Members: []string{"revision"}, IsElement: func(text []byte) bool {
		e, err := decodeEvent(text)
		return err == nil && e.Object.Name != ""
	}}.Split(body)
	if err == nil {
		err = elements.Decode("revision", &out.Revision)
	}
	if err != nil {
		return WatchResult{}, errors.Wrap(err, "bad answer")
	}
	for _, text := range elements.Texts {
		e, err := decodeEvent(text)
		out.Add(e, err)
	}
	return out, nil
}

// Add adds an event, or the error of decoding it.
func (r *WatchResult) Add(e Event, err error) {
	if err != nil {
		r.Undecoded = append(r.Undecoded, errors.Wrapf(err, "event of object %q", e.Object.Name))
		return
	}
	r.Events = append(r.Events, e)
}

// DeletionRevision implements Wire.
func (defaultWire) DeletionRevision(body []byte) (uint64, error) {
	var out struct {
		Version uint64 `json:"version"`
	}
	err := json.Unmarshal(body, &out)
	return out.Version, errors.Wrap(err, "bad answer")
}
