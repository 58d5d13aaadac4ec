package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"cactusknot.example/daemon/result"
)

// checkAnswers: every call gets a complete answer to its own request or an
// explicit error. Calls through a router that was killed or frozen may get
// neither, but no wrong answer.
func checkAnswers(h *History) ([]Violation, int) {
	v := &violations{name: "complete_own_answer"}
	for i := range h.Calls {
		c := &h.Calls[i]
		switch c.Outcome {
		case OutcomeWrongAnswer:
			v.add(c.RequestID, "%s through %s: %s", c.Class, c.Router, c.Detail)
		case OutcomeTruncated, OutcomeTransportError, OutcomeTimeout:
			if !h.hadFault(c.Router, c.Started, c.Ended, KillProcess, FreezeProcess) && !h.exitedUnexpectedly(c.Router, c.Started, c.Ended) {
				v.add(c.RequestID, "%s through %s at %s ended as %s: %s", c.Class, c.Router, h.sinceStart(c.Started), c.Outcome, c.Detail)
			}
		case OutcomeError:
			// Errors of the plain service itself are passed on unchanged.
			if c.Code == "" && !(c.Booking && c.Status == http.StatusInternalServerError) {
				v.add(c.RequestID, "%s through %s: status %d without a result code", c.Class, c.Router, c.Status)
			}
		}
	}
	return v.list, len(h.Calls)
}

// exitedUnexpectedly reports whether the process exited between the times
// without being stopped by the run. checkInvariants reports such exits.
func (h *History) exitedUnexpectedly(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(h.Exits, func(x Exit) bool {
		return x.Process == vm && !x.Expected && !x.At.Before(from) && !x.At.After(to.Add(logResolution))
	})
}

// checkSessionVersion: the version of a session changes only by an announced
// move from a withdrawn or stopped version, and only in a workspace that moves
// sessions.
func checkSessionVersion(h *History) ([]Violation, int) {
	v := &violations{name: "session_keeps_version"}
	calls := slices.Clone(h.Calls)
	slices.SortStableFunc(calls, func(a, b Call) int { return a.Ended.Compare(b.Ended) })
	held := make(map[string]map[string]string)
	checked := 0
	for i := range calls {
		c := &calls[i]
		if c.Session == "" {
			continue
		}
		if held[c.Session] == nil || c.Code == codeWithdrawn {
			held[c.Session] = make(map[string]string)
		}
		checked++
		h.checkSessionCall(v, c, held[c.Session])
	}
	return v.list, checked
}

// checkSessionCall compares one call with the versions that its session uses,
// by model, and updates them.
func (h *History) checkSessionCall(v *violations, c *Call, held map[string]string) {
	if from, to, ok := strings.Cut(c.SessionMoved, " -> "); ok {
		model, old, _ := strings.Cut(from, "@")
		_, version, _ := strings.Cut(to, "@")
		if c.Workspace != workspaceMove || !h.closedToNewWork(old, c.Ended) {
			v.add(c.RequestID, "session %s was moved: %s", c.Session, c.SessionMoved)
		}
		held[model] = version
	}
	if c.Outcome != OutcomeOK {
		return
	}
	model, version, _ := strings.Cut(c.ServedModel, "@")
	if before := held[model]; before != "" && before != version {
		v.add(c.RequestID, "session %s used %s@%s and got an answer of %s", c.Session, model, before, c.ServedModel)
	}
	held[model] = version
}

// closedToNewWork reports whether the version of the small model was withdrawn
// by the given time, or stopped by the sequential test of a rollout at any
// time.
func (h *History) closedToNewWork(version string, by time.Time) bool {
	for _, s := range h.StoppedVersions {
		if s.Model == modelSmall && s.Version == version {
			return true
		}
	}
	return slices.ContainsFunc(h.Configurations, func(a AcceptedConfiguration) bool {
		return !a.Earliest.After(by) && versionWithdrawn(a.Bundle, version)
	})
}

// effectsOf returns the times at which the plain services performed the
// booking.
func (h *History) effectsOf(ref string) []time.Time {
	var out []time.Time
	for _, effects := range h.Effects {
		for _, at := range effects.Times[ref] {
			out = append(out, time.UnixMilli(at))
		}
	}
	return out
}

// checkBookings: no booking is performed twice, and every confirmed one is
// performed.
func checkBookings(h *History) ([]Violation, int) {
	v := &violations{name: "booking_at_most_once"}
	done := make(map[string]*Call)
	seen := make(map[string]*Call)
	for i := range h.Calls {
		c := &h.Calls[i]
		if !c.Booking {
			continue
		}
		seen[c.Ref] = c
		if c.Outcome == OutcomeOK {
			done[c.Ref] = c
		}
	}
	for ref, c := range seen {
		n := len(h.effectsOf(ref))
		if n > 1 {
			v.add(c.RequestID, "booking %s was performed %d times", ref, n)
		}
		if done[ref] != nil && n == 0 {
			v.add(c.RequestID, "booking %s was confirmed but not performed", ref)
		}
	}
	return v.list, len(seen)
}

// checkNotRun: a request that was refused as "not run" has no effect, unless
// the caller called again afterwards. This includes earlier calls under the
// same key, because a caller that is told "not run" may repeat the booking
// under another key.
func checkNotRun(h *History) ([]Violation, int) {
	v := &violations{name: "not_run_is_true"}
	byRef := make(map[string][]*Call)
	for i := range h.Calls {
		c := &h.Calls[i]
		byRef[c.Ref] = append(byRef[c.Ref], c)
	}
	prompts := h.startsByPrompt()
	checked := 0
	for _, calls := range byRef {
		for _, c := range calls {
			if c.Outcome != OutcomeError || c.Run != result.NotRun {
				continue
			}
			checked++
			if c.Booking {
				h.checkRefusedBooking(v, c, calls)
			} else if len(calls) == 1 && len(prompts[c.Prompt]) > 0 {
				v.add(c.RequestID, "%s was refused as not run with %s (%s), but a backend server had started it", c.Class, c.Code, c.Detail)
			}
		}
	}
	return v.list, checked
}

func (h *History) checkRefusedBooking(v *violations, c *Call, calls []*Call) {
	for _, at := range h.effectsOf(c.Ref) {
		again := slices.ContainsFunc(calls, func(later *Call) bool {
			return !later.Started.Before(c.Ended) && !at.Before(later.Started.Truncate(time.Millisecond))
		})
		if !again {
			v.add(c.RequestID, "booking %s was refused as not run with %s (%s) at %s, but was performed at %s", c.Ref, c.Code, c.Detail,
				h.sinceStart(c.Ended), h.sinceStart(at))
		}
	}
}

func (h *History) startsByPrompt() map[string][]int64 {
	out := make(map[string][]int64)
	for _, starts := range h.Starts {
		for _, s := range starts.Starts {
			if s.Prompt != "" {
				out[s.Prompt] = append(out[s.Prompt], s.UnixMs)
			}
		}
	}
	return out
}

// countsAsDemand reports whether a call counts towards the share of served
// requests. Calls that the caller closed and refusals that the configuration
// requires do not.
func countsAsDemand(c *Call) bool {
	if c.Class == "forbidden" || c.Outcome == OutcomeClientClosed {
		return false
	}
	return c.Code != codeWithdrawn || c.Workspace == workspaceMove
}

func served(c *Call) bool { return c.Outcome == OutcomeOK }

// faultFreeIntervals returns the times without faults, in which requests must
// be served.
func (h *History) faultFreeIntervals() []Interval {
	return []Interval{
		{From: h.LoadStart, To: h.LoadStart.Add(faultFreeStart - faultFreeMargin)},
		{From: h.FaultsEnd.Add(recoveryBound), To: h.LoadEnd},
	}
}

// checkServedWithoutFaults: while there are no faults, requests are served up
// to allowedFailureShare.
func checkServedWithoutFaults(h *History) ([]Violation, int) {
	v := &violations{name: "served_without_faults"}
	total := 0
	var missed []*Call
	for i := range h.Calls {
		c := &h.Calls[i]
		inside := slices.ContainsFunc(h.faultFreeIntervals(), func(q Interval) bool { return q.overlaps(c.Started, c.Started) })
		if !inside || !countsAsDemand(c) {
			continue
		}
		total++
		if !served(c) {
			missed = append(missed, c)
		}
	}
	if len(missed) <= allowedFailures(total) {
		return nil, total
	}
	for _, c := range missed {
		v.add(c.RequestID, "%s through %s at %s: %s %s %s", c.Class, c.Router, h.sinceStart(c.Started), c.Outcome, c.Code, c.Detail)
	}
	return v.list, total
}

// allowedFailures returns how many of a total of requests may fail. It is at
// least one, since a sample of fewer than 1/allowedFailureShare requests can't
// show a smaller share.
func allowedFailures(total int) int { return max(1, int(allowedFailureShare*float64(total))) }

// recovery returns the time from the end of the faults until the failures of
// every later second stay within allowedFailures.
func (h *History) recovery() time.Duration {
	failed := make(map[int]int)
	total := make(map[int]int)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.Started.Before(h.FaultsEnd) || !countsAsDemand(c) {
			continue
		}
		second := int(c.Started.Sub(h.FaultsEnd) / time.Second)
		total[second]++
		if !served(c) {
			failed[second]++
		}
	}
	last := 0
	for second, n := range failed {
		if n > allowedFailures(total[second]) {
			last = max(last, second+1)
		}
	}
	return time.Duration(last) * time.Second
}

// checkRecovery: requests are served again within recoveryBound of the last
// fault.
func checkRecovery(h *History) ([]Violation, int) {
	v := &violations{name: "recovery_time"}
	if took := h.recovery(); took > recoveryBound {
		v.add("", "requests failed until %s after the last fault", took)
	}
	return v.list, 1
}

// checkOutageBookings: bookings complete while the store is unavailable.
func checkOutageBookings(h *History) ([]Violation, int) {
	v := &violations{name: "bookings_during_store_outage"}
	checked := 0
	for _, f := range h.Faults {
		if f.Kind != StoreOutage || f.To.Sub(f.From) < minCheckedOutage {
			continue
		}
		checked++
		done := slices.ContainsFunc(h.Calls, func(c Call) bool {
			return c.Booking && c.Outcome == OutcomeOK && c.Started.After(f.From) && c.Ended.Before(f.To)
		})
		if !done {
			v.add("", "no booking completed during the outage from %s to %s", h.sinceStart(f.From), h.sinceStart(f.To))
		}
	}
	return v.list, checked
}
