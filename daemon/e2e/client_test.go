package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/result"
)

// object is the contents of a JSON object.
type object = map[string]any

// httpClient opens a new connection for each request, so that a reused connection
// neither hides nor adds a failure.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// answer is a response as the caller received it.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is an error of the transport, before the response or within its body.
	err error
}

// refusal holds the fields of an error response or error event.
type refusal struct {
	Error struct {
		Code   string `json:"code"`
		Number int    `json:"number"`
		Run    string `json:"run"`
	} `json:"error"`
}

// number returns the number of the error code, or 0 if there is none.
func (a answer) number() int { return refusalOf(a.body).Error.Number }

func refusalOf(data []byte) refusal {
	var r refusal
	_ = json.Unmarshal(data, &r)
	return r
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, body %.300s, error %v", a.status, a.body, a.err)
}

// want fails the test unless the answer is an error response with the code.
func (a answer) want(t *testing.T, code result.Code) {
	t.Helper()
	r := refusalOf(a.body).Error
	if a.status != code.Status || r.Number != code.Number || r.Code != code.Name || r.Run != string(code.Run) {
		t.Errorf("want %d %s, got %s", code.Number, code.Name, a)
	}
}

// headers holds alternating names and values.
type headers []string

func key(workspace string) headers {
	return headers{"Authorization", "Bearer " + fleet.SampleKey(workspace)}
}

// send sends a request and returns the response, whose body the caller must close. A
// body that is not a byte slice is encoded as JSON.
func send(ctx context.Context, method, url string, body any, head headers) (*http.Response, error) {
	data, raw := body.([]byte)
	if !raw && body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	for i := 0; i < len(head); i += 2 {
		request.Header.Set(head[i], head[i+1])
	}
	return httpClient.Do(request)
}

// do sends a request and reads the whole answer.
func do(ctx context.Context, method, url string, body any, head headers) answer {
	response, err := send(ctx, method, url, body, head)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: data, err: err}
}

func chatURL(router string) string { return deployment.CallerURL(router) + "/v1/chat/completions" }

func prompt(model, text string) object {
	return object{"model": model, "messages": []object{{"role": "user", "content": text}}}
}

func streamed(model, text string) object {
	body := prompt(model, text)
	body["stream"] = true
	return body
}

// chat sends a chat-completions request to a router with the API key of the
// workspace.
func chat(ctx context.Context, router, workspace string, body any, head ...string) answer {
	return do(ctx, http.MethodPost, chatURL(router), body, append(key(workspace), head...))
}

// book makes a booking with the given reference and idempotency key.
func book(ctx context.Context, router, ref, idempotencyKey string) answer {
	return bookOn(ctx, deployment, router, ref, idempotencyKey)
}

func bookOn(ctx context.Context, f *fleet.Fleet, router, ref, idempotencyKey string) answer {
	head := append(key(refusingWorkspace), "Content-Type", "application/json")
	if idempotencyKey != "" {
		head = append(head, "Idempotency-Key", idempotencyKey)
	}
	return do(ctx, http.MethodPost, f.CallerURL(router)+"/v1/services/tickets/bookings", object{"ref": ref}, head)
}

// newKey asks a router for an idempotency key.
func newKey(t *testing.T, router string) string {
	t.Helper()
	var out struct{ Key string }
	eventually(t, "the router returns a key", func() bool {
		a := do(t.Context(), http.MethodPost, deployment.CallerURL(router)+"/v1/idempotency-keys?service=tickets", nil, key(refusingWorkspace))
		return json.Unmarshal(a.body, &out) == nil && out.Key != ""
	})
	return out.Key
}

// effects returns how many bookings with the reference the tickets services made.
func effects(t *testing.T, ref string) int {
	t.Helper()
	total := 0
	for _, vm := range []string{"tickets-a", "tickets-b"} {
		var out emulate.Effects
		fetch(t, deployment.BackendURL(vm)+"/effects", &out)
		total += out.ByRef[ref]
	}
	return total
}

// engineTotals returns the counters of an engine.
func engineTotals(t *testing.T, vm string) emulate.EngineTotals {
	t.Helper()
	var out emulate.EngineTotals
	fetch(t, deployment.BackendURL(vm)+"/stats", &out)
	return out
}

func engineLoad(t *testing.T, vm string) emulate.LoadReport {
	t.Helper()
	var out emulate.LoadReport
	fetch(t, deployment.BackendURL(vm)+"/load", &out)
	return out
}

func fetch(t *testing.T, url string, into any) {
	t.Helper()
	a := do(context.Background(), http.MethodGet, url, nil, nil)
	if a.err != nil || a.status != http.StatusOK {
		t.Fatalf("%s: %s", url, a)
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		t.Fatal(err)
	}
}

// engines returns the VMs that run a model engine.
func engines() []string { return []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2"} }

// fault injects faults into an emulator. If undo is set, it is sent when the test
// ends.
func fault(t *testing.T, url string, faults, undo object) {
	t.Helper()
	set := func(body object) {
		if a := do(context.Background(), http.MethodPost, url+"/faults", body, nil); a.status != http.StatusNoContent {
			t.Errorf("%s %v: %s", url, body, a)
		}
	}
	set(faults)
	if undo != nil {
		t.Cleanup(func() { set(undo) })
	}
}

// slowEngines slows down all engines, so that their answers take seconds.
func slowEngines(t *testing.T) {
	t.Helper()
	for _, vm := range engines() {
		fault(t, deployment.BackendURL(vm), object{"slow_factor": 15}, object{"slow_factor": 1})
	}
}

// slowTickets delays the effect of each booking by d.
func slowTickets(t *testing.T, d time.Duration) {
	t.Helper()
	for _, vm := range []string{"tickets-a", "tickets-b"} {
		fault(t, deployment.BackendURL(vm), object{"delay_ms": d.Milliseconds()}, object{"delay_ms": 0})
	}
}

// storeDown starts a store outage that lasts until the returned function is called
// or the test ends.
func storeDown(t *testing.T) (up func()) {
	t.Helper()
	fault(t, deployment.PlatformURL(fleet.StoreProcess), object{"outage": true}, object{"outage": false})
	return func() { fault(t, deployment.PlatformURL(fleet.StoreProcess), object{"outage": false}, nil) }
}

// eventually waits until check returns true.
func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	const interval = 25 * time.Millisecond
	for end := time.Now().Add(waitLimit); !check(); time.Sleep(interval) {
		if time.Now().After(end) {
			t.Fatalf("timed out after %s waiting until %s", waitLimit, what)
		}
	}
}

// must fails the test on an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// stream is the reader of a streamed answer.
type stream struct {
	answer
	response *http.Response
	lines    *bufio.Reader
	// events holds the data fields of the events read so far.
	events []string
}

func openStream(t *testing.T, ctx context.Context, router, workspace string, body any) *stream {
	t.Helper()
	response, err := send(ctx, http.MethodPost, chatURL(router), body, key(workspace))
	must(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		t.Fatalf("stream refused: %d %s", response.StatusCode, data)
	}
	return &stream{answer: answer{status: response.StatusCode, header: response.Header}, response: response, lines: bufio.NewReader(response.Body)}
}

// next reads one event. It returns false at the end of the answer.
func (s *stream) next() bool {
	for {
		line, err := s.lines.ReadString('\n')
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			s.events = append(s.events, strings.TrimSpace(data))
			return true
		}
		if err != nil {
			s.err = err
			return false
		}
	}
}

func (s *stream) readAll() {
	for s.next() {
	}
}

func (s *stream) last() string {
	if len(s.events) == 0 {
		return ""
	}
	return s.events[len(s.events)-1]
}

// text returns the concatenated content of the events.
func (s *stream) text() string {
	var b strings.Builder
	for _, event := range s.events {
		var parsed struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(event), &parsed) == nil && len(parsed.Choices) > 0 {
			b.WriteString(parsed.Choices[0].Delta.Content)
		}
	}
	return b.String()
}

// wantComplete fails the test unless the answer ends with [DONE] and belongs to the
// prompt and model.
func (s *stream) wantComplete(t *testing.T, model, text string) {
	t.Helper()
	if s.last() != "[DONE]" {
		t.Fatalf("answer of %q does not end with [DONE]: last event %q, %v", text, s.last(), s.err)
	}
	checkAnswer(t, s.text(), model, text)
}

// checkAnswer fails the test unless the emulated answer names the model and the hash
// of the prompt.
func checkAnswer(t *testing.T, content, model, text string) {
	t.Helper()
	marker, err := emulate.ParseResponse(content)
	if err != nil || marker.Model != model || marker.Prompt != emulate.PromptHash(text) {
		t.Errorf("answer of %q from %s is not valid: %+v %v", text, model, marker, err)
	}
}

// servingVM waits until an engine runs a request and returns its VM.
func servingVM(t *testing.T) string {
	t.Helper()
	found := ""
	eventually(t, "an engine runs the request", func() bool {
		for _, vm := range engines() {
			if engineLoad(t, vm).Running > 0 {
				found = vm
			}
		}
		return found != ""
	})
	return found
}

// waitIdle waits until no engine has running or waiting requests.
func waitIdle(t *testing.T) {
	t.Helper()
	eventually(t, "all engines are idle", func() bool {
		for _, vm := range engines() {
			if report := engineLoad(t, vm); report.Running+report.Waiting > 0 {
				return false
			}
		}
		return true
	})
}
