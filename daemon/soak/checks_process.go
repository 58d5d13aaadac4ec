package soak

import (
	"slices"
	"time"

	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/result"
)

// interruptedCodes are the result codes of attempts whose answer was lost.
var interruptedCodes = []int{
	result.OutcomeUnknown.Number, result.StreamBroken.Number, result.BackendError.Number, result.Internal.Number,
}

// checkPlannedStops: a planned stop of a router lets its calls in progress
// finish, and one of an agent lets its attempts in progress finish.
func checkPlannedStops(h *History) ([]Violation, int) {
	v := &violations{name: "planned_stop_interrupts_nothing"}
	for _, s := range h.PlannedStops {
		if s.Killed {
			v.add("", "%s was asked to stop at %s and was still running after %s", s.Process, h.sinceStart(s.At), stopTimeout)
		}
		if slices.Contains(h.Routers, s.Process) {
			h.checkRouterStop(v, s)
		} else {
			h.checkAgentStop(v, s)
		}
	}
	return v.list, len(h.PlannedStops)
}

func (h *History) checkRouterStop(v *violations, s PlannedStop) {
	for _, c := range h.Calls {
		open := c.Router == s.Process && !c.Started.After(s.Ended) && !c.Ended.Before(s.At)
		if open && (c.Outcome == OutcomeTruncated || c.Outcome == OutcomeTransportError) {
			v.add(c.RequestID, "%s through %s, which was asked to stop at %s, ended as %s: %s", c.Class, c.Router, h.sinceStart(s.At), c.Outcome, c.Detail)
		}
	}
}

// checkAgentStop ignores stops that coincide with a fault of the backend
// server, of the agent or of the router, since these break answers as well.
func (h *History) checkAgentStop(v *violations, s PlannedStop) {
	from, to := s.At.Add(-faultDetectionTime), s.Ended.Add(logResolution)
	if h.hadFault(s.Process, from, to, EngineCrash, EngineReset, EngineErrors, EngineFreeze, EngineCold, ServiceCrash,
		ServiceResetBefore, ServiceResetAfter, ServiceErrors, KillProcess, FreezeProcess) {
		return
	}
	for _, a := range h.Attempts {
		if a.VM != s.Process || a.At.Before(s.At.Add(-logResolution)) || a.At.After(to) || !slices.Contains(interruptedCodes, a.Code) {
			continue
		}
		if !h.hadFault(a.Router, from, to, KillProcess, FreezeProcess) {
			v.add(a.RequestID, "attempt of %s at %s, which was asked to stop at %s and ended at %s: %s", a.Router, a.VM, h.sinceStart(s.At), h.sinceStart(s.Ended), a.Result)
		}
	}
}

// checkConfigurationInForce: each process that runs throughout
// configurationBound has the accepted configuration by its end.
func checkConfigurationInForce(h *History) ([]Violation, int) {
	v := &violations{name: "configuration_in_force"}
	checked := 0
	for _, a := range h.Configurations {
		until := a.At.Add(configurationBound)
		if until.After(h.Ended) || h.storeFaulty(a.At, until) {
			continue
		}
		for vm := range h.DataCentre {
			if h.hadFault(vm, a.At, until, KillProcess, StopProcess, FreezeProcess) || h.exitedUnexpectedly(vm, a.At, until) {
				continue
			}
			checked++
			has := slices.ContainsFunc(h.Samples, func(s Sample) bool {
				return s.Process == vm && s.Version >= a.Version && !s.At.Before(a.Earliest) && !s.At.After(until)
			})
			if !has {
				v.add("", "%s did not have version %d, accepted at %s, within %s", vm, a.Version, h.sinceStart(a.At), configurationBound)
			}
		}
	}
	return v.list, checked
}

func (h *History) storeFaulty(from, to time.Time) bool {
	return h.hadFault("", from, to, StoreOutage, StoreSlow, StoreLostResponses, StoreRateLimit)
}

// checkConfigurationReverts: no process goes back to an older configuration
// while it runs.
func checkConfigurationReverts(h *History) ([]Violation, int) {
	v := &violations{name: "configuration_never_reverts"}
	type incarnation struct {
		process string
		run     int
	}
	samples := slices.Clone(h.Samples)
	slices.SortStableFunc(samples, func(a, b Sample) int { return a.At.Compare(b.At) })
	highest := make(map[incarnation]uint64)
	for _, s := range samples {
		key := incarnation{s.Process, s.Incarnation}
		if s.Version < highest[key] {
			v.add("", "%s went from version %d to %d at %s", s.Process, highest[key], s.Version, h.sinceStart(s.At))
		}
		highest[key] = max(highest[key], s.Version)
	}
	return v.list, len(samples)
}

// exitConflict is the exit code of cactusctl when another change was accepted
// first.
const exitConflict = 3

// checkProposalRaces: of two proposals made from the same configuration at
// most one is accepted. If the store is healthy, exactly one is, and the other
// one is reported as a conflict.
func checkProposalRaces(h *History) ([]Violation, int) {
	v := &violations{name: "one_proposal_wins"}
	for _, r := range h.Races {
		codes := r.ExitCodes
		slices.Sort(codes[:])
		both := codes == [2]int{0, 0}
		if both || r.StoreHealthy && codes != [2]int{0, exitConflict} {
			v.add("", "two proposals at %s ended with the exit codes %v", h.sinceStart(r.At), r.ExitCodes)
		}
	}
	return v.list, len(h.Races)
}

// checkInvariants: no process violates an invariant or exits by itself.
func checkInvariants(h *History) ([]Violation, int) {
	v := &violations{name: "no_invariant_violated"}
	reported := make(map[string]bool)
	for _, s := range h.Samples {
		for _, name := range s.Violations {
			if key := s.Process + " " + name; !reported[key] {
				reported[key] = true
				v.add("", "%s at %s", key, h.sinceStart(s.At))
			}
		}
	}
	for _, x := range h.Exits {
		const bySignal = -1
		fine := x.Expected && (x.Code == 0 || x.Code == bySignal)
		if x.Code == node.ExitCodeInvariant || !fine {
			v.add("", "%s exited with code %d at %s", x.Process, x.Code, h.sinceStart(x.At))
			v.list[len(v.list)-1].Log = lastLines(x.Log)
		}
	}
	return v.list, len(h.Samples)
}
