// Package validate reads a request's body, checks it, and finds the pool of
// targets that can serve it.
package validate

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// Headers by which a caller tells what it knows about a request.
const (
	// TimeoutHeader is how long in ms the caller waits for the start.
	TimeoutHeader = "Umberhill-Timeout-Ms"
	// HintHeader is the caller's rough cost in service units.
	HintHeader = "Umberhill-Cost-Hint"
)

const (
	// prefixBytes of a prompt choose the target by cache affinity.
	prefixBytes = 512
	// maxTimeout bounds what a caller may ask for.
	maxTimeout = 24 * time.Hour
	// maxHint in service units bounds what a hint may say.
	maxHint = 1e7
)

// Pools tells which pools have a target, whatever its state.
type Pools interface {
	Known(pool ids.Pool) bool
}

// Fingerprint names a request's content for a workspace.
type Fingerprint func(ws ids.Workspace, pool ids.Pool, body []byte) uint64

// Options of the filter.
type Options struct {
	// MaxBodyBytes bounds a body.
	MaxBodyBytes int64
	// DefaultTimeout for the start, where the caller gives none.
	DefaultTimeout time.Duration
	// Pools in force.
	Pools Pools
	// Fingerprint of contents.
	Fingerprint Fingerprint
}

// Filter checks bodies and headers.
type Filter struct {
	opts Options
}

// New returns a filter with the options.
func New(opts Options) *Filter { return &Filter{opts: opts} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "validate" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	if err := f.headers(x); err != nil {
		return err
	}
	if err := f.body(x); err != nil {
		return err
	}
	if err := f.pool(x); err != nil {
		return err
	}
	x.Fingerprint = f.opts.Fingerprint(x.Workspace(), x.Pool, content(x))
	return next(x)
}

// content is what tells one request of a workspace from another.
func content(x *filter.Exchange) []byte {
	line := x.In.Method + " " + x.Path + "\n"
	return append([]byte(line), x.Body...)
}

func (f *Filter) headers(x *filter.Exchange) error {
	x.Deadline = x.Arrived.Add(f.opts.DefaultTimeout)
	if text := x.In.Header.Get(TimeoutHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return f.refuse(TimeoutHeader + " is a whole number of milliseconds, 1 to 86,400,000")
		}
		x.Deadline = x.Arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := x.In.Header.Get(HintHeader); text != "" {
		hint, err := strconv.ParseFloat(text, 64)
		if err != nil || !(hint >= 0 && hint <= maxHint) {
			return f.refuse(HintHeader + " is a number of service units, 0 to 10,000,000")
		}
		x.Hint = hint
	}
	return nil
}

func (f *Filter) body(x *filter.Exchange) error {
	reader := http.MaxBytesReader(nil, x.In.Body, f.opts.MaxBodyBytes)
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		e := f.refuse("the body is larger than " + strconv.FormatInt(tooLarge.Limit, 10) + " bytes")
		e.Code = outcome.CodeBodyTooLarge
		e.Status = http.StatusRequestEntityTooLarge
		return e
	}
	if err != nil {
		return f.refuse("the body could not be read whole")
	}
	x.Body = body
	return nil
}

func (f *Filter) pool(x *filter.Exchange) error {
	if x.Service != "" {
		x.Pool = ids.ServicePool(x.Service)
		return f.known(x, outcome.CodeUnknownService, "no such service")
	}
	fields, err := parseModelRequest(x.Body)
	if err != nil {
		return f.refuse(err.Error())
	}
	x.Model = fields.Model
	x.Stream = fields.Stream
	if x.Hint == 0 {
		x.Hint = fields.hint(len(x.Body))
	}
	x.Prefix = xxhash.Sum64(head(fields.prompt()))
	x.Pool = ids.ModelPool(x.Model)
	return f.known(x, outcome.CodeUnknownModel, "no such model")
}

func (f *Filter) known(x *filter.Exchange, code outcome.Code, message string) error {
	if f.opts.Pools.Known(x.Pool) {
		return nil
	}
	e := f.refuse(message)
	e.Code = code
	e.Status = http.StatusNotFound
	return e
}

func (f *Filter) refuse(message string) *outcome.Error {
	return outcome.Refuse(f.Name(), http.StatusBadRequest, outcome.CodeBadRequest, message)
}

// modelRequest holds the fields of a model request that routing needs.
type modelRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens float64         `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

func parseModelRequest(body []byte) (*modelRequest, error) {
	var fields modelRequest
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.New("the body is not a JSON object of a model request")
	}
	if fields.Model == "" {
		return nil, errors.New("model is required")
	}
	if len(fields.Prompt) == 0 && len(fields.Messages) == 0 {
		return nil, errors.New("prompt or messages is required")
	}
	if fields.MaxTokens < 0 || fields.MaxTokens > maxHint {
		return nil, errors.New("max_tokens is 0 to 10,000,000")
	}
	return &fields, nil
}

// bytesPerToken is a rough size of a token in a prompt's text.
const bytesPerToken = 4

// hint is a rough cost in tokens: the prompt and the most that may come.
func (m *modelRequest) hint(bodyBytes int) float64 {
	return float64(bodyBytes)/bytesPerToken + m.MaxTokens
}

func (m *modelRequest) prompt() []byte {
	if len(m.Prompt) > 0 {
		return m.Prompt
	}
	return m.Messages
}

func head(text []byte) []byte { return text[:min(len(text), prefixBytes)] }
