package idempotency

import (
	"context"
	"math/rand/v2"
	"testing"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
)

// BenchmarkKeys measures the store calls that 1,000 requests with idempotency keys
// need before dispatch, and how many of the requests can be dispatched while the
// store works, loses responses or is down. Bound keys are chosen by the caller and
// bound to their home in the store; generated ("named") keys contain their home.
func BenchmarkKeys(b *testing.B) {
	states := map[string]kv.Faults{"up": {}, "lost responses": {LostResponseRate: 0.01}, "outage": {Outage: true}}
	for name, faults := range states {
		b.Run("bound/"+name, func(b *testing.B) { benchmarkKeySource(b, faults, bindKey) })
		b.Run("named/"+name, func(b *testing.B) { benchmarkKeySource(b, faults, generateKey) })
	}
}

const keysPerIteration = 1000

type keySource func(client *kv.Client, keys *Generator, i int) error

func bindKey(client *kv.Client, _ *Generator, i int) error {
	_, err := Bind(context.Background(), client, "tickets", "aquarium", Key{15: byte(i), 14: byte(i >> 8)}, 1)
	return err
}

func generateKey(_ *kv.Client, keys *Generator, _ int) error {
	_, err := keys.New(1)
	return err
}

func benchmarkKeySource(b *testing.B, faults kv.Faults, next keySource) {
	for b.Loop() {
		store := kv.NewMemoryStore(clock.System{}, rand.NewPCG(1, 1))
		store.SetFaults(faults)
		client := kv.NewClient(store, kv.ClientConfig{
			Clock: clock.System{}, Random: rand.NewPCG(1, 2), CallsPerSecond: 1e6, Burst: 1 << 20,
			MaxAttempts: 1,
		})
		keys := NewGenerator(clock.System{}, rand.NewPCG(1, 3))
		ready := 0
		for i := range keysPerIteration {
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
