package agent

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/idempotency"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/rpc"
)

// harness is an agent that receives requests without a network and whose clock is
// advanced by the test.
type harness struct {
	*Agent
	t     *testing.T
	clock *clock.Manual
	keys  *idempotency.Generator
}

// newHarness returns an agent for the backend server at url with bundle version 1.
func newHarness(t *testing.T, kind config.BackendKind, url string, change func(*config.Agent)) *harness {
	t.Helper()
	settings := &config.Agent{
		Node: config.Node{
			VM: "a1", DataCentre: "dc1", Region: "r", TLS: testFiles(t),
			Platform: config.Platform{Store: "http://127.0.0.1:1", VMList: "http://127.0.0.1:1"},
			RootKeys: []config.RootKey{{Name: "root", PublicKey: publicKey(9)}},
		},
		Backend:     config.Backend{Kind: kind, URL: url, MaxConcurrent: 8, ColdConcurrent: 8, MaxQueuedTokens: 1000},
		LedgerLines: 100, Records: 100, RecordBytes: 1 << 20,
	}
	if kind == config.BackendService {
		settings.Backend.Service = "tickets"
	}
	if change != nil {
		change(settings)
	}
	a, err := New(settings, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{Agent: a, t: t, clock: clock.NewManual(time.UnixMilli(1_800_000_000_000))}
	r.keys = idempotency.NewGenerator(r.clock, rand.NewPCG(1, 2))
	a.Clock = r.clock
	a.records = idempotency.New(idempotency.Config{Home: a.incarnation, Clock: r.clock, Checker: a.Checker, MaxEntries: settings.Records, MaxBytes: int(settings.RecordBytes)})
	r.activateBundle(1, testBundle())
	if g, ok := a.backend.(*engine); ok {
		g.versions.Store(&[]string{"diary@1", "diary@2"})
	}
	a.publish()
	return r
}

func testFiles(t *testing.T) config.TLS {
	t.Helper()
	dir := t.TempDir()
	if err := auth.NewAuthority(dir, "test"); err != nil {
		t.Fatal(err)
	}
	ca, err := auth.LoadAuthority(dir)
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.IssueNodeCertificate(dir, auth.RoleAgent, "a1", nil); err != nil {
		t.Fatal(err)
	}
	file := func(name string) string { return filepath.Join(dir, name) }
	return config.TLS{CA: file("ca.pem"), Cert: file("a1.pem"), Key: file("a1-key.pem")}
}

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(append(make([]byte, 31), seed))
}

func publicKey(seed byte) string {
	return base64.StdEncoding.EncodeToString(testKey(seed).Public().(ed25519.PublicKey))
}

// testBundle allows workspace aqua version 1 of a model and a plain service.
func testBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Models: []bundle.Model{{
			Name: "diary", Current: "1", InputPrice: 1_000_000, OutputPrice: 2_000_000,
			Versions: []bundle.Version{{Name: "1", State: bundle.VersionServing}, {Name: "2", State: bundle.VersionWithdrawn}},
		}},
		Services: []bundle.Service{{Name: "tickets", Operations: []bundle.Operation{
			{Method: "POST", Path: "/book", Price: 700},
			{Method: "GET", Path: "/draw", Price: 700},
			{Method: "GET", Path: "/events", Idempotent: true, Price: 5},
		}}},
		DataCentres: []bundle.DataCentre{{Name: "dc1", Region: "r", State: bundle.DataCentreServing}},
		Workspaces: []bundle.Workspace{
			{Name: "aqua", Allowed: []string{"diary", "service:tickets"}},
			{Name: "other"},
		},
		Keys: bundle.SignKeys(bundle.Keys{
			Operators: []bundle.OperatorKey{{Name: "ana", PublicKey: publicKey(1)}}, SignOffs: 1, Serial: 1,
		}, testKey(9)),
	}
}

// activateBundle makes the syncer accept a bundle and confirms it at the current
// time.
func (r *harness) activateBundle(version uint64, b *bundle.Bundle) {
	r.t.Helper()
	parts, names, err := bundle.Split(b)
	if err != nil {
		r.t.Fatal(err)
	}
	s, err := bundle.NewSignedManifest(bundle.Manifest{Version: version, Parent: version - 1, Parts: names, Author: "ana"})
	if err != nil {
		r.t.Fatal(err)
	}
	if err := r.Syncer.Accept(bundle.Sign(s, testKey(1)), parts); err != nil {
		r.t.Fatal(err)
	}
	r.Syncer.RecordContact("dc1", r.clock.Now())
}

func (r *harness) key() string {
	r.t.Helper()
	key, err := r.keys.New(r.incarnation)
	if err != nil {
		r.t.Fatal(err)
	}
	return key.String()
}

func requestID(n byte) []byte { return append(make([]byte, 15), n) }

// booking returns a non-idempotent call.
func (r *harness) booking(key string) *rpc.ExecuteRequest {
	return &rpc.ExecuteRequest{
		RequestId: requestID(1), Workspace: "aqua", Service: "tickets", Method: "POST", Path: "/book",
		Body: []byte(`{"seats":2}`), IdempotencyKey: key, Home: r.incarnation, BundleVersion: 1, PromptTokens: 1,
	}
}

// reading returns an idempotent call.
func (r *harness) reading() *rpc.ExecuteRequest {
	return &rpc.ExecuteRequest{
		RequestId: requestID(2), Workspace: "aqua", Service: "tickets", Method: "GET", Path: "/events",
		Idempotent: true, BundleVersion: 1, PromptTokens: 1,
	}
}

func chat(version string) *rpc.ExecuteRequest {
	return &rpc.ExecuteRequest{
		RequestId: requestID(3), Workspace: "aqua", Model: "diary", Version: version, Body: []byte(`{"messages":[]}`),
		Idempotent: true, BundleVersion: 1, PromptTokens: 1, MaxTokens: 1,
	}
}

// answer is the agent's response to one request.
type answer struct {
	code   result.Code // zero when the answer is complete
	body   string
	status int32
	pieces int
	charge *rpc.ChargeLine
}

// execute sends one request to the agent and reads the events of the response.
func (r *harness) execute(ctx context.Context, in *rpc.ExecuteRequest) answer {
	r.t.Helper()
	data, err := proto.Marshal(in)
	if err != nil {
		r.t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	r.serveExecute(recorder, httptest.NewRequestWithContext(ctx, "POST", executePath, bytes.NewReader(data)))
	return r.parse(recorder.Body)
}

func (r *harness) parse(body *bytes.Buffer) answer {
	r.t.Helper()
	var a answer
	for {
		event := &rpc.ExecuteEvent{}
		if err := protodelim.UnmarshalFrom(body, event); err != nil {
			r.t.Fatalf("answer without end: %v", err)
		}
		switch e := event.GetEvent().(type) {
		case *rpc.ExecuteEvent_Refused:
			a.code = result.ByNumber(int(e.Refused.GetCode()))
			return a
		case *rpc.ExecuteEvent_Admitted:
			a.status = e.Admitted.GetStatus()
		case *rpc.ExecuteEvent_Chunk:
			a.body += string(e.Chunk.GetData())
			a.pieces++
		case *rpc.ExecuteEvent_End:
			if e.End.GetCode() != 0 {
				a.code = result.ByNumber(int(e.End.GetCode()))
			}
			a.charge = e.End.GetCharge()
			return a
		}
	}
}

// awaitDetached waits for runs whose router has disconnected. It does not use the
// harness's clock, which advances only on request.
func (r *harness) awaitDetached() {
	for r.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// wantSettled waits for detached runs and checks that permits and reservations were
// released and that no invariant was violated.
func (r *harness) wantSettled(lines int) {
	r.t.Helper()
	r.awaitDetached()
	held, reserved := r.charges.Len()
	if held != lines || reserved != 0 {
		r.t.Errorf("%d lines and %d reservations, want %d and 0", held, reserved, lines)
	}
	if n := r.admission.State().Running; n != 0 {
		r.t.Errorf("%d places still taken", n)
	}
	if counts := r.Checker.Counts(); len(counts) != 0 {
		r.t.Errorf("violations %v", counts)
	}
}

// fault is the behavior of a backend server for one connection.
type fault func(conn net.Conn, s *faultyServer)

// faultyServer is a backend server that fails at a given point. It counts as effects
// the calls whose request it has read completely.
type faultyServer struct {
	url     string
	calls   atomic.Int64 // connections
	effects atomic.Int64
	// reached receives a value for each effect; closing blocked releases the blocked
	// calls.
	reached chan struct{}
	blocked chan struct{}
	release sync.Once
}

func newFaultyServer(t *testing.T, act fault) *faultyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &faultyServer{url: "http://" + listener.Addr().String(), reached: make(chan struct{}, 100), blocked: make(chan struct{})}
	t.Cleanup(func() {
		s.unblock()
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.calls.Add(1)
			go act(conn, s)
		}
	}()
	return s
}

func (s *faultyServer) unblock() { s.release.Do(func() { close(s.blocked) }) }

// readRequest reads one request and counts it as an effect.
func (s *faultyServer) readRequest(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.effects.Add(1)
	select {
	case s.reached <- struct{}{}:
	default:
	}
	return true
}

// fail reads a request, writes the beginning of a response and resets the connection.
func fail(beginning string) fault {
	return func(conn net.Conn, s *faultyServer) {
		s.readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, beginning)
		reset(conn)
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func closeAtOnce(conn net.Conn, _ *faultyServer) { _ = conn.Close() }

func hang(conn net.Conn, s *faultyServer) {
	s.readRequest(bufio.NewReader(conn))
	<-s.blocked
	reset(conn)
}

const answer200 = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// succeed responds to each call after the server is unblocked.
func succeed(conn net.Conn, s *faultyServer) {
	defer conn.Close()
	if s.readRequest(bufio.NewReader(conn)) {
		<-s.blocked
		_, _ = io.WriteString(conn, answer200)
	}
}

func newHealthyServer(t *testing.T) *faultyServer {
	s := newFaultyServer(t, succeed)
	s.unblock()
	return s
}
