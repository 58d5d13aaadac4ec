package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/coord/clock"
)

func newTestStore() *MemoryStore { return NewMemoryStore(clock.System{}, rand.NewPCG(1, 2)) }

// Writes must fail with ErrConflict unless the key has the expected revision.
func TestCompareAndSwap(t *testing.T) {
	ctx, m := context.Background(), newTestStore()
	first, err := m.Put(ctx, "k", []byte("a"), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Put(ctx, "k", []byte("b"), 0, 0); !errors.Is(err, ErrConflict) {
		t.Fatal(err)
	}
	second, err := m.Put(ctx, "k", []byte("b"), first, 0)
	if err != nil || second <= first {
		t.Fatal(second, err)
	}
	if err := m.Delete(ctx, "k", first); !errors.Is(err, ErrConflict) {
		t.Fatal(err)
	}
	if err := m.Delete(ctx, "k", second); err != nil {
		t.Fatal(err)
	}
}

// A lease must expire on time, and a waiting watch must notice both the expiry of
// the key's lease and an outage.
func TestLeaseExpiryAndOutageReachWatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, m := context.Background(), newTestStore()
		id, _ := m.Grant(ctx, time.Second)
		rev, _ := m.Put(ctx, "k", []byte("a"), 0, id)
		time.Sleep(900 * time.Millisecond)
		if err := m.KeepAlive(ctx, id); err != nil {
			t.Fatal(err)
		}
		before := time.Now()
		e, err := m.Watch(ctx, "k", rev)
		if err != nil || e.Revision != 0 || time.Since(before) != time.Second {
			t.Fatal(e, err, time.Since(before))
		}
		if err := m.KeepAlive(ctx, id); !errors.Is(err, ErrNotFound) {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() { m.SetFaults(Faults{Outage: true}) })
		if _, err := m.Watch(ctx, "k", 0); !errors.Is(err, ErrUnavailable) {
			t.Fatal(err)
		}
		if u := m.Usage()[KindWatch]; u.Calls != 2 {
			t.Fatal("a waiting watch must count as one call:", u)
		}
	})
}

// Injected faults must have the effects that they have in the platform's store.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, m := context.Background(), newTestStore()
		m.SetFaults(Faults{LoseNextResponses: 1})
		if _, err := m.Put(ctx, "k", []byte("a"), 0, 0); !errors.Is(err, ErrUnknownOutcome) {
			t.Fatal(err)
		}
		if _, err := m.Get(ctx, "k"); err != nil {
			t.Fatal("the write whose response was lost must have taken effect:", err)
		}
		m.SetFaults(Faults{CallsPerSecond: 2})
		_, _ = m.Get(ctx, "k")
		_, _ = m.Get(ctx, "k")
		if _, err := m.Get(ctx, "k"); !errors.Is(err, ErrRateLimited) || !errors.Is(err, ErrUnavailable) {
			t.Fatal(err)
		}
		m.SetFaults(Faults{Delay: time.Minute})
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		if _, err := m.Put(short, "l", nil, 0, 0); !errors.Is(err, ErrUnknownOutcome) {
			t.Fatal(err)
		}
	})
}
