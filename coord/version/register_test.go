package version

import (
	"context"
	"errors"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"cactusknot.example/coord/invariant"
)

func equal(a, b string) bool { return a == b }

// Guards against a version that reverts or changes its content under any order
// of offers.
func TestOfferKeepsTheHighest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(equal, nil)
		var top Value[string]
		for _, v := range rapid.SliceOf(rapid.Uint64Range(0, 6)).Draw(t, "versions") {
			data := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data")
			changed, err := h.SetIfNewer(v, data)
			switch {
			case v == 0 || v < top.Version:
				if !errors.Is(err, ErrOlderVersion) {
					t.Fatalf("lower version: %v", err)
				}
			case v == top.Version:
				if changed || (data != top.Data) != errors.Is(err, ErrValueMismatch) {
					t.Fatalf("same version: %v %v", changed, err)
				}
			default:
				top = Value[string]{v, data}
			}
			if got, _ := h.Load(); got != top {
				t.Fatalf("held %v, want %v", got, top)
			}
		}
	})
}

// Guards against a waiting reader that misses a publication and against a
// reader that sees versions in falling order.
func TestWaitSeesRisingVersions(t *testing.T) {
	const last = 500
	chk := &invariant.Checker{}
	h := New(equal, chk)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for seen := uint64(0); seen < last; {
				v, err := h.Wait(context.Background(), seen)
				if err != nil || v.Version <= seen {
					t.Errorf("after %d: %v %v", seen, v, err)
					return
				}
				seen = v.Version
			}
		})
		wg.Go(func() {
			for v := uint64(1); v <= last; v++ {
				_, _ = h.SetIfNewer(v, "x")
			}
		})
	}
	wg.Wait()
	if chk.Total() != 0 {
		t.Fatal(chk.Counts())
	}
}

// Plants the defect: a lower version reaches publish.
func TestRevertedIsAsserted(t *testing.T) {
	chk := &invariant.Checker{}
	h := New(equal, chk)
	h.publish(Value[string]{Version: 2})
	h.publish(Value[string]{Version: 1})
	if v, _ := h.Load(); chk.Counts()[Reverted] != 1 || v.Version != 2 {
		t.Fatal(chk.Counts(), v)
	}
}
