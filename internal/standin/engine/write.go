package engine

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/umberhill/umberhill/internal/standin"
)

// endMarker is the data of a stream's last event.
const endMarker = "[DONE]"

// finishLength says that an answer ended because it has its full length.
const finishLength = "length"

// Usage is the cost of a request in tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one completion of an answer or chunk.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Completion is an answer, or one chunk of a streamed one.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// writer sends one answer.
type writer struct {
	engine *Engine
	// run is the request; other is the one whose answer is sent, the same but
	// where answers are crossed.
	run, other *run
	plan       plan
	w          http.ResponseWriter
	r          *http.Request
}

// whole sends an answer that is not streamed.
func (o *writer) whole() {
	if !o.finish(o.run) || !o.finish(o.other) {
		standin.Abort()
	}
	if o.plan.fail {
		standin.WriteError(o.w, http.StatusInternalServerError, "failed")
		return
	}
	body, err := json.Marshal(o.other.whole())
	if err != nil {
		standin.Abort()
	}
	header := o.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(requestIDHeader, o.headerID())
	switch {
	case o.plan.cut:
		header.Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = o.w.Write(body[:len(body)/2])
		_ = http.NewResponseController(o.w).Flush()
		standin.Abort()
	case o.plan.end:
		_, _ = o.w.Write(body[:len(body)/2])
	default:
		_, _ = o.w.Write(body)
	}
}

// finish waits for the end of a run; false where it was cancelled or the
// caller left.
func (o *writer) finish(r *run) bool {
	for {
		tokens, done, changed := r.progress()
		if done {
			return tokens == r.answer.length
		}
		select {
		case <-changed:
		case <-o.r.Context().Done():
			return false
		}
	}
}

// stream sends the events after the given one.
func (o *writer) stream(last int) {
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set(requestIDHeader, o.headerID())
	o.w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(o.w)
	_ = flusher.Flush()
	for event := last + 1; event <= o.at(event).answer.length+2; event++ {
		shown := o.at(event)
		if !o.await(shown, min(event, shown.answer.length)) {
			standin.Abort()
		}
		o.engine.faults.wait(o.r.Context())
		if o.stops(event) {
			return
		}
		if _, err := fmt.Fprintf(o.w, "id: %d\ndata: %s\n\n", event, o.event(shown, event)); err != nil {
			return
		}
		_ = flusher.Flush()
	}
}

// stops ends the stream before an event where the faults say so.
func (o *writer) stops(event int) bool {
	if event <= o.plan.faults.CutAfter {
		return false
	}
	if o.plan.cut {
		standin.Abort()
	}
	return o.plan.end
}

// at returns the run whose event is sent as the nth.
func (o *writer) at(event int) *run {
	if event <= o.plan.faults.CrossAfter {
		return o.run
	}
	return o.other
}

func (o *writer) headerID() string {
	if o.plan.faults.CrossBody || o.plan.faults.CrossAfter > 0 {
		return o.run.attempt
	}
	return o.other.attempt
}

// await waits until a run has made a number of tokens.
func (o *writer) await(shown *run, tokens int) bool {
	for {
		made, done, changed := shown.progress()
		if made >= tokens {
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

// event returns the data of an event: tokens, then usage, then the end marker.
func (o *writer) event(shown *run, n int) string {
	length := shown.answer.length
	if n > length+1 {
		return endMarker
	}
	chunk := shown.completion("text_completion", "chat.completion.chunk")
	if n <= length {
		chunk.Choices = []Choice{shown.chunk(n - 1)}
	} else {
		reason := finishLength
		chunk.Choices = []Choice{{FinishReason: &reason}}
		chunk.Usage = shown.usage()
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		standin.Abort()
	}
	return string(data)
}

// whole returns the run's answer that is not streamed.
func (r *run) whole() Completion {
	reason := finishLength
	answer := r.completion("text_completion", "chat.completion")
	choice := Choice{FinishReason: &reason}
	text := r.text(0, r.answer.length)
	if r.chat {
		choice.Message = &Message{Role: "assistant", Content: text}
	} else {
		choice.Text = text
	}
	answer.Choices = []Choice{choice}
	answer.Usage = r.usage()
	return answer
}

func (r *run) completion(plain, chat string) Completion {
	object := plain
	if r.chat {
		object = chat
	}
	return Completion{ID: r.attempt, Object: object, Created: r.created, Model: r.model}
}

// chunk returns the choice of a stream that carries the i-th token.
func (r *run) chunk(i int) Choice {
	text := r.text(i, i+1)
	if r.chat {
		return Choice{Delta: &Message{Role: "assistant", Content: text}}
	}
	return Choice{Text: text}
}

func (r *run) usage() *Usage {
	prompt := PromptTokens(r.prompt)
	made := r.answer.length
	return &Usage{PromptTokens: prompt, CompletionTokens: made, TotalTokens: prompt + made}
}
