package emulate

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// Marker is the last token of each response of the engine emulator. A caller can
// check with it that the response is complete and belongs to its own prompt, and
// the rating emulator computes a score from it.
type Marker struct {
	// Model is the ID of the model that generated the response, as model@version.
	Model string
	// Quality is the nominal quality of the version, 0 to 1.
	Quality float64
	// Prompt is the PromptHash of the prompt.
	Prompt string
	// Body is the hash of the text before the marker.
	Body string
}

var markerPattern = regexp.MustCompile(`^\[\[model=(\S+) quality=([0-9.]+) prompt=([0-9a-f]{16}) body=([0-9a-f]{16})\]\]$`)

// String formats the marker as it appears in the response.
func (m Marker) String() string {
	return fmt.Sprintf("[[model=%s quality=%.4f prompt=%s body=%s]]", m.Model, m.Quality, m.Prompt, m.Body)
}

// PromptHash returns the hash of a prompt that its marker contains. The prompt is
// the text of all messages, joined by JoinPrompt.
func PromptHash(prompt string) string { return hexHash(prompt) }

// JoinPrompt joins the texts of the messages into one prompt.
func JoinPrompt(contents []string) string { return strings.Join(contents, "\n") }

// PrefixHash returns the key of the engine's prefix cache: the hash of the model
// ID and the first n bytes of the prompt. It is empty when the prompt is shorter.
func PrefixHash(model, prompt string, n int) string {
	if n <= 0 || len(prompt) < n {
		return ""
	}
	return hexHash(model + "\n" + prompt[:n])
}

func hexHash(s string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(s)) }

// ParseResponse splits a response of the engine emulator into its marker and the
// text before it. It fails when the response is truncated or altered.
func ParseResponse(response string) (Marker, error) {
	start := strings.LastIndex(response, "[[model=")
	if start < 0 {
		return Marker{}, trace.BadParameter("response has no marker")
	}
	f := markerPattern.FindStringSubmatch(response[start:])
	if f == nil {
		return Marker{}, trace.BadParameter("response ends in an incomplete marker")
	}
	quality, err := strconv.ParseFloat(f[2], 64)
	if err != nil {
		return Marker{}, trace.BadParameter("marker quality: %v", err)
	}
	m := Marker{Model: f[1], Quality: quality, Prompt: f[3], Body: f[4]}
	if hexHash(response[:start]) != m.Body {
		return Marker{}, trace.BadParameter("text before the marker was altered or is incomplete")
	}
	return m, nil
}

// vocabulary is the word list of emulated responses.
var vocabulary = []string{
	"the", "visit", "starts", "at", "noon", "group", "ate", "well", "and", "slept",
	"ticket", "for", "two", "hall", "opens", "today", "played", "outside", "with", "friends",
}

// responseTokens returns the tokens of the response to prompt: words chosen
// deterministically from the prompt and the model, and the marker as the last token.
func responseTokens(model, prompt string, quality float64, tokens int) []string {
	seed := xxhash.Sum64String(model + "\n" + prompt)
	out := make([]string, 0, tokens)
	var body strings.Builder
	for i := 1; i < tokens; i++ {
		seed = seed*6364136223846793005 + 1442695040888963407
		word := vocabulary[(seed>>33)%uint64(len(vocabulary))] + " "
		out = append(out, word)
		body.WriteString(word)
	}
	m := Marker{Model: model, Quality: quality, Prompt: PromptHash(prompt), Body: hexHash(body.String())}
	return append(out, m.String())
}

// bytesPerToken is the token size with which the emulators count prompt tokens.
const bytesPerToken = 4

// CountTokens returns the emulator's token count of a prompt.
func CountTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }
