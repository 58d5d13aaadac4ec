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
	// stopTimeout is when the run, like a platform, kills a process that was asked
	// to stop. It covers the longest request and the drain delay, with room for
	// the hand-over.
	stopTimeout     = 20 * time.Second
	retryDelay      = 200 * time.Millisecond
	operatorTimeout = 15 * time.Second
	// Parameters of the faults.
	slowStoreMs         = 700
	storeCallsPerSecond = 40.0
	lostResponseRate    = 0.5
	vmListLagMs         = 1500
	slowFactor          = 8.0
	resetBytes          = 400
	engineErrorRate     = 0.5
	badQuality          = 0.1
	serviceFaultCount   = 3
	faultTimeout        = 2 * time.Second
)

// runSchedule runs the actions at their times and returns when all have ended.
func (r *run) runSchedule(ctx context.Context, began time.Time, actions []Action) {
	var wait sync.WaitGroup
	for _, a := range actions {
		wait.Go(func() {
			if !pause(ctx, time.Until(began.Add(a.At))) {
				return
			}
			r.progressf("%s", a)
			r.runAction(ctx, a)
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

// runAction runs one action to its end.
func (r *run) runAction(ctx context.Context, a Action) {
	switch a.Kind {
	case KillProcess:
		r.recordFault(a, func() { r.kill(ctx, a) })
	case FreezeProcess:
		r.recordFault(a, func() { r.freeze(ctx, a) })
	case StopProcess:
		r.recordFault(a, func() { r.stop(ctx, a) })
	case VMLeaving:
		r.listAsLeaving(ctx, a)
	case DataCentreOut:
		r.runOperator(ctx, true, "dc", "out", a.Target)
		pause(ctx, a.For)
		r.runOperator(ctx, true, "dc", "in", a.Target)
	case DataCentreRace:
		r.raceDataCentreCommands(ctx, a)
	case ProposalRace:
		r.raceProposals(ctx, a)
	case RolloutStart:
		r.runOperator(ctx, false, "rollout", "start", "-id", "r"+a.Arg, "-steps", "0.25,0.5,1", modelSmall+"@"+a.Arg)
	case RolloutStep:
		r.runOperator(ctx, false, "rollout", "step", "r"+a.Arg)
	case RolloutHalt:
		r.runOperator(ctx, false, "rollout", "halt", "r"+a.Arg)
	case Rollback:
		r.runOperator(ctx, false, "rollback")
	case Withdraw:
		r.runOperator(ctx, false, "withdraw", "-replace", "1", modelSmall+"@"+a.Arg)
	default:
		r.injectFault(ctx, a)
	}
}

// recordFault calls f and records its duration as the time of the fault.
func (r *run) recordFault(a Action, f func()) {
	from := time.Now()
	f()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Faults = append(r.history.Faults, Interval{Kind: a.Kind, Target: a.Target, From: from, To: time.Now()})
}

func (r *run) kill(ctx context.Context, a Action) {
	r.expectExit(a.Target)
	if err := r.fleet.Kill(ctx, a.Target); err != nil {
		r.progressf("kill %s: %v", a.Target, err)
	}
	pause(ctx, a.For)
	r.restartProcess(a.Target)
}

func (r *run) freeze(ctx context.Context, a Action) {
	if err := r.fleet.Signal(a.Target, syscall.SIGSTOP); err != nil {
		r.progressf("freeze %s: %v", a.Target, err)
		return
	}
	pause(ctx, a.For)
	_ = r.fleet.Signal(a.Target, syscall.SIGCONT)
}

// stop asks the process to stop and restarts it after the time of the action.
func (r *run) stop(ctx context.Context, a Action) {
	s := PlannedStop{Process: a.Target, At: time.Now()}
	r.expectExit(a.Target)
	_ = r.fleet.Signal(a.Target, syscall.SIGTERM)
	bounded, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = r.fleet.Wait(bounded, a.Target)
	if bounded.Err() != nil {
		s.Killed = true
		_ = r.fleet.Kill(ctx, a.Target)
	}
	s.Ended = time.Now()
	r.mu.Lock()
	r.history.PlannedStops = append(r.history.PlannedStops, s)
	r.mu.Unlock()
	pause(ctx, a.For-time.Since(s.At))
	r.restartProcess(a.Target)
}

// expectExit marks the next exit of the process as caused by the run.
func (r *run) expectExit(vm string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expectedExits[vm] = true
}

func (r *run) restartProcess(vm string) {
	r.mu.Lock()
	r.incarnations[vm]++
	r.expectedExits[vm] = false
	r.mu.Unlock()
	if err := r.startProcess(vm); err != nil {
		r.progressf("start %s: %v", vm, err)
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
	return trace.NotFound("VM %s is not part of the deployment", vm)
}

// listAsLeaving lists a VM as leaving and then as live again. Depending on the
// argument, it does so once, right after a restart while the process is cold,
// or twice.
func (r *run) listAsLeaving(ctx context.Context, a Action) {
	times := 1
	if a.Arg == "twice" {
		times = 2
	}
	if a.Arg == "restart" {
		r.recordFault(Action{Kind: KillProcess, Target: a.Target}, func() { r.kill(ctx, Action{Target: a.Target}) })
	}
	for range times {
		lag := r.setVMState(ctx, a.Target, platform.VMLeaving)
		shown := time.Now().Add(lag)
		pause(ctx, a.For/time.Duration(times))
		r.mu.Lock()
		r.history.LeavingVMs = append(r.history.LeavingVMs, Interval{Kind: VMLeaving, Target: a.Target, From: shown, To: time.Now()})
		r.mu.Unlock()
		r.setVMState(ctx, a.Target, platform.VMLive)
		pause(ctx, retryDelay)
	}
}

// setVMState changes the state of a VM in the VM list and returns the lag of
// the list.
func (r *run) setVMState(ctx context.Context, name string, state platform.VMState) time.Duration {
	vm, err := r.fleet.VM(name)
	if err != nil {
		r.progressf("set VM state: %v", err)
		return 0
	}
	vm.State = state
	until := time.Now().Add(clearTimeout)
	for r.post(ctx, r.fleet.PlatformURL(fleet.VMListProcess)+"/vms", emulate.VMsChange{Set: []platform.VM{vm}}) != nil && time.Now().Before(until) {
		pause(ctx, retryDelay)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.vmListLag
}

// raceDataCentreCommands takes a data centre out of service and back in at the
// same time, and puts it back into service at the end.
func (r *run) raceDataCentreCommands(ctx context.Context, a Action) {
	r.operatorMu.Lock()
	var wait sync.WaitGroup
	for _, verb := range []string{"out", "in"} {
		wait.Go(func() { r.runOperatorOnce(ctx, "dc", verb, a.Target) })
	}
	wait.Wait()
	r.operatorMu.Unlock()
	pause(ctx, a.For)
	r.runOperator(ctx, true, "dc", "in", a.Target)
}

// raceProposals submits two changes that were made from the same
// configuration.
func (r *run) raceProposals(ctx context.Context, a Action) {
	vms := [2]string{engineVMs[0], serviceVMs[1]}
	race := Race{At: time.Now()}
	if r.proposeBoth(ctx, vms, &race) {
		race.StoreHealthy = !r.storeFaultSince(race.At)
		r.mu.Lock()
		r.history.Races = append(r.history.Races, race)
		r.mu.Unlock()
	}
	pause(ctx, a.For)
	for _, vm := range vms {
		r.runOperator(ctx, true, "vm", "in", vm)
	}
}

// proposeBoth prepares two proposals, submits them concurrently and stores the
// exit codes. It reports whether both could be prepared.
func (r *run) proposeBoth(ctx context.Context, vms [2]string, race *Race) bool {
	r.operatorMu.Lock()
	defer r.operatorMu.Unlock()
	var files [2]string
	for i, vm := range vms {
		files[i] = filepath.Join(r.options.Dir, fmt.Sprintf("proposal-%s-%d.json", vm, time.Now().UnixNano()))
		if r.runOperatorOnce(ctx, "vm", "out", "-out", files[i], vm) != 0 {
			return false
		}
	}
	var wait sync.WaitGroup
	for i := range files {
		wait.Go(func() { race.ExitCodes[i] = r.runOperatorOnce(ctx, "propose", files[i]) })
	}
	wait.Wait()
	return true
}

// storeFaultSince reports whether the store had a fault at any time since.
func (r *run) storeFaultSince(since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, f := range r.history.Faults {
		if isStoreFault(f.Kind) && f.overlaps(since, now) {
			return true
		}
	}
	return r.activeStoreFaults > 0
}

// runOperator runs an operators' command. With untilSuccess it repeats the
// command until it succeeds, up to operatorTimeout.
func (r *run) runOperator(ctx context.Context, untilSuccess bool, args ...string) {
	until := time.Now().Add(operatorTimeout)
	for {
		r.operatorMu.Lock()
		code := r.runOperatorOnce(ctx, args...)
		r.operatorMu.Unlock()
		if code == 0 || !untilSuccess || ctx.Err() != nil || time.Now().After(until) {
			return
		}
		pause(ctx, retryDelay)
	}
}

// runOperatorOnce runs an operators' command and returns its exit code, or -1
// if it did not run to its end.
func (r *run) runOperatorOnce(ctx context.Context, args ...string) int {
	_, err := r.fleet.RunOperatorCommand(ctx, args...)
	if err == nil {
		return 0
	}
	var exit *exec.ExitError
	code := -1
	if errors.As(err, &exit) {
		code = exit.ExitCode()
	}
	r.progressf("%v: exit code %d", args, code)
	return code
}

// injectFault posts a fault to its emulators and ends it after its duration.
func (r *run) injectFault(ctx context.Context, a Action) {
	targets, begin, end := r.faultOf(a)
	if isStoreFault(a.Kind) {
		r.countStoreFaults(1)
		defer r.countStoreFaults(-1)
	}
	r.recordFault(a, func() {
		if disruptsFaultCall(a.Kind) {
			_ = r.post(ctx, targets[0]+"/faults", begin)
		} else {
			r.postFaults(ctx, targets, begin)
		}
		pause(ctx, a.For)
		if end != nil {
			r.postFaults(ctx, targets, end)
		}
	})
}

// disruptsFaultCall reports whether the fault also breaks the HTTP call that
// injects it. Such a fault is posted only once, since a retry would begin it
// again after its end.
func disruptsFaultCall(k Kind) bool {
	return k == EngineFreeze || k == EngineCrash || k == ServiceCrash
}

func (r *run) countStoreFaults(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeStoreFaults += n
}

// postFaults posts the body to each target and retries up to clearTimeout.
func (r *run) postFaults(ctx context.Context, targets []string, body any) {
	for _, base := range targets {
		until := time.Now().Add(clearTimeout)
		for r.post(ctx, base+"/faults", body) != nil && ctx.Err() == nil && time.Now().Before(until) {
			pause(ctx, retryDelay)
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
