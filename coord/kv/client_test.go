package kv

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cactusknot.example/coord/clock"
)

func newClient(s Store, perSecond float64) *Client {
	return NewClient(s, ClientConfig{
		Clock: clock.System{}, Random: rand.NewPCG(3, 4), CallsPerSecond: perSecond, Burst: 1000,
	})
}

// Guards against lost answers that make a write appear twice, get lost or be
// reported wrongly: each PutOnce appends to a list under one key, and every
// append that returned nil must be there exactly once.
func TestPutOnceUnderLostAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.9).Draw(rt, "loss")
		late := rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "late")
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			m := NewMemoryStore(clock.System{}, rand.NewPCG(seed, 1))
			m.SetFaults(Faults{LostResponseRate: loss, LateWrites: late, LateBy: 30 * time.Millisecond})
			c := newClient(m, 1e6)
			defer time.Sleep(time.Second) // lets the late writes end
			var want []byte
			rev := Revision(0)
			for i := range byte(20) {
				next := append(append([]byte{}, want...), i)
				id := c.NewWriteID()
				e, err := c.PutOnce(ctx, "k", Seal(id, next), rev, 0, SameWrite(id))
				for errors.Is(err, ErrUnknownOutcome) {
					e, err = c.PutOnce(ctx, "k", Seal(id, next), rev, 0, SameWrite(id))
				}
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				want, rev = next, e.Revision
			}
			time.Sleep(time.Second)
			e, _ := m.Get(ctx, "k")
			_, got, err := Open(e.Value)
			if err != nil || string(got) != string(want) || e.Revision != rev {
				t.Fatalf("seed %d: stored %v, want %v (%v)", seed, got, want, err)
			}
			if late == 0 && m.Usage()[KindPut].Calls != 20 {
				t.Fatal("a write whose effect was visible was repeated")
			}
		})
	})
}

// Guards against taking another writer's value for one's own, and against a
// claim "nothing written" while the write may be in the store.
func TestPutOnceOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, m := context.Background(), newMemory()
		c := newClient(m, 1e6)
		if _, err := m.Put(ctx, "k", []byte("other"), 0, 0); err != nil {
			t.Fatal(err)
		}
		e, err := c.PutOnce(ctx, "k", []byte("mine"), 0, 0, MatchValue([]byte("mine")))
		if !errors.Is(err, ErrConflict) || string(e.Value) != "other" {
			t.Fatal(e, err)
		}
		m.SetFaults(Faults{Outage: true})
		if _, err := c.PutOnce(ctx, "l", nil, 0, 0, MatchValue(nil)); !errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknownOutcome) {
			t.Fatal(err)
		}
		m.SetFaults(Faults{LoseNextResponses: 1, Delay: time.Second})
		time.AfterFunc(1500*time.Millisecond, func() { m.SetFaults(Faults{Outage: true}) })
		if _, err := c.PutOnce(ctx, "l", nil, 0, 0, MatchValue(nil)); !errors.Is(err, ErrUnknownOutcome) {
			t.Fatal(err)
		}
	})
}

// Guards against a process that spends more calls than its budget.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, m := context.Background(), newMemory()
		c := NewClient(m, ClientConfig{Clock: clock.System{}, Random: rand.NewPCG(3, 4), CallsPerSecond: 0.5, Burst: 3})
		var refused int
		for range 10 {
			if _, err := c.Get(ctx, "k"); errors.Is(err, ErrBudgetExhausted) {
				refused++
			}
		}
		if calls := m.Usage()[KindGet].Calls; calls != 3 || refused != 7 {
			t.Fatal(calls, refused)
		}
	})
}
