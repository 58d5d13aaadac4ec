// Package soak runs a whole deployment of real processes under load and checks
// the guarantees of the design. Faults and operators' actions are derived from
// a seed; the checks use the records of callers, backend servers, processes
// and the ledger.
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

// Times of the phases before and after the faults.
const (
	// recoveryBound is the time after the last fault within which all requests
	// must be served again. It is the longest adaptive timeout of failure
	// detection (15 s, the limit of package router), which is longer than
	// configurationBound (13 s).
	recoveryBound = 15 * time.Second
	// faultFreeEnd is the time without faults that is checked after recoveryBound.
	faultFreeEnd = 4 * time.Second
	// chargesTimeout is how long charges may stay undelivered after the load.
	// Agents deliver after 15 s and then every 2 s; collectors write every second.
	chargesTimeout    = 30 * time.Second
	chargesInterval   = 2 * time.Second
	startTimeout      = 30 * time.Second
	clearTimeout      = 10 * time.Second
	finalSamplingTime = 500 * time.Millisecond
)

// MinDuration is the shortest duration for which faults can be scheduled.
const MinDuration = 8 * time.Second

// Options of a run.
type Options struct {
	// ToolPath and DaemonPath are the paths of the two binaries.
	ToolPath   string
	DaemonPath string
	// Dir holds settings, keys and logs.
	Dir      string
	Seed     uint64
	Duration time.Duration
	// StoreRestore adds a restore of the store from an older copy to the schedule.
	StoreRestore bool
	// Announcements adds engines that announce that they leave or pause.
	Announcements bool
	// Progress receives a line for each action and unexpected event; nil means
	// none.
	Progress io.Writer
}

// run is the state of a run.
type run struct {
	options       Options
	fleet         *fleet.Fleet
	spec          fleet.Spec
	balancer      *balancer
	loadGenerator *loadGenerator
	// operatorMu serialises operators' commands, except those that race on
	// purpose.
	operatorMu sync.Mutex

	mu            sync.Mutex
	history       History
	incarnations  map[string]int
	expectedExits map[string]bool
	vmListLag     time.Duration
	// closing is set when the run ends its processes.
	closing bool
	// activeStoreFaults counts the store faults in force.
	activeStoreFaults int
}

// schedule returns the actions of the run.
func (o Options) schedule() []Action {
	actions := Schedule(o.Seed, o.Duration)
	if o.Announcements {
		actions = WithAnnouncements(actions, o.Seed, o.Duration)
	}
	if o.StoreRestore {
		actions = WithStoreRestore(actions, o.Seed, o.Duration)
	}
	return actions
}

// WriteSchedule prints the schedule of a run with these options.
func (o Options) WriteSchedule(w io.Writer) { WriteSchedule(w, o.schedule()) }

// Run starts the deployment, runs the schedule under load and checks the
// recorded history. An error means that the run could not be completed.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Duration < MinDuration {
		return nil, trace.BadParameter("duration must be at least %s", MinDuration)
	}
	r := &run{options: o, spec: deployment(), incarnations: make(map[string]int), expectedExits: make(map[string]bool)}
	if err := r.start(ctx); err != nil {
		if r.fleet != nil {
			r.stopAll()
		}
		return nil, trace.Wrap(err)
	}
	defer r.stopAll()
	actions := o.schedule()
	r.runLoad(ctx, actions)
	if err := r.awaitCharges(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	return r.report(actions), nil
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	r.spec.ToolPath, r.spec.DaemonPath, r.spec.Dir = r.options.ToolPath, r.options.DaemonPath, r.options.Dir
	r.spec.OnExit = r.processExited
	r.history.DataCentre = make(map[string]string)
	for _, router := range r.spec.Routers {
		r.history.Routers = append(r.history.Routers, router.VM)
		r.history.DataCentre[router.VM] = router.DataCentre
	}
	for _, a := range r.spec.Agents {
		r.history.DataCentre[a.VM] = a.DataCentre
	}
	var err error
	if r.fleet, err = fleet.New(ctx, r.spec); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.fleet.Start(ctx))
}

// runLoad sends the load, runs the actions and records the times of the
// phases.
func (r *run) runLoad(ctx context.Context, actions []Action) {
	observing, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	r.balancer = newBalancer(r.fleet, r.history.Routers)
	r.loadGenerator = newLoadGenerator(r, r.options.Seed)
	began := time.Now()
	r.history.LoadStart = began
	r.balancer.watch(observing)
	r.observe(observing)
	loadEnd := began.Add(r.options.Duration + recoveryBound + faultFreeEnd)
	var load sync.WaitGroup
	load.Go(func() { r.loadGenerator.send(ctx, loadEnd) })
	r.runSchedule(ctx, began, actions)
	r.clearFaults(ctx)
	r.history.FaultsEnd = time.Now()
	r.progressf("all faults cleared")
	load.Wait()
	r.history.LoadEnd = loadEnd
	time.Sleep(finalSamplingTime)
}

// stopAll ends all processes. Their exits are not recorded.
func (r *run) stopAll() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	r.fleet.Close()
}

// progressf writes a line to Options.Progress.
func (r *run) progressf(format string, args ...any) {
	if r.options.Progress == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.options.Progress, "%8.3fs %s\n", time.Since(r.history.LoadStart).Seconds(), fmt.Sprintf(format, args...))
}

// awaitCharges collects the records until all charges are stored or
// chargesTimeout has passed.
func (r *run) awaitCharges(ctx context.Context) error {
	until := time.Now().Add(chargesTimeout)
	for {
		if err := r.collect(ctx); err != nil {
			return trace.Wrap(err)
		}
		if len(checkBilledOnce(&r.history)) == 0 || time.Now().After(until) {
			return nil
		}
		time.Sleep(chargesInterval)
	}
}
