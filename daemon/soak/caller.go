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
	// callDeadline is what callers allow the router.
	callDeadline = 8 * time.Second
	// callTimeout is when a caller gives up. A router must have answered, or said
	// that the deadline passed, well before.
	callTimeout   = callDeadline + 4*time.Second
	requestIDSize = 16
	chatPath      = "/v1/chat/completions"
	bookingPath   = "/v1/services/" + serviceName + "/bookings"
	maxErrorBytes = 1 << 20
)

// request is one call to be made.
type request struct {
	ref       string
	class     *class
	workspace string
	session   string
	token     string
	key       string
	model     string
	prompt    string
	// leaveAfter is when the caller closes the connection; 0 means never.
	leaveAfter time.Duration
	body       []byte
}

// caller makes calls over HTTP.
type caller struct{ client *http.Client }

func newCaller() *caller {
	const idlePerRouter = 512
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerRouter, DisableCompression: true}}}
}

// call sends the request to a router and returns its record and the session
// token of the response.
func (c *caller) call(ctx context.Context, router, base string, q *request) (Call, string) {
	bound := callTimeout
	if q.leaveAfter > 0 {
		bound = q.leaveAfter
	}
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	out := Call{
		Ref: q.ref, Class: q.class.name, Booking: q.class.booking, Workspace: q.workspace, Session: q.session,
		Router: router, Key: q.key, Asked: q.model, Prompt: emulate.PromptHash(q.prompt), Started: time.Now(),
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

// requestIDOf derives the request id of a keyed request, as routers do.
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

func outcomeOf(ctx context.Context, q *request, err error) Outcome {
	switch {
	case ctx.Err() != nil && q.leaveAfter > 0:
		return OutcomeLeft
	case ctx.Err() != nil:
		return OutcomeTimeout
	case errors.Is(err, loadgen.ErrIncomplete):
		return OutcomeCut
	case errors.Is(err, loadgen.ErrWrongResponse):
		return OutcomeWrong
	case errors.Is(err, syscall.ECONNREFUSED):
		return OutcomeRefused
	}
	return OutcomeTransport
}

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
	out.Moved = response.Header.Get("X-Session-Moved")
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
		out.Outcome, out.Answered = OutcomeOK, marker.Model
	}
	return nil
}

// readBooking checks that the answer is that of the caller's own booking.
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
	// An error of the plain service itself has no code of the router.
	_ = json.Unmarshal(data, &body)
	out.Outcome, out.Code, out.Run, out.Detail = OutcomeError, body.Error.Code, body.Error.Run, body.Error.Message
	return nil
}

// askKey asks a router for an idempotency key.
func (c *caller) askKey(ctx context.Context, base, workspace string) string {
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
