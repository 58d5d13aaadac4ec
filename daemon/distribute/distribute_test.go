package distribute

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"

	"github.com/rs/zerolog"
)

var errCut = errors.New("test: network is cut")

func testKey(seed byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(append(make([]byte, 31), seed))
}

func operator(name string, seed byte) bundle.OperatorKey {
	public := testKey(seed).Public().(ed25519.PublicKey)
	return bundle.OperatorKey{Name: name, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

var anchor = bundle.TrustAnchor{Roots: []bundle.OperatorKey{operator("root", 9)}, SignOffs: 1}

// testBundle returns a small bundle of three data centres. The mark distinguishes the
// content of versions.
func testBundle(mark int) *bundle.Bundle {
	b := &bundle.Bundle{
		Models: []bundle.Model{{
			Name: "diary", Current: "1", InputPrice: uint64(mark),
			Versions: []bundle.Version{{Name: "1", State: bundle.VersionServing}},
		}},
		Keys: bundle.SignKeys(bundle.Keys{Operators: []bundle.OperatorKey{operator("ana", 1)}, SignOffs: 1, Serial: 1}, testKey(9)),
	}
	for i := range 3 {
		b.DataCentres = append(b.DataCentres, bundle.DataCentre{Name: fmt.Sprintf("dc%d", i), Region: "r", State: bundle.DataCentreServing})
	}
	return b
}

func signedBundle(t testing.TB, b *bundle.Bundle, version uint64, key byte) (bundle.SignedManifest, map[bundle.Hash][]byte) {
	t.Helper()
	parts, names, err := bundle.Split(b)
	if err != nil {
		t.Fatal(err)
	}
	s, err := bundle.NewSignedManifest(bundle.Manifest{Version: version, Parent: version - 1, Parts: names, Author: "ana"})
	if err != nil {
		t.Fatal(err)
	}
	return bundle.Sign(s, testKey(key)), parts
}

// fleet is a set of syncers that call each other directly.
type fleet struct {
	t       testing.TB
	store   *kv.MemoryStore
	checker *invariant.Checker

	mu      sync.Mutex
	members []Member
	syncers map[string]*Syncer
	// cut holds the nodes that are disconnected from all others.
	cut map[string]bool
}

func newFleet(t testing.TB) *fleet {
	return &fleet{
		t: t, store: kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 1)), checker: new(invariant.Checker),
		syncers: make(map[string]*Syncer), cut: make(map[string]bool),
	}
}

func (f *fleet) add(node, dataCentre string, router bool, store kv.Store) *Syncer {
	self := Member{Node: node, DataCentre: dataCentre, Region: "r", Router: router, Live: true}
	f.mu.Lock()
	defer f.mu.Unlock()
	k := New(Config{
		Self: self, Anchor: anchor, Store: store, Network: nodeNetwork{f, node}, Clock: clock.System{},
		Rand: rand.New(rand.NewPCG(7, uint64(len(f.members)))), Checker: f.checker, Log: zerolog.Nop(),
	})
	f.members = append(f.members, self)
	f.syncers[node] = k
	return k
}

func (f *fleet) setCut(node string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[node] = cut
}

// publish writes a version to the store as Propose does.
func (f *fleet) publish(version uint64, mark int) {
	f.t.Helper()
	client := kv.NewClient(f.store, kv.ClientConfig{Clock: clock.System{}, Random: rand.NewPCG(1, version)})
	base, err := ReadStoredBundle(f.t.Context(), f.store)
	if err != nil {
		f.t.Fatal(err)
	}
	s, parts := signedBundle(f.t, testBundle(mark), version, 1)
	if err := Propose(f.t.Context(), client, base, s, parts); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) versions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]uint64)
	for node, k := range f.syncers {
		out[node] = k.Version()
	}
	return out
}

// behind returns the nodes that do not hold version.
func (f *fleet) behind(version uint64) []string {
	var out []string
	for node, v := range f.versions() {
		if v != version {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

// nodeNetwork implements Network for one node.
type nodeNetwork struct {
	f    *fleet
	node string
}

func (v nodeNetwork) Members() []Member {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	return slices.Clone(v.f.members)
}

func (v nodeNetwork) Client(node string) PeerClient {
	v.f.mu.Lock()
	defer v.f.mu.Unlock()
	if v.f.syncers[node] == nil {
		return nil
	}
	return link{v, node}
}

// link calls another syncer unless one of the two is disconnected.
type link struct {
	nodeNetwork
	to string
}

func (l link) target() (*Syncer, error) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.cut[l.node] || l.f.cut[l.to] {
		return nil, errCut
	}
	return l.f.syncers[l.to], nil
}

func (l link) Sync(ctx context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	k, err := l.target()
	if err != nil {
		return nil, err
	}
	return k.Sync(ctx, in)
}

func (l link) FetchManifest(ctx context.Context, in *rpc.FetchManifestRequest) (*rpc.FetchManifestResponse, error) {
	k, err := l.target()
	if err != nil {
		return nil, err
	}
	return k.FetchManifest(ctx, in)
}

func (l link) FetchParts(ctx context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	k, err := l.target()
	if err != nil {
		return nil, err
	}
	return k.FetchParts(ctx, in)
}

// run starts the syncers and returns a function that stops them.
func (f *fleet) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, k := range f.syncers {
		wg.Go(func() { _ = k.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// TestSpread guards against a configuration that does not reach every process within
// 13 s, against more than two watches per data centre, and against control traffic
// above the budget.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 60 {
			node := fmt.Sprintf("n%02d", i)
			k := f.add(node, fmt.Sprintf("dc%d", i%3), i < 30, f.store)
			for j := range 100 {
				k.RecordCounter(&rpc.QualityCounter{Node: node, Workspace: fmt.Sprintf("workspace-%d", j), Model: "diary", Version: "1", Count: 1})
			}
		}
		f.publish(1, 1)
		stop := f.run()
		defer stop()
		time.Sleep(10 * time.Second)
		before := f.store.Usage()[kv.KindGet].Calls
		for version := uint64(2); version <= 6; version++ {
			f.publish(version, int(version))
			time.Sleep(13 * time.Second)
			if late := f.behind(version); len(late) > 0 {
				t.Fatalf("version %d is not in force at %v", version, late)
			}
		}
		const elapsed = 75
		worst := uint64(0)
		for node, k := range f.syncers {
			total := k.ControlBytes("sync") + k.ControlBytes("manifest") + k.ControlBytes("parts") + k.ControlBytes("store")
			worst = max(worst, total/elapsed)
			if total > elapsed*BytesPerSecond {
				t.Errorf("%s: %d control bytes in %d s", node, total, elapsed)
			}
		}
		usage := f.store.Usage()
		t.Logf("60 nodes, 65 s, 5 versions: %d reads, %d watches, at most %d B/s a node", usage[kv.KindGet].Calls-before, usage[kv.KindWatch].Calls, worst)
		// 6 watchers start one watch per version and renew the watch every 30 s.
		if got, most := usage[kv.KindWatch].Calls, uint64(6*(6+3)); got > most {
			t.Errorf("%d watches, at most %d expected", got, most)
		}
	})
}

// TestStart guards against a process that starts during a store outage and keeps an
// old peer's version when a peer with a newer one becomes reachable, and against a
// process that has a configuration without any source.
func TestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.store.SetFaults(kv.Faults{Outage: true})
		old := f.add("old", "dc0", true, f.store)
		recent := f.add("recent", "dc1", true, f.store)
		accept(t, old, 3, 3)
		accept(t, recent, 4, 4)
		f.setCut("old", true)
		f.setCut("recent", true)
		fresh := f.add("fresh", "dc2", false, f.store)
		stop := f.run()
		defer stop()
		time.Sleep(20 * time.Second)
		if fresh.Current() != nil {
			t.Fatal("holds a configuration without any source")
		}
		f.setCut("old", false)
		time.Sleep(10 * time.Second)
		if fresh.Version() != 3 {
			t.Fatalf("version %d from the old peer, want 3", fresh.Version())
		}
		f.setCut("recent", false)
		time.Sleep(30 * time.Second)
		if late := f.behind(4); len(late) > 0 {
			t.Fatalf("%v do not hold version 4", late)
		}
	})
}

func accept(t testing.TB, k *Syncer, version uint64, mark int) {
	t.Helper()
	s, parts := signedBundle(t, testBundle(mark), version, 1)
	if err := k.Accept(s, parts); err != nil {
		t.Fatal(err)
	}
}

// TestStoreRestored guards against processes that revert to a store restored with
// older content, and against a store that keeps the older content.
func TestStoreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 6 {
			f.add(fmt.Sprintf("n%d", i), fmt.Sprintf("dc%d", i%3), true, f.store)
		}
		f.publish(1, 1)
		f.publish(2, 2)
		old, err := f.store.Get(t.Context(), KeyCurrent)
		if err != nil {
			t.Fatal(err)
		}
		f.publish(3, 3)
		stop := f.run()
		defer stop()
		time.Sleep(20 * time.Second)
		now, err := f.store.Get(t.Context(), KeyCurrent)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.store.Put(t.Context(), KeyCurrent, old.Value, now.Revision, 0); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Second)
		if late := f.behind(3); len(late) > 0 {
			t.Fatalf("%v left version 3", late)
		}
		stored, err := ReadStoredBundle(t.Context(), f.store)
		if err != nil || stored.Manifest.Version != 3 {
			t.Fatalf("store holds version %d (%v), want 3", stored.Manifest.Version, err)
		}
		f.publish(4, 4)
		time.Sleep(13 * time.Second)
		if late := f.behind(4); len(late) > 0 {
			t.Fatalf("%v do not hold version 4", late)
		}
	})
}

// TestRefusals guards against accepting forged, replayed, forked and old
// configurations.
func TestRefusals(t *testing.T) {
	f := newFleet(t)
	k := f.add("n", "dc0", true, f.store)
	accept(t, k, 5, 5)
	oldKeys, newKeys := testBundle(6), testBundle(6)
	newKeys.Keys.Serial = 2
	newKeys.Keys = bundle.SignKeys(newKeys.Keys, testKey(9))
	selfSigned := testBundle(7)
	selfSigned.Keys = bundle.SignKeys(bundle.Keys{Operators: []bundle.OperatorKey{operator("eve", 3)}, SignOffs: 1, Serial: 3}, testKey(3))
	invalid := testBundle(8)
	invalid.Models[0].Current = "9"
	steps := []struct {
		name    string
		content *bundle.Bundle
		version uint64
		key     byte
		reason  string
	}{
		{"same again", testBundle(5), 5, 1, ""},
		{"replayed", testBundle(4), 4, 1, "older"},
		{"fork", testBundle(50), 5, 1, "forked"},
		{"forged", testBundle(6), 6, 3, "sign_offs"},
		{"own keys", selfSigned, 6, 3, "untrusted_keys"},
		{"invalid", invalid, 6, 1, "invalid"},
		{"keys changed", newKeys, 6, 1, ""},
		{"keys put back", oldKeys, 7, 1, "old_keys"},
	}
	for _, step := range steps {
		before := uint64(0)
		if step.reason != "" {
			before = k.RefusedCount(step.reason)
		}
		s, parts := signedBundle(t, step.content, step.version, step.key)
		err := k.Accept(s, parts)
		if (err == nil) != (step.reason == "") {
			t.Errorf("%s: got %v", step.name, err)
		}
		if step.reason != "" && k.RefusedCount(step.reason) != before+1 {
			t.Errorf("%s: not counted as %s: %v", step.name, step.reason, err)
		}
	}
	if k.Version() != 6 || f.checker.Total() != 0 {
		t.Errorf("version %d, violations %v", k.Version(), f.checker.Counts())
	}
}

// TestUnknownParts guards against dropping a part that only a newer version of the
// program knows, and against activating a version that requires such a part.
func TestUnknownParts(t *testing.T) {
	f := newFleet(t)
	k := f.add("n", "dc0", true, f.store)
	foreign := []byte(`{"new":true}`)
	for version, needs := range map[uint64][]string{1: nil, 2: {"policies"}} {
		s, parts := signedBundle(t, testBundle(1), version, 1)
		m, err := s.DecodeManifest()
		if err != nil {
			t.Fatal(err)
		}
		m.Parts["policies"] = bundle.HashOf(foreign)
		m.RequiredParts = needs
		parts[bundle.HashOf(foreign)] = foreign
		if s, err = bundle.NewSignedManifest(m); err != nil {
			t.Fatal(err)
		}
		err = k.Accept(bundle.Sign(s, testKey(1)), parts)
		if (version == 2) != errors.Is(err, bundle.ErrUnknownPart) {
			t.Errorf("version %d: %v", version, err)
		}
	}
	out, err := k.FetchParts(t.Context(), &rpc.FetchPartsRequest{Hashes: []string{string(bundle.HashOf(foreign))}})
	if err != nil || len(out.GetParts()) != 1 {
		t.Errorf("the foreign part is not served: %v", err)
	}
}

// TestRevertInvariantFires guards against an assertion that does not fire: it activates
// a lower version without the checks.
func TestRevertInvariantFires(t *testing.T) {
	f := newFleet(t)
	k := f.add("n", "dc0", true, f.store)
	accept(t, k, 5, 5)
	held := k.Current()
	k.activate(held, &Current{Version: 4, Bundle: held.Bundle})
	if f.checker.Counts()[ConfigurationReverted] != 1 {
		t.Errorf("violations: %v", f.checker.Counts())
	}
	if k.Version() != 5 {
		t.Errorf("version %d in force", k.Version())
	}
}

// TestPartition guards against an isolated process that keeps serving, against a
// process that stops although it reaches most data centres, and against a process
// that misses a version published while it was disconnected.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		cutStore := kv.NewMemoryStore(clock.System{}, rand.NewPCG(2, 2))
		for i := range 6 {
			f.add(fmt.Sprintf("n%d", i), fmt.Sprintf("dc%d", i%3), true, f.store)
		}
		lost := f.add("lost", "dc0", false, cutStore)
		f.publish(1, 1)
		stop := f.run()
		defer stop()
		time.Sleep(15 * time.Second)
		f.store.SetFaults(kv.Faults{Outage: true})
		cutStore.SetFaults(kv.Faults{Outage: true})
		time.Sleep(20 * time.Minute)
		for node, k := range f.syncers {
			if k.Isolated(time.Now()) {
				t.Errorf("%s is isolated by an outage of the store alone", node)
			}
		}
		f.setCut("lost", true)
		time.Sleep(4 * time.Minute)
		if lost.Isolated(time.Now()) {
			t.Error("isolated before isolated_serve_seconds")
		}
		f.store.SetFaults(kv.Faults{})
		f.publish(2, 2)
		time.Sleep(2 * time.Minute)
		if !lost.Isolated(time.Now()) {
			t.Error("serves although isolated for 6 min")
		}
		f.setCut("lost", false)
		time.Sleep(30 * time.Second)
		if lost.Isolated(time.Now()) || lost.Version() != 2 {
			t.Errorf("after the partition: version %d, isolated %v", lost.Version(), lost.Isolated(time.Now()))
		}
	})
}

// TestStops guards against a stop notice that does not reach every process or the
// store, also when the response to the write is lost, and against a process that
// starts later and misses the notice.
func TestStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for i := range 12 {
			f.add(fmt.Sprintf("n%02d", i), fmt.Sprintf("dc%d", i%3), i < 8, f.store)
		}
		f.publish(1, 1)
		stop := f.run()
		time.Sleep(10 * time.Second)
		f.store.SetFaults(kv.Faults{LoseNextResponses: 1})
		notice := &rpc.StopNotice{Model: "diary", Version: "2", Generation: 7, Origin: "n03"}
		f.syncers["n03"].RaiseStop(notice)
		f.syncers["n05"].RaiseStop(notice)
		f.syncers["n05"].RecordCounter(&rpc.QualityCounter{Node: "n05", Model: "diary", Version: "2", Count: 40})
		time.Sleep(15 * time.Second)
		for node, k := range f.syncers {
			if !k.Stops().Stopped("diary", "2", 7) || k.Stops().Stopped("diary", "2", 8) {
				t.Errorf("%s: notices %v", node, k.Stops().All())
			}
			if list := k.Counters(); len(list) != 1 || list[0].GetCount() != 40 {
				t.Errorf("%s: counters %v", node, list)
			}
		}
		stop()
		late := f.add("late", "dc0", false, f.store)
		for node := range f.syncers {
			f.setCut(node, true)
		}
		if err := late.ReadStops(t.Context()); err != nil || !late.Stops().Stopped("diary", "2", 7) {
			t.Errorf("not read from the store: %v", err)
		}
	})
}

// TestForgedPeer guards against a starting process that accepts a forged manifest
// because its version is the highest, and against a forged manifest that prevents
// a process from serving.
func TestForgedPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.store.SetFaults(kv.Faults{Outage: true})
		accept(t, f.add("honest", "dc0", true, f.store), 4, 4)
		s, parts := signedBundle(t, testBundle(99), 99, 3)
		encoded, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		forger := f.add("forger", "dc0", true, f.store)
		forger.current.Store(&Current{Bundle: testBundle(99), Version: 99, Signed: s, Encoded: encoded, Parts: parts})
		fresh := f.add("fresh", "dc1", false, f.store)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = fresh.Run(ctx)
		}()
		time.Sleep(20 * time.Second)
		if fresh.Version() != 4 || fresh.Behind() {
			t.Errorf("version %d, behind %v", fresh.Version(), fresh.Behind())
		}
		if fresh.RefusedCount("sign_offs") == 0 {
			t.Error("the forged manifest is not counted")
		}
		cancel()
		<-done
	})
}

// TestClaims guards against a false claim of a high version that permanently prevents
// an agent from serving.
func TestClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		k := f.add("agent", "dc0", false, f.store)
		liar := f.add("liar", "dc0", true, f.store)
		f.publish(1, 1)
		accept(t, k, 1, 1)
		accept(t, liar, 1, 1)
		k.ObserveVersion(1<<60, "liar")
		k.ObserveVersion(1<<61, "gone")
		if !k.Behind() {
			t.Fatal("does not know that it is behind")
		}
		stop := f.run()
		defer stop()
		time.Sleep(20 * time.Second)
		if k.Behind() {
			t.Error("false claims are kept")
		}
	})
}

// TestPrune guards against history that grows without limit and against a deletion
// that breaks a configuration that is still kept.
func TestPrune(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		for version := uint64(1); version <= MaxHistory+10; version++ {
			f.publish(version, int(version))
		}
		client := kv.NewClient(f.store, kv.ClientConfig{Clock: clock.System{}, Random: rand.NewPCG(1, 1)})
		if err := Prune(t.Context(), client); err != nil {
			t.Fatal(err)
		}
		entries, err := f.store.List(t.Context(), KeyHistory)
		if err != nil || len(entries) != MaxHistory {
			t.Fatalf("%d manifests kept: %v", len(entries), err)
		}
		// The models differ in each version, the 4 other parts are shared.
		parts, err := f.store.List(t.Context(), KeyPart)
		if err != nil || len(parts) != MaxHistory+1+4 {
			t.Errorf("%d parts kept: %v", len(parts), err)
		}
		for _, version := range []uint64{10, MaxHistory + 9} {
			if _, err := ReadHistory(t.Context(), f.store, version); err != nil {
				t.Error(err)
			}
		}
	})
}

// TestEraSpreads guards against agents, and routers that make no store calls, that do not learn of
// a restore of the store while they still keep their charges.
func TestEraSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const spread = 8 * time.Second
		f := newFleet(t)
		known := make(map[string]*atomic.Uint64)
		for i := range 40 {
			name := fmt.Sprintf("n%d", i)
			era := &atomic.Uint64{}
			known[name] = era
			k := f.add(name, fmt.Sprintf("dc%d", i%3), i < 10, f.store)
			k.cfg.StoreEra = era.Load
			k.cfg.ObserveStoreEra = func(heard uint64) {
				if heard > era.Load() {
					era.Store(heard)
					k.WakeForEra()
				}
			}
		}
		f.publish(1, 1)
		stop := f.run()
		defer stop()
		time.Sleep(20 * time.Second)
		f.syncers["n3"].cfg.ObserveStoreEra(1)
		time.Sleep(spread)
		for name, era := range known {
			if era.Load() != 1 {
				t.Errorf("%s does not know the era after %v", name, spread)
			}
		}
	})
}

// refusingStore is a store whose watches wait until refuse is closed, and then fail.
type refusingStore struct {
	kv.Store
	refuse chan struct{}
}

func (s *refusingStore) Watch(ctx context.Context, _ string, _ kv.Revision) (kv.Entry, error) {
	select {
	case <-s.refuse:
	case <-ctx.Done():
	}
	return kv.Entry{}, kv.ErrUnavailable
}

// TestWatcherCallsAgainAtOnce guards against a configuration that waits for a backoff after the
// store has returned: after one refused call, after an outage, and when a peer tells of a new era
// while a watch is waiting.
func TestWatcherCallsAgainAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		outage time.Duration
		bound  time.Duration
	}{
		"short outage": {300 * time.Millisecond, 800 * time.Millisecond},
		"long outage":  {time.Minute, 1600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.add("n0", "dc0", true, f.store)
				f.publish(1, 1)
				stop := f.run()
				defer stop()
				time.Sleep(20 * time.Second)
				f.store.SetFaults(kv.Faults{Outage: true})
				time.Sleep(c.outage)
				f.store.SetFaults(kv.Faults{})
				f.publish(2, 2)
				time.Sleep(c.bound)
				if late := f.behind(2); len(late) > 0 {
					t.Errorf("%v do not hold version 2 after %v", late, c.bound)
				}
			})
		})
	}
	t.Run("one refused call", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			store := &refusingStore{Store: f.store, refuse: make(chan struct{})}
			f.add("n0", "dc0", true, store)
			f.publish(1, 1)
			stop := f.run()
			defer stop()
			time.Sleep(20 * time.Second)
			f.publish(2, 2)
			close(store.refuse)
			synctest.Wait()
			if late := f.behind(2); len(late) > 0 {
				t.Errorf("%v do not hold version 2", late)
			}
		})
	})
	t.Run("new era", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			k := f.add("n0", "dc0", true, f.store)
			f.publish(1, 1)
			stop := f.run()
			defer stop()
			time.Sleep(20 * time.Second)
			before := f.store.Usage()[kv.KindGet].Calls
			k.WakeForEra()
			synctest.Wait()
			if f.store.Usage()[kv.KindGet].Calls == before {
				t.Error("the manifest is not read again")
			}
		})
	})
}

// arrivingPeer is a peer whose response arrives in some steps.
type arrivingPeer struct {
	PeerClient
	steps int
	step  time.Duration
}

func (p arrivingPeer) FetchParts(ctx context.Context, _ *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	for range p.steps {
		select {
		case <-time.After(p.step):
			transfer.Received(ctx)
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	return new(rpc.FetchPartsResponse), nil
}

// Guards against parts that a process on a thin link never gets, because their response is ended
// while it goes on arriving, and against one that waits for a silent peer.
func TestLongResponseOfAPeerIsReadToItsEnd(t *testing.T) {
	for _, c := range []struct {
		step time.Duration
		want error
	}{{peerTimeout / 2, nil}, {peerTimeout * 2, transfer.ErrNoProgress}} {
		synctest.Test(t, func(t *testing.T) {
			p := peerSource{client: arrivingPeer{steps: 8, step: c.step}}
			if _, err := p.fetch(t.Context(), new(rpc.FetchPartsRequest)); !errors.Is(err, c.want) {
				t.Errorf("a part of the response every %s: %v", c.step, err)
			}
		})
	}
}
