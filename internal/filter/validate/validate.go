// Package validate reads and checks a request's body and headers, and determines the
// pool of targets that can serve it.
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

// Headers with a caller's information about a request.
const (
	// TimeoutHeader is the time in ms that the caller waits for the request to start.
	TimeoutHeader = "Umberhill-Timeout-Ms"
	// CostHintHeader is the caller's estimate of the cost in service units.
	CostHintHeader = "Umberhill-Cost-Hint"
)

const (
	// prefixBytes is the length of the start of a prompt by which a target with a
	// matching prefix cache is chosen.
	prefixBytes = 512
	// maxTimeout is the longest timeout that a caller may set.
	maxTimeout = 24 * time.Hour
	// maxHint is the largest cost hint in service units.
	maxHint = 1e7
)

// Pools reports which pools have at least one target, in any state.
type Pools interface {
	IsKnown(pool ids.Pool) bool
}

// Fingerprint returns a hash that identifies a request's content within a workspace.
type Fingerprint func(ws ids.Workspace, pool ids.Pool, body []byte) uint64

// Options configures a Filter.
type Options struct {
	// MaxBodyBytes limits the size of a body.
	MaxBodyBytes int64
	// DefaultTimeout is the time within which a request must start, if the caller
	// sets none.
	DefaultTimeout time.Duration
	// Pools are the pools in force.
	Pools Pools
	// Fingerprint computes the fingerprint of a request.
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
	if err := f.parseHeaders(x); err != nil {
		return err
	}
	if err := f.readBody(x); err != nil {
		return err
	}
	if err := f.resolvePool(x); err != nil {
		return err
	}
	x.Fingerprint = f.opts.Fingerprint(x.Workspace(), x.Pool, fingerprintContent(x))
	return next(x)
}

// fingerprintContent returns the parts of a request that distinguish it from the
// other requests of its workspace.
func fingerprintContent(x *filter.Exchange) []byte {
	line := x.Request.Method + " " + x.Path + "\n"
	return append([]byte(line), x.Body...)
}

func (f *Filter) parseHeaders(x *filter.Exchange) error {
	x.Deadline = x.ArrivedAt.Add(f.opts.DefaultTimeout)
	if text := x.Request.Header.Get(TimeoutHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return f.refuse(TimeoutHeader + " is a whole number of milliseconds, 1 to 86,400,000")
		}
		x.Deadline = x.ArrivedAt.Add(time.Duration(ms) * time.Millisecond)
	}
	if text := x.Request.Header.Get(CostHintHeader); text != "" {
		hint, err := strconv.ParseFloat(text, 64)
		if err != nil || !(hint >= 0 && hint <= maxHint) {
			return f.refuse(CostHintHeader + " is a number of service units, 0 to 10,000,000")
		}
		x.CostHint = hint
	}
	return nil
}

func (f *Filter) readBody(x *filter.Exchange) error {
	reader := http.MaxBytesReader(nil, x.Request.Body, f.opts.MaxBodyBytes)
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

func (f *Filter) resolvePool(x *filter.Exchange) error {
	if x.Service != "" {
		x.Pool = ids.ServicePool(x.Service)
		return f.checkPool(x, outcome.CodeUnknownService, "no such service")
	}
	fields, err := parseModelRequest(x.Body)
	if err != nil {
		return f.refuse(err.Error())
	}
	x.Model = fields.Model
	x.Stream = fields.Stream
	if x.CostHint == 0 {
		x.CostHint = fields.costHint(len(x.Body))
	}
	x.PrefixHash = xxhash.Sum64(firstBytes(fields.prompt()))
	x.Pool = ids.ModelPool(x.Model)
	return f.checkPool(x, outcome.CodeUnknownModel, "no such model")
}

func (f *Filter) checkPool(x *filter.Exchange, code outcome.Code, message string) error {
	if f.opts.Pools.IsKnown(x.Pool) {
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

// bytesPerToken is the approximate size of a token in a prompt's text.
const bytesPerToken = 4

// costHint estimates the cost in tokens as the length of the prompt plus the largest
// number of tokens to generate.
func (m *modelRequest) costHint(bodyBytes int) float64 {
	return float64(bodyBytes)/bytesPerToken + m.MaxTokens
}

func (m *modelRequest) prompt() []byte {
	if len(m.Prompt) > 0 {
		return m.Prompt
	}
	return m.Messages
}

func firstBytes(text []byte) []byte { return text[:min(len(text), prefixBytes)] }
