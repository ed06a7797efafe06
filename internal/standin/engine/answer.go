package engine

import (
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens of a completion that names none.
const DefaultMaxTokens = 16

// CrashMarker in a prompt makes the engine's process die when the request
// starts to run.
const CrashMarker = "[[crash]]"

var (
	lengthMarker = regexp.MustCompile(`\[\[len=(\d+)\]\]`)
	crashMarker  = regexp.MustCompile(`\[\[crash-after=(\d+)\]\]`)
	tagMarker    = regexp.MustCompile(`\[\[tag=([^\]]+)\]\]`)
)

// LengthMarker returns the text that makes a completion n tokens long whatever
// its max_tokens.
func LengthMarker(n int) string { return "[[len=" + strconv.Itoa(n) + "]]" }

// CrashAfterMarker returns the text that makes the engine's process die after
// n tokens of the completion.
func CrashAfterMarker(n int) string { return "[[crash-after=" + strconv.Itoa(n) + "]]" }

// TagMarker returns the text that makes the engine count the request's service
// units under a tag.
func TagMarker(tag string) string { return "[[tag=" + tag + "]]" }

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that stands for a chat.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt: its words.
func PromptTokens(prompt string) int { return len(strings.Fields(prompt)) }

// AnswerTokens returns the number of tokens of the answer to a prompt.
func AnswerTokens(prompt string, maxTokens int) int {
	if n, ok := markedNumber(lengthMarker, prompt); ok {
		return n
	}
	if maxTokens <= 0 {
		return DefaultMaxTokens
	}
	return maxTokens
}

// Answer returns the whole text of an answer, the same at every engine.
func Answer(model, prompt string, maxTokens int) string {
	a := newAnswer(model, prompt, maxTokens)
	var b strings.Builder
	for i := range a.length {
		b.WriteString(a.token(i))
	}
	return b.String()
}

// answer makes the tokens of one completion.
type answer struct {
	seed   uint64
	length int
}

func newAnswer(model, prompt string, maxTokens int) answer {
	return answer{
		seed:   xxhash.Sum64String(model + "\x00" + prompt),
		length: AnswerTokens(prompt, maxTokens),
	}
}

// token returns the i-th token, a word with a space after it.
func (a answer) token(i int) string {
	const golden = 0x9e3779b97f4a7c15
	mixed := (a.seed ^ uint64(i)) * golden
	return "t" + strconv.FormatUint(mixed>>44, 36) + " "
}

func markedNumber(marker *regexp.Regexp, prompt string) (int, bool) {
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
