package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
)

// restorable is a store that can be restored and that loses responses.
type restorable struct {
	*kv.MemoryStore
	mu     sync.Mutex // makes calls and restores atomic
	random *rand.Rand
	lose   float64
}

func newRestorable(seed uint64) *restorable {
	return &restorable{MemoryStore: newTestStore(seed), random: rand.New(rand.NewPCG(seed, 3))}
}

func (s *restorable) restore(b *kv.Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Restore(b)
}

// connection is a client of a restorable store. Like the client of the platform's store, it puts
// the era above revisions and knows a new era from a response only.
type connection struct {
	*restorable
	seen  uint64
	pause func() // before and after each call
}

const testEraShift = 40

func (c *connection) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen
}

func (c *connection) call(lost error, run func(era uint64) error) error {
	c.pause()
	defer c.pause()
	c.mu.Lock()
	defer c.mu.Unlock()
	err := run(c.MemoryStore.Era())
	if c.random.Float64() < c.lose {
		return lost
	}
	c.seen = max(c.seen, c.MemoryStore.Era())
	return err
}

func (c *connection) Get(ctx context.Context, key string) (e kv.Entry, err error) {
	err = c.call(kv.ErrUnavailable, func(era uint64) error {
		e, err = c.MemoryStore.Get(ctx, key)
		e.Revision |= kv.Revision(era << testEraShift)
		return err
	})
	return e, err
}

func (c *connection) List(ctx context.Context, prefix string) (l []kv.Entry, err error) {
	err = c.call(kv.ErrUnavailable, func(era uint64) error {
		l, err = c.MemoryStore.List(ctx, prefix)
		for i := range l {
			l[i].Revision |= kv.Revision(era << testEraShift)
		}
		return err
	})
	return l, err
}

func (c *connection) Put(ctx context.Context, key string, v []byte, expect kv.Revision, lease kv.LeaseID) (r kv.Revision, err error) {
	err = c.call(kv.ErrUnknownOutcome, func(era uint64) error {
		if expect != 0 && uint64(expect>>testEraShift) != era {
			return kv.ErrConflict
		}
		r, err = c.MemoryStore.Put(ctx, key, v, expect&(1<<testEraShift-1), lease)
		r |= kv.Revision(era << testEraShift)
		return err
	})
	return r, err
}

func (c *connection) Delete(ctx context.Context, key string, expect kv.Revision) error {
	return c.call(kv.ErrUnknownOutcome, func(era uint64) error {
		if uint64(expect>>testEraShift) != era {
			return kv.ErrConflict
		}
		return c.MemoryStore.Delete(ctx, key, expect&(1<<testEraShift-1))
	})
}

// collector returns a collector with a connection of its own.
func (s *restorable) collector(chk *invariant.Checker, seed uint64, pause func()) *Collector {
	return newTestCollector(&connection{restorable: s, pause: pause}, chk, seed)
}

// A collector that has stored lines after the copy was taken must store them again when it
// notices the restore, whether that is by a write, by a read or because it hears of the era, and
// must leave no gap in the numbers of the segments. Another collector, whose log is that of the
// earlier era, must not count or acknowledge a line by it.
func TestCollectorAfterARestore(t *testing.T) {
	for name, notice := range map[string]func(t *testing.T, c *Collector){
		"by a write": func(t *testing.T, c *Collector) {
			if res, err := deliverAndFlush(c, testLine(5, 0, time.Now())); err != nil || len(res.Stored) != 1 || res.Era != 1 {
				t.Fatal(res, err)
			}
		},
		"by a fold": func(t *testing.T, c *Collector) {
			if err := errors.Join(c.Fold(context.Background()), c.Flush(context.Background())); err != nil {
				t.Fatal(err)
			}
		},
		"by hearing of it": func(t *testing.T, c *Collector) {
			c.cfg.HeardEra = func() uint64 { return 1 }
			if err := c.Flush(context.Background()); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, chk := newRestorable(1), &invariant.Checker{}
			a, b := s.collector(chk, 1, func() {}), s.collector(chk, 2, func() {})
			restored := 0
			a.cfg.OnRestored = func(_ uint64, lines int) { restored += lines }
			var backup *kv.Backup
			for i := range 5 {
				if i == 2 {
					backup = s.Backup()
				}
				if _, err := deliverAndFlush([]*Collector{a, b}[i%2], testLine(i, 0, time.Now())); err != nil {
					t.Fatal(err)
				}
			}
			s.restore(backup)
			notice(t, a)
			if res, err := deliverAndFlush(b, testLine(3, 0, time.Now()), testLine(6, 0, time.Now())); err != nil || len(res.Stored) != 2 || res.Era != 1 {
				t.Fatal(res, err)
			}
			report := checkBilledOnce(t, s, chk)
			for i := range 5 {
				if report.Sums[workspaceOf(i)].Lines != 1 {
					t.Errorf("line %d is lost", i)
				}
			}
			if restored != 3 {
				t.Errorf("%d lines stored again, want 3", restored)
			}
		})
	}
}

// A queue must deliver acknowledged lines again in a new era, must not accept an acknowledgement
// of the era before, and must bound what it keeps.
func TestQueueKeepsAcknowledgedLines(t *testing.T) {
	clk := clock.NewManual(time.Unix(1000, 0))
	q := NewQueue(clk, 2*maxKeptLines)
	commit := func(i int) []ID {
		q.Reserve()
		q.Commit(testLine(i, 0, clk.Now()))
		return []ID{testLine(i, 0, clk.Now()).ID()}
	}
	q.Acknowledge(commit(1), 0)
	clk.Advance(time.Hour)
	late := commit(2)
	if lines := q.Pending(0, 9); len(lines) != 1 || q.ObserveEra(1) != 1 || q.ObserveEra(1) != 0 {
		t.Fatal("a line must be kept while no acknowledgement shows that the store is available:", lines)
	}
	q.Acknowledge(late, 0)
	if lines := q.Pending(0, 9); len(lines) != 2 {
		t.Fatal("an acknowledgement of an earlier era must have no effect:", lines)
	}
	q.Acknowledge(late, 2)
	if lines := q.Pending(0, 9); len(lines) != 1 || q.Kept() != 1 {
		t.Fatal(lines, q.Kept())
	}
	clk.Advance(KeepFor + 1)
	for i := range maxKeptLines + 9 {
		q.Acknowledge(commit(i+3), 2)
	}
	if n := q.Kept(); n > maxKeptLines || n*keptLineBytes > maxKeptBytes || n < 4000 {
		t.Fatal(n, "lines kept")
	}
	if q.Requeue() == 0 || q.Kept() != 0 {
		t.Fatal("the kept lines must be handed over")
	}
}

// No line may be lost or billed twice when the store is restored from copies of up to a minute
// while collectors are paused around their calls, restart, fold and lose responses, as long as one
// holder of the line lives.
func TestRestoresBillOnce(t *testing.T) {
	checkRandomSteps(t, 10, 50, runRestores)
}

func runRestores(t *testing.T, seed uint64, steps int) {
	r := rand.New(rand.NewPCG(seed, 9))
	s, chk := newRestorable(seed), &invariant.Checker{}
	s.lose = 0.1
	pauses := rand.New(rand.NewPCG(seed, 10))
	var mu sync.Mutex
	pause := func() {
		mu.Lock()
		d := time.Duration(0)
		switch pauses.IntN(12) {
		case 0:
			d = time.Duration(pauses.Int64N(int64(20 * time.Second)))
		case 1, 2:
			d = time.Millisecond
		}
		mu.Unlock()
		time.Sleep(d)
	}
	collectors := []*Collector{s.collector(chk, seed, pause), s.collector(chk, seed+1, pause), s.collector(chk, seed+2, pause)}
	q := NewQueue(clock.System{}, 0)
	backup, taken := s.Backup(), time.Now()
	lines := 0
	deliver := func(c *Collector) {
		if pending := q.Pending(0, 1000); len(pending) > 0 {
			res, _ := deliverAndFlush(c, pending...)
			q.Acknowledge(res.Acknowledged(), res.Era)
		}
	}
	for range steps {
		var all sync.WaitGroup
		for range 1 + r.IntN(3) {
			q.Reserve()
			q.Commit(testLine(lines, 0, time.Now()))
			lines++
		}
		if time.Since(taken) > 30*time.Second || r.IntN(3) == 0 {
			backup, taken = s.Backup(), time.Now()
		}
		for _, k := range r.Perm(3)[:2] {
			c, fold := collectors[k], r.IntN(4) == 0
			all.Go(func() {
				deliver(c)
				if fold {
					_ = c.Fold(context.Background())
				}
			})
		}
		if r.IntN(4) == 0 && time.Since(taken) < time.Minute {
			after := time.Duration(r.Int64N(int64(20 * time.Second)))
			all.Go(func() {
				time.Sleep(after)
				s.restore(backup)
			})
		}
		all.Wait()
		if r.IntN(2) == 0 {
			q.ObserveEra(s.MemoryStore.Era())
		}
		if r.IntN(6) == 0 {
			collectors[r.IntN(3)] = s.collector(chk, r.Uint64(), pause)
		}
		if r.IntN(10) == 0 {
			time.Sleep(time.Duration(r.IntN(30)) * time.Minute)
		}
	}
	s.lose = 0
	q.ObserveEra(s.MemoryStore.Era())
	for i := 0; ; i++ {
		if held, _ := q.Len(); held == 0 {
			break
		}
		if i == 20 {
			t.Fatalf("seed %d: lines are not acknowledged", seed)
		}
		deliver(collectors[i%3])
	}
	report := checkBilledOnce(t, s, chk)
	for i := range lines {
		if report.Sums[workspaceOf(i)].Lines != 1 {
			t.Fatalf("seed %d: line %d of %d is billed %d times", seed, i, lines, report.Sums[workspaceOf(i)].Lines)
		}
	}
}

// A segment that a collector writes before it notices the restore is either in the log of all
// collectors or of none. It must not be deleted by its writer after another collector has read it,
// and must not be read by a collector for which another one has ended the log before it.
func TestSegmentsWrittenUnaware(t *testing.T) {
	s, chk := newRestorable(1), &invariant.Checker{}
	var writerPause, readerPause func()
	call := func(f *func()) func() {
		return func() {
			if run := *f; run != nil {
				*f = nil
				run()
			}
		}
	}
	mustStore := func(c *Collector, lines ...Line) {
		t.Helper()
		if res, err := deliverAndFlush(c, lines...); err != nil || len(res.Stored) != len(lines) {
			t.Fatal(res, err)
		}
	}
	writer := s.collector(chk, 1, call(&writerPause))
	mustStore(writer, testLine(0, 0, time.Now()))
	backup := s.Backup()
	s.restore(backup)
	// The pause before the call is followed by that after it.
	writerPause = func() {
		writerPause = func() { mustStore(s.collector(chk, 2, func() {}), testLine(1, 0, time.Now())) }
	}
	mustStore(writer, testLine(2, 0, time.Now()))
	checkBilledOnce(t, s, chk)
	if n := s.Usage()[kv.KindDelete].Calls; n != 0 {
		t.Errorf("%d segments deleted", n)
	}

	backup = s.Backup()
	s.restore(backup)
	calls := 0
	reader := s.collector(chk, 3, func() {
		// Its first two calls read the totals, since it learns the era from the first one.
		if calls++; calls == 5 {
			readerPause()
		}
	})
	readerPause = func() {
		mustStore(s.collector(chk, 4, func() {}), testLine(3, 0, time.Now()))
		mustStore(writer, testLine(3, 0, time.Now()), testLine(4, 0, time.Now()))
	}
	mustStore(reader, testLine(5, 0, time.Now()))
	if report := checkBilledOnce(t, s, chk); len(report.Sums) != 6 {
		t.Errorf("billed %v", report.Sums)
	}
}
