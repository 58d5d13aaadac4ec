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

// Errors of an invalid response.
var (
	// ErrIncomplete means that the response ended early or lacks a part.
	ErrIncomplete = errors.New("loadgen: incomplete response")
	// ErrWrongResponse means that the response is malformed, altered or meant for
	// another request.
	ErrWrongResponse = errors.New("loadgen: response altered or meant for another request")
)

// Size limits of a response.
const (
	maxEventBytes = 1 << 20
	maxBodyBytes  = 8 << 20
)

// apiError is an error in a response body or in an event of a stream.
type apiError struct {
	Code   string `json:"code"`
	Number int    `json:"number"`
	Run    string `json:"run"`
	Type   string `json:"type"`
}

// chatPayload is the JSON of a stream chunk or of a whole response.
type chatPayload struct {
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

// chatResponse accumulates the parts of a response.
type chatResponse struct {
	text     strings.Builder
	finishes int
	usage    bool
	done     bool
	err      *apiError
}

// readStream reads a stream to its end. It calls first at the first event with
// text, and pause after each event.
func readStream(r io.Reader, first, pause func()) (*chatResponse, error) {
	resp := &chatResponse{}
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return resp, fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		if resp.done {
			return resp, fmt.Errorf("%w: an event follows [DONE]", ErrWrongResponse)
		}
		if err := resp.add(ev.Data, first); err != nil {
			return resp, err
		}
		pause()
	}
	return resp, nil
}

// add processes one event.
func (resp *chatResponse) add(data string, first func()) error {
	if data == "[DONE]" {
		resp.done = true
		return nil
	}
	var e chatPayload
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return fmt.Errorf("%w: event is not JSON: %v", ErrWrongResponse, err)
	}
	if e.Error != nil {
		resp.err = e.Error
	}
	for _, c := range e.Choices {
		if c.Delta.Content != "" && resp.text.Len() == 0 {
			first()
		}
		if c.Delta.Content != "" && resp.finishes > 0 {
			return fmt.Errorf("%w: text follows the finish reason", ErrWrongResponse)
		}
		resp.text.WriteString(c.Delta.Content)
		if c.FinishReason != nil {
			resp.finishes++
		}
	}
	resp.usage = resp.usage || e.Usage != nil
	return nil
}

// readJSON reads a response that is one JSON body.
func readJSON(r io.Reader) (*chatResponse, error) {
	resp := &chatResponse{done: true}
	body, err := io.ReadAll(io.LimitReader(r, maxBodyBytes))
	if err != nil {
		return resp, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	var e chatPayload
	if err := json.Unmarshal(body, &e); err != nil {
		return resp, fmt.Errorf("%w: body: %v", ErrIncomplete, err)
	}
	resp.err = e.Error
	resp.usage = e.Usage != nil
	for _, c := range e.Choices {
		resp.text.WriteString(c.Message.Content)
		if c.FinishReason != nil {
			resp.finishes++
		}
	}
	return resp, nil
}

// checkComplete returns an error if a part of the response is missing or repeated.
func (resp *chatResponse) checkComplete() error {
	switch {
	case resp.finishes == 0:
		return fmt.Errorf("%w: no finish reason", ErrIncomplete)
	case resp.finishes > 1:
		return fmt.Errorf("%w: %d finish reasons", ErrWrongResponse, resp.finishes)
	case !resp.usage:
		return fmt.Errorf("%w: no usage", ErrIncomplete)
	case !resp.done:
		return fmt.Errorf("%w: no [DONE]", ErrIncomplete)
	}
	return nil
}

// checkMarker checks that the marker of the engine emulator is intact and belongs to
// prompt, and returns it.
func (resp *chatResponse) checkMarker(prompt string) (emulate.Marker, error) {
	m, err := emulate.ParseResponse(resp.text.String())
	if err != nil {
		return m, fmt.Errorf("%w: %v", ErrWrongResponse, trace.UserMessage(err))
	}
	if m.Prompt != emulate.PromptHash(prompt) {
		return m, fmt.Errorf("%w: marker belongs to another prompt", ErrWrongResponse)
	}
	return m, nil
}

func pauseFunc(ms int) func() {
	if ms <= 0 {
		return func() {}
	}
	return func() { time.Sleep(time.Duration(ms) * time.Millisecond) }
}
