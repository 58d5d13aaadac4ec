package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/result"
)

// codeWithdrawn is the result code that refuses a session because its version
// takes no new work.
var codeWithdrawn = result.VersionWithdrawn.Name

// Check verifies one guarantee against the history of a run.
type Check struct {
	Name string
	// Guarantee is its number in section 1.1 of the design; 0 for checks without
	// one.
	Guarantee int
	// run returns the violations and the number of items checked.
	run func(h *History) ([]Violation, int)
}

// Checks returns all checks, ordered by guarantee; those without one come
// last.
func Checks() []Check {
	return []Check{
		{"allowed_version", 1, checkAllowedVersion},
		{"withdrawn_no_new_work", 2, checkWithdrawn},
		{"session_keeps_version", 3, checkSessionVersion},
		{"billed_once", 4, func(h *History) ([]Violation, int) { return checkBilledOnce(h), len(h.Ledger.Stored) }},
		{"engine_not_overloaded", 5, checkOverloads},
		{"data_centre_out_no_new_work", 6, checkDataCentres},
		{"complete_own_answer", 7, checkAnswers},
		{"not_run_is_true", 8, checkNotRun},
		{"booking_at_most_once", 9, checkBookings},
		{"leaving_no_new_work", 10, checkLeavingVMs},
		{"announcements_heeded", 10, checkAnnouncements},
		{"planned_stop_interrupts_nothing", 11, checkPlannedStops},
		{"configuration_in_force", 12, checkConfigurationInForce},
		{"configuration_never_reverts", 12, checkConfigurationReverts},
		{"one_proposal_wins", 12, checkProposalRaces},
		{"no_invariant_violated", 0, checkInvariants},
		{"served_without_faults", 0, checkServedWithoutFaults},
		{"recovery_time", 0, checkRecovery},
		{"bookings_during_store_outage", 0, checkOutageBookings},
	}
}

// violations collects the violations that a check finds.
type violations struct {
	name string
	list []Violation
}

func (v *violations) add(request, format string, args ...any) {
	v.list = append(v.list, Violation{Check: v.name, Detail: fmt.Sprintf(format, args...), Request: request})
}

// intervalsWhere returns the times during which the configuration in force
// satisfied the predicate.
func (h *History) intervalsWhere(holds func(*bundle.Bundle) bool) []Interval {
	var out []Interval
	var open *Interval
	for _, a := range h.configurationsByVersion() {
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
		open.To = h.Ended
		out = append(out, *open)
	}
	return out
}

func (h *History) configurationsByVersion() []AcceptedConfiguration {
	sorted := slices.Clone(h.Configurations)
	slices.SortFunc(sorted, func(a, b AcceptedConfiguration) int { return int(a.Version) - int(b.Version) })
	return sorted
}

// enforcedFrom returns when a change that takes something out of use at the
// given time must have taken effect: commandBound later, counted from the end
// of any outage of the store or the VM list that falls into this time.
func (h *History) enforcedFrom(from time.Time) time.Time {
	at := from.Add(commandBound)
	for changed := true; changed; {
		changed = false
		for _, f := range h.Faults {
			if !isStoreFault(f.Kind) && f.Kind != VMListOutage {
				continue
			}
			if next := f.To.Add(commandBound); f.overlaps(from, at) && next.After(at) {
				at, changed = next, true
			}
		}
	}
	return at
}

// hadFault reports whether the target had a fault of one of the kinds at any
// time between from and to. An empty target matches all targets.
func (h *History) hadFault(target string, from, to time.Time, kinds ...Kind) bool {
	return slices.ContainsFunc(h.Faults, func(f Interval) bool {
		return slices.Contains(kinds, f.Kind) && (target == "" || f.Target == target) && f.overlaps(from, to)
	})
}

// reportStarts adds a violation for each request that a backend server started
// in the interval, later than commandBound allows. A non-empty model limits it
// to that model@version.
func (h *History) reportStarts(v *violations, vm, model string, i Interval, why string) {
	from := h.enforcedFrom(i.From)
	for _, s := range h.Starts[vm].Starts {
		at := time.UnixMilli(s.UnixMs)
		if !at.After(from) || !at.Before(i.To) || model != "" && s.Model != model || h.resumedFromFreeze(vm, at) {
			continue
		}
		v.add(h.requestID(s.Prompt, s.Ref), "%s on %s started a request of %s%s %.3f s after %s at %s", vm, i.Target, s.Model, s.Ref,
			at.Sub(i.From).Seconds(), why, h.sinceStart(i.From))
	}
}

// resumedFromFreeze reports whether the engine was frozen just before and may
// still be reading requests that were sent to it earlier.
func (h *History) resumedFromFreeze(vm string, at time.Time) bool {
	return slices.ContainsFunc(h.Faults, func(f Interval) bool {
		return f.Kind == EngineFreeze && f.Target == vm && f.overlaps(at.Add(-resumeGrace), at)
	})
}

// requestID returns the ID of the request with the prompt hash or the booking
// reference.
func (h *History) requestID(prompt, ref string) string {
	for _, c := range h.Calls {
		if prompt != "" && c.Prompt == prompt && !c.Booking || ref != "" && c.Ref == ref {
			return c.RequestID
		}
	}
	return ""
}

// sinceStart formats a time as seconds since the start of the load.
func (h *History) sinceStart(t time.Time) string {
	return fmt.Sprintf("%.3fs", t.Sub(h.LoadStart).Seconds())
}

// checkWithdrawn: no engine starts a request of a withdrawn version.
func checkWithdrawn(h *History) ([]Violation, int) {
	v := &violations{name: "withdrawn_no_new_work"}
	checked := 0
	for _, version := range candidateVersions {
		for _, i := range h.intervalsWhere(func(b *bundle.Bundle) bool { return versionWithdrawn(b, version) }) {
			checked++
			for _, vm := range engineVMs {
				h.reportStarts(v, vm, modelSmall+"@"+version, i, "the withdrawal")
			}
		}
	}
	return v.list, checked
}

func versionWithdrawn(b *bundle.Bundle, version string) bool {
	m := b.Model(modelSmall)
	return m != nil && m.Version(version) != nil && m.Version(version).State == bundle.VersionWithdrawn
}

// checkDataCentres: no backend server starts a request while its data centre
// is out of service.
func checkDataCentres(h *History) ([]Violation, int) {
	v := &violations{name: "data_centre_out_no_new_work"}
	checked := 0
	for _, dc := range dataCentres {
		out := func(b *bundle.Bundle) bool {
			return slices.ContainsFunc(b.DataCentres, func(d bundle.DataCentre) bool {
				return d.Name == dc && d.State == bundle.DataCentreOutOfService
			})
		}
		for _, i := range h.intervalsWhere(out) {
			checked++
			i.Target = "data centre " + dc
			for _, vm := range agentVMs {
				if h.DataCentre[vm] == dc {
					h.reportStarts(v, vm, "", i, "the data centre was taken out of service")
				}
			}
		}
	}
	return v.list, checked
}

// checkLeavingVMs: no backend server starts a request while its VM is listed
// as leaving or out of service.
func checkLeavingVMs(h *History) ([]Violation, int) {
	v := &violations{name: "leaving_no_new_work"}
	checked := len(h.LeavingVMs)
	for _, i := range h.LeavingVMs {
		h.reportStarts(v, i.Target, "", i, "its VM was listed as leaving")
	}
	for _, vm := range agentVMs {
		out := func(b *bundle.Bundle) bool {
			return slices.ContainsFunc(b.VMs, func(listed bundle.VM) bool { return listed.Name == vm && listed.OutOfService })
		}
		for _, i := range h.intervalsWhere(out) {
			checked++
			h.reportStarts(v, vm, "", i, "its VM was taken out of service")
		}
	}
	return v.list, checked
}

// checkAllowedVersion: requests are run and answered only by versions that
// their workspace may use.
func checkAllowedVersion(h *History) ([]Violation, int) {
	v := &violations{name: "allowed_version"}
	owners := make(map[string]*Call)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Booking {
			continue
		}
		owners[c.Prompt] = c
		if c.Outcome == OutcomeOK && !versionAllowed(c, c.ServedModel) {
			v.add(c.RequestID, "workspace %s got an answer of %s", c.Workspace, c.ServedModel)
		}
	}
	checked := 0
	for vm, starts := range h.Starts {
		for _, s := range starts.Starts {
			c := owners[s.Prompt]
			if s.Model == "" || c == nil {
				continue
			}
			checked++
			if !versionAllowed(c, s.Model) {
				v.add(c.RequestID, "%s ran %s for workspace %s, which asked for %s", vm, s.Model, c.Workspace, c.RequestedModel)
			}
		}
	}
	return v.list, checked
}

// versionAllowed reports whether the version belongs to the requested model
// and the workspace may use it.
func versionAllowed(c *Call, version string) bool {
	model, _, _ := strings.Cut(version, "@")
	if c.RequestedModel != "auto" && model != c.RequestedModel {
		return false
	}
	return model == modelLarge || model == modelSmall && c.Workspace != workspaceLargeOnly
}

// checkOverloads: no backend server gets more requests than it can hold.
func checkOverloads(h *History) ([]Violation, int) {
	v := &violations{name: "engine_not_overloaded"}
	checked := 0
	for vm, starts := range h.Starts {
		checked += len(starts.Starts)
		for _, o := range starts.Overloads {
			at := time.UnixMilli(o.UnixMs)
			if !h.hadFault(vm, at.Add(-coldDetectionTime), at, EngineCold) {
				v.add("", "%s was overloaded with %d requests (limit %d) at %s", vm, o.Held, o.Limit, h.sinceStart(at))
			}
		}
	}
	return v.list, checked
}
