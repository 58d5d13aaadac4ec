package router

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// maxRatedBytes bounds the answer text that is kept for the rating service.
const maxRatedBytes = 16 << 10

// modelAnswer passes a model's answer to the caller, streamed or whole. It
// implements receiver.
type modelAnswer struct {
	router *Router
	call   *call
	model  string
	// hold keeps the whole answer in memory until finish.
	hold    bool
	created int64
	sent    bool
	held    [][]byte
	whole   bytes.Buffer
	content strings.Builder
}

func (r *Router) newAnswer(c *call, d *routing.Decision) *modelAnswer {
	return &modelAnswer{router: r, call: c, model: d.Model + "@" + d.Version, created: r.Clock.Now().Unix()}
}

// started tells whether the caller has received any part of the answer.
func (a *modelAnswer) started() bool { return a.sent }

// text returns the beginning of the answer's text.
func (a *modelAnswer) text() string { return a.content.String() }

// begin resets what an earlier attempt left: a retry answers from the start.
func (a *modelAnswer) begin(int, string) error {
	if !a.sent {
		a.held = nil
		a.whole.Reset()
		a.content.Reset()
	}
	return nil
}

// chunk takes a part of the answer: a choices array of a streamed answer, or bytes
// of a whole one.
func (a *modelAnswer) chunk(data []byte) error {
	if !a.call.chat.Stream {
		a.whole.Write(data)
		return nil
	}
	a.collect(data)
	if a.hold {
		a.held = append(a.held, data)
		return nil
	}
	return a.writeEvent(data)
}

// delta holds the used fields of one choice.
type delta struct {
	Delta   chatText `json:"delta"`
	Message chatText `json:"message"`
}

type chatText struct {
	Content string `json:"content"`
}

func (a *modelAnswer) collect(choices []byte) {
	if a.content.Len() >= maxRatedBytes || !a.router.ratings() {
		return
	}
	var parsed []delta
	if json.Unmarshal(choices, &parsed) != nil || len(parsed) == 0 {
		return
	}
	a.keep(parsed[0].Delta.Content)
	a.keep(parsed[0].Message.Content)
}

// keep adds text up to the bound, which one large event must not exceed.
func (a *modelAnswer) keep(text string) {
	a.content.WriteString(text[:min(len(text), maxRatedBytes-a.content.Len())])
}

// streamChunk is one event of a streamed answer.
type streamChunk struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices json.RawMessage `json:"choices"`
	Usage   *usage          `json:"usage,omitempty"`
}

// usage holds the token counts of an answer.
type usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

func (a *modelAnswer) writeEvent(choices []byte) error {
	return a.writeChunk(choices, nil)
}

func (a *modelAnswer) writeChunk(choices []byte, tokens *usage) error {
	event, err := json.Marshal(streamChunk{
		Usage:   tokens,
		ID:      "chatcmpl-" + uuid.UUID(a.call.id).String(),
		Object:  "chat.completion.chunk",
		Created: a.created,
		Model:   a.model,
		Choices: choices,
	})
	if err != nil {
		return err
	}
	return a.writeData(event)
}

func (a *modelAnswer) writeData(data []byte) error {
	if !a.sent {
		a.sent = true
		a.call.writer.Header().Set("Content-Type", "text/event-stream")
		a.call.writer.Header().Set("Cache-Control", "no-store")
		a.call.writer.WriteHeader(http.StatusOK)
	}
	for _, part := range [][]byte{[]byte("data: "), data, []byte("\n\n")} {
		if _, err := a.call.writer.Write(part); err != nil {
			return err
		}
	}
	return http.NewResponseController(a.call.writer).Flush()
}

// finish sends what is held, the token counts when the caller asked for them,
// and the end mark.
func (a *modelAnswer) finish(charge *rpc.ChargeLine) error {
	if !a.call.chat.Stream {
		return a.finishWhole()
	}
	for _, choices := range a.held {
		if err := a.writeEvent(choices); err != nil {
			return err
		}
	}
	if a.call.chat.StreamOptions.IncludeUsage {
		in, out := charge.GetTokensIn(), charge.GetTokensOut()
		if err := a.writeChunk([]byte("[]"), &usage{in, out, in + out}); err != nil {
			return err
		}
	}
	return a.writeData([]byte("[DONE]"))
}

// finishWhole sets the fields that the router owns in the engine's answer.
func (a *modelAnswer) finishWhole() error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(a.whole.Bytes(), &fields); err != nil {
		return err
	}
	fields["id"], _ = json.Marshal("chatcmpl-" + uuid.UUID(a.call.id).String())
	fields["model"], _ = json.Marshal(a.model)
	body, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	a.collect(fields["choices"])
	a.sent = true
	a.call.writer.Header().Set("Content-Type", "application/json")
	a.call.writer.WriteHeader(http.StatusOK)
	_, err = a.call.writer.Write(body)
	return err
}

// errorBody is the body of an error answer.
type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Number  int    `json:"number"`
	Run     string `json:"run"`
}

// answerError answers with a numbered error. After the answer has begun it is
// sent as the last event of the stream, which then has no end mark.
func (r *Router) answerError(c *call, err *result.Error) {
	body, _ := json.Marshal(errorBody{errorFields{
		Message: err.Code.Meaning + " " + err.Detail,
		Type:    errorType(err.Code),
		Code:    err.Code.Name,
		Number:  err.Code.Number,
		Run:     string(err.Code.Run),
	}})
	r.logError(c, err)
	header := c.writer.Header()
	if header.Get("Content-Type") == "text/event-stream" {
		_, _ = c.writer.Write([]byte("data: " + string(body) + "\n\n"))
		return
	}
	header.Set("Content-Type", "application/json")
	if c.id != (requestID{}) {
		header.Set(headerRequestID, uuid.UUID(c.id).String())
	}
	if err.Code.Retry && err.Code.Run == result.NotRun {
		header.Set("Retry-After", "1")
	}
	c.writer.WriteHeader(err.Code.Status)
	_, _ = c.writer.Write(body)
}

// errorType groups codes in the way that client libraries expect.
func errorType(code result.Code) string {
	const invalidRequestCodes = 2000
	if code.Number < invalidRequestCodes {
		return "invalid_request_error"
	}
	return "server_error"
}
