package soak

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/loadgen"
	"cactusknot.example/daemon/result"
)

const (
	// callDeadline is the deadline that callers send to the router.
	callDeadline = 8 * time.Second
	// callTimeout is when a caller stops waiting. Well before that, a router must
	// have answered or reported that the deadline passed.
	callTimeout   = callDeadline + 4*time.Second
	requestIDSize = 16
	chatPath      = "/v1/chat/completions"
	bookingPath   = "/v1/services/" + serviceName + "/bookings"
	maxErrorBytes = 1 << 20
)

// request is an HTTP request to a router; retries reuse it.
type request struct {
	ref       string
	class     *class
	workspace string
	session   string
	token     string
	key       string
	model     string
	prompt    string
	// closeAfter is when the caller closes the connection; 0 means never.
	closeAfter time.Duration
	body       []byte
}

// caller makes calls to routers over HTTP.
type caller struct{ client *http.Client }

func newCaller() *caller {
	const idlePerRouter = 512
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerRouter, DisableCompression: true}}}
}

// call sends the request to a router and returns the record of the call and
// the session token of the response.
func (c *caller) call(ctx context.Context, router, base string, q *request) (Call, string) {
	timeout := callTimeout
	if q.closeAfter > 0 {
		timeout = q.closeAfter
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out := Call{
		Ref: q.ref, Class: q.class.name, Booking: q.class.booking, Workspace: q.workspace, Session: q.session,
		Router: router, Key: q.key, RequestedModel: q.model, Prompt: emulate.PromptHash(q.prompt), Started: time.Now(),
	}
	if q.key != "" {
		out.RequestID = requestIDOf(q)
	}
	token, err := c.exchange(ctx, base, q, &out)
	out.Ended = time.Now()
	if err != nil {
		out.Outcome, out.Detail = outcomeOf(ctx, q, err), err.Error()
	}
	return out, token
}

// requestIDOf derives the request ID of a request with an idempotency key in
// the same way as routers do.
func requestIDOf(q *request) string {
	h := sha256.New()
	for _, field := range []string{q.workspace, http.MethodPost, q.path(), q.key} {
		h.Write([]byte(field))
		h.Write([]byte{0})
	}
	h.Write(q.body)
	return hex.EncodeToString(h.Sum(nil)[:requestIDSize])
}

func (q *request) path() string {
	if q.class.booking {
		return bookingPath
	}
	return chatPath
}

// outcomeOf maps the error of a call to its outcome.
func outcomeOf(ctx context.Context, q *request, err error) Outcome {
	switch {
	case ctx.Err() != nil && q.closeAfter > 0:
		return OutcomeClientClosed
	case ctx.Err() != nil:
		return OutcomeTimeout
	case errors.Is(err, loadgen.ErrIncomplete):
		return OutcomeTruncated
	case errors.Is(err, loadgen.ErrWrongResponse):
		return OutcomeWrongAnswer
	case errors.Is(err, syscall.ECONNREFUSED):
		return OutcomeConnectionRefused
	}
	return OutcomeTransportError
}

// exchange sends the request, reads the response into out and returns the
// session token.
func (c *caller) exchange(ctx context.Context, base string, q *request, out *Call) (string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+q.path(), bytes.NewReader(q.body))
	if err != nil {
		return "", err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+fleet.SampleKey(q.workspace))
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(callDeadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Idempotency-Key", q.key)
	}
	if q.token != "" {
		r.Header.Set("X-Session-Token", q.token)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	out.Status = response.StatusCode
	out.SessionMoved = response.Header.Get("X-Session-Moved")
	if id := response.Header.Get("X-Request-Id"); id != "" {
		out.RequestID = strings.ReplaceAll(id, "-", "")
	}
	if key := response.Header.Get("Idempotency-Key"); key != "" {
		out.Key = key
	}
	return response.Header.Get("X-Session-Token"), readAnswer(response, q, out)
}

func readAnswer(response *http.Response, q *request, out *Call) error {
	if response.StatusCode >= http.StatusBadRequest {
		return readError(response, out)
	}
	if q.class.booking {
		return readBooking(response, q, out)
	}
	pause := func() { time.Sleep(q.class.readPause) }
	marker, event, err := loadgen.ReadChatResponse(response.Body, q.class.stream, q.prompt, pause)
	switch {
	case err != nil:
		return err
	case event != nil:
		out.Outcome, out.Code, out.Run = OutcomeError, event.Code, event.Run
	default:
		out.Outcome, out.ServedModel = OutcomeOK, marker.Model
	}
	return nil
}

// readBooking checks that the response is for the caller's own booking.
func readBooking(response *http.Response, q *request, out *Call) error {
	var booking emulate.Booking
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&booking); err != nil {
		return errors.Join(loadgen.ErrIncomplete, err)
	}
	if booking.Ref != q.ref {
		return loadgen.ErrWrongResponse
	}
	out.Outcome = OutcomeOK
	return nil
}

func readError(response *http.Response, out *Call) error {
	var body struct {
		Error struct {
			Message string     `json:"message"`
			Code    string     `json:"code"`
			Run     result.Run `json:"run"`
		} `json:"error"`
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return errors.Join(loadgen.ErrIncomplete, err)
	}
	// Errors of the plain service itself have no result code, and their body need
	// not be JSON.
	_ = json.Unmarshal(data, &body)
	out.Outcome, out.Code, out.Run, out.Detail = OutcomeError, body.Error.Code, body.Error.Run, body.Error.Message
	return nil
}

// fetchIdempotencyKey gets an idempotency key from a router. It returns "" if
// that fails.
func (c *caller) fetchIdempotencyKey(ctx context.Context, base, workspace string) string {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/idempotency-keys?service="+serviceName, nil)
	if err != nil {
		return ""
	}
	r.Header.Set("Authorization", "Bearer "+fleet.SampleKey(workspace))
	response, err := c.client.Do(r)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var body struct {
		Key string `json:"key"`
	}
	_ = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	return body.Key
}
