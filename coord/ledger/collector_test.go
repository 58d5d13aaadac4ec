package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

// workspaceOf returns a separate workspace for each identity, so that the sums
// reveal an identity that was billed twice even after folding.
func workspaceOf(i int) string { return fmt.Sprintf("w%d", i) }

// hookedStore is a Store that calls before and after around each call. If one of them
// returns an error, the call returns it.
type hookedStore struct {
	kv.Store
	before, after func(key string) error
}

func (s *hookedStore) around(key string, call func() error) error {
	if err := s.before(key); err != nil {
		return err
	}
	err := call()
	if late := s.after(key); late != nil {
		return late
	}
	return err
}

func (s *hookedStore) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	err = s.around(key, func() error { e, err = s.Store.Get(ctx, key); return err })
	return e, err
}

func (s *hookedStore) List(ctx context.Context, prefix string) (l []kv.Entry, err error) {
	err = s.around(prefix, func() error { l, err = s.Store.List(ctx, prefix); return err })
	return l, err
}

func (s *hookedStore) Put(ctx context.Context, key string, v []byte, expect kv.Revision, lease kv.LeaseID) (r kv.Revision, err error) {
	err = s.around("put "+key, func() error { r, err = s.Store.Put(ctx, key, v, expect, lease); return err })
	return r, err
}

func (s *hookedStore) Delete(ctx context.Context, key string, expect kv.Revision) error {
	return s.around("delete "+key, func() error { return s.Store.Delete(ctx, key, expect) })
}

func noHook(string) error { return nil }

func newTestCollector(s kv.Store, chk *invariant.Checker, seed uint64) *Collector {
	client := kv.NewClient(s, kv.ClientConfig{
		Clock: clock.System{}, Random: rand.NewPCG(seed, 2), CallsPerSecond: 1e6, Burst: 1 << 20,
	})
	return NewCollector(CollectorConfig{Client: client, Clock: clock.System{}, Checker: chk, MaxBatchBytes: 600})
}

// deliverAndFlush delivers lines with a single flush.
func deliverAndFlush(c *Collector, lines ...Line) (Result, error) {
	d := &delivery{lines: lines, done: make(chan struct{})}
	c.enqueue(d)
	err := c.Flush(context.Background())
	return d.result, err
}

func newTestStore(seed uint64) *kv.MemoryStore {
	return kv.NewMemoryStore(clock.System{}, rand.NewPCG(seed, 1))
}

func checkBilledOnce(t interface{ Fatalf(string, ...any) }, s kv.Store, chk *invariant.Checker) AuditReport {
	r, err := Audit(context.Background(), s)
	if err != nil || len(r.Duplicates)+len(r.Gaps) > 0 || chk.Total() > 0 {
		t.Fatalf("audit: %v, twice %v, gaps %v, %v", err, r.Duplicates, r.Gaps, chk.Counts())
	}
	for workspace, sum := range r.Sums {
		if sum.Lines != 1 || sum.AmountMicros != 5 {
			t.Fatalf("%s: %+v", workspace, sum)
		}
	}
	return r
}

// No line may be billed twice or lost when collectors run concurrently, restart
// without state and fold, while responses are lost and the store has outages.
func TestCollectorsBillOnce(t *testing.T) {
	checkRandomSteps(t, 20, 60, runRandomSteps)
}

// checkRandomSteps runs a test on a virtual clock with random seeds and numbers of steps.
func checkRandomSteps(t *testing.T, minSteps, maxSteps int, run func(t *testing.T, seed uint64, steps int)) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		steps := rapid.IntRange(minSteps, maxSteps).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) { run(t, seed, steps) })
	})
}

func runRandomSteps(t *testing.T, seed uint64, steps int) {
	r := rand.New(rand.NewPCG(seed, 9))
	s, chk := newTestStore(seed), &invariant.Checker{}
	defer time.Sleep(5 * time.Hour) // lets the delayed writes complete
	fault := func() {
		s.SetFaults(kv.Faults{
			LostResponseRate: r.Float64() / 2, Outage: r.IntN(6) == 0, Delay: time.Millisecond,
			LateWriteRate: r.Float64() / 4, LateWriteDelay: time.Duration(r.Int64N(int64(4 * time.Hour))),
		})
	}
	collectors := []*Collector{newTestCollector(s, chk, seed), newTestCollector(s, chk, seed+1), newTestCollector(s, chk, seed+2)}
	var history []Line
	held, stored, disputed := map[ID]Line{}, map[ID]bool{}, map[ID]bool{}
	recordResult := func(res Result) {
		for _, id := range res.Stored {
			stored[id] = true
			delete(held, id)
		}
		for _, id := range res.Disputed {
			disputed[id] = true
			delete(held, id)
		}
	}
	for range steps {
		fault()
		for range r.IntN(4) {
			l := testLine(len(history), 0, time.Now())
			history = append(history, l)
			held[l.ID()] = l
		}
		var lines []Line
		for range min(len(history), r.IntN(4)) {
			// Another holder delivers its copy, possibly of a different attempt, at any age.
			l := history[r.IntN(len(history))]
			l.Attempt = uint32(r.IntN(3))
			l.CompletedMS += r.Int64N(DefaultDedupWindow.Milliseconds())
			lines = append(lines, l)
		}
		for _, l := range held {
			lines = append(lines, l)
		}
		done := make(chan Result, 2)
		for _, k := range r.Perm(3)[:2] {
			go func() {
				res, _ := deliverAndFlush(collectors[k], lines...)
				done <- res
			}()
		}
		recordResult(<-done)
		recordResult(<-done)
		k := r.IntN(3)
		var folds sync.WaitGroup
		for _, c := range collectors {
			folds.Go(func() { _ = c.Fold(context.Background()) })
		}
		folds.Wait()
		if r.IntN(5) == 0 {
			collectors[k] = newTestCollector(s, chk, r.Uint64())
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Minute)
	}
	s.SetFaults(kv.Faults{})
	for _, l := range held {
		res, err := deliverAndFlush(collectors[0], l)
		if err != nil || len(res.Acknowledged()) != 1 {
			t.Fatalf("seed %d: %v %v", seed, res, err)
		}
		recordResult(res)
	}
	time.Sleep(5 * time.Hour)
	report := checkBilledOnce(t, s, chk)
	for id := range stored {
		if w := workspaceOf(int(id.RequestID[0])<<8 | int(id.RequestID[1])); report.Sums[w].Lines != 1 {
			t.Fatalf("seed %d: %v was acknowledged but not billed", seed, id)
		}
	}
}

var errCrash = errors.New("crash")

// A collector may crash at any store call, before or after the call took effect. Its
// successor, which starts without state, must bill every line once and must not
// leave any folded segment in the store.
func TestCrashAtEachCall(t *testing.T) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			crashed := false
			synctest.Test(t, func(t *testing.T) { crashed = runWithCrash(t, at, after) })
			if !crashed {
				break
			}
			if at > 200 {
				t.Fatal("the collector made more than 200 store calls")
			}
		}
	}
}

func runWithCrash(t *testing.T, crashCall int, after bool) (crashed bool) {
	s, chk, calls := newTestStore(1), &invariant.Checker{}, 0
	hooked := &hookedStore{Store: s, before: noHook, after: noHook}
	count := func(string) error {
		if calls++; calls >= crashCall {
			crashed = true
			return errCrash
		}
		return nil
	}
	if after {
		hooked.after = func(string) error { return count("") }
		hooked.before = func(string) error {
			if crashed {
				return errCrash
			}
			return nil
		}
	} else {
		hooked.before = count
	}
	deliverEach := func(c *Collector, lines []Line) bool {
		for _, l := range lines {
			res, err := deliverAndFlush(c, l)
			if err != nil {
				return false
			}
			if len(res.Stored)+len(res.Disputed) != 1 {
				t.Fatalf("crash at %d, after %v: %+v", crashCall, after, res)
			}
		}
		return true
	}
	var lines []Line
	for i := range 4 {
		lines = append(lines, testLine(i, 0, time.Now()))
	}
	a := newTestCollector(hooked, chk, 1)
	if deliverEach(a, lines) {
		time.Sleep(2 * time.Hour)
		_ = a.Fold(context.Background())
	}
	b := newTestCollector(s, chk, 2)
	if !deliverEach(b, lines) {
		t.Fatal("the deliveries to the successor failed")
	}
	report := checkBilledOnce(t, s, chk)
	if len(report.Sums) != len(lines) {
		t.Fatalf("crash at %d, after %v: billed %v", crashCall, after, report.Sums)
	}
	for range 2 {
		time.Sleep(2 * time.Hour)
		if err := b.Fold(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if left, _ := s.List(context.Background(), "ledger/0/seg/"); len(left) != 0 || len(checkBilledOnce(t, s, chk).Sums) != len(lines) {
		t.Fatalf("crash at %d, after %v: %d segments left", crashCall, after, len(left))
	}
	return crashed
}

// A collector is paused before it writes a segment while another one writes, folds
// and deletes the segment with the same number. The delayed write succeeds but is
// never counted, so its lines must not be acknowledged as stored.
func TestPausedCollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, chk := newTestStore(1), &invariant.Checker{}
		paused := false
		hooked := &hookedStore{Store: s, before: noHook, after: noHook}
		hooked.before = func(key string) error {
			if !paused && strings.HasPrefix(key, "put ledger/0/seg") {
				paused = true
				time.Sleep(3 * time.Hour)
			}
			return nil
		}
		a, b := newTestCollector(hooked, chk, 1), newTestCollector(s, chk, 2)
		done := make(chan Result)
		shared, own := testLine(1, 0, time.Now()), testLine(2, 0, time.Now().Add(2*time.Hour))
		go func() {
			res, err := deliverAndFlush(a, shared, own)
			if err != nil {
				t.Error(err)
			}
			done <- res
		}()
		time.Sleep(time.Minute)
		if res, err := deliverAndFlush(b, shared); err != nil || len(res.Stored) != 1 {
			t.Error(res, err)
		}
		time.Sleep(100 * time.Minute)
		if err := b.Fold(context.Background()); err != nil {
			t.Error(err)
		}
		// The line whose completion time is in the future remains with its holder.
		res := <-done
		if len(res.Disputed) != 1 || res.Disputed[0] != shared.ID() {
			t.Error("a folded identity must be disputed:", res)
		}
		if res, err := deliverAndFlush(a, own); err != nil || len(res.Stored) != 1 {
			t.Error(res, err)
		}
		if report := checkBilledOnce(t, s, chk); len(report.Sums) != 2 {
			t.Error(report.Sums)
		}
	})
}

// Lines that could not be delivered during an outage must not become disputed, a
// line from a clock that is ahead must not raise the watermark, and a collector that
// restarts without state must not bill late lines.
func TestOutageClockSkewAndLateLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, chk := newTestStore(1), &invariant.Checker{}
		c := newTestCollector(s, chk, 1)
		early, waiting := testLine(1, 0, time.Now()), testLine(2, 0, time.Now().Add(time.Second))
		if _, err := deliverAndFlush(c, early); err != nil {
			t.Fatal(err)
		}
		s.SetFaults(kv.Faults{Outage: true})
		for range 5 {
			time.Sleep(30 * time.Minute)
			if _, err := deliverAndFlush(c, waiting); !errors.Is(err, kv.ErrUnavailable) {
				t.Fatal(err)
			}
		}
		s.SetFaults(kv.Faults{})
		if err := c.Fold(context.Background()); err != nil {
			t.Fatal(err)
		}
		if res, err := deliverAndFlush(c, waiting); err != nil || len(res.Stored) != 1 {
			t.Fatal("lines delivered after an outage must be billed:", res, err)
		}
		ahead := testLine(3, 0, time.Now().Add(time.Hour))
		if res, err := deliverAndFlush(c, ahead); err != nil || len(res.Acknowledged()) != 0 {
			t.Fatal("a line with a future completion time must remain with its holder:", res, err)
		}
		time.Sleep(2 * time.Hour)
		if err := c.Fold(context.Background()); err != nil {
			t.Fatal(err)
		}
		c = newTestCollector(s, chk, 2)
		late := testLine(4, 0, time.UnixMilli(waiting.CompletedMS))
		res, err := deliverAndFlush(c, early, late)
		if err != nil || len(res.Disputed) != 2 {
			t.Fatal(res, err)
		}
		if report := checkBilledOnce(t, s, chk); len(report.Sums) != 2 || len(report.Disputed) != 2 {
			t.Fatal(report)
		}
	})
}

// Deliver must not block forever and must not accept more than MaxQueuedLines.
func TestDeliverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, chk := newTestStore(1), &invariant.Checker{}
		c := newTestCollector(s, chk, 1)
		c.cfg.MaxQueuedLines = 20
		ctx, cancel := context.WithCancel(context.Background())
		for i := range 20 {
			go func() {
				if res, err := c.Deliver(ctx, []Line{testLine(i, 0, time.Now())}); err != nil || len(res.Stored) != 1 {
					t.Error(res, err)
				}
			}()
		}
		synctest.Wait()
		if _, err := c.Deliver(ctx, []Line{testLine(21, 0, time.Now())}); !errors.Is(err, ErrBusy) {
			t.Error(err)
		}
		if _, err := c.Deliver(ctx, []Line{{}}); !errors.Is(err, ErrInvalidLine) {
			t.Error(err)
		}
		go func() { _ = c.Run(ctx, func(err error) { t.Error(err) }) }()
		time.Sleep(3 * time.Hour)
		cancel()
		synctest.Wait()
		if report := checkBilledOnce(t, s, chk); len(report.Sums) != 20 || len(report.Stored) != 0 {
			t.Error(len(report.Sums), "billed,", len(report.Stored), "not folded")
		}
		if len(c.log.ids)+len(c.log.segments)+len(c.log.folded) != 0 {
			t.Error("the collector must not retain folded segments")
		}
	})
}

// The BilledTwice invariant and Audit must detect two segments with the same
// identity.
func TestBilledTwiceIsAsserted(t *testing.T) {
	ctx := context.Background()
	s, chk := newTestStore(1), &invariant.Checker{}
	for n := range uint64(2) {
		value := kv.EncodeEnvelope(kv.WriteID{byte(n)}, encodeLines(1, []Line{testLine(1, 0, time.Now())}))
		if _, err := s.Put(ctx, segmentKey(0, 0, n+1), value, 0, 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := deliverAndFlush(newTestCollector(s, chk, 1), testLine(2, 0, time.Now())); err != nil {
		t.Fatal(err)
	}
	report, err := Audit(ctx, s)
	if err != nil || len(report.Duplicates) != 1 || chk.Counts()[BilledTwice] != 1 {
		t.Fatal(report, err, chk.Counts())
	}
}

// Collectors that share FlushSlots must not flush concurrently, since they would
// exhaust the call budget together.
func TestSharedFlushSlots(t *testing.T) {
	store := newTestStore(1)
	var mu sync.Mutex
	shards := map[string]bool{}
	concurrent, maxConcurrent := 0, 0
	count := func(delta int) func(string) error {
		return func(key string) error {
			mu.Lock()
			defer mu.Unlock()
			concurrent += delta
			maxConcurrent = max(maxConcurrent, concurrent)
			shards[key] = true
			return nil
		}
	}
	hooked := &hookedStore{Store: store, before: count(1), after: count(-1)}
	flushes := make(chan struct{}, 1)
	var all sync.WaitGroup
	for shard := range uint32(8) {
		c := newTestCollector(hooked, nil, uint64(shard))
		c.cfg.Shard, c.cfg.FlushSlots = shard, flushes
		all.Go(func() {
			if _, err := deliverAndFlush(c, Line{RequestID: [16]byte{byte(shard)}, Workspace: "w"}); err != nil {
				t.Errorf("shard %d: %v", shard, err)
			}
		})
	}
	all.Wait()
	if maxConcurrent != 1 || len(shards) < 8 {
		t.Errorf("%d concurrent calls, keys %v", maxConcurrent, shards)
	}
}
