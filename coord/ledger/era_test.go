package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

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
