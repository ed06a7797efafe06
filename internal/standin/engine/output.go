package engine

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of a completion whose request has no max_tokens.
const DefaultMaxTokens = 16

// CrashMarker in a prompt makes the engine's process exit before the first token of
// the completion.
const CrashMarker = "[[crash]]"

var (
	lengthMarker     = regexp.MustCompile(`\[\[len=(\d+)\]\]`)
	crashAfterMarker = regexp.MustCompile(`\[\[crash-after=(\d+)\]\]`)
	tagMarker        = regexp.MustCompile(`\[\[tag=([^\]]+)\]\]`)
)

// LengthMarker returns the prompt text that makes a completion n tokens long regardless
// of its max_tokens.
func LengthMarker(n int) string { return "[[len=" + strconv.Itoa(n) + "]]" }

// CrashAfterMarker returns the prompt text that makes the engine's process exit after
// n tokens of the completion.
func CrashAfterMarker(n int) string { return "[[crash-after=" + strconv.Itoa(n) + "]]" }

// TagMarker returns the prompt text that makes the engine count the request's service
// units under a tag.
func TagMarker(tag string) string { return "[[tag=" + tag + "]]" }

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that is equivalent to a chat.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt. Each word is one token.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// CompletionTokens returns the number of tokens of the completion of a prompt: that of its
// length marker, else maxTokens, else DefaultMaxTokens.
func CompletionTokens(prompt string, maxTokens int) int {
	if n, ok := markerValue(lengthMarker, prompt); ok {
		return n
	}
	if maxTokens <= 0 {
		return DefaultMaxTokens
	}
	return maxTokens
}

// CompletionText returns the full text of an response, which is the same at every engine.
func CompletionText(model, prompt string, maxTokens int) string {
	o := newOutput(model, prompt, maxTokens)
	var b strings.Builder
	for i := range o.length {
		b.WriteString(o.token(i))
	}
	return b.String()
}

// output is the deterministic text of one completion.
type output struct {
	seed   uint64
	length int
}

func newOutput(model, prompt string, maxTokens int) output {
	return output{
		seed:   xxhash.Sum64String(model + "\x00" + prompt),
		length: CompletionTokens(prompt, maxTokens),
	}
}

// token returns the i-th token, a word followed by a space.
func (o output) token(i int) string {
	const goldenRatio = 0x9e3779b97f4a7c15
	mixed := (o.seed ^ uint64(i)) * goldenRatio
	return "t" + strconv.FormatUint(mixed>>44, 36) + " "
}

func markerValue(marker *regexp.Regexp, prompt string) (int, bool) {
	found := marker.FindStringSubmatch(prompt)
	if found == nil {
		return 0, false
	}
	n, err := strconv.Atoi(found[1])
	return n, err == nil
}

func tagOf(prompt string) string {
	found := tagMarker.FindStringSubmatch(prompt)
	if found == nil {
		return ""
	}
	return found[1]
}
