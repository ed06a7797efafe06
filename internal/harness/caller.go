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

// Caller calls a router, or a target itself, for a workspace.
type Caller struct {
	// Address is the router's, or with Direct a target's.
	Address string
	// Key is the bearer key sent; none where empty.
	Key string

	client *http.Client
}

// NewCaller returns a caller for a workspace, or for none, with an HTTP client
// of its own.
func NewCaller(address, workspace string) *Caller {
	c := &Caller{Address: address, client: NewClient()}
	if workspace != "" {
		c.Key = Key(workspace)
	}
	return c
}

// Close drops the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// NewClient returns an HTTP client for many calls at a time, without a
// timeout of its own.
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

// CompletionRequest is a model request.
type CompletionRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Chat sends the prompt as a user's message to the chat call.
	Chat bool
	// Header is sent along.
	Header http.Header
	// OnEvent is called at each event of a stream; false leaves the stream.
	OnEvent func(n int, data string) bool
}

// ExpectedText returns the text of the right answer.
func (a CompletionRequest) ExpectedText() string {
	prompt := a.Prompt
	if a.Chat {
		prompt = engine.ChatPrompt(a.messages())
	}
	return engine.Answer(a.Model, prompt, a.MaxTokens)
}

func (a CompletionRequest) messages() []engine.Message {
	return []engine.Message{{Role: "user", Content: a.Prompt}}
}

func (a CompletionRequest) path() string {
	if a.Chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (a CompletionRequest) body() ([]byte, error) {
	body := completionRequestBody{Model: a.Model, MaxTokens: a.MaxTokens, Stream: a.Stream}
	if a.Chat {
		body.Messages = a.messages()
	} else {
		body.Prompt = a.Prompt
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

// Response is what a caller got.
type Response struct {
	// Err is set where the answer did not arrive in whole, as the transport
	// tells.
	Err    error
	Status int
	Header http.Header
	// Body of an answer that is not a stream.
	Body []byte
	// Text of a completion.
	Text  string
	Usage *engine.Usage
	// HasEndMarker is set where a stream ended with its end marker.
	HasEndMarker bool
	// Refusal is the typed error of an answer that is none of a target.
	Refusal *outcome.Error
	// TimeToFirstByte is the time to the first event or byte of the body.
	TimeToFirstByte time.Duration
	// TotalTime is the time to the end.
	TotalTime time.Duration
	// Events of a stream.
	Events int
}

// RequestID returns the id that the router gave the request.
func (a Response) RequestID() string { return a.Header.Get(outcome.RequestIDHeader) }

// Outcome returns what the router says about the run.
func (a Response) Outcome() outcome.Outcome { return outcome.Outcome(a.Header.Get(outcome.Header)) }

// Complete makes a model request.
func (c *Caller) Complete(ctx context.Context, ask CompletionRequest) Response {
	body, err := ask.body()
	if err != nil {
		return Response{Err: err}
	}
	header := ask.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Content-Type", "application/json")
	return c.do(ctx, http.MethodPost, ask.path(), header, body, ask.OnEvent)
}

// Call calls a plain service through a router. The path starts with "/".
func (c *Caller) Call(ctx context.Context, method, service, path, idempotencyKey string, body []byte) Response {
	header := http.Header{}
	if idempotencyKey != "" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.do(ctx, method, "/services/"+service+path, header, body, nil)
}

// Do makes any request.
func (c *Caller) Do(ctx context.Context, method, path string, header http.Header, body []byte) Response {
	return c.do(ctx, method, path, header, body, nil)
}

func (c *Caller) do(ctx context.Context, method, path string, header http.Header, body []byte, onEvent func(int, string) bool) Response {
	// The transport sends a request again by itself, also an empty one with an
	// Idempotency-Key, unless its body can't be rewound.
	var reader io.Reader
	if method != http.MethodGet {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, reader)
	if err != nil {
		return Response{Err: errors.Wrap(err, "call")}
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
		return Response{Err: errors.Wrap(err, "call"), TotalTime: time.Since(start)}
	}
	defer resp.Body.Close()
	answer := Response{Status: resp.StatusCode, Header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		answer.readStream(resp.Body, start, onEvent)
	} else {
		answer.readWhole(resp.Body, start)
	}
	answer.TotalTime = time.Since(start)
	return answer
}

func (a *Response) readWhole(body io.Reader, start time.Time) {
	a.Body, a.Err = io.ReadAll(body)
	a.TimeToFirstByte = time.Since(start)
	if a.Err != nil {
		return
	}
	var refusal struct {
		Error *outcome.Error `json:"error"`
	}
	if a.Header.Get(outcome.Header) != "" && json.Unmarshal(a.Body, &refusal) == nil && refusal.Error != nil {
		a.Refusal = refusal.Error
		a.Refusal.Status = a.Status
		return
	}
	var completion engine.Completion
	if json.Unmarshal(a.Body, &completion) == nil {
		a.addCompletion(completion)
	}
}

func (a *Response) readStream(body io.Reader, start time.Time, onEvent func(int, string) bool) {
	reader := bufio.NewReader(body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.Err = errors.Wrap(err, "read stream")
			}
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if a.Events == 0 {
			a.TimeToFirstByte = time.Since(start)
		}
		a.Events++
		a.addEvent(data)
		if onEvent != nil && !onEvent(a.Events, data) {
			a.Err = context.Canceled
			return
		}
	}
}

func (a *Response) addEvent(data string) {
	if data == "[DONE]" {
		a.HasEndMarker = true
		return
	}
	var chunk struct {
		engine.Completion
		Error *outcome.Error `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		a.Err = errors.Wrap(err, "read stream")
		return
	}
	if chunk.Error != nil {
		a.Refusal = chunk.Error
		return
	}
	a.addCompletion(chunk.Completion)
}

func (a *Response) addCompletion(completion engine.Completion) {
	if completion.Usage != nil {
		a.Usage = completion.Usage
	}
	for _, choice := range completion.Choices {
		a.Text += choice.Text
		for _, m := range []*engine.Message{choice.Message, choice.Delta} {
			if m != nil {
				a.Text += m.Content
			}
		}
	}
}

// Verdict is how an answer compares with the right one.
type Verdict string

// The verdicts.
const (
	// VerdictCorrect: the whole answer to the caller's own request.
	VerdictCorrect Verdict = "right"
	// VerdictRefused: a typed refusal in place of an answer.
	VerdictRefused Verdict = "refused"
	// VerdictVisiblyTruncated: cut, and the caller can tell.
	VerdictVisiblyTruncated Verdict = "visibly cut"
	// VerdictSilentlyTruncated: short, and the caller can't tell.
	VerdictSilentlyTruncated Verdict = "silently cut"
	// VerdictWrong: some of the text is not of the right answer.
	VerdictWrong Verdict = "wrong"
)

// CheckResponse compares an answer with the right one. Also the part of a cut answer
// that arrived must be right.
func CheckResponse(ask CompletionRequest, a Response) Verdict {
	want := ask.ExpectedText()
	if !strings.HasPrefix(want, a.Text) {
		return VerdictWrong
	}
	marked := a.HasEndMarker || !ask.Stream
	switch {
	case a.Err != nil, a.Status == http.StatusOK && !marked:
		return VerdictVisiblyTruncated
	case a.Refusal != nil:
		return VerdictRefused
	case a.Status != http.StatusOK:
		return VerdictWrong
	case a.Text != want:
		return VerdictSilentlyTruncated
	default:
		return VerdictCorrect
	}
}
