package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
)

const key = "permits/1"

func newTestStore(clk clock.Clock) (*kv.MemoryStore, Config) {
	m := kv.NewMemoryStore(clk, rand.NewPCG(1, 2))
	client := kv.NewClient(m, kv.ClientConfig{Clock: clk, Random: rand.NewPCG(3, 4), CallsPerSecond: 1e6, Burst: 1000})
	return m, Config{Client: client, Clock: clk, TTL: 10 * time.Second, SafetyMargin: 2 * time.Second}
}

// There must never be two valid holders: the lease of a paused holder must become
// invalid before the store grants it to another holder, whose token must be higher.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cfg := newTestStore(clock.System{})
		a, err := Acquire(ctx, cfg, key, "a")
		if err != nil || !a.Valid() {
			t.Fatal(err)
		}
		time.Sleep(cfg.TTL - cfg.SafetyMargin)
		if a.Valid() {
			t.Fatal("valid after the local deadline")
		}
		if _, err := Acquire(ctx, cfg, key, "b"); !errors.Is(err, ErrHeld) {
			t.Fatal("the store must still hold the lease:", err)
		}
		time.Sleep(cfg.SafetyMargin)
		b, err := Acquire(ctx, cfg, key, "b")
		if err != nil || b.FencingToken() <= a.FencingToken() {
			t.Fatal(err, a.FencingToken(), b.FencingToken())
		}
		if err := a.Renew(ctx); !errors.Is(err, ErrLost) || a.Valid() || !b.Valid() {
			t.Fatal(err)
		}
	})
}

// A clock step must not prolong a lease: each of the two clocks alone can end it,
// and a negative monotonic duration ends it immediately.
func TestClockSteps(t *testing.T) {
	const limit = 8 * time.Second
	for _, c := range []struct {
		monotonic, wall time.Duration
		deadlinePassed  bool
	}{
		{time.Second, time.Second, false},
		{time.Second, -time.Hour, false},
		{limit, -time.Hour, true},
		{time.Second, limit, true},
		{-time.Second, -time.Second, true},
	} {
		if got := deadlinePassed(c.monotonic, c.wall, limit); got != c.deadlinePassed {
			t.Errorf("%+v: %v", c, got)
		}
	}
	clk := clock.NewManual(time.Unix(1000, 0))
	_, cfg := newTestStore(clk)
	a, err := Acquire(context.Background(), cfg, key, "a")
	if err != nil {
		t.Fatal(err)
	}
	clk.Advance(limit)
	if a.Valid() {
		t.Fatal("valid after the deadline")
	}
	clk.Advance(-limit)
	if a.Valid() {
		t.Fatal("valid again after the clock was set back")
	}
}

// A lost response must not lock the holder out of its own lease, and the holder must
// notice an outage of the store that outlasts the lease.
func TestLostResponsesAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, cfg := newTestStore(clock.System{})
		m.SetFaults(kv.Faults{Delay: time.Millisecond})
		time.AfterFunc(1500*time.Microsecond, func() { m.SetFaults(kv.Faults{LoseNextResponses: 1}) })
		a, err := Acquire(ctx, cfg, key, "a")
		if err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- a.Run(ctx) }()
		time.Sleep(time.Minute)
		if !a.Valid() {
			t.Fatal("lease lost although it was renewed")
		}
		m.SetFaults(kv.Faults{Outage: true})
		time.Sleep(cfg.TTL)
		if a.Valid() {
			t.Fatal("valid during an outage that outlasts the lease")
		}
		m.SetFaults(kv.Faults{})
		time.Sleep(cfg.TTL)
		if err := <-ended; !errors.Is(err, ErrLost) || a.Valid() {
			t.Fatal(err)
		}
		cancel()
	})
}

// A renewal after Release must not make the lease valid again.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m, cfg := newTestStore(clock.System{})
		a, _ := Acquire(ctx, cfg, key, "a")
		m.SetFaults(kv.Faults{Outage: true})
		if err := a.Release(ctx); err == nil || a.Valid() {
			t.Fatal(err)
		}
		m.SetFaults(kv.Faults{})
		if err := a.Renew(ctx); err != nil || a.Valid() {
			t.Fatal(err)
		}
		if err := a.Release(ctx); err != nil {
			t.Fatal(err)
		}
		if _, err := Acquire(ctx, cfg, key, "b"); err != nil {
			t.Fatal(err)
		}
	})
}
