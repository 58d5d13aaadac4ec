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

// Reasons for the end of an answer.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// chatRequest is the part of a chat-completions request that the engine reads;
// other fields are ignored, as engines do.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages"`
	Stream        bool          `json:"stream"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// Priority: a lower number is served earlier.
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

// text returns the content, which is a string or a list of text parts.
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

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chat is one request in work.
type chat struct {
	id      string
	model   string
	created int64
	seq     *sequence
	usage   chatUsage
	finish  string
}

func (e *Engine) handler() http.Handler {
	r := newEcho(e.log)
	r.POST("/v1/chat/completions", e.serveChat)
	r.GET("/v1/models", e.serveModels)
	r.GET("/load", e.serveLoad)
	r.GET("/cache_events", e.serveCacheEvents)
	r.POST("/orders", e.serveOrder)
	r.GET("/starts", e.starts.serve)
	r.GET("/stats", func(c echo.Context) error { return c.JSON(http.StatusOK, e.Totals()) })
	faultRoutes(r, e.Apply)
	return r
}

func (e *Engine) serveChat(c echo.Context) error {
	var req chatRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return fail(c, http.StatusBadRequest, "invalid_request_error", err.Error())
	}
	prompt, err := req.prompt()
	if err != nil || len(req.Messages) == 0 {
		return fail(c, http.StatusBadRequest, "invalid_request_error", "messages are missing or malformed")
	}
	w, status, why := e.open(req, prompt)
	if status != http.StatusOK {
		return fail(c, status, "engine_error", why)
	}
	e.starts.add(RequestStart{UnixMs: time.Now().UnixMilli(), Model: req.Model, Prompt: PromptHash(prompt)})
	if epoch, ok := e.submit(w.seq); !ok {
		e.crash(epoch, ms(e.cfg.RestartMs), "more requests than the engine can hold")
	}
	defer e.cancel(w.seq)
	out := e.limitBytes(c)
	if req.Stream {
		return e.stream(c.Request().Context(), out, w, req.StreamOptions.IncludeUsage)
	}
	return e.whole(c.Request().Context(), out, w)
}

// open makes the sequence of a request, or says why the engine refuses it.
func (e *Engine) open(req chatRequest, prompt string) (*chat, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.errorShare > 0 && e.rng.Float64() < e.faults.errorShare {
		e.totals.Refused++
		return nil, http.StatusInternalServerError, "injected error"
	}
	if !e.loaded[req.Model] {
		e.totals.Refused++
		return nil, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", req.Model)
	}
	model, _ := e.modelLocked(req.Model)
	tokens, finish := e.answerLength(model.ID, prompt), finishStop
	if limit := req.tokenLimit(); limit > 0 && limit < tokens {
		tokens, finish = limit, finishLength
	}
	in := CountTokens(prompt)
	seq := &sequence{
		model:    model,
		priority: req.Priority,
		prefill:  e.prefillLocked(model.ID, prompt, in),
		tokens:   answerTokens(model.ID, prompt, model.Quality, tokens),
		out:      make(chan string, e.cfg.OutputBuffer),
	}
	e.totals.TokensIn += uint64(in)
	w := &chat{
		id:      fmt.Sprintf("chatcmpl-%d-%d", e.epoch, e.totals.Accepted),
		model:   model.ID,
		created: time.Now().Unix(),
		seq:     seq,
		usage:   chatUsage{PromptTokens: in, CompletionTokens: tokens, TotalTokens: in + tokens},
		finish:  finish,
	}
	return w, http.StatusOK, ""
}

// prefillLocked returns the prompt tokens to process after a look in the cache.
func (e *Engine) prefillLocked(model, prompt string, tokens int) int {
	hash := PrefixHash(model, prompt, e.cfg.PrefixBytes)
	if !e.cache.use(hash, time.Now()) {
		return tokens
	}
	e.totals.PrefixHits++
	return max(1, tokens-e.cfg.PrefixBytes/bytesPerToken)
}

// answerLength returns the tokens of the full answer, which depend on prompt and
// model.
func (e *Engine) answerLength(model, prompt string) int {
	spread := uint64(e.cfg.AnswerMax - e.cfg.AnswerMin + 1)
	return e.cfg.AnswerMin + int(xxhash.Sum64String(prompt+"\n"+model)%spread)
}

// whole answers with one JSON body.
func (e *Engine) whole(ctx context.Context, out *limitedWriter, w *chat) error {
	var text strings.Builder
	for {
		token, ok := w.next(ctx)
		if !ok {
			break
		}
		text.WriteString(token)
	}
	if !w.complete() {
		return out.abort()
	}
	answer := w.chunk("chat.completion", chatChoice{
		Message:      &chatText{Role: "assistant", Content: text.String()},
		FinishReason: &w.finish,
	})
	answer.Usage = &w.usage
	body, err := json.Marshal(answer)
	if err != nil {
		return trace.Wrap(err)
	}
	out.Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	_, err = out.Write(append(body, '\n'))
	return err
}

// stream answers with server-sent events.
func (e *Engine) stream(ctx context.Context, out *limitedWriter, w *chat, usage bool) error {
	out.Header().Set(echo.HeaderContentType, "text/event-stream")
	out.Header().Set(echo.HeaderCacheControl, "no-cache")
	role := "assistant"
	for {
		token, ok := w.next(ctx)
		if !ok {
			break
		}
		chunk := w.chunk("chat.completion.chunk", chatChoice{Delta: &chatText{Role: role, Content: token}})
		if err := out.event(chunk); err != nil {
			return err
		}
		role = ""
	}
	if !w.complete() {
		return out.abort()
	}
	last := w.chunk("chat.completion.chunk", chatChoice{Delta: &chatText{}, FinishReason: &w.finish})
	if err := out.event(last); err != nil {
		return err
	}
	if usage {
		final := w.chunk("chat.completion.chunk")
		final.Usage = &w.usage
		if err := out.event(final); err != nil {
			return err
		}
	}
	_, err := io.WriteString(out, "data: [DONE]\n\n")
	return err
}

// next returns the next token; false when there is none or ctx ends.
func (w *chat) next(ctx context.Context) (string, bool) {
	select {
	case token, ok := <-w.seq.out:
		return token, ok
	case <-ctx.Done():
		return "", false
	}
}

// complete reports whether the engine produced every token. It is called after
// next has returned false.
func (w *chat) complete() bool {
	select {
	case _, open := <-w.seq.out:
		return !open && w.seq.next == len(w.seq.tokens)
	default:
		return false
	}
}

func (w *chat) chunk(object string, choices ...chatChoice) chatAnswer {
	if choices == nil {
		choices = []chatChoice{}
	}
	return chatAnswer{ID: w.id, Object: object, Created: w.created, Model: w.model, Choices: choices}
}
