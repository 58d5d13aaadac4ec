package router

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// maxRatedTextBytes bounds the answer text that is sent to the rating service.
const maxRatedTextBytes = 16 << 10

// modelAnswer forwards a model's answer to the caller, as a stream or as one JSON
// body. It implements receiver.
type modelAnswer struct {
	router *Router
	call   *call
	model  string
	// buffered delays a streamed answer until finish: its chunks wait in pending.
	buffered bool
	created  int64
	sent     bool
	pending  [][]byte
	fullBody bytes.Buffer
	content  strings.Builder
}

func (r *Router) newAnswer(c *call, d *routing.Decision) *modelAnswer {
	return &modelAnswer{router: r, call: c, model: d.Model + "@" + d.Version, created: r.Clock.Now().Unix()}
}

// started reports whether the caller has received any part of the answer.
func (a *modelAnswer) started() bool { return a.sent }

// text returns the collected text of the answer, at most maxRatedTextBytes.
func (a *modelAnswer) text() string { return a.content.String() }

// begin discards the data of an earlier attempt, since a retry sends the answer
// from the start.
func (a *modelAnswer) begin(int, string) error {
	if !a.sent {
		a.pending = nil
		a.fullBody.Reset()
		a.content.Reset()
	}
	return nil
}

// chunk processes a part of the answer: the choices array of one event of a
// streamed answer, or bytes of a JSON body.
func (a *modelAnswer) chunk(data []byte) error {
	if !a.call.chat.Stream {
		a.fullBody.Write(data)
		return nil
	}
	a.collectText(data)
	if a.buffered {
		a.pending = append(a.pending, data)
		return nil
	}
	return a.writeEvent(data)
}

// delta holds the fields of one choice that the router reads.
type delta struct {
	Delta   messageText `json:"delta"`
	Message messageText `json:"message"`
}

type messageText struct {
	Content string `json:"content"`
}

func (a *modelAnswer) collectText(choices []byte) {
	if a.content.Len() >= maxRatedTextBytes || !a.router.ratesAnswers() {
		return
	}
	var parsed []delta
	if json.Unmarshal(choices, &parsed) != nil || len(parsed) == 0 {
		return
	}
	a.appendText(parsed[0].Delta.Content)
	a.appendText(parsed[0].Message.Content)
}

func (a *modelAnswer) appendText(text string) {
	a.content.WriteString(text[:min(len(text), maxRatedTextBytes-a.content.Len())])
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

// finish sends the pending chunks, the token counts if the caller asked for them,
// and the final [DONE] event. A JSON body is sent as a whole.
func (a *modelAnswer) finish(charge *rpc.ChargeLine) error {
	if !a.call.chat.Stream {
		return a.finishBody()
	}
	for _, choices := range a.pending {
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

// finishBody replaces the id and the model in the engine's JSON answer and sends it.
func (a *modelAnswer) finishBody() error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(a.fullBody.Bytes(), &fields); err != nil {
		return err
	}
	fields["id"], _ = json.Marshal("chatcmpl-" + uuid.UUID(a.call.id).String())
	fields["model"], _ = json.Marshal(a.model)
	body, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	a.collectText(fields["choices"])
	a.sent = true
	a.call.writer.Header().Set("Content-Type", "application/json")
	a.call.writer.WriteHeader(http.StatusOK)
	_, err = a.call.writer.Write(body)
	return err
}

// errorBody is the JSON body of an error response.
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

// answerError sends an error response. If the answer stream has begun, the error
// is its last event and no [DONE] event follows.
func (r *Router) answerError(c *call, err *result.Error) {
	body, _ := json.Marshal(errorBody{errorFields{
		Message: err.Code.Meaning + " " + err.Detail,
		Type:    errorType(err.Code),
		Code:    err.Code.Name,
		Number:  err.Code.Number,
		Run:     string(err.Code.Run),
	}})
	r.logError(c, err)
	c.requestBody.Abandon()
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
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds(err.RetryAfter)))
	}
	c.writer.WriteHeader(err.Code.Status)
	_, _ = c.writer.Write(body)
}

// retryAfterSeconds returns the value of Retry-After, which has whole seconds (RFC 9110). Callers
// are not told a time before the one that is known.
func retryAfterSeconds(wait time.Duration) int {
	return max(1, int(math.Ceil(wait.Seconds())))
}

// errorType maps a code to one of the error types that client libraries expect.
func errorType(code result.Code) string {
	const invalidRequestCodes = 2000
	if code.Number < invalidRequestCodes {
		return "invalid_request_error"
	}
	return "server_error"
}
