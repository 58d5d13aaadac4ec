package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/fleet"
	"cactusknot.example/daemon/platform"
)

const (
	// stopBound is when the run, like a platform, kills a process that was asked
	// to stop: the longest request and the drain delay, with room for the hand-over.
	stopBound   = 20 * time.Second
	retryPause  = 200 * time.Millisecond
	operateTime = 15 * time.Second
	// Settings of faults.
	slowStoreMs   = 700
	storeCalls    = 40.0
	lostShare     = 0.5
	vmListLagMs   = 1500
	slowFactor    = 8.0
	resetBytes    = 400
	engineErrors  = 0.5
	badQuality    = 0.1
	serviceResets = 3
	faultTimeout  = 2 * time.Second
)

// perform carries out the actions at their times and returns when all have ended.
func (r *run) perform(ctx context.Context, began time.Time, actions []Action) {
	var wait sync.WaitGroup
	for _, a := range actions {
		wait.Go(func() {
			if !pause(ctx, time.Until(began.Add(a.At))) {
				return
			}
			r.note("%s", a)
			r.act(ctx, a)
		})
	}
	pause(ctx, time.Until(began.Add(r.options.Duration)))
	wait.Wait()
}

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(max(d, 0)):
		return true
	}
}

// act carries out one action, its end included.
func (r *run) act(ctx context.Context, a Action) {
	switch a.Kind {
	case KillProcess:
		r.during(a, func() { r.kill(ctx, a) })
	case FreezeProcess:
		r.during(a, func() { r.freeze(ctx, a) })
	case StopProcess:
		r.during(a, func() { r.stop(ctx, a) })
	case VMLeaving:
		r.leave(ctx, a)
	case DataCentreOut:
		r.operate(ctx, true, "dc", "out", a.Target)
		pause(ctx, a.For)
		r.operate(ctx, true, "dc", "in", a.Target)
	case DataCentreRace:
		r.raceDataCentre(ctx, a)
	case ProposalRace:
		r.raceProposals(ctx, a)
	case RolloutStart:
		r.operate(ctx, false, "rollout", "start", "-id", "r"+a.Arg, "-steps", "0.25,0.5,1", modelSmall+"@"+a.Arg)
	case RolloutStep:
		r.operate(ctx, false, "rollout", "step", "r"+a.Arg)
	case RolloutHalt:
		r.operate(ctx, false, "rollout", "halt", "r"+a.Arg)
	case Rollback:
		r.operate(ctx, false, "rollback")
	case Withdraw:
		r.operate(ctx, false, "withdraw", "-replace", "1", modelSmall+"@"+a.Arg)
	default:
		r.injectFault(ctx, a)
	}
}

// during records the time of a fault.
func (r *run) during(a Action, f func()) {
	from := time.Now()
	f()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evidence.Faults = append(r.evidence.Faults, Interval{Kind: a.Kind, Target: a.Target, From: from, To: time.Now()})
}

func (r *run) kill(ctx context.Context, a Action) {
	r.expect(a.Target)
	if err := r.fleet.Kill(ctx, a.Target); err != nil {
		r.note("kill %s: %v", a.Target, err)
	}
	pause(ctx, a.For)
	r.startVM(a.Target)
}

func (r *run) freeze(ctx context.Context, a Action) {
	if err := r.fleet.Signal(a.Target, syscall.SIGSTOP); err != nil {
		r.note("freeze %s: %v", a.Target, err)
		return
	}
	pause(ctx, a.For)
	_ = r.fleet.Signal(a.Target, syscall.SIGCONT)
}

// stop asks the process to stop and starts it again.
func (r *run) stop(ctx context.Context, a Action) {
	s := Stop{Process: a.Target, At: time.Now()}
	r.expect(a.Target)
	_ = r.fleet.Signal(a.Target, syscall.SIGTERM)
	bounded, cancel := context.WithTimeout(ctx, stopBound)
	defer cancel()
	_ = r.fleet.Wait(bounded, a.Target)
	if bounded.Err() != nil {
		s.Killed = true
		_ = r.fleet.Kill(ctx, a.Target)
	}
	s.Ended = time.Now()
	r.mu.Lock()
	r.evidence.Stops = append(r.evidence.Stops, s)
	r.mu.Unlock()
	pause(ctx, a.For-time.Since(s.At))
	r.startVM(a.Target)
}

// expect marks the next exit of the process as caused by the run.
func (r *run) expect(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected[vm] = true
}

func (r *run) startVM(vm string) {
	r.mu.Lock()
	r.runs[vm]++
	r.expected[vm] = false
	r.mu.Unlock()
	if err := r.startProcess(vm); err != nil {
		r.note("start %s: %v", vm, err)
	}
}

func (r *run) startProcess(vm string) error {
	for _, s := range r.spec.Routers {
		if s.VM == vm {
			return r.fleet.StartRouter(s)
		}
	}
	for _, s := range r.spec.Agents {
		if s.VM == vm {
			return r.fleet.StartAgent(s)
		}
	}
	return trace.NotFound("VM %s", vm)
}

// leave lists a VM as leaving and then as live again. It may leave right after a
// start, during its cold start, or twice.
func (r *run) leave(ctx context.Context, a Action) {
	times := 1
	if a.Arg == "twice" {
		times = 2
	}
	if a.Arg == "restart" {
		r.during(Action{Kind: KillProcess, Target: a.Target}, func() { r.kill(ctx, Action{Target: a.Target}) })
	}
	for range times {
		lag := r.setVM(ctx, a.Target, platform.VMLeaving)
		shown := time.Now().Add(lag)
		pause(ctx, a.For/time.Duration(times))
		r.mu.Lock()
		r.evidence.Leaving = append(r.evidence.Leaving, Interval{Kind: VMLeaving, Target: a.Target, From: shown, To: time.Now()})
		r.mu.Unlock()
		r.setVM(ctx, a.Target, platform.VMLive)
		pause(ctx, retryPause)
	}
}

// setVM changes the state of a VM in the list and returns the lag of the list.
func (r *run) setVM(ctx context.Context, name string, state platform.VMState) time.Duration {
	vm, err := r.fleet.VM(name)
	if err != nil {
		r.note("leave: %v", err)
		return 0
	}
	vm.State = state
	until := time.Now().Add(healTimeout)
	for r.post(ctx, r.fleet.PlatformURL(fleet.VMListProcess)+"/vms", emulate.VMsChange{Set: []platform.VM{vm}}) != nil && time.Now().Before(until) {
		pause(ctx, retryPause)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lag
}

// raceDataCentre sends an order and its reversal at the same time.
func (r *run) raceDataCentre(ctx context.Context, a Action) {
	r.operators.Lock()
	var wait sync.WaitGroup
	for _, verb := range []string{"out", "in"} {
		wait.Go(func() { r.operateOnce(ctx, "dc", verb, a.Target) })
	}
	wait.Wait()
	r.operators.Unlock()
	pause(ctx, a.For)
	r.operate(ctx, true, "dc", "in", a.Target)
}

// raceProposals proposes two changes that were made from the same configuration.
func (r *run) raceProposals(ctx context.Context, a Action) {
	vms := [2]string{engineVMs[0], serviceVMs[1]}
	race := Race{At: time.Now()}
	if r.proposeBoth(ctx, vms, &race) {
		race.StoreUp = !r.storeFault(race.At)
		r.mu.Lock()
		r.evidence.Races = append(r.evidence.Races, race)
		r.mu.Unlock()
	}
	pause(ctx, a.For)
	for _, vm := range vms {
		r.operate(ctx, true, "vm", "in", vm)
	}
}

func (r *run) proposeBoth(ctx context.Context, vms [2]string, race *Race) bool {
	r.operators.Lock()
	defer r.operators.Unlock()
	var files [2]string
	for i, vm := range vms {
		files[i] = filepath.Join(r.options.Dir, fmt.Sprintf("proposal-%s-%d.json", vm, time.Now().UnixNano()))
		if r.operateOnce(ctx, "vm", "out", "-out", files[i], vm) != 0 {
			return false
		}
	}
	var wait sync.WaitGroup
	for i := range files {
		wait.Go(func() { race.Codes[i] = r.operateOnce(ctx, "propose", files[i]) })
	}
	wait.Wait()
	return true
}

// storeFault tells whether the store had a fault at any time since.
func (r *run) storeFault(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, f := range r.evidence.Faults {
		if isStoreFault(f.Kind) && f.overlaps(since, now) {
			return true
		}
	}
	return r.storeFaults > 0
}

// operate runs an operators' command; with must it is repeated until it succeeds.
func (r *run) operate(ctx context.Context, must bool, args ...string) {
	until := time.Now().Add(operateTime)
	for {
		r.operators.Lock()
		code := r.operateOnce(ctx, args...)
		r.operators.Unlock()
		if code == 0 || !must || ctx.Err() != nil || time.Now().After(until) {
			return
		}
		pause(ctx, retryPause)
	}
}

// operateOnce returns the exit code of an operators' command.
func (r *run) operateOnce(ctx context.Context, args ...string) int {
	_, err := r.fleet.RunOperatorCommand(ctx, args...)
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	code := -1
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	r.note("%v: exit code %d", args, code)
	return code
}

// injectFault posts a fault to an emulator and ends it after its time.
func (r *run) injectFault(ctx context.Context, a Action) {
	targets, begin, end := r.faultOf(a)
	if isStoreFault(a.Kind) {
		r.countStoreFaults(1)
		defer r.countStoreFaults(-1)
	}
	r.during(a, func() {
		if breaksControl(a.Kind) {
			_ = r.post(ctx, targets[0]+"/faults", begin)
		} else {
			r.postAll(ctx, targets, begin)
		}
		pause(ctx, a.For)
		if end != nil {
			r.postAll(ctx, targets, end)
		}
	})
}

// breaksControl tells whether the fault also breaks the call that orders it. It
// is ordered once: a repeated order would begin the fault again after its end.
func breaksControl(k Kind) bool {
	return k == EngineFreeze || k == EngineCrash || k == ServiceCrash
}

func (r *run) countStoreFaults(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeFaults += n
}

func (r *run) postAll(ctx context.Context, targets []string, body any) {
	for _, base := range targets {
		until := time.Now().Add(healTimeout)
		for r.post(ctx, base+"/faults", body) != nil && ctx.Err() == nil && time.Now().Before(until) {
			pause(ctx, retryPause)
		}
	}
}

func (r *run) post(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return trace.BadParameter("%s: status %d", url, response.StatusCode)
	}
	return nil
}
