package router

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

const apiKey = "aqua-key"

// harness is a router with fake agents. The test publishes its views in place of the
// control goroutine.
type harness struct {
	*Router
	t      *testing.T
	agents []*fakeAgent
	bundle *bundle.Bundle
	stops  []routing.StopNotice
}

// newHarness returns a router with one fake agent for each behaviour.
func newHarness(t *testing.T, behaviours ...behaviour) *harness {
	t.Helper()
	dir := t.TempDir()
	file := func(name string) string { return filepath.Join(dir, name) }
	if err := auth.NewAuthority(dir, "test"); err != nil {
		t.Fatal(err)
	}
	ca, err := auth.LoadAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	for name, role := range map[string]auth.Role{"r1": auth.RoleRouter, "a1": auth.RoleAgent} {
		if err := ca.IssueNodeCertificate(dir, role, name, nil); err != nil {
			t.Fatal(err)
		}
	}
	settings := &config.Router{
		Node: config.Node{
			VM: "r1", DataCentre: "dc1", Region: "r",
			TLS:      config.TLS{CA: file("ca.pem"), Cert: file("r1.pem"), Key: file("r1-key.pem")},
			Platform: config.Platform{Store: "http://127.0.0.1:1", VMList: "http://127.0.0.1:1"},
			RootKeys: []config.RootKey{{Name: "root", PublicKey: publicKey(9)}},
		},
		SessionSecrets: []string{base64.StdEncoding.EncodeToString(make([]byte, 32))},
		MaxRequests:    10, BufferBytes: 1 << 20, DefaultDeadlineMs: 10_000, LedgerLines: 100,
	}
	r, err := New(settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Client.CloseIdleConnections)
	agentFiles := config.TLS{CA: file("ca.pem"), Cert: file("a1.pem"), Key: file("a1-key.pem")}
	h := &harness{Router: r, t: t, bundle: testBundle()}
	for i, a := range behaviours {
		h.agents = append(h.agents, newFakeAgent(t, agentFiles, uint64(i+1), a))
	}
	h.activate(1)
	return h
}

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(append(make([]byte, 31), seed))
}

func publicKey(seed byte) string {
	return base64.StdEncoding.EncodeToString(testKey(seed).Public().(ed25519.PublicKey))
}

func testBundle() *bundle.Bundle {
	serving := func(name string) bundle.Version { return bundle.Version{Name: name, State: bundle.VersionServing} }
	return &bundle.Bundle{
		Models: []bundle.Model{{Name: "diary", Current: "1", Versions: []bundle.Version{serving("1"), serving("2")}}},
		Services: []bundle.Service{{Name: "tickets", Operations: []bundle.Operation{
			{Method: "POST", Path: "/book", Price: 700},
			{Method: "GET", Path: "/events", Idempotent: true, Price: 5},
		}}},
		DataCentres: []bundle.DataCentre{{Name: "dc1", Region: "r", State: bundle.DataCentreServing}},
		Workspaces: []bundle.Workspace{
			{Name: "aqua", KeyHashes: []string{auth.HashAPIKey(apiKey)}, Allowed: []string{"diary", "service:tickets"}},
		},
		Keys: bundle.SignKeys(bundle.Keys{
			Operators: []bundle.OperatorKey{{Name: "ana", PublicKey: publicKey(1)}}, SignOffs: 1, Serial: 1,
		}, testKey(9)),
	}
}

// activate makes the harness's bundle the active one under the given version and
// publishes a view.
func (h *harness) activate(version uint64) {
	h.t.Helper()
	parts, names, err := bundle.Split(h.bundle)
	if err != nil {
		h.t.Fatal(err)
	}
	s, err := bundle.NewSignedManifest(bundle.Manifest{Version: version, Parent: version - 1, Parts: names, Author: "ana"})
	if err != nil {
		h.t.Fatal(err)
	}
	if err := h.Syncer.Accept(bundle.Sign(s, testKey(1)), parts); err != nil {
		h.t.Fatal(err)
	}
	h.Syncer.RecordContact("dc1", h.Clock.Now())
	h.publish()
}

// publish sets the view that the control goroutine would build from the agents.
func (h *harness) publish() {
	current := h.Syncer.Current()
	next := &view{
		current: current, peers: make(map[string]peer), homes: make(map[uint64]string), keys: indexKeys(current.Bundle),
		routes: routing.NewSnapshot(current.Bundle, current.Version, h.stops, routing.Quality{}),
	}
	var servers []balance.Agent
	for i, a := range h.agents {
		vm := "a" + string(rune('1'+i))
		next.peers[vm] = peer{vm: vm, address: a.address, incarnation: a.incarnation, inFlight: &balance.InFlightCounter{}}
		next.homes[a.incarnation] = vm
		servers = append(servers, balance.Agent{
			VM: vm, Phase: limit.Warm, Free: a.free, Limit: 100, ReportedAt: h.Clock.Now(), Targets: []string{"diary@1", "diary@2", "tickets"},
		})
	}
	next.servers = balance.NewSnapshot(balance.Config{Check: h.Checker}, servers, balance.Exclusion{})
	h.view.Store(next)
}

// behaviour is how a fake agent answers a request.
type behaviour func(s *stream, in *rpc.ExecuteRequest)

// fakeAgent is a server that answers with a given behaviour and counts calls and
// effects.
type fakeAgent struct {
	address     string
	incarnation uint64
	free        int
	server      *httptest.Server
	calls       atomic.Int64
	effects     atomic.Int64
	mu          sync.Mutex
	seen        []*rpc.ExecuteRequest
}

func newFakeAgent(t *testing.T, files config.TLS, incarnation uint64, a behaviour) *fakeAgent {
	t.Helper()
	credentials, err := auth.LoadCredentials(files)
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeAgent{incarnation: incarnation, free: 100}
	exchange := rpc.NewAgentServer(f)
	f.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, rpc.AgentPathPrefix) {
			exchange.ServeHTTP(w, r)
			return
		}
		f.calls.Add(1)
		data, _ := io.ReadAll(r.Body)
		in := &rpc.ExecuteRequest{}
		if proto.Unmarshal(data, in) != nil {
			return
		}
		f.mu.Lock()
		f.seen = append(f.seen, in)
		f.mu.Unlock()
		a(&stream{agent: f, w: w, r: r}, in)
	}))
	f.server.TLS = credentials.ServerConfig()
	f.server.EnableHTTP2 = true
	f.server.Config.ErrorLog = log.New(io.Discard, "", 0)
	f.server.StartTLS()
	f.address = f.server.Listener.Addr().String()
	t.Cleanup(f.server.Close)
	return f
}

// Exchange implements rpc.Agent.
func (f *fakeAgent) Exchange(context.Context, *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	return &rpc.ExchangeResponse{State: &rpc.AgentState{Incarnation: f.incarnation}}, nil
}

// versions returns the model versions of the received requests.
func (f *fakeAgent) versions() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []string
	for _, in := range f.seen {
		all = append(all, in.GetVersion())
	}
	return strings.Join(all, " ")
}

// stream writes the events of one answer.
type stream struct {
	agent *fakeAgent
	w     http.ResponseWriter
	r     *http.Request
}

// run counts an effect of the request.
func (s *stream) run() { s.agent.effects.Add(1) }

func (s *stream) send(event *rpc.ExecuteEvent) {
	_, _ = protodelim.MarshalTo(s.w, event)
	_ = http.NewResponseController(s.w).Flush()
}

func (s *stream) refuse(code result.Code) {
	s.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_Refused{Refused: &rpc.Refused{Code: uint32(code.Number)}}})
}

func (s *stream) admit() {
	s.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_Admitted{Admitted: &rpc.Admitted{Status: http.StatusOK}}})
}

func (s *stream) chunk(seq uint64, data string) {
	s.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_Chunk{Chunk: &rpc.Chunk{Seq: seq, Data: []byte(data)}}})
}

func (s *stream) end(in *rpc.ExecuteRequest, chunks uint64, code result.Code) {
	end := &rpc.End{RequestId: in.GetRequestId(), Chunks: chunks, Code: uint32(code.Number)}
	if code.Number == 0 {
		end.Charge = &rpc.ChargeLine{RequestId: in.GetRequestId(), Step: in.GetStep(), Attempt: in.GetAttempt(), Workspace: in.GetWorkspace()}
	}
	s.send(&rpc.ExecuteEvent{Event: &rpc.ExecuteEvent_End{End: end}})
}

// cut aborts the connection without an End event.
func (s *stream) cut() { panic(http.ErrAbortHandler) }

// succeed counts an effect and sends a complete answer.
func succeed(s *stream, in *rpc.ExecuteRequest) {
	s.run()
	s.admit()
	s.chunk(0, `{"choices":[]}`)
	s.end(in, 1, result.Code{})
}

func refuseWith(code result.Code) behaviour {
	return func(s *stream, _ *rpc.ExecuteRequest) { s.refuse(code) }
}

// answer is a response as the caller received it.
type answer struct {
	status int
	number int
	run    string
	body   string
	header http.Header
}

func (h *harness) call(method, path, body string, header map[string]string) answer {
	h.t.Helper()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	h.publicHandler().ServeHTTP(recorder, request)
	a := answer{status: recorder.Code, body: recorder.Body.String(), header: recorder.Header()}
	var failure errorBody
	last := a.body[strings.LastIndex(a.body, "data: ")+1:]
	if json.Unmarshal([]byte(strings.TrimPrefix(last, "ata: ")), &failure) == nil {
		a.number, a.run = failure.Error.Number, failure.Error.Run
	}
	return a
}

func (h *harness) chat(header map[string]string) answer {
	h.t.Helper()
	return h.call("POST", "/v1/chat/completions", `{"model":"diary","messages":[{"role":"user","content":"x"}]}`, header)
}

func (h *harness) streamed(header map[string]string) answer {
	h.t.Helper()
	return h.call("POST", "/v1/chat/completions", `{"model":"diary","stream":true,"messages":[{"role":"user","content":"x"}]}`, header)
}

func (h *harness) book(key string) answer {
	h.t.Helper()
	header := map[string]string{}
	if key != "" {
		header[headerIdempotencyKey] = key
	}
	return h.call("POST", "/v1/services/tickets/book", `{}`, header)
}

func (h *harness) effects() int64 {
	var n int64
	for _, a := range h.agents {
		n += a.effects.Load()
	}
	return n
}

func (h *harness) calls() int64 {
	var n int64
	for _, a := range h.agents {
		n += a.calls.Load()
	}
	return n
}

// wantCharges checks the number of queued charges, and that no reservation and no
// admitted request is left.
func (h *harness) wantCharges(lines int) {
	h.t.Helper()
	held, reserved := h.charges.Len()
	if held != lines || reserved != 0 {
		h.t.Errorf("%d charges and %d reservations, want %d and 0", held, reserved, lines)
	}
	if running, queued := h.fair.Usage(); running != 0 || queued != 0 {
		h.t.Errorf("%d running, %d queued", running, queued)
	}
}

func (h *harness) keyAt(incarnation uint64) string {
	h.t.Helper()
	key, err := h.keys.New(incarnation)
	if err != nil {
		h.t.Fatal(err)
	}
	return key.String()
}

func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}
