package node

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/rpc"
)

// newTestNode returns the node of a VM that reads the VM list from the URL list.
func newTestNode(vm string, role auth.Role, list string) *Node {
	client := &http.Client{}
	n := &Node{
		Settings: config.Node{VM: vm, Platform: config.Platform{VMList: list}},
		Role:     role, Log: zerolog.Nop(), Clock: clock.System{}, Client: client, RPC: client,
	}
	n.Directory = NewDirectory(n)
	return n
}

// vmList serves a VM list that the test can change.
type vmList struct{ list platform.VMList }

func (l *vmList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tag := strconv.Quote(strconv.FormatUint(l.list.Revision, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(l.list)
}

func (l *vmList) set(vms ...platform.VM) {
	l.list = platform.VMList{Revision: l.list.Revision + 1, VMs: vms}
}

func vm(name string, role platform.VMRole, address string) platform.VM {
	return platform.VM{Name: name, Role: role, DataCentre: "dc1", Region: "r", Address: address, State: platform.VMLive}
}

// TestVMListChanges guards against connections to a replaced VM and against treating
// a leaving VM as live.
func TestVMListChanges(t *testing.T) {
	list := &vmList{}
	server := httptest.NewServer(list)
	defer server.Close()
	d := newTestNode("r1", auth.RoleRouter, server.URL).Directory
	read := func() bool {
		d.Refresh(context.Background())
		select {
		case <-d.Changed():
			return true
		default:
			return false
		}
	}
	list.set(vm("r2", platform.VMRouter, "127.0.0.1:2"), vm("a1", platform.VMAgent, "127.0.0.1:3"))
	if !read() || read() {
		t.Error("a change was not reported once")
	}
	kept, moved := d.Client("r2"), d.Client("a1")
	if kept == nil || d.Client("r2") != kept || d.Client("nobody") != nil {
		t.Error("clients are not kept by VM")
	}
	list.set(vm("r2", platform.VMRouter, "127.0.0.1:2"), vm("a1", platform.VMAgent, "127.0.0.1:4"))
	if !read() || d.Client("r2") != kept || d.Client("a1") == moved || len(d.clients) != 2 {
		t.Errorf("replaced VM: %d clients", len(d.clients))
	}
	leaving := vm("a1", platform.VMAgent, "127.0.0.1:4")
	leaving.State = platform.VMLeaving
	list.set(leaving)
	if !read() || !d.Processes().Find("a1").Leaving || d.Processes().Find("r2") != nil || len(d.clients) != 1 {
		t.Errorf("leaving VM: %+v, %d clients", d.Processes().All, len(d.clients))
	}
	if m := d.Members(); len(m) != 1 || m[0].Live {
		t.Errorf("members %+v", m)
	}
	server.Close()
	if read() || d.Processes().Find("a1") == nil {
		t.Error("the list is lost while its service is down")
	}
}

// setProcesses replaces the list of processes.
func (n *Node) setProcesses(all ...Process) {
	next := &Processes{All: all, byVM: make(map[string]*Process)}
	for i := range next.All {
		next.byVM[next.All[i].VM] = &next.All[i]
	}
	n.Directory.current.Store(next)
}

func router(name string) Process {
	return Process{VM: name, Role: auth.RoleRouter, Address: name + ":1"}
}

// TestCollectorsAgree guards against processes that prefer different collectors for a
// shard, and against choosing agents or leaving routers.
func TestCollectorsAgree(t *testing.T) {
	leaving := router("r4")
	leaving.Leaving = true
	all := []Process{router("r1"), router("r2"), router("r3"), leaving, {VM: "a1", Role: auth.RoleAgent, Address: "a1:1"}}
	first := make(map[string]int)
	for shard := range uint32(LedgerShards) {
		var want []string
		for i, name := range []string{"r1", "r2", "r3", "a1"} {
			n := newTestNode(name, auth.RoleRouter, "http://127.0.0.1:1")
			n.LocalLedger = &fakeLedger{}
			shuffled := slices.Concat(all[i:], all[:i])
			n.setProcesses(shuffled...)
			var got []string
			for _, p := range n.collectors(shard) {
				got = append(got, p.VM)
			}
			if want == nil {
				want = got
			}
			if !slices.Equal(got, want) || len(got) != 3 {
				t.Errorf("shard %d at %s: %v, at r1 %v", shard, name, got, want)
			}
			if slices.ContainsFunc(n.otherRouters(), func(p Process) bool { return p.VM == name }) {
				t.Errorf("%s would hand over to itself", name)
			}
		}
		first[want[0]]++
	}
	if len(first) != 3 {
		t.Errorf("shards by collector: %v", first)
	}
}

// fakeLedger acknowledges the lines for which takes returns true.
type fakeLedger struct {
	mu    sync.Mutex
	down  bool
	takes func(n int) bool
	era   uint64
	lines map[string]int
}

func (f *fakeLedger) Deliver(_ context.Context, in *rpc.DeliverRequest) (*rpc.DeliverResponse, error) {
	if f.down {
		return nil, twirp.NewError(twirp.Unavailable, "down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &rpc.DeliverResponse{StoreEra: f.era}
	for i, line := range in.GetLines() {
		if f.takes != nil && !f.takes(i) {
			continue
		}
		if f.lines == nil {
			f.lines = make(map[string]int)
		}
		f.lines[string(line.GetRequestId())]++
		out.Acknowledged = append(out.Acknowledged, &rpc.ChargeID{RequestId: line.GetRequestId(), Step: line.GetStep()})
	}
	return out, nil
}

// ledgerTransport routes calls to fake ledgers by host name.
type ledgerTransport map[string]*fakeLedger

func (l ledgerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f, ok := l[r.URL.Hostname()]
	if !ok {
		return nil, errors.New("test: connection refused")
	}
	recorder := httptest.NewRecorder()
	rpc.NewLedgerServer(f).ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// queueOf returns a queue with the lines of n requests.
func queueOf(n int) *ledger.Queue {
	q := ledger.NewQueue(clock.System{}, n)
	for i := range n {
		q.Reserve()
		q.Commit(ledger.Line{RequestID: [16]byte{15: byte(i)}, Workspace: "aqua"})
	}
	return q
}

// TestHandOver guards against lost charges and against a shutdown that never ends
// while some routers are unreachable, stopping or accept only some of the lines.
func TestHandOver(t *testing.T) {
	const lines = 10
	none := func(int) bool { return false }
	some := func(i int) bool { return i < 3 }
	for name, c := range map[string]struct {
		peers ledgerTransport
		// rounds is the number of calls until all lines are held elsewhere; 0: never.
		rounds int
	}{
		"all reachable":         {ledgerTransport{"r2": {}, "r3": {}, "r4": {}}, 1},
		"nobody reachable":      {ledgerTransport{}, 0},
		"one reachable":         {ledgerTransport{"r4": {}}, 1},
		"stores fail":           {ledgerTransport{"r2": {down: true}, "r3": {down: true}, "r4": {down: true}}, 0},
		"others are stopping":   {ledgerTransport{"r2": {takes: none}, "r3": {takes: none}, "r4": {}}, 1},
		"another is stopping":   {ledgerTransport{"r2": {}, "r3": {}, "r4": {takes: none}}, 1},
		"all are stopping":      {ledgerTransport{"r2": {takes: none}, "r3": {takes: none}, "r4": {takes: none}}, 0},
		"others take some only": {ledgerTransport{"r2": {takes: some}, "r3": {takes: some}, "r4": {takes: some}}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			n := newTestNode("r1", auth.RoleRouter, "http://127.0.0.1:1")
			n.Client.Transport = c.peers
			n.setProcesses(router("r1"), router("r2"), router("r3"), router("r4"))
			queue := queueOf(lines)
			rounds, ended := 0, false
			for !ended && rounds < 2*lines {
				ended = n.HandOver(context.Background(), queue, lines)
				rounds++
			}
			held, _ := queue.Len()
			elsewhere := make(map[string]bool)
			for _, f := range c.peers {
				for id := range f.lines {
					elsewhere[id] = true
				}
			}
			if held+len(elsewhere) != lines {
				t.Errorf("%d lines here and %d elsewhere of %d", held, len(elsewhere), lines)
			}
			if ended != (c.rounds > 0) || ended && rounds > c.rounds {
				t.Errorf("ended %t after %d rounds, want %d", ended, rounds, c.rounds)
			}
		})
	}
}

// TestDeliverPending guards against lines lost while the collectors are unavailable,
// and against delivery to the wrong collector.
func TestDeliverPending(t *testing.T) {
	const lines = 40
	n := newTestNode("a1", auth.RoleAgent, "http://127.0.0.1:1")
	peers := ledgerTransport{"r2": {down: true}, "r3": {down: true}}
	n.Client.Transport = peers
	n.setProcesses(router("r2"), router("r3"))
	queue := queueOf(lines)
	n.DeliverPending(context.Background(), queue, 0, lines)
	if held, _ := queue.Len(); held != lines {
		t.Fatalf("%d lines held during the outage", held)
	}
	peers["r2"].down, peers["r3"].down = false, false
	n.DeliverPending(context.Background(), queue, 0, lines)
	if held, _ := queue.Len(); held != 0 {
		t.Errorf("%d lines held after the outage", held)
	}
	for name, f := range peers {
		for id, times := range f.lines {
			preferred := n.collectors(ledger.Shard([16]byte([]byte(id)), LedgerShards))[0].VM
			if preferred != name || times != 1 {
				t.Errorf("line %x came to %s %d times, collector is %s", id, name, times, preferred)
			}
		}
	}
}

// fakePeer counts the calls that pass the check of the sender.
type fakePeer struct {
	rpc.Peer
	calls int
}

func (f *fakePeer) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	f.calls++
	return &rpc.SyncResponse{}, nil
}

// TestSyncRejectsOtherSenders guards against a process that impersonates another one.
func TestSyncRejectsOtherSenders(t *testing.T) {
	for _, c := range []struct {
		certificate, named string
		passes             int
	}{{"a1", "a1", 1}, {"a1", "a2", 0}, {"a1", "", 0}, {"", "a1", 0}} {
		peer := &fakePeer{}
		handler := auth.RequireIdentity(rpc.NewPeerServer(&peerServer{syncer: peer}))
		client := rpc.NewPeerProtobufClient("https://x", &http.Client{Transport: clientIdentity{c.certificate, handler}})
		_, err := client.Sync(context.Background(), &rpc.SyncRequest{Node: c.named})
		if (err == nil) != (c.passes == 1) || peer.calls != c.passes {
			t.Errorf("certificate of %q, message of %q: %v", c.certificate, c.named, err)
		}
	}
}

// clientIdentity is a transport that calls a handler with a client certificate of the
// VM.
type clientIdentity struct {
	vm      string
	handler http.Handler
}

func (a clientIdentity) RoundTrip(r *http.Request) (*http.Response, error) {
	r.TLS = &tls.ConnectionState{}
	if a.vm != "" {
		name := &url.URL{Scheme: "cactusknot", Host: "agent", Path: "/" + a.vm}
		r.TLS.PeerCertificates = []*x509.Certificate{{URIs: []*url.URL{name}}}
	}
	recorder := httptest.NewRecorder()
	a.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// TestChargesOutliveARestore guards against lines that a restore of the store takes back: a holder
// must deliver what was acknowledged again in a new era, must not take the acknowledgement of an
// earlier one, and must hand over what it keeps when it stops, without waiting for a router.
func TestChargesOutliveARestore(t *testing.T) {
	const lines = 10
	n := newTestNode("a1", auth.RoleAgent, "http://127.0.0.1:1")
	n.Metrics = metrics.NewSet()
	r2 := &fakeLedger{}
	n.Client.Transport = ledgerTransport{"r2": r2}
	n.setProcesses(router("r2"))
	queue := queueOf(lines)
	n.RedeliverCharges(queue)
	round := func(what string, delivered, held, kept int) {
		t.Helper()
		n.DeliverPending(context.Background(), queue, 0, lines)
		total := 0
		for _, times := range r2.lines {
			total += times
		}
		if now, _ := queue.Len(); total != delivered || now != held || queue.Kept() != kept {
			t.Fatalf("%s: %d delivered, %d held, %d kept; want %d, %d, %d", what, total, now, queue.Kept(), delivered, held, kept)
		}
	}
	round("first delivery", lines, 0, lines)
	round("no new era", lines, 0, lines)
	n.ObserveStoreEra(1, EraFromPeer)
	round("acknowledged for era 0 only", 2*lines, lines, 0)
	r2.era = 1
	round("acknowledged for era 1", 3*lines, 0, lines)
	r2.era = 2
	queue.Reserve()
	queue.Commit(ledger.Line{RequestID: [16]byte{1}, Workspace: "aqua"})
	n.DeliverPending(context.Background(), queue, 0, lines)
	round("era heard of with an acknowledgement", 4*lines+1, 0, lines+1)

	r2.down = true
	n.HandOverKept(context.Background(), queue, lines, time.Millisecond)
	r2.down = false
	if held, _ := queue.Len(); held != lines+1 {
		t.Fatalf("%d lines held after a failed hand-over", held)
	}
	round("delivered to the last router", 5*lines+1, 1, lines)
	n.HandOverKept(context.Background(), queue, 3, time.Millisecond)
	if held, _ := queue.Len(); held+queue.Kept() != 0 {
		t.Errorf("%d lines held, %d kept after the hand-over", held, queue.Kept())
	}
}
