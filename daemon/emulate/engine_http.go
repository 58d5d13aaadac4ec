package emulate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// Finish reasons of a chat completion.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// chatRequest holds the fields of a chat-completions request that the engine
// uses. Other fields are ignored, as in real engines.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// Priority orders waiting requests; a lower number is served earlier.
	Priority int `json:"priority"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type chatPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// text returns the text of the content, which is a string or a list of parts.
func (m chatMessage) text() (string, error) {
	if len(m.Content) == 0 || string(m.Content) == "null" {
		return "", nil
	}
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s, nil
	}
	var parts []chatPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", trace.BadParameter("content is neither a string nor a list of parts")
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

func (r chatRequest) prompt() (string, error) {
	texts := make([]string, 0, len(r.Messages))
	for _, m := range r.Messages {
		t, err := m.text()
		if err != nil {
			return "", trace.Wrap(err)
		}
		texts = append(texts, t)
	}
	return JoinPrompt(texts), nil
}

func (r chatRequest) tokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int       `json:"index"`
	Delta        *chatText `json:"delta,omitempty"`
	Message      *chatText `json:"message,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatExchange is a chat request in progress.
type chatExchange struct {
	id      string
	model   string
	created int64
	seq     *sequence
	usage   chatUsage
	finish  string
}

func (e *Engine) handler() http.Handler {
	r := newEcho(e.log)
	r.Use(e.announceLeaving)
	r.POST("/v1/chat/completions", e.serveChat, e.turnAway)
	r.GET("/v1/models", e.serveModels)
	r.GET("/load", e.serveLoad)
	r.GET("/cache_events", e.serveCacheEvents)
	r.POST("/orders", e.serveOrder)
	r.GET("/starts", e.requests.serve(&e.announcements))
	r.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Totals()) })
	addFaultsRoute(r, e.SetFaults)
	return r
}

func (e *Engine) serveChat(c echo.Context) error {
	var req chatRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return writeError(c, http.StatusBadRequest, "invalid_request_error", err.Error())
	}
	prompt, err := req.prompt()
	if err != nil || len(req.Messages) == 0 {
		return writeError(c, http.StatusBadRequest, "invalid_request_error", "messages are missing or malformed")
	}
	ex, status, reason := e.admit(req, prompt)
	if status != http.StatusOK {
		return writeError(c, status, "engine_error", reason)
	}
	if violation := e.violation(); violation != "" {
		return violate(c, violation)
	}
	e.requests.add(RequestStart{UnixMs: time.Now().UnixMilli(), Model: req.Model, Prompt: PromptHash(prompt)})
	if epoch, ok := e.submit(ex.seq); !ok {
		e.crash(epoch, milliseconds(e.cfg.RestartMs), "too many concurrent requests")
	}
	defer e.cancel(ex.seq)
	out := e.newResponseWriter(c)
	if req.Stream {
		return e.writeStream(c.Request().Context(), out, ex, req.StreamOptions.IncludeUsage)
	}
	return e.writeJSON(c.Request().Context(), out, ex)
}

// admit returns the exchange of a request with status 200, or the error status and
// the reason for which the engine rejects the request.
func (e *Engine) admit(req chatRequest, prompt string) (*chatExchange, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.errorRate > 0 && e.rng.Float64() < e.faults.errorRate {
		e.totals.Refused++
		return nil, http.StatusInternalServerError, "injected error"
	}
	if !e.loaded[req.Model] {
		e.totals.Refused++
		return nil, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", req.Model)
	}
	model, _ := e.modelLocked(req.Model)
	tokens, finish := e.responseLength(model.ID, prompt), finishStop
	if limit := req.tokenLimit(); limit > 0 && limit < tokens {
		tokens, finish = limit, finishLength
	}
	in := CountTokens(prompt)
	seq := &sequence{
		model:    model,
		priority: req.Priority,
		prefill:  e.prefillLocked(model.ID, prompt, in),
		tokens:   responseTokens(model.ID, prompt, model.Quality, tokens),
		out:      make(chan string, e.cfg.OutputBuffer),
	}
	e.totals.TokensIn += uint64(in)
	ex := &chatExchange{
		id:      fmt.Sprintf("chatcmpl-%d-%d", e.epoch, e.totals.Accepted),
		model:   model.ID,
		created: time.Now().Unix(),
		seq:     seq,
		usage:   chatUsage{PromptTokens: in, CompletionTokens: tokens, TotalTokens: in + tokens},
		finish:  finish,
	}
	return ex, http.StatusOK, ""
}

// prefillLocked returns the number of prompt tokens that the prefix cache does not
// cover, which is at least 1, and marks the prefix as used.
func (e *Engine) prefillLocked(model, prompt string, tokens int) int {
	hash := PrefixHash(model, prompt, e.cfg.PrefixBytes)
	if !e.cache.touch(hash, time.Now()) {
		return tokens
	}
	e.totals.PrefixHits++
	return max(1, tokens-e.cfg.PrefixBytes/bytesPerToken)
}

// responseLength returns the number of tokens of the full response, which depends
// on the prompt and the model.
func (e *Engine) responseLength(model, prompt string) int {
	spread := uint64(e.cfg.AnswerMax - e.cfg.AnswerMin + 1)
	return e.cfg.AnswerMin + int(xxhash.Sum64String(prompt+"\n"+model)%spread)
}

// writeJSON writes the whole response as one JSON body.
func (e *Engine) writeJSON(ctx context.Context, out *limitedWriter, ex *chatExchange) error {
	var text strings.Builder
	for {
		token, ok := ex.next(ctx)
		if !ok {
			break
		}
		text.WriteString(token)
	}
	if !ex.complete() {
		return out.abort()
	}
	response := ex.chunk("chat.completion", chatChoice{
		Message:      &chatText{Role: "assistant", Content: text.String()},
		FinishReason: &ex.finish,
	})
	response.Usage = &ex.usage
	body, err := json.Marshal(response)
	if err != nil {
		return trace.Wrap(err)
	}
	out.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	_, err = out.Write(append(body, '\n'))
	return err
}

// writeStream writes the response as server-sent events.
func (e *Engine) writeStream(ctx context.Context, out *limitedWriter, ex *chatExchange, usage bool) error {
	out.Header().Set(echo.HeaderContentType, "text/event-stream")
	out.Header().Set(echo.HeaderCacheControl, "no-cache")
	role := "assistant"
	for {
		token, ok := ex.next(ctx)
		if !ok {
			break
		}
		chunk := ex.chunk("chat.completion.chunk", chatChoice{Delta: &chatText{Role: role, Content: token}})
		if err := out.writeEvent(chunk); err != nil {
			return err
		}
		role = ""
	}
	if !ex.complete() {
		return out.abort()
	}
	last := ex.chunk("chat.completion.chunk", chatChoice{Delta: &chatText{}, FinishReason: &ex.finish})
	if err := out.writeEvent(last); err != nil {
		return err
	}
	if usage {
		final := ex.chunk("chat.completion.chunk")
		final.Usage = &ex.usage
		if err := out.writeEvent(final); err != nil {
			return err
		}
	}
	_, err := io.WriteString(out, "data: [DONE]\n\n")
	return err
}

// next returns the next token, or false when there is none or ctx is done.
func (ex *chatExchange) next(ctx context.Context) (string, bool) {
	select {
	case token, ok := <-ex.seq.out:
		return token, ok
	case <-ctx.Done():
		return "", false
	}
}

// complete reports whether the engine generated every token. It must be called
// after next has returned false.
func (ex *chatExchange) complete() bool {
	select {
	case _, open := <-ex.seq.out:
		return !open && ex.seq.next == len(ex.seq.tokens)
	default:
		return false
	}
}

func (ex *chatExchange) chunk(object string, choices ...chatChoice) chatResponse {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatResponse{ID: ex.id, Object: object, Created: ex.created, Model: ex.model, Choices: choices}
}
