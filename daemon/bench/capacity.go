package bench

import (
	"context"
	"fmt"
	"time"

	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/platform"
)

const (
	// idleTime is the observation time at each size of the VM list. CPU times
	// have a resolution of 10 ms, 0.25% of a core.
	idleTime = 5 * time.Second
	// idleSettleTime is the time in which the processes read the changed VM
	// list and the router exchanges with all agents once. Afterwards it
	// exchanges with each of 64 agents every 9 s.
	idleSettleTime = 12 * time.Second
)

// RunCapacity measures how the cost of each role grows with the number of
// agents, processes, workspaces, requests and changes. docs/CAPACITY.md derives
// the requirements of the target size from these slopes.
func RunCapacity(ctx context.Context, o Options) (Report, error) {
	r := Report{Scenario: "capacity", Notes: fmt.Sprintf("slopes by size; load average at the start %.1f", loadAverage())}
	for _, part := range []func(*Report) error{
		viewRows, subsetRows, workspaceRows, changeRows, listRows, gossipRows, ledgerRows, heldRows, messageRows,
	} {
		if err := ctx.Err(); err != nil {
			return r, err
		}
		if err := part(&r); err != nil {
			return r, err
		}
	}
	return r, idleRows(ctx, &r)
}

// idleRows measures processes without traffic. The VM list is extended with
// further names for the same processes, so that all calls are answered: the
// router exchanges with 64 agents, and syncs with two routers per second.
func idleRows(ctx context.Context, r *Report) error {
	f, stop, err := startFleet(ctx, fleet.Sample())
	if err != nil {
		return err
	}
	defer stop()
	list := f.InitialVMs()
	size := len(list)
	for _, next := range []int{100, targetProcesses} {
		var more []platform.VM
		for ; size < next; size++ {
			vm := aliasOf(list, size)
			more = append(more, vm)
		}
		if err := postJSON(ctx, f.PlatformURL(fleet.VMListProcess)+"/vms", map[string]any{"set": more}); err != nil {
			return err
		}
		if err := measureIdle(ctx, r, f, next); err != nil {
			return err
		}
	}
	return nil
}

// aliasOf returns a VM with a new name and the address of a listed process. One
// in six aliases is a router.
func aliasOf(list []platform.VM, i int) platform.VM {
	var pool []platform.VM
	for _, vm := range list {
		if (vm.Role == platform.VMRouter) == (i%6 == 0) {
			pool = append(pool, vm)
		}
	}
	vm := pool[i%len(pool)]
	vm.Name = vmName(i)
	return vm
}

func measureIdle(ctx context.Context, r *Report, f *fleet.Fleet, size int) error {
	names := []string{"router-a", "router-b", "engine-a1", "engine-b1"}
	if err := pause(ctx, idleSettleTime); err != nil {
		return err
	}
	before, err := observe(ctx, f, names)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := pause(ctx, idleTime); err != nil {
		return err
	}
	after, err := observe(ctx, f, names)
	if err != nil {
		return err
	}
	seconds := time.Since(started).Seconds()
	for i, name := range names {
		r.Rows = append(r.Rows, idleRow(name, size, seconds, before.processes[i], after.processes[i]))
	}
	r.Rows = append(r.Rows, storeRow(size, seconds, before.store, after.store))
	return nil
}

// observation holds the state of some processes and of the store at one time.
type observation struct {
	processes []processState
	store     map[string]storeCalls
}

type processState struct {
	usage   fleet.Usage
	metrics map[string]float64
}

// storeCalls holds the store's counters of one type of call.
type storeCalls struct {
	Calls float64 `json:"calls"`
	Bytes float64 `json:"bytes"`
}

func observe(ctx context.Context, f *fleet.Fleet, names []string) (observation, error) {
	var o observation
	for _, name := range names {
		usage, err := f.Usage(name)
		if err != nil {
			return o, err
		}
		metrics, err := f.Metrics(ctx, name)
		if err != nil {
			return o, err
		}
		o.processes = append(o.processes, processState{usage, metrics})
	}
	return o, getJSON(ctx, f.PlatformURL(fleet.StoreProcess)+"/stats", &o.store)
}

// idleRow returns the row of one process. Its variant names the role, so that
// the range in the table covers both processes of a role.
func idleRow(name string, size int, seconds float64, before, after processState) Row {
	role := "router"
	if name[0] == 'e' {
		role = "agent"
	}
	values := []Value{
		{"CPU", "% of a core", 100 * (after.usage.CPU - before.usage.CPU).Seconds() / seconds},
		{"resident", "MB", float64(after.usage.Resident) / 1e6},
		{"heap", "MB", after.metrics["go_memstats_heap_alloc_bytes"] / 1e6},
		{"allocated", "MB/s", (after.metrics["go_memstats_alloc_bytes_total"] - before.metrics["go_memstats_alloc_bytes_total"]) / seconds / 1e6},
	}
	for _, kind := range []string{"sync", "exchange", "manifest", "parts", "store"} {
		counter := fmt.Sprintf("cactusknot_control_bytes_total{kind=%q}", kind)
		values = append(values, Value{kind + " traffic", "B/s", (after.metrics[counter] - before.metrics[counter]) / seconds})
	}
	return Row{Measure: "idle process", Variant: fmt.Sprintf("%s, %d processes", role, size), Values: values}
}

func storeRow(size int, seconds float64, before, after map[string]storeCalls) Row {
	row := Row{Measure: "store, idle", Variant: fmt.Sprintf("%d processes listed, 8 running", size)}
	for _, kind := range []string{"get", "list", "watch", "put", "grant", "keep_alive"} {
		row.Values = append(row.Values, Value{kind, "calls/s", (after[kind].Calls - before[kind].Calls) / seconds})
	}
	return row
}
