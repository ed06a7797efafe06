package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/umberhill/umberhill/internal/standin"
)

// endMarker is the data of the last event of a stream.
const endMarker = "[DONE]"

// finishReasonLength is the finish_reason of a response that reached its maximum length.
const finishReasonLength = "length"

// Usage is the number of tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one choice of a Completion.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is a whole response or one chunk of a streamed response.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// responseWriter writes the response to one HTTP request.
type responseWriter struct {
	engine *Engine
	// run is the run of this request. sentRun is the run whose response is sent; it differs
	// from run only if the faults cross responses.
	run, sentRun *run
	plan         faultPlan
	w            http.ResponseWriter
	r            *http.Request
}

// writeBody writes a response that is not streamed.
func (o *responseWriter) writeBody() {
	if !o.waitForEnd(o.run) || !o.waitForEnd(o.sentRun) {
		standin.AbortConnection()
	}
	if o.plan.fail {
		standin.WriteError(o.w, http.StatusInternalServerError, "failed")
		return
	}
	body, err := json.Marshal(o.sentRun.fullCompletion())
	if err != nil {
		standin.AbortConnection()
	}
	header := o.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(requestIDHeader, o.headerID())
	switch {
	case o.plan.cut:
		header.Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = o.w.Write(body[:len(body)/2])
		_ = http.NewResponseController(o.w).Flush()
		standin.AbortConnection()
	case o.plan.truncate:
		_, _ = o.w.Write(body[:len(body)/2])
	default:
		_, _ = o.w.Write(body)
	}
}

// waitForEnd waits for the end of a run. It returns false if the run was canceled or the
// caller disconnected.
func (o *responseWriter) waitForEnd(r *run) bool {
	for {
		tokens, done, changed := r.progress()
		if done {
			return tokens == r.output.length
		}
		select {
		case <-changed:
		case <-o.r.Context().Done():
			return false
		}
	}
}

// writeStream writes the events that follow the event number last.
func (o *responseWriter) writeStream(last int) {
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(requestIDHeader, o.headerID())
	o.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(o.w)
	_ = flusher.Flush()
	for event := last + 1; event <= o.runForEvent(event).output.length+2; event++ {
		sent := o.runForEvent(event)
		if !o.waitForTokens(sent, min(event, sent.output.length)) {
			standin.AbortConnection()
		}
		o.engine.faults.waitWhileFrozen(o.r.Context())
		if o.isStreamEnded(event) {
			return
		}
		if _, err := fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", event, o.eventData(sent, event)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
}

// isStreamEnded reports whether the faults truncate the stream before an event. It
// aborts the connection if they cut the stream there.
func (o *responseWriter) isStreamEnded(event int) bool {
	if event <= o.plan.faults.CutAfter {
		return false
	}
	if o.plan.cut {
		standin.AbortConnection()
	}
	return o.plan.truncate
}

// runForEvent returns the run whose text is sent in an event.
func (o *responseWriter) runForEvent(event int) *run {
	if event <= o.plan.faults.CrossAfter {
		return o.run
	}
	return o.sentRun
}

func (o *responseWriter) headerID() string {
	if o.plan.faults.CrossBody || o.plan.faults.CrossAfter > 0 {
		return o.run.attempt
	}
	return o.sentRun.attempt
}

// waitForTokens waits until a run has generated a number of tokens. It returns false if
// the run ended before that or the caller disconnected.
func (o *responseWriter) waitForTokens(sent *run, tokens int) bool {
	for {
		generated, done, changed := sent.progress()
		if generated >= tokens {
			return true
		}
		if done {
			return false
		}
		select {
		case <-changed:
		case <-o.r.Context().Done():
			return false
		}
	}
}

// eventData returns the data of the nth event of a run. Each event has one token; the
// event after the last token has the usage, the one after that the end marker.
func (o *responseWriter) eventData(sent *run, n int) string {
	length := sent.output.length
	if n > length+1 {
		return endMarker
	}
	chunk := sent.newCompletion("text_completion", "chat.completion.chunk")
	if n <= length {
		chunk.Choices = []Choice{sent.chunkChoice(n - 1)}
	} else {
		reason := finishReasonLength
		chunk.Choices = []Choice{{FinishReason: &reason}}
		chunk.Usage = sent.usage()
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		standin.AbortConnection()
	}
	return string(data)
}

// fullCompletion returns the run's response in one piece, for requests that don't stream.
func (r *run) fullCompletion() Completion {
	reason := finishReasonLength
	completion := r.newCompletion("text_completion", "chat.completion")
	choice := Choice{FinishReason: &reason}
	text := r.text(0, r.output.length)
	if r.chat {
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	completion.Choices = []Choice{choice}
	completion.Usage = r.usage()
	return completion
}

func (r *run) newCompletion(plain, chat string) Completion {
	object := plain
	if r.chat {
		object = chat
	}
	return Completion{ID: r.attempt, Object: object, Created: r.created, Model: r.model}
}

// chunkChoice returns the choice of a stream's chunk with the i-th token.
func (r *run) chunkChoice(i int) Choice {
	text := r.text(i, i+1)
	if r.chat {
		return Choice{Delta: &Message{Role: "assistant", Content: text}}
	}
	return Choice{Text: text}
}

func (r *run) usage() *Usage {
	prompt := PromptTokens(r.prompt)
	generated := r.output.length
	return &Usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
}
