package bench

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/loadgen"
	"cactusknot.example/daemon/routing"
)

const (
	// pathRate is the load in requests per second. A router of the target size
	// gets 22 requests per second.
	pathRate = 100
	// pathTime is the duration of one run. At 100 requests/s it gives 200
	// answers, 2 of which are above p99.
	pathTime   = 2 * time.Second
	pathWarmUp = time.Second
	// pathRuns is the maximum number of seeds, which keeps the scenario within
	// half a minute.
	pathRuns = 3
	// pathAgents is the number of agents in a router's subset.
	pathAgents = 64
)

// RunPath measures the overhead of router and agent per request. With each
// seed, the same load goes first directly to the emulated engine, then through
// both processes.
func RunPath(ctx context.Context, o Options) (Report, error) {
	r := Report{Scenario: "path", Notes: "added time, processor time and allocations of the request path"}
	f, stop, err := startFleet(ctx, pathFleet())
	if err != nil {
		return r, err
	}
	defer stop()
	if err := measurePath(ctx, &r, f, o); err != nil {
		return r, err
	}
	r.Rows = append(r.Rows, decisionRows()...)
	return r, nil
}

func measurePath(ctx context.Context, r *Report, f *fleet.Fleet, o Options) error {
	const vm = "engine-a1"
	if _, err := pathLoad(ctx, f.CallerURL("router-a"), 0, pathWarmUp); err != nil {
		return err
	}
	if _, err := pathLoad(ctx, f.BackendURL(vm), 0, pathWarmUp); err != nil {
		return err
	}
	for _, seed := range o.Seeds[:min(len(o.Seeds), pathRuns)] {
		direct, err := pathLoad(ctx, f.BackendURL(vm), seed, pathTime)
		if err != nil {
			return err
		}
		before, err := usages(f, "router-a", vm)
		if err != nil {
			return err
		}
		through, err := pathLoad(ctx, f.CallerURL("router-a"), seed, pathTime)
		if err != nil {
			return err
		}
		after, err := usages(f, "router-a", vm)
		if err != nil {
			return err
		}
		r.Rows = append(r.Rows, latencyRow("direct", seed, direct), latencyRow("through router and agent", seed, through))
		r.Rows = append(r.Rows, addedRow(seed, direct, through, before, after))
	}
	return nil
}

// pathFleet has one router, one agent and one warm engine with more capacity
// than the load needs and the same speed for every request.
func pathFleet() fleet.Spec {
	spec := fleet.Sample()
	const concurrent = 256
	engine := *spec.Agents[0].Engine
	engine.StartWarm = true
	engine.BatchLimit, engine.MaxHeld, engine.ColdMaxHeld = concurrent, 2*concurrent, concurrent
	engine.StepUs, engine.StepPerRequestUs, engine.PrefillUs = 2000, 0, 0
	engine.AnswerMin, engine.AnswerMax = 20, 60
	spec.Routers = spec.Routers[:1]
	spec.Agents = []fleet.AgentSpec{{
		VM: "engine-a1", DataCentre: "a", Engine: &engine, MaxConcurrent: concurrent, ColdConcurrent: concurrent,
	}}
	return spec
}

func pathLoad(ctx context.Context, target string, seed uint64, duration time.Duration) (*loadgen.Report, error) {
	report, err := loadgen.Run(ctx, loadgen.Options{
		Targets: []string{target}, Rate: pathRate, Duration: duration, Seed: seed,
		Workload: loadgen.Workload{
			Workspaces: []loadgen.Workspace{{Name: "aquarium", Key: fleet.SampleKey("aquarium"), Weight: 1}},
			Classes: []loadgen.Class{{
				Name: "chat", Weight: 1,
				Chat: &loadgen.Chat{Model: "small@1", Stream: true, PromptMin: 200, PromptMax: 800},
			}},
		},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if done := report.All.Codes[loadgen.CodeOK]; done != report.All.Requests {
		return nil, trace.Errorf("bench: %d of %d requests complete at %s: %v", done, report.All.Requests, target, report.All.Codes)
	}
	return report, nil
}

func usages(f *fleet.Fleet, names ...string) ([]fleet.Usage, error) {
	var out []fleet.Usage
	for _, name := range names {
		u, err := f.Usage(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		out = append(out, u)
	}
	return out, nil
}

func latencyRow(variant string, seed uint64, report *loadgen.Report) Row {
	first, total := report.All.FirstToken, report.All.Total
	return Row{Measure: "path", Variant: variant, Seed: seed, Values: []Value{
		{"first token p50", "ms", first.P50},
		{"first token p99", "ms", first.P99},
		{"total p50", "ms", total.P50},
		{"total p99", "ms", total.P99},
		{"requests", "", float64(report.All.Requests)},
		{"load average", "", loadAverage()},
	}}
}

func addedRow(seed uint64, direct, through *loadgen.Report, before, after []fleet.Usage) Row {
	perRequest := func(i int) float64 {
		return microseconds(after[i].CPU-before[i].CPU) / float64(through.All.Requests)
	}
	return Row{Measure: "path", Variant: "added", Seed: seed, Values: []Value{
		{"first token p50", "ms", through.All.FirstToken.P50 - direct.All.FirstToken.P50},
		{"first token p99", "ms", through.All.FirstToken.P99 - direct.All.FirstToken.P99},
		{"total p50", "ms", through.All.Total.P50 - direct.All.Total.P50},
		{"total p99", "ms", through.All.Total.P99 - direct.All.Total.P99},
		{"router CPU per request", "us", perRequest(0)},
		{"agent CPU per request", "us", perRequest(1)},
	}}
}

// decisionRows measures the two decisions of a request, routing and server
// choice, in this process.
func decisionRows() []Row {
	routes := routing.NewSnapshot(sizedBundle(1000), 1, nil, routing.Quality{})
	request := routing.Request{ID: "r", Workspace: "workspace-00500", Model: routing.AutoModel, Kind: "chat"}
	source := rand.NewPCG(1, 1)
	place := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			routes.Place(&request, source, nil)
		}
	})
	servers := sizedServers(pathAgents)
	random, now := rand.New(rand.NewPCG(1, 1)), time.Now()
	choose := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			servers.Choose(random, now, balance.Request{Target: "model-00@1"})
		}
	})
	row := func(name string, r testing.BenchmarkResult) Row {
		return Row{Measure: "decision", Variant: name, Values: []Value{
			{"time", "us", float64(r.NsPerOp()) / 1000},
			{"allocations", "", float64(r.AllocsPerOp())},
			{"allocated", "B", float64(r.AllocedBytesPerOp())},
		}}
	}
	return []Row{row("routing.Place", place), row("balance.Choose", choose)}
}

// sizedServers returns a snapshot of agents that have all versions of
// sizedBundle loaded.
func sizedServers(agents int) *balance.Snapshot {
	return balance.NewSnapshot(balance.Config{}, sizedAgents(agents), balance.Exclusion{})
}

func sizedAgents(agents int) []balance.Agent {
	var targets []string
	for _, m := range sizedBundle(0).Models {
		for _, v := range m.Versions {
			targets = append(targets, m.Name+"@"+v.Name)
		}
	}
	out := make([]balance.Agent, agents)
	for i := range out {
		out[i] = balance.Agent{
			VM: vmName(i), DataCentre: "dc-00", Phase: limit.Warm, Free: 10 + i%7, Limit: 32, ReportedAt: time.Now(),
			FirstTokenMS: float64(100 + i%50), Targets: targets, InFlight: &balance.InFlightCounter{},
		}
	}
	return out
}
