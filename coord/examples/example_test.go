package examples_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/lease"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/coord/limit"
	"cactusknot.example/coord/stats"
	"cactusknot.example/coord/version"
)

// start is the initial time of the clocks in the examples.
var start = time.Date(2026, time.March, 1, 8, 0, 0, 0, time.UTC)

// newClient returns a client of an empty in-memory store.
func newClient(clk clock.Clock) *kv.Client {
	store := kv.NewMemoryStore(clk, rand.NewPCG(1, 1))
	return kv.NewClient(store, kv.ClientConfig{Clock: clk, Random: rand.NewPCG(1, 2)})
}

func Example_lease() {
	ctx := context.Background()
	clk := clock.NewManual(start)
	cfg := lease.Config{Client: newClient(clk), Clock: clk, TTL: 30 * time.Second, SafetyMargin: 10 * time.Second}

	first, err := lease.Acquire(ctx, cfg, "jobs/report", "vm-1")
	fmt.Println("vm-1:", err, first.Valid())
	_, err = lease.Acquire(ctx, cfg, "jobs/report", "vm-2")
	fmt.Println("vm-2:", err)

	// vm-1 is paused: its own deadline passes before the one of the store.
	clk.Advance(21 * time.Second)
	fmt.Println("vm-1 after 21 s:", first.Valid())
	clk.Advance(10 * time.Second)
	second, err := lease.Acquire(ctx, cfg, "jobs/report", "vm-2")
	fmt.Println("vm-2 after 31 s:", err, second.FencingToken() > first.FencingToken())
	// Output:
	// vm-1: <nil> true
	// vm-2: lease: held by another holder
	// vm-1 after 21 s: false
	// vm-2 after 31 s: <nil> true
}

func Example_version() {
	checker := &invariant.Checker{}
	held := version.New(func(a, b string) bool { return a == b }, checker)

	changed, err := held.SetIfNewer(7, "limit=10")
	fmt.Println(changed, err)
	_, err = held.SetIfNewer(6, "limit=5")
	fmt.Println(errors.Is(err, version.ErrOlderVersion))
	_, err = held.SetIfNewer(7, "limit=5")
	fmt.Println(errors.Is(err, version.ErrValueMismatch))
	value, _ := held.Load()
	fmt.Println(value.Version, value.Data, checker.Total())
	// Output:
	// true <nil>
	// true
	// true
	// 7 limit=10 0
}

func Example_admission() {
	admission, err := limit.NewAdmission(limit.AdmissionConfig{MaxRequests: 8, MaxTokens: 10_000, ColdLimit: 1}, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	permit, refusal := admission.Admit(500)
	fmt.Println("first:", refusal)
	_, refusal = admission.Admit(500)
	fmt.Println("second:", refusal)

	permit.RecordFirstToken(limit.FirstTokenSample{FirstToken: 80 * time.Millisecond, PromptTokens: 300})
	permit.Complete()
	admission.SetLeaving(true)
	_, refusal = admission.Admit(500)
	fmt.Println("leaving:", refusal, admission.State().Running)
	// Output:
	// first: not_refused
	// second: cold
	// leaving: leaving 0
}

func Example_idempotency() {
	ctx := context.Background()
	clk := clock.NewManual(start)
	const home, replacement = 0xa1, 0xb2
	records := idempotency.New(idempotency.Config{Home: home, Clock: clk})
	key, err := idempotency.NewGenerator(clk, rand.NewPCG(1, 3)).New(home)
	if err != nil {
		fmt.Println(err)
		return
	}
	body := idempotency.RequestHash{1}

	decision, ticket := records.Begin(key, body)
	fmt.Println("request:", decision)
	decision, _ = records.Begin(key, body)
	fmt.Println("retry while it runs:", decision)

	ticket.Finish(idempotency.Outcome{Kind: idempotency.OutcomeDone, Status: 201, Body: []byte("booked")})
	decision, ticket = records.Begin(key, body)
	outcome, err := ticket.Wait(ctx)
	fmt.Printf("retry afterwards: %s %s %v\n", decision, outcome.Body, err)
	decision, _ = records.Begin(key, idempotency.RequestHash{2})
	fmt.Println("another body:", decision)
	decision, _ = idempotency.New(idempotency.Config{Home: replacement, Clock: clk}).Begin(key, body)
	fmt.Println("at a new incarnation:", decision)
	// Output:
	// request: run
	// retry while it runs: join
	// retry afterwards: replay booked <nil>
	// another body: conflict
	// at a new incarnation: unknown
}

func Example_ledger() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clk := clock.System{}
	store := kv.NewMemoryStore(clk, rand.NewPCG(1, 4))
	client := kv.NewClient(store, kv.ClientConfig{Clock: clk, Random: rand.NewPCG(1, 5)})
	collector := ledger.NewCollector(ledger.CollectorConfig{Client: client, Clock: clk, BatchInterval: time.Millisecond})
	go func() { _ = collector.Run(ctx, nil) }()

	queue := ledger.NewQueue(clk, 1)
	fmt.Println("reserved:", queue.Reserve())
	fmt.Println("reserved while full:", queue.Reserve())
	queue.Commit(ledger.Line{
		RequestID: [16]byte{1}, Attempt: 1, Workspace: "creche", Model: "diary", Version: "3",
		TokensIn: 400, TokensOut: 90, AmountMicros: 76, BundleVersion: 7, CompletedMS: clk.Now().UnixMilli(),
	})

	// Delivering a line again, here after a lost acknowledgement, changes nothing.
	for range 2 {
		result, err := collector.Deliver(ctx, queue.Pending(0, 100))
		fmt.Println("stored:", len(result.Stored), err)
	}
	report, err := ledger.Audit(ctx, store)
	fmt.Println(report.Sums["creche"].Lines, report.Sums["creche"].AmountMicros, err)
	// Output:
	// reserved: true
	// reserved while full: false
	// stored: 1 <nil>
	// stored: 1 <nil>
	// 1 76 <nil>
}

func Example_stats() {
	one := stats.NewTable[string](stats.Node{Name: "vm-1", Incarnation: 1})
	two := stats.NewTable[string](stats.Node{Name: "vm-2", Incarnation: 1})
	for i := range 200 {
		bad := 0.0
		if i%2 == 0 {
			bad = 1
		}
		_ = one.Add("diary@3", 1)
		_ = two.Add("diary@4", bad)
	}
	// The same rows may arrive several times.
	rows, _ := two.Delta(0)
	for range 2 {
		if _, err := one.Merge(rows); err != nil {
			fmt.Println(err)
		}
	}
	base, candidate := one.Pooled("diary@3"), one.Pooled("diary@4")
	fmt.Println(base.Count, base.Mean(), candidate.Count, candidate.Mean())
	test := stats.Sequential{Method: stats.Betting, Level: 0.01, Margin: 0.02}
	fmt.Println("stop:", test.Worse(candidate, base).Rejected)
	fmt.Println("stop the good one:", test.Worse(base, base).Rejected)
	// Output:
	// 200 1 200 0.5
	// stop: true
	// stop the good one: false
}
