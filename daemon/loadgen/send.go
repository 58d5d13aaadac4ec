package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"cactusknot.example/daemon/result"
)

// Result codes of the load generator. They have no number, unlike those of the
// router.
const (
	// CodeOK means that the response is complete.
	CodeOK = "ok"
	// CodeIncomplete means that the response ended early without an error event.
	CodeIncomplete = "incomplete"
	// CodeWrongResponse means that the response is altered or meant for another
	// request.
	CodeWrongResponse = "wrong_answer"
	// CodeTransport means that no response arrived.
	CodeTransport = "transport"
	// CodeTimeout means that the workload's timeout expired.
	CodeTimeout = "timeout"
	// CodeNotSent means that the request was not sent, because too many were in
	// flight.
	CodeNotSent = "not_sent"
)

// Result is the outcome of one request.
type Result struct {
	Number    uint64
	Class     string
	Workspace string
	Session   string
	// Ref is the reference that a service call sent in its body.
	Ref string
	// IdempotencyKey is the key that the router returned, or else the one sent.
	IdempotencyKey string
	// Status is the HTTP status; 0 without a response.
	Status int
	// Code is one of the Code constants, the name of a result code of the router,
	// or "status_" and the HTTP status for an error response without a code.
	Code string
	// CodeNumber is the number of the result code; 0 when there is none.
	CodeNumber int
	// Run states whether the request was run, according to the error response.
	Run result.Run
	// Model and Quality are taken from the marker of the response.
	Model   string
	Quality float64
	// At is the intended start, relative to the start of the run. FirstToken and
	// Total are measured from it. FirstToken is 0 when no token arrived and for
	// responses that are not streamed.
	At         time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// Detail is the error message of a failed request. It is empty when the code
	// comes from an error response.
	Detail string
}

// sender sends requests and stores the session tokens.
type sender struct {
	client  *http.Client
	timeout time.Duration
	started time.Time

	mu     sync.Mutex
	tokens map[string]string
}

// send sends one request and waits for the end of its response.
func (s *sender) send(ctx context.Context, p plannedRequest) Result {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r := Result{
		Number: p.number, Class: p.class.Name, Workspace: p.workspace.Name,
		Session: p.session, Ref: p.ref, At: p.at,
	}
	err := s.exchange(ctx, p, &r)
	r.Total = s.since(p)
	if err != nil {
		r.Code, r.Detail = errorCode(ctx, err), err.Error()
	}
	return r
}

// since returns the time since the intended start of p.
func (s *sender) since(p plannedRequest) time.Duration { return time.Since(s.started) - p.at }

func errorCode(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CodeTimeout
	case errors.Is(err, ErrIncomplete):
		return CodeIncomplete
	case errors.Is(err, ErrWrongResponse):
		return CodeWrongResponse
	}
	return CodeTransport
}

func (s *sender) exchange(ctx context.Context, p plannedRequest, r *Result) error {
	req, err := s.request(ctx, p)
	if err != nil {
		return err
	}
	if err := s.setIdempotencyKey(ctx, p, req, r); err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	s.saveHeaders(p, resp, r)
	if resp.StatusCode >= http.StatusBadRequest {
		r.setErrorResponse(resp)
		return nil
	}
	if p.class.Service != nil {
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return fmt.Errorf("%w: %w", ErrIncomplete, err)
		}
		r.Code = CodeOK
		return nil
	}
	return s.readChat(p, resp, r)
}

// chatBody is the body of a chat request.
type chatBody struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream,omitempty"`
	Options  *chatOptions  `json:"stream_options,omitempty"`
	Max      int           `json:"max_tokens,omitempty"`
	Priority int           `json:"priority,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// request returns the HTTP request of p, without the idempotency key.
func (s *sender) request(ctx context.Context, p plannedRequest) (*http.Request, error) {
	method, path, body := p.call()
	b, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(p.target, "/")+path, bytes.NewReader(b))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if p.workspace.Key != "" {
		req.Header.Set("Authorization", "Bearer "+p.workspace.Key)
	}
	if p.class.Kind != "" {
		req.Header.Set("X-Request-Kind", p.class.Kind)
	}
	if p.class.DeadlineMs > 0 {
		req.Header.Set("X-Deadline-Ms", strconv.Itoa(p.class.DeadlineMs))
	}
	if token := s.token(p.session); token != "" {
		req.Header.Set("X-Session-Token", token)
	}
	return req, nil
}

// call returns the method, path and body of p.
func (p plannedRequest) call() (string, string, any) {
	if svc := p.class.Service; svc != nil {
		path := "/" + strings.TrimPrefix(svc.Path, "/")
		if svc.Name != "" {
			path = "/v1/services/" + svc.Name + path
		}
		return svc.Method, path, map[string]string{"ref": p.ref}
	}
	c := p.class.Chat
	body := chatBody{
		Model:    c.Model,
		Messages: []chatMessage{{Role: "user", Content: p.prompt}},
		Stream:   c.Stream,
		Max:      c.MaxTokens,
		Priority: c.Priority,
	}
	if c.Stream {
		body.Options = &chatOptions{IncludeUsage: true}
	}
	return http.MethodPost, "/v1/chat/completions", body
}

// setIdempotencyKey adds an idempotency key from the source that the class sets.
func (s *sender) setIdempotencyKey(ctx context.Context, p plannedRequest, req *http.Request, r *Result) error {
	var err error
	switch p.class.Key {
	case KeyNone:
		return nil
	case KeyGenerated:
		r.IdempotencyKey, err = generateKey()
	case KeyFromRouter:
		r.IdempotencyKey, err = s.requestKey(ctx, p)
	}
	if err == nil {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	return err
}

func generateKey() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), trace.Wrap(err)
}

// requestKey requests a key from the router, which returns it in the header
// Idempotency-Key.
func (s *sender) requestKey(ctx context.Context, p plannedRequest) (string, error) {
	body := map[string]string{}
	if p.class.Service != nil {
		body["service"] = p.class.Service.Name
	}
	b, err := json.Marshal(body)
	if err != nil {
		return "", trace.Wrap(err)
	}
	url := strings.TrimSuffix(p.target, "/") + "/v1/idempotency-keys"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return "", trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+p.workspace.Key)
	resp, err := s.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	key := resp.Header.Get("Idempotency-Key")
	if key == "" {
		return "", trace.BadParameter("no idempotency key in a response with status %d", resp.StatusCode)
	}
	return key, nil
}

func (s *sender) token(session string) string {
	if session == "" {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tokens[session]
}

func (s *sender) saveHeaders(p plannedRequest, resp *http.Response, r *Result) {
	if key := resp.Header.Get("Idempotency-Key"); key != "" {
		r.IdempotencyKey = key
	}
	token := resp.Header.Get("X-Session-Token")
	if token == "" || p.session == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens[p.session] = token
}

// readChat reads and checks the response to a chat request.
func (s *sender) readChat(p plannedRequest, resp *http.Response, r *Result) error {
	var chat *chatResponse
	var err error
	if p.class.Chat.Stream {
		first := func() { r.FirstToken = s.since(p) }
		chat, err = readStream(resp.Body, first, pauseFunc(p.class.Chat.ReadPauseMs))
	} else {
		chat, err = readJSON(resp.Body)
	}
	if chat.err != nil {
		r.setError(*chat.err)
		return nil
	}
	if err == nil {
		err = chat.checkComplete()
	}
	if err != nil {
		return err
	}
	if !p.class.Chat.SkipMarkerCheck {
		m, err := chat.checkMarker(p.prompt)
		if err != nil {
			return err
		}
		r.Model, r.Quality = m.Model, m.Quality
	}
	r.Code = CodeOK
	return nil
}

// setErrorResponse sets the result code from a response with an error status.
func (r *Result) setErrorResponse(resp *http.Response) {
	var body struct {
		Error apiError `json:"error"`
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(b, &body)
	}
	if err != nil || body.Error.Code == "" {
		r.Code = "status_" + strconv.Itoa(resp.StatusCode)
		return
	}
	r.setError(body.Error)
}

func (r *Result) setError(e apiError) {
	r.Code, r.CodeNumber, r.Run = e.Code, e.Number, result.Run(e.Run)
	if r.Code == "" {
		r.Code = "error_event"
	}
}
