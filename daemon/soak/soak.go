// Package soak runs a whole deployment of real processes under load, with faults
// and operators' actions that follow from a seed, and checks the guarantees of
// the design on what callers, backend servers, processes and the ledger recorded.
package soak

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/fleet"
)

// Times after the faults have ended.
const (
	// recoveryBound is the time after the last fault within which every request
	// is served again: the longest adaptive timeout of suspicion (15 s, the bound
	// of package router), which is longer than the 13 s for a configuration.
	recoveryBound = 15 * time.Second
	// quietEnd is the fault-free time that is measured after recoveryBound.
	quietEnd = 4 * time.Second
	// settleBound is how long charges may stay undelivered after the load: agents
	// deliver after 15 s and every 2 s, collectors write every second.
	settleBound   = 30 * time.Second
	settlePause   = 2 * time.Second
	startTimeout  = 30 * time.Second
	healTimeout   = 10 * time.Second
	finalSampling = 500 * time.Millisecond
)

// MinDuration is the shortest time for faults.
const MinDuration = 8 * time.Second

// Options of a run.
type Options struct {
	// Tool and Daemon are the paths of the two binaries.
	Tool   string
	Daemon string
	// Dir gets settings, keys and logs.
	Dir      string
	Seed     uint64
	Duration time.Duration
	// Progress gets a line for each action; nil means none.
	Progress io.Writer
}

// run is the state of a run.
type run struct {
	options  Options
	fleet    *fleet.Fleet
	spec     fleet.Spec
	balancer *balancer
	traffic  *traffic
	// operators serialises operators' actions that don't race on purpose.
	operators sync.Mutex

	mu       sync.Mutex
	evidence Evidence
	runs     map[string]int
	expected map[string]bool
	lag      time.Duration
	// closing: the run ends its processes.
	closing bool
	// storeFaults counts the faults of the store that are in force.
	storeFaults int
}

// Run starts the deployment, carries out the schedule under load, and checks
// what was recorded. An error means that the run could not be carried out.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Duration < MinDuration {
		return nil, trace.BadParameter("duration must be at least %s", MinDuration)
	}
	r := &run{options: o, spec: deployment(), runs: make(map[string]int), expected: make(map[string]bool)}
	if err := r.start(ctx); err != nil {
		if r.fleet != nil {
			r.stopAll()
		}
		return nil, trace.Wrap(err)
	}
	defer r.stopAll()
	actions := Schedule(o.Seed, o.Duration)
	r.execute(ctx, actions)
	if err := r.settle(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	return r.report(actions), nil
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.spec.ToolPath, r.spec.DaemonPath, r.spec.Dir = r.options.Tool, r.options.Daemon, r.options.Dir
	r.spec.OnExit = r.exited
	r.evidence.DataCentre = make(map[string]string)
	for _, router := range r.spec.Routers {
		r.evidence.Routers = append(r.evidence.Routers, router.VM)
		r.evidence.DataCentre[router.VM] = router.DataCentre
	}
	for _, a := range r.spec.Agents {
		r.evidence.DataCentre[a.VM] = a.DataCentre
	}
	var err error
	if r.fleet, err = fleet.New(ctx, r.spec); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.fleet.Start(ctx))
}

// execute sends the load and carries out the actions.
func (r *run) execute(ctx context.Context, actions []Action) {
	observing, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	r.balancer = newBalancer(r.fleet, r.evidence.Routers)
	r.traffic = newTraffic(r, r.options.Seed)
	began := time.Now()
	r.evidence.Began = began
	r.balancer.watch(observing)
	r.observe(observing)
	loadEnd := began.Add(r.options.Duration + recoveryBound + quietEnd)
	var load sync.WaitGroup
	load.Go(func() { r.traffic.send(ctx, loadEnd) })
	r.perform(ctx, began, actions)
	r.healAll(ctx)
	r.evidence.FaultsEnd = time.Now()
	r.note("faults ended")
	load.Wait()
	r.evidence.LoadEnd = loadEnd
	time.Sleep(finalSampling)
}

// stopAll ends all processes; their exits are not part of the run.
func (r *run) stopAll() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.fleet.Close()
}

// note writes a line of progress.
func (r *run) note(format string, args ...any) {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.options.Progress, "%8.3fs %s\n", time.Since(r.evidence.Began).Seconds(), fmt.Sprintf(format, args...))
}

// settle waits until the charges are stored and gathers the records.
func (r *run) settle(ctx context.Context) error {
	until := time.Now().Add(settleBound)
	for {
		if err := r.gather(ctx); err != nil {
			return trace.Wrap(err)
		}
		if len(checkCharges(&r.evidence)) == 0 || time.Now().After(until) {
			return nil
		}
		time.Sleep(settlePause)
	}
}
