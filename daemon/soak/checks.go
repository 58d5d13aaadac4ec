package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/result"
)

// codeWithdrawn is the refusal of a session whose version takes no new work.
var codeWithdrawn = result.VersionWithdrawn.Name

// Check proves one guarantee on the evidence of a run.
type Check struct {
	Name string
	// Guarantee is the number in section 1.1 of the design; 0 for others.
	Guarantee int
	// run returns the violations and the number of things that it looked at.
	run func(e *Evidence) ([]Violation, int)
}

// Checks returns all checks in order of their guarantees.
func Checks() []Check {
	return []Check{
		{"allowed_version", 1, checkAllowed},
		{"withdrawn_no_new_work", 2, checkWithdrawn},
		{"session_keeps_version", 3, checkSessions},
		{"billed_once", 4, func(e *Evidence) ([]Violation, int) { return checkCharges(e), len(e.Ledger.Stored) }},
		{"engine_not_overloaded", 5, checkOverloads},
		{"data_centre_out_no_new_work", 6, checkDataCentres},
		{"complete_own_answer", 7, checkAnswers},
		{"not_run_is_true", 8, checkNotRun},
		{"booking_at_most_once", 9, checkBookings},
		{"leaving_no_new_work", 10, checkLeaving},
		{"planned_stop_interrupts_nothing", 11, checkStops},
		{"configuration_in_force", 12, checkInForce},
		{"configuration_never_reverts", 12, checkReverts},
		{"one_proposal_wins", 12, checkRaces},
		{"no_invariant_violated", 0, checkInvariants},
		{"served_without_faults", 0, checkServed},
		{"recovery_time", 0, checkRecovery},
		{"bookings_during_store_outage", 0, checkOutageBookings},
	}
}

// violations collects what a check finds.
type violations struct {
	name string
	list []Violation
}

func (v *violations) add(request, format string, args ...any) {
	v.list = append(v.list, Violation{Check: v.name, Detail: fmt.Sprintf(format, args...), Request: request})
}

// span returns the times during which a property of the configuration held.
func (e *Evidence) span(holds func(*bundle.Bundle) bool) []Interval {
	var out []Interval
	var open *Interval
	for _, a := range e.byVersion() {
		switch now := holds(a.Bundle); {
		case now && open == nil:
			open = &Interval{From: a.At}
		case !now && open != nil:
			open.To = a.Earliest
			out = append(out, *open)
			open = nil
		}
	}
	if open != nil {
		open.To = e.Ended
		out = append(out, *open)
	}
	return out
}

func (e *Evidence) byVersion() []Accepted {
	sorted := slices.Clone(e.Accepted)
	slices.SortFunc(sorted, func(a, b Accepted) int { return int(a.Version) - int(b.Version) })
	return sorted
}

// enforced returns when an order of the time must be obeyed: after orderBound,
// counted from the end of an outage of the store or the VM list in between.
func (e *Evidence) enforced(from time.Time) time.Time {
	at := from.Add(orderBound)
	for changed := true; changed; {
		changed = false
		for _, f := range e.Faults {
			if !isStoreFault(f.Kind) && f.Kind != VMListOutage {
				continue
			}
			if next := f.To.Add(orderBound); f.overlaps(from, at) && next.After(at) {
				at, changed = next, true
			}
		}
	}
	return at
}

// hit tells whether a fault of one of the kinds held for the target at any time
// between. An empty target means any.
func (e *Evidence) hit(target string, from, to time.Time, kinds ...Kind) bool {
	return slices.ContainsFunc(e.Faults, func(f Interval) bool {
		return slices.Contains(kinds, f.Kind) && (target == "" || f.Target == target) && f.overlaps(from, to)
	})
}

// forbidStarts reports requests that a backend server took within the interval
// after the order must have been obeyed. model limits it to a model@version.
func (e *Evidence) forbidStarts(v *violations, vm, model string, i Interval, why string) {
	from := e.enforced(i.From)
	for _, s := range e.Starts[vm].Starts {
		at := time.UnixMilli(s.UnixMs)
		if !at.After(from) || !at.Before(i.To) || model != "" && s.Model != model || e.flushed(vm, at) {
			continue
		}
		v.add(e.requestOf(s.Prompt, s.Ref), "%s on %s started a request of %s%s %.3f s after %s at %s", vm, i.Target, s.Model, s.Ref,
			at.Sub(i.From).Seconds(), why, e.clock(i.From))
	}
}

// flushed tells whether the engine has just woken and reads older requests.
func (e *Evidence) flushed(vm string, at time.Time) bool {
	return slices.ContainsFunc(e.Faults, func(f Interval) bool {
		return f.Kind == EngineFreeze && f.Target == vm && f.overlaps(at.Add(-freezeFlush), at)
	})
}

func (e *Evidence) requestOf(prompt, ref string) string {
	for _, c := range e.Calls {
		if prompt != "" && c.Prompt == prompt && !c.Booking || ref != "" && c.Ref == ref {
			return c.RequestID
		}
	}
	return ""
}

// clock formats a time as seconds since the start of the load.
func (e *Evidence) clock(t time.Time) string { return fmt.Sprintf("%.3fs", t.Sub(e.Began).Seconds()) }

func checkWithdrawn(e *Evidence) ([]Violation, int) {
	v := &violations{name: "withdrawn_no_new_work"}
	checked := 0
	for _, version := range candidates {
		for _, i := range e.span(func(b *bundle.Bundle) bool { return withdrawn(b, version) }) {
			checked++
			for _, vm := range engineVMs {
				e.forbidStarts(v, vm, modelSmall+"@"+version, i, "the withdrawal")
			}
		}
	}
	return v.list, checked
}

func withdrawn(b *bundle.Bundle, version string) bool {
	m := b.Model(modelSmall)
	return m != nil && m.Version(version) != nil && m.Version(version).State == bundle.VersionWithdrawn
}

func checkDataCentres(e *Evidence) ([]Violation, int) {
	v := &violations{name: "data_centre_out_no_new_work"}
	checked := 0
	for _, dc := range dataCentres {
		out := func(b *bundle.Bundle) bool {
			return slices.ContainsFunc(b.DataCentres, func(d bundle.DataCentre) bool {
				return d.Name == dc && d.State == bundle.DataCentreOutOfService
			})
		}
		for _, i := range e.span(out) {
			checked++
			i.Target = "data centre " + dc
			for _, vm := range agentVMs {
				if e.DataCentre[vm] == dc {
					e.forbidStarts(v, vm, "", i, "the data centre was taken out")
				}
			}
		}
	}
	return v.list, checked
}

func checkLeaving(e *Evidence) ([]Violation, int) {
	v := &violations{name: "leaving_no_new_work"}
	checked := len(e.Leaving)
	for _, i := range e.Leaving {
		e.forbidStarts(v, i.Target, "", i, "its VM was leaving")
	}
	for _, vm := range agentVMs {
		out := func(b *bundle.Bundle) bool {
			return slices.ContainsFunc(b.VMs, func(listed bundle.VM) bool { return listed.Name == vm && listed.OutOfService })
		}
		for _, i := range e.span(out) {
			checked++
			e.forbidStarts(v, vm, "", i, "its VM was taken out")
		}
	}
	return v.list, checked
}

func checkAllowed(e *Evidence) ([]Violation, int) {
	v := &violations{name: "allowed_version"}
	owners := make(map[string]*Call)
	for i := range e.Calls {
		c := &e.Calls[i]
		if c.Booking {
			continue
		}
		owners[c.Prompt] = c
		if c.Outcome == OutcomeOK && !allowed(c, c.Answered) {
			v.add(c.RequestID, "workspace %s got an answer of %s", c.Workspace, c.Answered)
		}
	}
	checked := 0
	for vm, starts := range e.Starts {
		for _, s := range starts.Starts {
			c := owners[s.Prompt]
			if s.Model == "" || c == nil {
				continue
			}
			checked++
			if !allowed(c, s.Model) {
				v.add(c.RequestID, "%s ran %s for workspace %s, which asked for %s", vm, s.Model, c.Workspace, c.Asked)
			}
		}
	}
	return v.list, checked
}

// allowed tells whether the workspace may use the version and has asked for its
// model.
func allowed(c *Call, version string) bool {
	model, _, _ := strings.Cut(version, "@")
	if c.Asked != "auto" && model != c.Asked {
		return false
	}
	return model == modelLarge || model == modelSmall && c.Workspace != workspaceFew
}

func checkOverloads(e *Evidence) ([]Violation, int) {
	v := &violations{name: "engine_not_overloaded"}
	checked := 0
	for vm, starts := range e.Starts {
		checked += len(starts.Starts)
		for _, o := range starts.Overloads {
			at := time.UnixMilli(o.UnixMs)
			if !e.hit(vm, at.Add(-coldFaultTime), at, EngineCold) {
				v.add("", "%s fell over with %d requests of %d at %s", vm, o.Held, o.Limit, e.clock(at))
			}
		}
	}
	return v.list, checked
}
