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

func setup(clk clock.Clock) (*kv.MemoryStore, Config) {
	m := kv.NewMemoryStore(clk, rand.NewPCG(1, 2))
	client := kv.NewClient(m, kv.ClientConfig{Clock: clk, Random: rand.NewPCG(3, 4), CallsPerSecond: 1e6, Burst: 1000})
	return m, Config{Client: client, Clock: clk, TTL: 10 * time.Second, SafetyMargin: 2 * time.Second}
}

// Guards against two valid holders: a paused holder must find its lease invalid
// before the store gives it away, and its token must be lower.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		_, cfg := setup(clock.System{})
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

// Guards against clock steps that prolong a lease: each of the two readings
// ends it alone, and a falling one ends it at once.
func TestClockSteps(t *testing.T) {
	const limit = 8 * time.Second
	for _, c := range []struct {
		monotonic, wall time.Duration
		over            bool
	}{
		{time.Second, time.Second, false},
		{time.Second, -time.Hour, false},
		{limit, -time.Hour, true},
		{time.Second, limit, true},
		{-time.Second, -time.Second, true},
	} {
		if got := over(c.monotonic, c.wall, limit); got != c.over {
			t.Errorf("%+v: %v", c, got)
		}
	}
	clk := clock.NewManual(time.Unix(1000, 0))
	_, cfg := setup(clk)
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
		t.Fatal("valid again after a step back")
	}
}

// Guards against lost answers that lock the holder out of its own lease, and
// against an outage that the holder does not notice.
func TestLostAnswersAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		m, cfg := setup(clock.System{})
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
			t.Fatal("lost although it was renewed")
		}
		m.SetFaults(kv.Faults{Outage: true})
		time.Sleep(cfg.TTL)
		if a.Valid() {
			t.Fatal("valid in an outage longer than the lease")
		}
		m.SetFaults(kv.Faults{})
		time.Sleep(cfg.TTL)
		if err := <-ended; !errors.Is(err, ErrLost) || a.Valid() {
			t.Fatal(err)
		}
		cancel()
	})
}

// Guards against a released lease that a late renewal revives.
func TestRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		m, cfg := setup(clock.System{})
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
