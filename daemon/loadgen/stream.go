package loadgen

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/tmaxmax/go-sse"

	"cactusknot.example/daemon/emulate"
)

// Faults of an answer.
var (
	// ErrIncomplete: the answer ended early or lacks a part.
	ErrIncomplete = errors.New("loadgen: answer incomplete")
	// ErrWrongResponse: the answer belongs to another request or was altered.
	ErrWrongResponse = errors.New("loadgen: answer altered or of another request")
)

// Limits of an answer.
const (
	maxEventBytes = 1 << 20
	maxBodyBytes  = 8 << 20
)

// apiError is an error in a body or in an event of a stream.
type apiError struct {
	Code   string `json:"code"`
	Number int    `json:"number"`
	Run    string `json:"run"`
	Type   string `json:"type"`
}

// envelope is a chunk or a whole answer.
type envelope struct {
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *apiError `json:"error"`
}

// answer is what was read of a response.
type answer struct {
	text     strings.Builder
	finishes int
	usage    bool
	done     bool
	err      *apiError
}

// readStream reads a stream to its end. first is called at the first event that
// carries text, and pause after each event.
func readStream(r io.Reader, first, pause func()) (*answer, error) {
	a := &answer{}
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return a, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if a.done {
			return a, fmt.Errorf("%w: an event follows [DONE]", ErrWrongResponse)
		}
		if err := a.add(ev.Data, first); err != nil {
			return a, err
		}
		pause()
	}
	return a, nil
}

// add takes one event.
func (a *answer) add(data string, first func()) error {
	if data == "[DONE]" {
		a.done = true
		return nil
	}
	var e envelope
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return fmt.Errorf("%w: event is not JSON: %v", ErrWrongResponse, err)
	}
	if e.Error != nil {
		a.err = e.Error
	}
	for _, c := range e.Choices {
		if c.Delta.Content != "" && a.text.Len() == 0 {
			first()
		}
		if c.Delta.Content != "" && a.finishes > 0 {
			return fmt.Errorf("%w: text follows the finish reason", ErrWrongResponse)
		}
		a.text.WriteString(c.Delta.Content)
		if c.FinishReason != nil {
			a.finishes++
		}
	}
	a.usage = a.usage || e.Usage != nil
	return nil
}

// readWhole reads an answer that is one JSON body.
func readWhole(r io.Reader) (*answer, error) {
	a := &answer{done: true}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	var e envelope
	if err := json.Unmarshal(body, &e); err != nil {
		return a, fmt.Errorf("%w: body: %v", ErrIncomplete, err)
	}
	a.err = e.Error
	a.usage = e.Usage != nil
	for _, c := range e.Choices {
		a.text.WriteString(c.Message.Content)
		if c.FinishReason != nil {
			a.finishes++
		}
	}
	return a, nil
}

// check returns the first part that the answer lacks.
func (a *answer) check() error {
	switch {
	case a.finishes == 0:
		return fmt.Errorf("%w: no finish reason", ErrIncomplete)
	case a.finishes > 1:
		return fmt.Errorf("%w: %d finish reasons", ErrWrongResponse, a.finishes)
	case !a.usage:
		return fmt.Errorf("%w: no usage", ErrIncomplete)
	case !a.done:
		return fmt.Errorf("%w: no [DONE]", ErrIncomplete)
	}
	return nil
}

// checkMarker compares the marker of the engine emulator with the prompt and
// returns the model@version and the stated quality of the answer.
func (a *answer) checkMarker(prompt string) (emulate.Marker, error) {
	m, err := emulate.ParseResponse(a.text.String())
	if err != nil {
		return m, fmt.Errorf("%w: %v", ErrWrongResponse, trace.UserMessage(err))
	}
	if m.Prompt != emulate.PromptHash(prompt) {
		return m, fmt.Errorf("%w: marker of another prompt", ErrWrongResponse)
	}
	return m, nil
}

func pauser(ms int) func() {
	if ms <= 0 {
		return func() {}
	}
	return func() { time.Sleep(time.Duration(ms) * time.Millisecond) }
}
