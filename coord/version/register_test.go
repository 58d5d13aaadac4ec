package version

import (
	"context"
	"errors"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"cactusknot.example/coord/invariant"
)

func equalStrings(a, b string) bool { return a == b }

// The register must keep the highest version and its value, in whatever order
// versions are set.
func TestSetIfNewerKeepsHighestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(equalStrings, nil)
		var highest Value[string]
		for _, v := range rapid.SliceOf(rapid.Uint64Range(0, 6)).Draw(t, "versions") {
			data := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data")
			changed, err := r.SetIfNewer(v, data)
			switch {
			case v == 0 || v < highest.Version:
				if !errors.Is(err, ErrOlderVersion) {
					t.Fatalf("lower version: %v", err)
				}
			case v == highest.Version:
				if changed || (data != highest.Data) != errors.Is(err, ErrValueMismatch) {
					t.Fatalf("same version: %v %v", changed, err)
				}
			default:
				highest = Value[string]{v, data}
			}
			if got, _ := r.Load(); got != highest {
				t.Fatalf("current value %v, want %v", got, highest)
			}
		}
	})
}

// A waiting reader must not miss a published value and must see versions in
// ascending order.
func TestWaitReturnsAscendingVersions(t *testing.T) {
	const last = 500
	checker := &invariant.Checker{}
	r := New(equalStrings, checker)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for seen := uint64(0); seen < last; {
				v, err := r.Wait(context.Background(), seen)
				if err != nil || v.Version <= seen {
					t.Errorf("after %d: %v %v", seen, v, err)
					return
				}
				seen = v.Version
			}
		})
		wg.Go(func() {
			for v := uint64(1); v <= last; v++ {
				_, _ = r.SetIfNewer(v, "x")
			}
		})
	}
	wg.Wait()
	if checker.Total() != 0 {
		t.Fatal(checker.Counts())
	}
}

// The Reverted invariant must detect a lower version that reaches publish.
func TestRevertedIsAsserted(t *testing.T) {
	checker := &invariant.Checker{}
	r := New(equalStrings, checker)
	r.publish(Value[string]{Version: 2})
	r.publish(Value[string]{Version: 1})
	if v, _ := r.Load(); checker.Counts()[Reverted] != 1 || v.Version != 2 {
		t.Fatal(checker.Counts(), v)
	}
}
