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

// rig is an agent whose requests are handed over without a network, with a clock
// that the test moves.
type rig struct {
	*Agent
	t     *testing.T
	clock *clock.Manual
	keys  *idempotency.Generator
}

// newRig returns an agent for the backend server at url under bundle version 1.
func newRig(t *testing.T, kind config.BackendKind, url string, change func(*config.Agent)) *rig {
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
	r := &rig{Agent: a, t: t, clock: clock.NewManual(time.UnixMilli(1_800_000_000_000))}
	r.keys = idempotency.NewGenerator(r.clock, rand.NewPCG(1, 2))
	a.Clock = r.clock
	a.records = idempotency.New(idempotency.Config{Home: a.incarnation, Clock: r.clock, Checker: a.Checker, MaxEntries: settings.Records, MaxBytes: int(settings.RecordBytes)})
	r.putInForce(1, testBundle())
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

// putInForce has the keeper accept a bundle and confirms it at the present time.
func (r *rig) putInForce(version uint64, b *bundle.Bundle) {
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

func (r *rig) key() string {
	r.t.Helper()
	key, err := r.keys.New(r.incarnation)
	if err != nil {
		r.t.Fatal(err)
	}
	return key.String()
}

func requestID(n byte) []byte { return append(make([]byte, 15), n) }

// booking returns a non-idempotent call.
func (r *rig) booking(key string) *rpc.ExecuteRequest {
	return &rpc.ExecuteRequest{
		RequestId: requestID(1), Workspace: "aqua", Service: "tickets", Method: "POST", Path: "/book",
		Body: []byte(`{"seats":2}`), IdempotencyKey: key, Home: r.incarnation, BundleVersion: 1, PromptTokens: 1,
	}
}

// reading returns an idempotent call.
func (r *rig) reading() *rpc.ExecuteRequest {
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

// answer is what the agent sent for one request.
type answer struct {
	code   result.Code // zero when the answer is complete
	body   string
	status int32
	pieces int
	charge *rpc.ChargeLine
}

// execute hands one request to the agent and reads the events of its answer.
func (r *rig) execute(ctx context.Context, in *rpc.ExecuteRequest) answer {
	r.t.Helper()
	data, err := proto.Marshal(in)
	if err != nil {
		r.t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	r.serveExecute(recorder, httptest.NewRequestWithContext(ctx, "POST", executePath, bytes.NewReader(data)))
	return r.parse(recorder.Body)
}

func (r *rig) parse(body *bytes.Buffer) answer {
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

// awaitDetached waits for runs whose router has left. It does not use the rig's
// clock, which stands still.
func (r *rig) awaitDetached() {
	for r.running.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// wantSettled waits for detached runs and checks that places and reservations were
// given back and that no invariant was violated.
func (r *rig) wantSettled(lines int) {
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

// fault is what a backend server does with one call.
type fault func(conn net.Conn, s *faulty)

// faulty is a backend server that fails at a given point and counts effects: the
// calls whose request it has read whole.
type faulty struct {
	url     string
	calls   atomic.Int64 // connections
	effects atomic.Int64
	// reached gets a value for each effect; frozen ends the frozen calls.
	reached chan struct{}
	frozen  chan struct{}
	release sync.Once
}

func newFaulty(t *testing.T, act fault) *faulty {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &faulty{url: "http://" + listener.Addr().String(), reached: make(chan struct{}, 100), frozen: make(chan struct{})}
	t.Cleanup(func() {
		s.thaw()
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

func (s *faulty) thaw() { s.release.Do(func() { close(s.frozen) }) }

// take reads one request and counts its effect.
func (s *faulty) take(reader *bufio.Reader) bool {
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

// fail reads a request, writes the beginning of an answer and resets.
func fail(beginning string) fault {
	return func(conn net.Conn, s *faulty) {
		s.take(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, beginning)
		reset(conn)
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

func closeAtOnce(conn net.Conn, _ *faulty) { _ = conn.Close() }

func freeze(conn net.Conn, s *faulty) {
	s.take(bufio.NewReader(conn))
	<-s.frozen
	reset(conn)
}

const answer200 = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"

// succeed answers each call after the server is thawed.
func succeed(conn net.Conn, s *faulty) {
	defer conn.Close()
	if s.take(bufio.NewReader(conn)) {
		<-s.frozen
		_, _ = io.WriteString(conn, answer200)
	}
}

func newWorking(t *testing.T) *faulty {
	s := newFaulty(t, succeed)
	s.thaw()
	return s
}
