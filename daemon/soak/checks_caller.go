package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"cactusknot.example/daemon/result"
)

// checkAnswers: every call gets a whole answer of its own request, or an
// explicit error. A caller whose router was killed or frozen may get neither.
func checkAnswers(e *Evidence) ([]Violation, int) {
	v := &violations{name: "complete_own_answer"}
	for i := range e.Calls {
		c := &e.Calls[i]
		switch c.Outcome {
		case OutcomeWrong:
			v.add(c.RequestID, "%s through %s: %s", c.Class, c.Router, c.Detail)
		case OutcomeCut, OutcomeTransport, OutcomeTimeout:
			if !e.hit(c.Router, c.Started, c.Ended, KillProcess, FreezeProcess) && !e.ended(c.Router, c.Started, c.Ended) {
				v.add(c.RequestID, "%s through %s at %s ended as %s: %s", c.Class, c.Router, e.clock(c.Started), c.Outcome, c.Detail)
			}
		case OutcomeError:
			// A plain service's own error reaches its caller as it is.
			if c.Code == "" && !(c.Booking && c.Status == http.StatusInternalServerError) {
				v.add(c.RequestID, "%s through %s: status %d without a result code", c.Class, c.Router, c.Status)
			}
		}
	}
	return v.list, len(e.Calls)
}

// ended tells whether the process ended without a planned stop, which is a
// violation of its own.
func (e *Evidence) ended(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(e.Exits, func(x Exit) bool {
		return x.Process == vm && !x.Expected && !x.At.Before(from) && !x.At.After(to.Add(logResolution))
	})
}

// checkSessions: the version of a session changes only by an announced move from
// a version that is withdrawn or stopped, in a workspace that moves sessions.
func checkSessions(e *Evidence) ([]Violation, int) {
	v := &violations{name: "session_keeps_version"}
	calls := slices.Clone(e.Calls)
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
		e.checkSession(v, c, held[c.Session])
	}
	return v.list, checked
}

// checkSession compares one call with the versions that its session holds.
func (e *Evidence) checkSession(v *violations, c *Call, held map[string]string) {
	if from, to, ok := strings.Cut(c.Moved, " -> "); ok {
		model, old, _ := strings.Cut(from, "@")
		_, version, _ := strings.Cut(to, "@")
		if c.Workspace != workspaceMove || !e.takesNoWork(old, c.Ended) {
			v.add(c.RequestID, "session %s was moved: %s", c.Session, c.Moved)
		}
		held[model] = version
	}
	if c.Outcome != OutcomeOK {
		return
	}
	model, version, _ := strings.Cut(c.Answered, "@")
	if before := held[model]; before != "" && before != version {
		v.add(c.RequestID, "session %s had %s@%s and got %s", c.Session, model, before, c.Answered)
	}
	held[model] = version
}

// takesNoWork tells whether the version of the small model was withdrawn by the
// time or stopped at any time.
func (e *Evidence) takesNoWork(version string, by time.Time) bool {
	for _, s := range e.Stopped {
		if s.Model == modelSmall && s.Version == version {
			return true
		}
	}
	return slices.ContainsFunc(e.Accepted, func(a Accepted) bool {
		return !a.Earliest.After(by) && withdrawn(a.Bundle, version)
	})
}

// effects returns the times of the effects of a reference at all services.
func (e *Evidence) effectsOf(ref string) []time.Time {
	var out []time.Time
	for _, effects := range e.Effects {
		for _, at := range effects.Times[ref] {
			out = append(out, time.UnixMilli(at))
		}
	}
	return out
}

func checkBookings(e *Evidence) ([]Violation, int) {
	v := &violations{name: "booking_at_most_once"}
	done := make(map[string]*Call)
	seen := make(map[string]*Call)
	for i := range e.Calls {
		c := &e.Calls[i]
		if !c.Booking {
			continue
		}
		seen[c.Ref] = c
		if c.Outcome == OutcomeOK {
			done[c.Ref] = c
		}
	}
	for ref, c := range seen {
		n := len(e.effectsOf(ref))
		if n > 1 {
			v.add(c.RequestID, "booking %s was performed %d times", ref, n)
		}
		if done[ref] != nil && n == 0 {
			v.add(c.RequestID, "booking %s was answered as done and not performed", ref)
		}
	}
	return v.list, len(seen)
}

// checkNotRun: a refusal that says "not run" has no effect, unless the caller
// called again after it. It also covers earlier calls under the same key: a
// caller that is told "not run" asks for the booking under another key.
func checkNotRun(e *Evidence) ([]Violation, int) {
	v := &violations{name: "not_run_is_true"}
	byRef := make(map[string][]*Call)
	for i := range e.Calls {
		c := &e.Calls[i]
		byRef[c.Ref] = append(byRef[c.Ref], c)
	}
	prompts := e.startsByPrompt()
	checked := 0
	for _, calls := range byRef {
		for _, c := range calls {
			if c.Outcome != OutcomeError || c.Run != result.NotRun {
				continue
			}
			checked++
			if c.Booking {
				e.checkRefusedBooking(v, c, calls)
			} else if len(calls) == 1 && len(prompts[c.Prompt]) > 0 {
				v.add(c.RequestID, "%s was refused as not run with %s (%s) and a backend server had taken it", c.Class, c.Code, c.Detail)
			}
		}
	}
	return v.list, checked
}

func (e *Evidence) checkRefusedBooking(v *violations, c *Call, calls []*Call) {
	for _, at := range e.effectsOf(c.Ref) {
		again := slices.ContainsFunc(calls, func(later *Call) bool {
			return !later.Started.Before(c.Ended) && !at.Before(later.Started.Truncate(time.Millisecond))
		})
		if !again {
			v.add(c.RequestID, "booking %s was refused as not run with %s (%s) at %s and performed at %s", c.Ref, c.Code, c.Detail,
				e.clock(c.Ended), e.clock(at))
		}
	}
}

func (e *Evidence) startsByPrompt() map[string][]int64 {
	out := make(map[string][]int64)
	for _, starts := range e.Starts {
		for _, s := range starts.Starts {
			if s.Prompt != "" {
				out[s.Prompt] = append(out[s.Prompt], s.UnixMs)
			}
		}
	}
	return out
}

// counts tells whether a call counts for the share of served requests. Refusals
// that the configuration demands do not.
func counts(c *Call) bool {
	if c.Class == "forbidden" || c.Outcome == OutcomeLeft {
		return false
	}
	return c.Code != codeWithdrawn || c.Workspace == workspaceMove
}

func served(c *Call) bool { return c.Outcome == OutcomeOK }

// quiet returns the times without faults whose requests must be served.
func (e *Evidence) quiet() []Interval {
	return []Interval{
		{From: e.Began, To: e.Began.Add(quietStart - quietGuard)},
		{From: e.FaultsEnd.Add(recoveryBound), To: e.LoadEnd},
	}
}

func checkServed(e *Evidence) ([]Violation, int) {
	v := &violations{name: "served_without_faults"}
	total := 0
	var missed []*Call
	for i := range e.Calls {
		c := &e.Calls[i]
		inside := slices.ContainsFunc(e.quiet(), func(q Interval) bool { return q.overlaps(c.Started, c.Started) })
		if !inside || !counts(c) {
			continue
		}
		total++
		if !served(c) {
			missed = append(missed, c)
		}
	}
	if len(missed) <= missable(total) {
		return nil, total
	}
	for _, c := range missed {
		v.add(c.RequestID, "%s through %s at %s: %s %s %s", c.Class, c.Router, e.clock(c.Started), c.Outcome, c.Code, c.Detail)
	}
	return v.list, total
}

// missable returns the number of requests that may fail of a total; one is the
// resolution of a sample of fewer than 1/missedShare.
func missable(total int) int { return max(1, int(missedShare*float64(total))) }

// recovery returns the time from the end of the faults until every later second
// has no more failures than may be.
func (e *Evidence) recovery() time.Duration {
	failed := make(map[int]int)
	total := make(map[int]int)
	for i := range e.Calls {
		c := &e.Calls[i]
		if c.Started.Before(e.FaultsEnd) || !counts(c) {
			continue
		}
		second := int(c.Started.Sub(e.FaultsEnd) / time.Second)
		total[second]++
		if !served(c) {
			failed[second]++
		}
	}
	last := 0
	for second, n := range failed {
		if n > missable(total[second]) {
			last = max(last, second+1)
		}
	}
	return time.Duration(last) * time.Second
}

func checkRecovery(e *Evidence) ([]Violation, int) {
	v := &violations{name: "recovery_time"}
	if took := e.recovery(); took > recoveryBound {
		v.add("", "requests failed until %s after the last fault", took)
	}
	return v.list, 1
}

func checkOutageBookings(e *Evidence) ([]Violation, int) {
	v := &violations{name: "bookings_during_store_outage"}
	checked := 0
	for _, f := range e.Faults {
		if f.Kind != StoreOutage || f.To.Sub(f.From) < shortestOutage {
			continue
		}
		checked++
		done := slices.ContainsFunc(e.Calls, func(c Call) bool {
			return c.Booking && c.Outcome == OutcomeOK && c.Started.After(f.From) && c.Ended.Before(f.To)
		})
		if !done {
			v.add("", "no booking completed during the outage from %s to %s", e.clock(f.From), e.clock(f.To))
		}
	}
	return v.list, checked
}
