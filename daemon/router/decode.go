package router

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
)

// Headers of the public API.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerSessionToken   = "X-Session-Token"
	headerSessionMoved   = "X-Session-Moved"
	headerDeadline       = "X-Deadline-Ms"
	headerKind           = "X-Request-Kind"
	headerRequestID      = "X-Request-Id"
	headerSuggestedKey   = "X-Suggested-Idempotency-Key"
)

const (
	defaultMaxBodyBytes = 1 << 20
	// bytesPerToken is used to estimate the tokens of a prompt from its size.
	bytesPerToken = 4
	// defaultMaxTokens is the answer length assumed for requests without max_tokens.
	defaultMaxTokens = 256
	// maxAnswerTokens exceeds any context window, while its sum with the tokens of a
	// prompt still fits the 32-bit fields of the protocol.
	maxAnswerTokens = 1 << 30
	// prefixBytes is the length of the prompt prefix that is hashed for cache affinity.
	prefixBytes = 512
	maxKeyChars = 128
)

// chatRequest holds the fields of a chat-completions request that the router uses.
type chatRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Messages            []chatMessage `json:"messages"`
	StreamOptions       streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// answerTokens returns the maximum length of the answer in tokens.
func (c *chatRequest) answerTokens() int {
	switch {
	case c.MaxCompletionTokens > 0:
		return c.MaxCompletionTokens
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultMaxTokens
}

// prompt returns the roles and contents of all messages, concatenated.
func (c *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.Write(m.Content)
	}
	return b.String()
}

// authenticate finds the workspace of the caller's API key. It runs before the
// body is read.
func (r *Router) authenticate(_ context.Context, c *call) *result.Error {
	c.view = r.view.Load()
	if c.view.current == nil {
		return result.NotReady.With("no configuration")
	}
	if r.Syncer.Isolated(c.started) {
		return result.Isolated.With("last confirmed %s", r.Syncer.LastConfirmed().UTC().Format(time.RFC3339))
	}
	apiKey, ok := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return result.Unauthenticated.With("no bearer key")
	}
	c.workspace = c.view.workspaceOf(apiKey)
	if c.workspace == nil {
		return result.Unauthenticated.With("unknown key")
	}
	return nil
}

// readBody reads the request body up to the configured size limit.
func (r *Router) readBody(_ context.Context, c *call) *result.Error {
	bound := c.view.current.Bundle.Limits.MaxBodyBytes
	if bound == 0 {
		bound = defaultMaxBodyBytes
	}
	body, err := c.requestBody.Read(r.intake, c.deadline, bound)
	if err != nil {
		return httplimit.ResultOf(err, result.BadRequest)
	}
	c.body = body
	return nil
}

// setDeadline sets the deadline from X-Deadline-Ms, the time in ms that the caller
// allows. The configured default is also the maximum.
func (r *Router) setDeadline(_ context.Context, c *call) *result.Error {
	allowed := time.Duration(r.settings.DefaultDeadlineMs) * time.Millisecond
	if text := c.request.Header.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil || ms == 0 {
			return result.BadRequest.With("%s: must be a positive number of ms", headerDeadline)
		}
		allowed = min(allowed, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = c.started.Add(allowed)
	return nil
}

// decodeChat parses a chat-completions request.
func (r *Router) decodeChat(_ context.Context, c *call) *result.Error {
	if err := json.Unmarshal(c.body, &c.chat); err != nil {
		return result.BadRequest.With("body: %v", err)
	}
	if len(c.chat.Messages) == 0 {
		return result.BadRequest.With("messages: is required")
	}
	if c.chat.MaxTokens < 0 || c.chat.MaxCompletionTokens < 0 {
		return result.BadRequest.With("max_tokens: must not be negative")
	}
	if c.chat.MaxTokens > maxAnswerTokens || c.chat.MaxCompletionTokens > maxAnswerTokens {
		return result.BadRequest.With("max_tokens: must be at most %d", maxAnswerTokens)
	}
	name, version, named := strings.Cut(cmp.Or(c.chat.Model, routing.AutoModel), "@")
	if named && (name == "" || name == routing.AutoModel) {
		return result.UnknownModel.With("model %q", c.chat.Model)
	}
	if err := c.identify(); err != nil {
		return err
	}
	c.prefix = c.prefixHash()
	c.route = routing.Request{
		ID:        uuid.UUID(c.id).String(),
		Workspace: c.workspace.Name,
		Model:     name,
		Version:   version,
		Kind:      kindOf(c.request),
	}
	return nil
}

// kindOf returns the caller's label of the request, shortened to maxKindChars bytes
// without invalid UTF-8. Protobuf rejects strings that are not UTF-8, so one caller
// could otherwise stop the exchange of rating counters between routers.
func kindOf(request *http.Request) string {
	const maxKindChars = 32
	kind := request.Header.Get(headerKind)
	return strings.ToValidUTF8(kind[:min(len(kind), maxKindChars)], "")
}

// identify sets the request ID. With an idempotency key, the ID is a hash of the key
// and the content, so that a repeated request is billed once.
func (c *call) identify() *result.Error {
	text := c.request.Header.Get(headerIdempotencyKey)
	if len(text) > maxKeyChars {
		return result.BadIdempotency.With("longer than %d characters", maxKeyChars)
	}
	if text == "" {
		c.id = requestID(uuid.Must(uuid.NewV7()))
		return nil
	}
	c.callerKey = true
	h := sha256.New()
	for _, field := range []string{c.workspace.Name, c.request.Method, c.request.URL.Path, text} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(c.body)
	c.id = requestID(h.Sum(nil)[:len(c.id)])
	return nil
}

// prefixHash returns a hash of the workspace and the beginning of the prompt.
func (c *call) prefixHash() uint64 {
	prompt := c.chat.prompt()
	return xxhash.Sum64String(c.workspace.Name + "\x00" + prompt[:min(len(prompt), prefixBytes)])
}

// readSession verifies the session token if the request has one.
func (r *Router) readSession(_ context.Context, c *call) *result.Error {
	token := c.request.Header.Get(headerSessionToken)
	if token == "" {
		return nil
	}
	session, err := r.sessions.Verify(token, c.workspace.Name)
	if errors.Is(err, auth.ErrInvalidSession) {
		return result.BadSession.With("")
	}
	if err != nil {
		return result.Internal.With("%v", err)
	}
	c.route.Session = &session
	return nil
}
