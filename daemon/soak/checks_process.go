package soak

import (
	"slices"
	"time"

	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
)

// interrupted are the codes of an attempt that lost its answer.
var interrupted = []int{
	result.OutcomeUnknown.Number, result.StreamBroken.Number, result.BackendError.Number, result.Internal.Number,
}

// checkStops: calls in progress at a router that stops get their answers, and so
// do attempts in progress at an agent that stops.
func checkStops(e *Evidence) ([]Violation, int) {
	v := &violations{name: "planned_stop_interrupts_nothing"}
	for _, s := range e.Stops {
		if s.Killed {
			v.add("", "%s was asked to stop at %s and had not ended after %s", s.Process, e.clock(s.At), stopBound)
		}
		if slices.Contains(e.Routers, s.Process) {
			e.checkRouterStop(v, s)
		} else {
			e.checkAgentStop(v, s)
		}
	}
	return v.list, len(e.Stops)
}

func (e *Evidence) checkRouterStop(v *violations, s Stop) {
	for _, c := range e.Calls {
		open := c.Router == s.Process && !c.Started.After(s.Ended) && !c.Ended.Before(s.At)
		if open && (c.Outcome == OutcomeCut || c.Outcome == OutcomeTransport) {
			v.add(c.RequestID, "%s through %s, which was asked to stop at %s, ended as %s: %s", c.Class, c.Router, e.clock(s.At), c.Outcome, c.Detail)
		}
	}
}

// checkAgentStop leaves out stops that coincide with a fault of the backend
// server, of the agent or of the router, which break answers as well.
func (e *Evidence) checkAgentStop(v *violations, s Stop) {
	from, to := s.At.Add(-faultEcho), s.Ended.Add(logResolution)
	if e.hit(s.Process, from, to, EngineCrash, EngineReset, EngineErrors, EngineFreeze, EngineCold, ServiceCrash,
		ServiceResetBefore, ServiceResetAfter, ServiceErrors, KillProcess, FreezeProcess) {
		return
	}
	for _, a := range e.Attempts {
		if a.VM != s.Process || a.At.Before(s.At.Add(-logResolution)) || a.At.After(to) || !slices.Contains(interrupted, a.Code) {
			continue
		}
		if !e.hit(a.Router, from, to, KillProcess, FreezeProcess) {
			v.add(a.RequestID, "attempt of %s at %s, which was asked to stop at %s and ended at %s: %s", a.Router, a.VM, e.clock(s.At), e.clock(s.Ended), a.Result)
		}
	}
}

// checkInForce: each process that lives for the whole time has the configuration.
func checkInForce(e *Evidence) ([]Violation, int) {
	v := &violations{name: "configuration_in_force"}
	checked := 0
	for _, a := range e.Accepted {
		until := a.At.Add(configurationBound)
		if until.After(e.Ended) || e.storeDown(a.At, until) {
			continue
		}
		for vm := range e.DataCentre {
			if e.hit(vm, a.At, until, KillProcess, StopProcess, FreezeProcess) || e.ended(vm, a.At, until) {
				continue
			}
			checked++
			has := slices.ContainsFunc(e.Samples, func(s Sample) bool {
				return s.Process == vm && s.Version >= a.Version && !s.At.Before(a.Earliest) && !s.At.After(until)
			})
			if !has {
				v.add("", "%s did not have version %d, accepted at %s, within %s", vm, a.Version, e.clock(a.At), configurationBound)
			}
		}
	}
	return v.list, checked
}

func (e *Evidence) storeDown(from, to time.Time) bool {
	return e.hit("", from, to, StoreOutage, StoreSlow, StoreLost, StoreLimit)
}

func checkReverts(e *Evidence) ([]Violation, int) {
	v := &violations{name: "configuration_never_reverts"}
	type incarnation struct {
		process string
		run     int
	}
	samples := slices.Clone(e.Samples)
	slices.SortStableFunc(samples, func(a, b Sample) int { return a.At.Compare(b.At) })
	highest := make(map[incarnation]uint64)
	for _, s := range samples {
		key := incarnation{s.Process, s.Run}
		if s.Version < highest[key] {
			v.add("", "%s went from version %d to %d at %s", s.Process, highest[key], s.Version, e.clock(s.At))
		}
		highest[key] = max(highest[key], s.Version)
	}
	return v.list, len(samples)
}

// exitConflict is the exit code of cactusctl when another change came first.
const exitConflict = 3

// checkRaces: of two proposals made from one configuration, one is accepted and
// the other one is told so.
func checkRaces(e *Evidence) ([]Violation, int) {
	v := &violations{name: "one_proposal_wins"}
	for _, r := range e.Races {
		codes := r.Codes
		slices.Sort(codes[:])
		both := codes == [2]int{0, 0}
		if both || r.StoreUp && codes != [2]int{0, exitConflict} {
			v.add("", "two proposals at %s ended with the exit codes %v", e.clock(r.At), r.Codes)
		}
	}
	return v.list, len(e.Races)
}

// checkInvariants: no process violates an invariant or ends by itself.
func checkInvariants(e *Evidence) ([]Violation, int) {
	v := &violations{name: "no_invariant_violated"}
	reported := make(map[string]bool)
	for _, s := range e.Samples {
		for _, name := range s.Violations {
			if key := s.Process + " " + name; !reported[key] {
				reported[key] = true
				v.add("", "%s at %s", key, e.clock(s.At))
			}
		}
	}
	for _, x := range e.Exits {
		const bySignal = -1
		fine := x.Expected && (x.Code == 0 || x.Code == bySignal)
		if x.Code == node.ExitInvariant || !fine {
			v.add("", "%s ended with exit code %d at %s", x.Process, x.Code, e.clock(x.At))
			v.list[len(v.list)-1].Log = lastLines(x.Log)
		}
	}
	return v.list, len(e.Samples)
}
