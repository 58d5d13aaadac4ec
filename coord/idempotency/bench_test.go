package idempotency

import (
	"context"
	"math/rand/v2"
	"testing"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
)

// BenchmarkKeys measures the store calls that 1,000 keyed requests cost before
// dispatch, and how many of them the store's state lets through, for keys that
// the store binds to their home and for keys that name it.
func BenchmarkKeys(b *testing.B) {
	states := map[string]kv.Faults{"up": {}, "lost answers": {LostResponseRate: 0.01}, "outage": {Outage: true}}
	for name, faults := range states {
		b.Run("bound/"+name, func(b *testing.B) { measureKeys(b, faults, bindKey) })
		b.Run("named/"+name, func(b *testing.B) { measureKeys(b, faults, nameKey) })
	}
}

const measuredKeys = 1000

type keyMaker func(client *kv.Client, keys *Generator, i int) error

func bindKey(client *kv.Client, _ *Generator, i int) error {
	_, err := Bind(context.Background(), client, "tickets", "aquarium", Key{15: byte(i), 14: byte(i >> 8)}, 1)
	return err
}

func nameKey(_ *kv.Client, keys *Generator, _ int) error {
	_, err := keys.New(1)
	return err
}

func measureKeys(b *testing.B, faults kv.Faults, next keyMaker) {
	for b.Loop() {
		store := kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 1))
		store.SetFaults(faults)
		client := kv.NewClient(store, kv.ClientConfig{
			Clock: clock.System{}, Random: rand.NewPCG(1, 2), CallsPerSecond: 1e6, Burst: 1 << 20,
			Attempts: 1,
		})
		keys := NewGenerator(clock.System{}, rand.NewPCG(1, 3))
		ready := 0
		for i := range measuredKeys {
			if next(client, keys, i) == nil {
				ready++
			}
		}
		calls := uint64(0)
		for _, usage := range store.Usage() {
			calls += usage.Calls
		}
		b.ReportMetric(float64(calls), "store-calls/1000")
		b.ReportMetric(float64(ready), "ready/1000")
	}
}
