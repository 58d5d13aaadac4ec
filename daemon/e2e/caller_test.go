package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"cactusknot.example/daemon/result"
)

// TestCallerLeaves guards against an engine that continues an answer after its
// caller has disconnected.
func TestCallerLeaves(t *testing.T) {
	waitIdle(t)
	slowEngines(t)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	s := openStream(t, ctx, "router-a", refusingWorkspace, streamed("large", "leaves"))
	if !s.next() {
		t.Fatal(s.err)
	}
	vm := servingVM(t)
	before := engineTotals(t, vm)
	leave()
	eventually(t, "the engine has cancelled the request", func() bool { return engineTotals(t, vm).Cancelled > before.Cancelled })
	waitIdle(t)
	eventually(t, "the agent has released its permit", func() bool { return metric(t, vm, "cactusknot_agent_running_requests") == 0 })
	if after := engineTotals(t, vm); after.Completed != before.Completed {
		t.Errorf("%d answers completed after the caller disconnected", after.Completed-before.Completed)
	}
}

// TestSlowReader guards against an answer that is cut because its caller reads
// slowly.
func TestSlowReader(t *testing.T) {
	s := openStream(t, t.Context(), "router-a", refusingWorkspace, streamed("large@1", "slow reader"))
	for s.next() {
		time.Sleep(20 * time.Millisecond)
	}
	s.wantComplete(t, "large@1", "slow reader")
}

func client(workspace string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(deployment.CallerURL("router-a")+"/v1"),
		option.WithAPIKey(strings.TrimPrefix(key(workspace)[1], "Bearer ")),
		option.WithMaxRetries(0),
	)
}

func params(model, text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{Model: model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)}}
}

// TestPublicClient guards against responses that an unmodified client library of the
// chat-completions API does not understand.
func TestPublicClient(t *testing.T) {
	c := client(refusingWorkspace)
	whole, err := c.Chat.Completions.New(t.Context(), params("large", "whole"))
	must(t, err)
	checkAnswer(t, whole.Choices[0].Message.Content, "large@1", "whole")
	if whole.Model != "large@1" || whole.Usage.CompletionTokens == 0 || whole.Choices[0].FinishReason != "stop" {
		t.Errorf("whole answer %+v", whole)
	}
	p := params("small@2", "streamed")
	p.StreamOptions.IncludeUsage = openai.Bool(true)
	events := c.Chat.Completions.NewStreaming(t.Context(), p)
	var all openai.ChatCompletionAccumulator
	for events.Next() {
		all.AddChunk(events.Current())
	}
	must(t, events.Err())
	checkAnswer(t, all.Choices[0].Message.Content, "small@2", "streamed")
	if all.Usage.TotalTokens == 0 {
		t.Error("no token counts")
	}
	list, err := c.Models.List(t.Context())
	must(t, err)
	if len(list.Data) != 3 {
		t.Errorf("models %+v", list.Data)
	}
	wantAPIError(t, result.UnknownModel, func() error {
		_, err := c.Chat.Completions.New(t.Context(), params("unknown", "refused"))
		return err
	})
	stranger := client("nobody")
	wantAPIError(t, result.Unauthenticated, func() error {
		events := stranger.Chat.Completions.NewStreaming(t.Context(), params("small", "refused"))
		return errors.Join(events.Err(), events.Close())
	})
}

// TestPublicClientCutAnswer guards against a cut stream that the client library
// accepts as complete.
func TestPublicClientCutAnswer(t *testing.T) {
	for _, vm := range engines() {
		fault(t, deployment.BackendURL(vm), object{"reset_after_bytes": 1500}, object{"reset_after_bytes": -1})
	}
	c := client(refusingWorkspace)
	events := c.Chat.Completions.NewStreaming(t.Context(), params("large", "cut"))
	n := 0
	for events.Next() {
		n++
	}
	if n == 0 || events.Err() == nil {
		t.Errorf("%d chunks, error %v", n, events.Err())
	}
}

func wantAPIError(t *testing.T, code result.Code, call func() error) {
	t.Helper()
	var problem *openai.Error
	if err := call(); !errors.As(err, &problem) || problem.StatusCode != code.Status || problem.Code != code.Name {
		t.Errorf("want %s, got %v", code.Name, err)
	}
}

// TestBadInput guards against input that crashes a router, that gets a response
// without an error number, or that is reported as run.
func TestBadInput(t *testing.T) {
	chatPath, bookings := "/v1/chat/completions", "/v1/services/tickets/bookings"
	ok, _ := json.Marshal(prompt("small", "x"))
	foreign := chat(t.Context(), "router-a", movingWorkspace, prompt("small", "foreign")).header.Get("X-Session-Token")
	nested := strings.Repeat(`[`, 100_000)
	for _, c := range []struct {
		name, method, path, body string
		head                     headers
		code                     result.Code
	}{
		{"oversized", "POST", chatPath, `{"messages":[{"role":"user","content":"` + strings.Repeat("x", 2<<20) + `"}]}`, nil, result.TooLarge},
		{"empty", "POST", chatPath, ``, nil, result.BadRequest},
		{"cut", "POST", chatPath, string(ok[:len(ok)-1]), nil, result.BadRequest},
		{"null", "POST", chatPath, `null`, nil, result.BadRequest},
		{"array", "POST", chatPath, `[]`, nil, result.BadRequest},
		{"two values", "POST", chatPath, string(ok) + string(ok), nil, result.BadRequest},
		{"nested", "POST", chatPath, `{"messages":` + nested, nil, result.BadRequest},
		{"no messages", "POST", chatPath, `{"model":"small","messages":[]}`, nil, result.BadRequest},
		{"messages of another type", "POST", chatPath, `{"model":"small","messages":"x"}`, nil, result.BadRequest},
		{"content of another type", "POST", chatPath, `{"model":"small","messages":[{"role":"user","content":7}]}`, nil, result.BadRequest},
		{"negative max_tokens", "POST", chatPath, `{"model":"small","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`, nil, result.BadRequest},
		{"binary", "POST", chatPath, "\x00\xff\xfe", nil, result.BadRequest},
		{"no key", "POST", chatPath, string(ok), headers{"Authorization", ""}, result.Unauthenticated},
		{"unknown key", "POST", chatPath, string(ok), headers{"Authorization", "Bearer nobody"}, result.Unauthenticated},
		{"other scheme", "POST", chatPath, string(ok), headers{"Authorization", "Basic eDp4"}, result.Unauthenticated},
		{"unknown model", "POST", chatPath, `{"model":"none","messages":[{"role":"user","content":"x"}]}`, nil, result.UnknownModel},
		{"unknown version", "POST", chatPath, `{"model":"small@9","messages":[{"role":"user","content":"x"}]}`, nil, result.UnknownModel},
		{"odd model", "POST", chatPath, `{"model":"@@\u0000","messages":[{"role":"user","content":"x"}]}`, nil, result.UnknownModel},
		{"broken session", "POST", chatPath, string(ok), headers{"X-Session-Token", "a.b.c"}, result.BadSession},
		{"foreign session", "POST", chatPath, string(ok), headers{"X-Session-Token", foreign}, result.BadSession},
		{"unsigned session", "POST", chatPath, string(ok), headers{"X-Session-Token", "eyJhbGciOiJub25lIn0.eyJ3cyI6ImFxdWFyaXVtIiwianRpIjoieCJ9."}, result.BadSession},
		{"deadline 0", "POST", chatPath, string(ok), headers{"X-Deadline-Ms", "0"}, result.BadRequest},
		{"deadline text", "POST", chatPath, string(ok), headers{"X-Deadline-Ms", "soon"}, result.BadRequest},
		{"long idempotency key", "POST", chatPath, string(ok), headers{"Idempotency-Key", strings.Repeat("k", 1000)}, result.BadIdempotency},
		{"unknown path", "POST", "/v1/other", string(ok), nil, result.NotFound},
		{"other method", "GET", chatPath, "", nil, result.NotFound},
		{"unknown service", "POST", "/v1/services/none/bookings", `{}`, nil, result.UnknownModel},
		{"unknown operation", "DELETE", bookings, `{}`, nil, result.NotAllowed},
		{"key that is no UUID", "POST", bookings, `{"ref":"bad"}`, headers{"Idempotency-Key", "x"}, result.BadIdempotency},
		{"UUIDv4 key", "POST", bookings, `{"ref":"bad"}`, headers{"Idempotency-Key", "0fa5e0e6-5e55-4f25-9c8d-0a5f0d8f6f10"}, result.BadIdempotency},
		{"binary content type", "POST", bookings, `{"ref":"bad"}`, headers{"Content-Type", "\xff\xfe"}, result.BadRequest},
		{"binary path", "GET", bookings + "/%ff", "", nil, result.BadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			head := append(key(refusingWorkspace), c.head...)
			do(t.Context(), c.method, deployment.CallerURL("router-a")+c.path, []byte(c.body), head).want(t, c.code)
		})
	}
	if n := effects(t, "bad"); n != 0 {
		t.Errorf("%d bookings were made", n)
	}
	if a := chat(t.Context(), "router-a", refusingWorkspace, prompt("small", "still serving")); a.status != http.StatusOK {
		t.Error(a)
	}
}

// TestBinaryKind guards against a request header that stops the exchange of rating
// counters between routers, because protobuf rejects strings that are not UTF-8.
func TestBinaryKind(t *testing.T) {
	for range 5 {
		if a := chat(t.Context(), "router-a", refusingWorkspace, prompt("small", "kind"), "X-Request-Kind", "kind \xff\xfe"); a.status != http.StatusOK {
			t.Fatal(a)
		}
	}
	operate(t, "dc", "out", "b")
	operate(t, "dc", "in", "b")
	for _, r := range spec.Routers {
		log := readLog(t, r.VM)
		if bytes.Contains(log, []byte("invalid UTF-8")) {
			t.Errorf("%s can't exchange its counters: invalid UTF-8", r.VM)
		}
	}
}

// TestRawConnections guards against malformed HTTP and other bytes on a connection
// that crash a router.
func TestRawConnections(t *testing.T) {
	for _, base := range []string{deployment.CallerURL("router-a"), deployment.AdminURL("router-a")} {
		for _, text := range []string{
			"\x16\x03\x01\x00\x00", "GET\r\n\r\n", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -5\r\n\r\n",
			"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
			"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 2<<20) + "\r\n\r\n",
		} {
			conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
			must(t, err)
			_, _ = io.WriteString(conn, text)
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
	}
	if a := chat(t.Context(), "router-a", refusingWorkspace, prompt("small", "after raw")); a.status != http.StatusOK {
		t.Error(a)
	}
}
