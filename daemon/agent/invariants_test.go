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

// nullBackend answers every request at once.
type nullBackend struct{ backend }

func (nullBackend) send(context.Context, *rpc.ExecuteRequest, sink) reply {
	return reply{status: http.StatusOK}
}

// bypass runs a request without gate and records, as an agent with that defect would.
func (r *rig) bypass(in *rpc.ExecuteRequest, before func(*rig)) {
	r.t.Helper()
	e := &execution{agent: r.Agent, in: in, view: r.view.Load(), out: &eventWriter{w: discard{}}, started: r.clock.Now()}
	if refusal := e.admit(); refusal != nil {
		r.t.Fatal(refusal)
	}
	before(r)
	e.dispatch(context.Background())
}

// discard is a response writer that keeps nothing.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}

// TestPlantedDefects guards against assertions that can't see the defect they are
// for: each case by-passes the check that prevents it.
func TestPlantedDefects(t *testing.T) {
	unbound := &rig{Agent: &Agent{}}
	nothing := func(*rig) {}
	elsewhere := chat("1")
	elsewhere.Workspace = "other"
	unknownCall := unbound.reading()
	unknownCall.Path = "/secret"
	forged := unbound.booking("")
	forged.Idempotent = true
	withdraw := func(r *rig) {
		b := testBundle()
		b.Models[0].Versions[0].State, b.Models[0].Current = bundle.VersionWithdrawn, "2"
		b.Models[0].Versions[1].State = bundle.VersionServing
		r.putInForce(2, b)
		r.publish()
	}
	leave := func(r *rig) {
		r.stopping.Store(true)
		r.publish()
	}
	after := func(change func(*rig), d time.Duration) func(*rig) {
		return func(r *rig) { change(r); r.clock.Advance(d) }
	}
	service, engine := config.BackendService, config.BackendEngine
	cases := []struct {
		name   string
		kind   config.BackendKind
		in     *rpc.ExecuteRequest
		before func(*rig)
		want   invariant.Name
	}{
		{"withdrawn version", engine, chat("2"), nothing, invariantDispatch},
		{"workspace without the model", engine, elsewhere, nothing, invariantDispatch},
		{"operation outside the bundle", service, unknownCall, nothing, invariantDispatch},
		{"gate on a view replaced long ago", engine, chat("1"), after(withdraw, 2*viewGrace), invariantDispatch},
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
			r := newRig(t, c.kind, "http://127.0.0.1:1", nil)
			r.backend = nullBackend{r.backend}
			r.bypass(c.in, c.before)
			counts := r.Checker.Counts()
			if c.want == "" && len(counts) != 0 || c.want != "" && (counts[c.want] != 1 || len(counts) != 1) {
				t.Errorf("violations %v, want %q", counts, c.want)
			}
		})
	}
}

// TestGateHidesNoDefect is the companion of TestPlantedDefects: with all checks in
// place the same requests are refused as not run and violate nothing.
func TestGateHidesNoDefect(t *testing.T) {
	leave := func(r *rig) { r.stopping.Store(true) }
	for name, c := range map[string]struct {
		kind   config.BackendKind
		in     func(*rig) *rpc.ExecuteRequest
		before func(*rig)
		want   int
	}{
		"withdrawn":       {config.BackendEngine, func(*rig) *rpc.ExecuteRequest { return chat("2") }, nil, 1009},
		"leaving":         {config.BackendEngine, func(*rig) *rpc.ExecuteRequest { return chat("1") }, leave, 3003},
		"leaving service": {config.BackendService, func(r *rig) *rpc.ExecuteRequest { return r.booking(r.key()) }, leave, 3003},
		"no key":          {config.BackendService, func(r *rig) *rpc.ExecuteRequest { return r.booking("") }, nil, 1007},
		"claims to be idempotent": {config.BackendService, func(r *rig) *rpc.ExecuteRequest {
			in := r.booking("")
			in.Idempotent = true
			return in
		}, nil, 1007},
		"other kind of backend": {config.BackendEngine, func(r *rig) *rpc.ExecuteRequest { return r.booking(r.key()) }, nil, 3005},
		"version not in force here": {config.BackendEngine, func(*rig) *rpc.ExecuteRequest {
			in := chat("1")
			in.BundleVersion = 2
			return in
		}, nil, 3004},
	} {
		t.Run(name, func(t *testing.T) {
			server := newWorking(t)
			r := newRig(t, c.kind, server.url, nil)
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
