package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/outcome"
	"github.com/umberhill/umberhill/internal/standin/engine"
)

// Caller sends the requests of one workspace to a router, or directly to a
// target.
type Caller struct {
	// Address is the host and port of the router or target.
	Address string
	// Key is the bearer key; none is sent where it is empty.
	Key string

	client *http.Client
}

// NewCaller returns a caller with its own HTTP client. Without a workspace it
// sends no key.
func NewCaller(address, workspace string) *Caller {
	c := &Caller{Address: address, client: NewClient()}
	if workspace != "" {
		c.Key = Key(workspace)
	}
	return c
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// NewClient returns an HTTP client for many concurrent calls. It has no timeout
// of its own.
func NewClient() *http.Client {
	dialer := &net.Dialer{Timeout: callTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1024,
		DisableCompression:  true,
	}}
}

// Caller returns a caller of this router.
func (r *Router) Caller(workspace string) *Caller {
	return NewCaller(r.CallersAddress, workspace)
}

// CompletionRequest is a request to a model.
type CompletionRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Chat sends the prompt as a user's message to the chat endpoint.
	Chat bool
	// Header holds additional request headers.
	Header http.Header
	// OnEvent is called for each event of a stream. Returning false closes the
	// stream.
	OnEvent func(n int, data string) bool
}

// ExpectedText returns the text of the correct response.
func (r CompletionRequest) ExpectedText() string {
	prompt := r.Prompt
	if r.Chat {
		prompt = engine.ChatPrompt(r.messages())
	}
	return engine.CompletionText(r.Model, prompt, r.MaxTokens)
}

func (r CompletionRequest) messages() []engine.Message {
	return []engine.Message{{Role: "user", Content: r.Prompt}}
}

func (r CompletionRequest) path() string {
	if r.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (r CompletionRequest) body() ([]byte, error) {
	body := completionRequestBody{Model: r.Model, MaxTokens: r.MaxTokens, Stream: r.Stream}
	if r.Chat {
		body.Messages = r.messages()
	} else {
		body.Prompt = r.Prompt
	}
	return json.Marshal(body)
}

type completionRequestBody struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt,omitempty"`
	Messages  []engine.Message `json:"messages,omitempty"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream,omitempty"`
}

// Response is the response to a request as its caller received it.
type Response struct {
	// Err is set where the transport reports that the response did not arrive
	// completely.
	Err    error
	Status int
	Header http.Header
	// Body is the body of a response that is not a stream.
	Body []byte
	// Text is the text of a completion.
	Text  string
	Usage *engine.Usage
	// HasEndMarker is set where a stream ended with its end marker.
	HasEndMarker bool
	// Refusal is the typed error of a response that does not come from a target.
	Refusal *outcome.Error
	// TimeToFirstByte is the time to the first event of a stream, or to the end
	// of a body that is not a stream.
	TimeToFirstByte time.Duration
	// TotalTime is the time to the end of the response.
	TotalTime time.Duration
	// Events is the number of events of a stream.
	Events int
}

// RequestID returns the ID that the router assigned to the request.
func (r Response) RequestID() string { return r.Header.Get(outcome.RequestIDHeader) }

// Outcome returns what the router's header states about the run of the request.
func (r Response) Outcome() outcome.Outcome { return outcome.Outcome(r.Header.Get(outcome.Header)) }

// Complete sends a model request.
func (c *Caller) Complete(ctx context.Context, req CompletionRequest) Response {
	body, err := req.body()
	if err != nil {
		return Response{Err: err}
	}
	header := req.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Content-Type", "application/json")
	return c.do(ctx, http.MethodPost, req.path(), header, body, req.OnEvent)
}

// Call calls a plain service through a router. The path starts with "/".
func (c *Caller) Call(ctx context.Context, method, service, path, idempotencyKey string, body []byte) Response {
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.do(ctx, method, "/services/"+service+path, header, body, nil)
}

// Do sends any request.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) Response {
	return c.do(ctx, method, path, header, body, nil)
}

func (c *Caller) do(ctx context.Context, method, path string, header http.Header, body []byte, onEvent func(int, string) bool) Response {
	// The transport resends requests that it can rewind, including an empty one
	// with an Idempotency-Key. A body that cannot be rewound prevents this.
	var reader io.Reader
	if method != http.MethodGet {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, reader)
	if err != nil {
		return Response{Err: errors.Wrap(err, "send request")}
	}
	req.ContentLength = int64(len(body))
	if header != nil {
		req.Header = header.Clone()
	}
	if c.Key != "" && req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	start := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{Err: errors.Wrap(err, "send request"), TotalTime: time.Since(start)}
	}
	defer resp.Body.Close()
	result := Response{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		result.readStream(resp.Body, start, onEvent)
	} else {
		result.readBody(resp.Body, start)
	}
	result.TotalTime = time.Since(start)
	return result
}

func (r *Response) readBody(body io.Reader, start time.Time) {
	r.Body, r.Err = io.ReadAll(body)
	r.TimeToFirstByte = time.Since(start)
	if r.Err != nil {
		return
	}
	var refusal struct {
		Error *outcome.Error `json:"error"`
	}
	if r.Header.Get(outcome.Header) != "" && json.Unmarshal(r.Body, &refusal) == nil && refusal.Error != nil {
		r.Refusal = refusal.Error
		r.Refusal.Status = r.Status
		return
	}
	var completion engine.Completion
	if json.Unmarshal(r.Body, &completion) == nil {
		r.addCompletion(completion)
	}
}

func (r *Response) readStream(body io.Reader, start time.Time, onEvent func(int, string) bool) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				r.Err = errors.Wrap(err, "read event stream")
			}
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if r.Events == 0 {
			r.TimeToFirstByte = time.Since(start)
		}
		r.Events++
		r.addEvent(data)
		if onEvent != nil && !onEvent(r.Events, data) {
			r.Err = context.Canceled
			return
		}
	}
}

func (r *Response) addEvent(data string) {
	if data == "[DONE]" {
		r.HasEndMarker = true
		return
	}
	var chunk struct {
		engine.Completion
		Error *outcome.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		r.Err = errors.Wrap(err, "read event stream")
		return
	}
	if chunk.Error != nil {
		r.Refusal = chunk.Error
		return
	}
	r.addCompletion(chunk.Completion)
}

func (r *Response) addCompletion(completion engine.Completion) {
	if completion.Usage != nil {
		r.Usage = completion.Usage
	}
	for _, choice := range completion.Choices {
		r.Text += choice.Text
		for _, m := range []*engine.Message{choice.Message, choice.Delta} {
			if m != nil {
				r.Text += m.Content
			}
		}
	}
}

// Verdict is the result of comparing a response with the expected one.
type Verdict string

const (
	// VerdictCorrect means the complete and expected response.
	VerdictCorrect Verdict = "right"
	// VerdictRefused means a typed refusal instead of a response.
	VerdictRefused Verdict = "refused"
	// VerdictVisiblyTruncated means an incomplete response that the caller can
	// recognize as such.
	VerdictVisiblyTruncated Verdict = "visibly cut"
	// VerdictSilentlyTruncated means an incomplete response that the caller
	// cannot distinguish from a complete one.
	VerdictSilentlyTruncated Verdict = "silently cut"
	// VerdictWrong means text that is not the beginning of the expected text, or a
	// status other than 200 without a typed refusal.
	VerdictWrong Verdict = "wrong"
)

// CheckResponse compares a response with the expected one. A truncated response
// whose text is not the beginning of the expected text is VerdictWrong.
func CheckResponse(req CompletionRequest, resp Response) Verdict {
	expected := req.ExpectedText()
	if !strings.HasPrefix(expected, resp.Text) {
		return VerdictWrong
	}
	hasEnd := resp.HasEndMarker || !req.Stream
	switch {
	case resp.Err != nil, resp.Status == http.StatusOK && !hasEnd:
		return VerdictVisiblyTruncated
	case resp.Refusal != nil:
		return VerdictRefused
	case resp.Status != http.StatusOK:
		return VerdictWrong
	case resp.Text != expected:
		return VerdictSilentlyTruncated
	default:
		return VerdictCorrect
	}
}
