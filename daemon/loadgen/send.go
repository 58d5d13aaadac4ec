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

// Codes of results that have no numbered result code.
const (
	// CodeOK: a complete answer.
	CodeOK = "ok"
	// CodeIncomplete: the answer ended early without an error event.
	CodeIncomplete = "incomplete"
	// CodeWrongAnswer: the answer is altered or belongs to another request.
	CodeWrongAnswer = "wrong_answer"
	// CodeTransport: no response arrived.
	CodeTransport = "transport"
	// CodeTimeout: the workload's timeout passed.
	CodeTimeout = "timeout"
	// CodeNotSent: the generator held too many requests and sent none.
	CodeNotSent = "not_sent"
)

// Result is the outcome of one request.
type Result struct {
	Number    uint64
	Class     string
	Workspace string
	Session   string
	// Ref is the reference that a plain service call carried in its body.
	Ref string
	// IdempotencyKey is the key that was sent or that the router returned.
	IdempotencyKey string
	// Status is the HTTP status; 0 without a response.
	Status int
	// Code is one of the Code constants, the name of a result code, or "status_"
	// with the HTTP status when the response names none.
	Code string
	// CodeNumber is the number of the result code; 0 when there is none.
	CodeNumber int
	// Run is the result code's statement on whether the request was run.
	Run result.Run
	// Model and Quality are those that the answer's marker states.
	Model   string
	Quality float64
	// At is the intended start from the start of the run. FirstToken and Total
	// count from it; FirstToken is 0 when no token arrived and for answers that
	// are not streamed.
	At         time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// Detail explains codes that are not CodeOK.
	Detail string
}

// sender sends requests and keeps the session tokens.
type sender struct {
	client  *http.Client
	timeout time.Duration
	started time.Time

	mu     sync.Mutex
	tokens map[string]string
}

// send runs one request to its end.
func (s *sender) send(ctx context.Context, p plan) Result {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r := Result{
		Number: p.number, Class: p.class.Name, Workspace: p.workspace.Name,
		Session: p.session, Ref: p.ref, At: p.at,
	}
	err := s.exchange(ctx, p, &r)
	r.Total = s.since(p)
	if err != nil {
		r.Code, r.Detail = codeOf(ctx, err), err.Error()
	}
	return r
}

// since returns the time from the intended start of p.
func (s *sender) since(p plan) time.Duration { return time.Since(s.started) - p.at }

func codeOf(ctx context.Context, err error) string {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return CodeTimeout
	case errors.Is(err, ErrIncomplete):
		return CodeIncomplete
	case errors.Is(err, ErrWrongResponse):
		return CodeWrongAnswer
	}
	return CodeTransport
}

func (s *sender) exchange(ctx context.Context, p plan, r *Result) error {
	req, err := s.request(ctx, p)
	if err != nil {
		return err
	}
	if err := s.setKey(ctx, p, req, r); err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	r.Status = resp.StatusCode
	s.keepHeaders(p, resp, r)
	if resp.StatusCode >= http.StatusBadRequest {
		r.refuse(resp)
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

// request makes the HTTP request of a plan, without its idempotency key.
func (s *sender) request(ctx context.Context, p plan) (*http.Request, error) {
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

// call returns method, path and body of a plan.
func (p plan) call() (string, string, any) {
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

// setKey adds the idempotency key of the class.
func (s *sender) setKey(ctx context.Context, p plan, req *http.Request, r *Result) error {
	var err error
	switch p.class.Key {
	case KeyNone:
		return nil
	case KeyOwn:
		r.IdempotencyKey, err = ownKey()
	case KeyAsked:
		r.IdempotencyKey, err = s.askKey(ctx, p)
	}
	if err == nil {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	return err
}

func ownKey() (string, error) {
	id, err := uuid.NewV7()
	return id.String(), trace.Wrap(err)
}

// askKey requests a key from the router, which returns it in the header
// Idempotency-Key.
func (s *sender) askKey(ctx context.Context, p plan) (string, error) {
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
		return "", trace.BadParameter("no idempotency key in an answer with status %d", resp.StatusCode)
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

func (s *sender) keepHeaders(p plan, resp *http.Response, r *Result) {
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

// readChat reads and checks the answer to a chat request.
func (s *sender) readChat(p plan, resp *http.Response, r *Result) error {
	var a *answer
	var err error
	if p.class.Chat.Stream {
		first := func() { r.FirstToken = s.since(p) }
		a, err = readStream(resp.Body, first, pauser(p.class.Chat.ReadPauseMs))
	} else {
		a, err = readWhole(resp.Body)
	}
	if a.err != nil {
		r.fail(*a.err)
		return nil
	}
	if err == nil {
		err = a.check()
	}
	if err != nil {
		return err
	}
	if !p.class.Chat.NoMarker {
		m, err := a.checkMarker(p.prompt)
		if err != nil {
			return err
		}
		r.Model, r.Quality = m.Model, m.Quality
	}
	r.Code = CodeOK
	return nil
}

// refuse takes the code of a response with an error status.
func (r *Result) refuse(resp *http.Response) {
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
	r.fail(body.Error)
}

func (r *Result) fail(e apiError) {
	r.Code, r.CodeNumber, r.Run = e.Code, e.Number, result.Run(e.Run)
	if r.Code == "" {
		r.Code = "error_event"
	}
}
