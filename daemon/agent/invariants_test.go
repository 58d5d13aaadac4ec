package agent

import (
	"context"
	"net/http"
	"testing"
	"time"

	"cactusknot.example/coord/invariant"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/rpc"
)

// nullBackend responds to every request immediately.
type nullBackend struct{ backend }

func (nullBackend) send(context.Context, *rpc.ExecuteRequest, sink) reply {
	return reply{status: http.StatusOK}
}

// dispatchUnchecked runs a request without the checks and the idempotency record,
// as an agent with that defect would.
func (r *harness) dispatchUnchecked(in *rpc.ExecuteRequest, before func(*harness)) {
	r.t.Helper()
	e := &execution{agent: r.Agent, in: in, view: r.view.Load(), out: &eventWriter{w: discard{}}, started: r.clock.Now()}
	if refusal := e.admit(); refusal != nil {
		r.t.Fatal(refusal)
	}
	before(r)
	e.dispatch(context.Background())
}

// discard is a response writer that discards its input.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}

// TestInvariantsDetectDefects guards against assertions that don't detect the defect they
// are meant for: each case bypasses the check that prevents the defect.
func TestInvariantsDetectDefects(t *testing.T) {
	unbound := &harness{Agent: &Agent{}}
	nothing := func(*harness) {}
	elsewhere := chat("1")
	elsewhere.Workspace = "other"
	unknownCall := unbound.reading()
	unknownCall.Path = "/secret"
	forged := unbound.booking("")
	forged.Idempotent = true
	withdraw := func(r *harness) {
		b := testBundle()
		b.Models[0].Versions[0].State, b.Models[0].Current = bundle.VersionWithdrawn, "2"
		b.Models[0].Versions[1].State = bundle.VersionServing
		r.activateBundle(2, b)
		r.publish()
	}
	leave := func(r *harness) {
		r.stopping.Store(true)
		r.publish()
	}
	after := func(change func(*harness), d time.Duration) func(*harness) {
		return func(r *harness) { change(r); r.clock.Advance(d) }
	}
	service, engine := config.BackendService, config.BackendEngine
	cases := []struct {
		name   string
		kind   config.BackendKind
		in     *rpc.ExecuteRequest
		before func(*harness)
		want   invariant.Name
	}{
		{"withdrawn version", engine, chat("2"), nothing, invariantDispatch},
		{"workspace without the model", engine, elsewhere, nothing, invariantDispatch},
		{"operation outside the bundle", service, unknownCall, nothing, invariantDispatch},
		{"checks on a view replaced long ago", engine, chat("1"), after(withdraw, 2*viewGrace), invariantDispatch},
		{"view replaced just now", engine, chat("1"), after(withdraw, viewGrace/2), ""},
		{"engine leaves", engine, chat("1"), after(leave, 2*viewGrace), invariantLeaving},
		{"service leaves", service, unbound.reading(), after(leave, 2*viewGrace), invariantLeaving},
		{"leaves just now", service, unbound.reading(), after(leave, viewGrace/2), ""},
		{"booking without a record", service, unbound.booking(""), nothing, invariantNoRecord},
		{"booking that claims to be idempotent", service, forged, nothing, invariantNoRecord},
		{"allowed version", engine, chat("1"), nothing, ""},
		{"allowed call", service, unbound.reading(), nothing, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, c.kind, "http://127.0.0.1:1", nil)
			r.backend = nullBackend{r.backend}
			r.dispatchUnchecked(c.in, c.before)
			counts := r.Checker.Counts()
			if c.want == "" && len(counts) != 0 || c.want != "" && (counts[c.want] != 1 || len(counts) != 1) {
				t.Errorf("violations %v, want %q", counts, c.want)
			}
		})
	}
}

// TestChecksPreventViolations complements TestInvariantsDetectDefects: with all checks in place the
// same requests are refused as not run and violate no invariant.
func TestChecksPreventViolations(t *testing.T) {
	leave := func(r *harness) { r.stopping.Store(true) }
	for name, c := range map[string]struct {
		kind   config.BackendKind
		in     func(*harness) *rpc.ExecuteRequest
		before func(*harness)
		want   int
	}{
		"withdrawn":       {config.BackendEngine, func(*harness) *rpc.ExecuteRequest { return chat("2") }, nil, 1009},
		"leaving":         {config.BackendEngine, func(*harness) *rpc.ExecuteRequest { return chat("1") }, leave, 3003},
		"leaving service": {config.BackendService, func(r *harness) *rpc.ExecuteRequest { return r.booking(r.key()) }, leave, 3003},
		"no key":          {config.BackendService, func(r *harness) *rpc.ExecuteRequest { return r.booking("") }, nil, 1007},
		"claims to be idempotent": {config.BackendService, func(r *harness) *rpc.ExecuteRequest {
			in := r.booking("")
			in.Idempotent = true
			return in
		}, nil, 1007},
		"other kind of backend": {config.BackendEngine, func(r *harness) *rpc.ExecuteRequest { return r.booking(r.key()) }, nil, 3005},
		"version not in force here": {config.BackendEngine, func(*harness) *rpc.ExecuteRequest {
			in := chat("1")
			in.BundleVersion = 2
			return in
		}, nil, 3004},
	} {
		t.Run(name, func(t *testing.T) {
			server := newHealthyServer(t)
			r := newHarness(t, c.kind, server.url, nil)
			if c.before != nil {
				c.before(r)
			}
			if got := r.execute(context.Background(), c.in(r)); got.code.Number != c.want {
				t.Errorf("code %d, want %d", got.code.Number, c.want)
			}
			if n := server.calls.Load(); n != 0 {
				t.Errorf("the backend server saw %d calls of a refused request", n)
			}
			r.wantSettled(0)
		})
	}
}
