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

func newTestClient(s Store, perSecond float64) *Client {
	return NewClient(s, ClientConfig{
		Clock: clock.System{}, Random: rand.NewPCG(3, 4), CallsPerSecond: perSecond, Burst: 1000,
	})
}

// A lost response or a delayed write must not lose, duplicate or misreport a write:
// each PutOnce appends to a list under one key, and every append that returned nil
// must be in the list exactly once.
func TestPutOnceUnderLostResponses(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		loss := rapid.Float64Range(0, 0.9).Draw(rt, "loss")
		late := rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "late")
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			m := NewMemoryStore(clock.System{}, rand.NewPCG(seed, 1))
			m.SetFaults(Faults{LostResponseRate: loss, LateWriteRate: late, LateWriteDelay: 30 * time.Millisecond})
			c := newTestClient(m, 1e6)
			defer time.Sleep(time.Second) // lets the delayed writes complete
			var want []byte
			rev := Revision(0)
			for i := range byte(20) {
				next := append(append([]byte{}, want...), i)
				id := c.NewWriteID()
				e, err := c.PutOnce(ctx, "k", EncodeEnvelope(id, next), rev, 0, MatchWriteID(id))
				for errors.Is(err, ErrUnknownOutcome) {
					e, err = c.PutOnce(ctx, "k", EncodeEnvelope(id, next), rev, 0, MatchWriteID(id))
				}
				if err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				want, rev = next, e.Revision
			}
			time.Sleep(time.Second)
			e, _ := m.Get(ctx, "k")
			_, got, err := DecodeEnvelope(e.Value)
			if err != nil || string(got) != string(want) || e.Revision != rev {
				t.Fatalf("seed %d: stored %v, want %v (%v)", seed, got, want, err)
			}
			if late == 0 && m.Usage()[KindPut].Calls != 20 {
				t.Fatal("a write was retried although its effect was visible")
			}
		})
	})
}

// PutOnce must not take the value of another writer for its own, and must not
// report that nothing was written while the write may be in the store.
func TestPutOnceOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, m := context.Background(), newTestStore()
		c := newTestClient(m, 1e6)
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

// A client must not send more calls than its budget allows.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, m := context.Background(), newTestStore()
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
