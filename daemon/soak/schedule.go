package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault or operators' action.
type Kind string

// Kinds of actions. The comments say what Target and Arg hold.
const (
	// Faults of processes; Target is the VM.
	KillProcess   Kind = "kill"
	FreezeProcess Kind = "freeze"
	StopProcess   Kind = "planned_stop"
	// Faults of the store.
	StoreOutage        Kind = "store_outage"
	StoreSlow          Kind = "store_slow"
	StoreLostResponses Kind = "store_lost_answers"
	StoreRateLimit     Kind = "store_rate_limit"
	// StoreRestore restores the store from the copy that was taken at the begin.
	StoreRestore Kind = "store_restore"
	// Faults of the other services of the platform.
	VMListLag    Kind = "vm_list_lag"
	VMListOutage Kind = "vm_list_outage"
	RatingDown   Kind = "rating_down"
	// VMLeaving: Target is a VM of an agent.
	VMLeaving Kind = "vm_leaving"
	// Faults of engines; Target is the VM.
	EngineCrash  Kind = "engine_crash"
	EngineCold   Kind = "engine_cold"
	EngineReset  Kind = "engine_reset"
	EngineSlow   Kind = "engine_slow"
	EngineFreeze Kind = "engine_freeze"
	EngineErrors Kind = "engine_errors"
	// EngineLeaving and EnginePause: the engine announces it; Arg of a pause is its Retry-After.
	EngineLeaving Kind = "engine_leaving"
	EnginePause   Kind = "engine_pause"
	// BadVersion: Arg is the version of the small model.
	BadVersion Kind = "bad_version"
	// Faults of plain services; Target is the VM.
	ServiceResetBefore Kind = "service_reset_before"
	ServiceResetAfter  Kind = "service_reset_after"
	ServiceErrors      Kind = "service_errors"
	ServiceCrash       Kind = "service_crash"
	// Operators' actions; Target is the data centre, Arg the version.
	DataCentreOut  Kind = "dc_out_and_in"
	DataCentreRace Kind = "dc_out_races_in"
	ProposalRace   Kind = "two_proposals"
	RolloutStart   Kind = "rollout_start"
	RolloutStep    Kind = "rollout_step"
	RolloutHalt    Kind = "rollout_halt"
	Rollback       Kind = "rollback"
	Withdraw       Kind = "withdraw"
)

// Action is one fault or operators' action of a schedule.
type Action struct {
	// At is the time from the start of the load.
	At time.Duration `json:"at"`
	// For is how long the action lasts; 0 for actions without an end.
	For    time.Duration `json:"for"`
	Kind   Kind          `json:"kind"`
	Target string        `json:"target,omitempty"`
	Arg    string        `json:"arg,omitempty"`
}

// String formats the action as one line.
func (a Action) String() string {
	return fmt.Sprintf("%8.3fs %-20s %-10s %-4s for %.3fs", a.At.Seconds(), a.Kind, a.Target, a.Arg, a.For.Seconds())
}

// Times of a schedule.
const (
	// faultFreeStart is the time without faults at the beginning.
	faultFreeStart = 6 * time.Second
	minGap         = 600 * time.Millisecond
	maxGap         = 1800 * time.Millisecond
	minFaultTime   = 500 * time.Millisecond
	maxFaultTime   = 6 * time.Second
	// pairShare is the share of actions that are followed by a second one within
	// pairGap.
	pairShare = 0.4
	pairGap   = 300 * time.Millisecond
	// outageTime is the duration of the store outage that each schedule of
	// sufficient length contains.
	outageTime = 4 * time.Second
	// backupAge is the age of the copy from which the store is restored.
	backupAge = 5 * time.Second
)

// planner builds a schedule.
type planner struct {
	rng     *rand.Rand
	end     time.Duration
	actions []Action
}

// Schedule returns the actions for a seed, in order of time. All of them end
// by the given duration.
func Schedule(seed uint64, duration time.Duration) []Action {
	p := &planner{rng: rand.New(rand.NewPCG(seed, 2)), end: duration}
	p.addStoreOutage()
	at := faultFreeStart
	for at < duration-minFaultTime {
		p.addRandom(at)
		if p.rng.Float64() < pairShare {
			p.addRandom(at + p.between(0, pairGap))
		}
		at += p.between(minGap, maxGap)
	}
	slices.SortStableFunc(p.actions, func(a, b Action) int { return int(a.At - b.At) })
	return p.actions
}

// WithStoreRestore returns the schedule with a restore of the store at a time that the seed
// chooses.
func WithStoreRestore(actions []Action, seed uint64, duration time.Duration) []Action {
	p := &planner{rng: rand.New(rand.NewPCG(seed, 3)), end: duration, actions: slices.Clone(actions)}
	p.add(Action{At: p.between(faultFreeStart, max(duration-backupAge, faultFreeStart+1)), For: backupAge, Kind: StoreRestore, Target: "store"})
	slices.SortStableFunc(p.actions, func(a, b Action) int { return int(a.At - b.At) })
	return p.actions
}

// WriteSchedule prints a schedule.
func WriteSchedule(w io.Writer, actions []Action) {
	for _, a := range actions {
		fmt.Fprintln(w, a)
	}
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64(high-low))).Truncate(time.Millisecond)
}

// addStoreOutage adds the store outage during which bookings must complete.
// Schedules that are too short have none.
func (p *planner) addStoreOutage() {
	latest := p.end - outageTime - time.Second
	if latest <= faultFreeStart {
		return
	}
	p.add(Action{At: p.between(faultFreeStart, latest), For: outageTime, Kind: StoreOutage, Target: "store"})
}

// addRandom adds a random action at the given time unless its target is busy.
func (p *planner) addRandom(at time.Duration) {
	c := actionTemplates[p.rng.IntN(len(actionTemplates))]
	a := Action{At: at, Kind: c.kind, For: min(p.between(minFaultTime, maxFaultTime), p.end-at)}
	if len(c.targets) > 0 {
		a.Target = c.targets[p.rng.IntN(len(c.targets))]
	}
	if len(c.args) > 0 {
		a.Arg = c.args[p.rng.IntN(len(c.args))]
	}
	if c.instant {
		a.For = 0
	}
	if p.targetBusy(a) {
		return
	}
	p.add(a)
	if c.kind == StopProcess {
		p.addSecondStop(a)
	}
}

// addSecondStop adds a planned stop of another agent at the same time, if that
// agent is not busy.
func (p *planner) addSecondStop(first Action) {
	second := first
	second.Target = agentVMs[p.rng.IntN(len(agentVMs))]
	if second.Target != first.Target && !p.targetBusy(second) {
		p.add(second)
	}
}

// targetBusy reports whether another action on the same target overlaps with
// the action or is closer than minGap. This covers all actions on a data
// centre, because each of them ends with the data centre in service.
func (p *planner) targetBusy(a Action) bool {
	for _, b := range p.actions {
		if b.Target == a.Target && a.Target != "" && a.At < b.At+b.For+minGap && b.At < a.At+a.For+minGap {
			return true
		}
	}
	return false
}

func (p *planner) add(a Action) { p.actions = append(p.actions, a) }

// actionTemplate is a kind of action with its possible targets and arguments.
type actionTemplate struct {
	kind    Kind
	targets []string
	args    []string
	instant bool
}

var (
	routerVMs    = []string{"router-a", "router-b", "router-c"}
	engineVMs    = []string{"engine-a1", "engine-a2", "engine-b1", "engine-b2", "engine-c1", "engine-c2"}
	serviceVMs   = []string{"tickets-a", "tickets-b", "tickets-c"}
	agentVMs     = slices.Concat(engineVMs, serviceVMs)
	allVMs       = slices.Concat(routerVMs, agentVMs)
	storeTargets = []string{"store"}
)

// actionTemplates lists every kind; kinds listed more than once are more
// frequent.
var actionTemplates = []actionTemplate{
	{kind: KillProcess, targets: routerVMs},
	{kind: KillProcess, targets: engineVMs},
	{kind: KillProcess, targets: serviceVMs},
	{kind: FreezeProcess, targets: routerVMs},
	{kind: FreezeProcess, targets: agentVMs},
	{kind: StopProcess, targets: allVMs},
	{kind: StopProcess, targets: agentVMs},
	{kind: StoreOutage, targets: storeTargets},
	{kind: StoreSlow, targets: storeTargets},
	{kind: StoreLostResponses, targets: storeTargets},
	{kind: StoreRateLimit, targets: storeTargets},
	{kind: VMListLag, targets: []string{"vms"}},
	{kind: VMListOutage, targets: []string{"vms"}},
	{kind: VMLeaving, targets: agentVMs},
	{kind: VMLeaving, targets: engineVMs, args: []string{"", "restart", "twice"}},
	{kind: RatingDown, targets: []string{"rating"}},
	{kind: EngineCrash, targets: engineVMs},
	{kind: EngineCold, targets: engineVMs, instant: true},
	{kind: EngineReset, targets: engineVMs},
	{kind: EngineSlow, targets: engineVMs},
	{kind: EngineFreeze, targets: engineVMs},
	{kind: EngineErrors, targets: engineVMs},
	{kind: BadVersion, args: candidateVersions, instant: true},
	{kind: ServiceResetBefore, targets: serviceVMs},
	{kind: ServiceResetAfter, targets: serviceVMs},
	{kind: ServiceErrors, targets: serviceVMs},
	{kind: ServiceCrash, targets: serviceVMs},
	{kind: DataCentreOut, targets: dataCentres},
	{kind: DataCentreOut, targets: dataCentres},
	{kind: DataCentreRace, targets: dataCentres},
	{kind: ProposalRace, targets: []string{"proposals"}},
	{kind: RolloutStart, args: candidateVersions, instant: true},
	{kind: RolloutStart, args: candidateVersions, instant: true},
	{kind: RolloutStep, args: candidateVersions, instant: true},
	{kind: RolloutStep, args: candidateVersions, instant: true},
	{kind: RolloutHalt, args: candidateVersions, instant: true},
	{kind: Rollback, instant: true},
	{kind: Withdraw, args: candidateVersions, instant: true},
}
