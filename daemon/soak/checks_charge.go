package soak

import (
	"encoding/hex"
	"slices"
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/result"
)

// chargeChecker compares the stored charge lines with the calls.
type chargeChecker struct {
	*History
	violations
	stored map[string][]uint32
	// calls is keyed by request ID and bookings by reference.
	calls      map[string][]*Call
	bookings   map[string][]*Call
	startTimes map[string][]int64
}

// checkBilledOnce: every answered request is billed exactly once. A line may
// be missing only if every process that held it was killed after the answer:
// the router that answered and the agent that ran the request. A process that
// stopped as planned handed its lines over to a router, so they may be lost
// only if a router was killed after the stop was requested.
func checkBilledOnce(h *History) []Violation {
	c := &chargeChecker{
		History: h, violations: violations{name: "billed_once"}, stored: make(map[string][]uint32),
		calls: make(map[string][]*Call), bookings: make(map[string][]*Call), startTimes: h.startsByPrompt(),
	}
	for _, id := range h.Ledger.Stored {
		request := hex.EncodeToString(id.RequestID[:])
		c.stored[request] = append(c.stored[request], id.Step)
	}
	for i := range h.Calls {
		call := &h.Calls[i]
		if call.RequestID != "" {
			c.calls[call.RequestID] = append(c.calls[call.RequestID], call)
		}
		if call.Booking {
			c.bookings[call.Ref] = append(c.bookings[call.Ref], call)
		}
	}
	c.checkLedger()
	c.checkStepCharges()
	c.checkBookingCharges()
	c.checkChatCharges()
	return c.list
}

// checkLedger checks that the ledger is consistent and that each line belongs
// to a request.
func (c *chargeChecker) checkLedger() {
	for _, id := range c.Ledger.Duplicates {
		c.add(requestHex(id), "identity %s is stored twice", id)
	}
	for _, gap := range c.Ledger.Gaps {
		c.add("", "segment %s is missing", gap)
	}
	for _, l := range c.Ledger.Disputed {
		c.add(requestHex(l.ID()), "line %s is disputed", l.ID())
	}
	unknown := 0
	for request := range c.stored {
		calls := c.calls[request]
		if len(calls) == 0 {
			unknown++
			continue
		}
		c.checkChargedRequest(request, calls)
	}
	// The caller does not know the request ID of a call without an idempotency key
	// that got no response.
	if callsWithUnknownID := c.callsWithUnknownID(); unknown > callsWithUnknownID {
		c.add("", "%d lines belong to no known request; %d calls have an unknown request ID", unknown, callsWithUnknownID)
	}
}

func requestHex(id ledger.ID) string { return hex.EncodeToString(id.RequestID[:]) }

func (c *chargeChecker) callsWithUnknownID() int {
	n := 0
	for _, call := range c.Calls {
		if call.RequestID == "" {
			n++
		}
	}
	return n
}

// checkChargedRequest: a charged request was started or performed by a backend
// server, and at least one of its calls was not refused as "not run".
func (c *chargeChecker) checkChargedRequest(request string, calls []*Call) {
	refused := !slices.ContainsFunc(calls, func(x *Call) bool { return x.Outcome != OutcomeError || x.Run != result.NotRun })
	if refused {
		c.add(request, "a charge is stored for a request that was refused as not run (%s)", calls[0].Code)
	}
	call := calls[0]
	if call.Booking && len(c.effectsOf(call.Ref)) == 0 {
		c.add(request, "a charge is stored for booking %s, which was not performed", call.Ref)
	}
	if !call.Booking && len(c.startTimes[call.Prompt]) == 0 {
		c.add(request, "a charge is stored for a request that no engine started")
	}
}

// checkStepCharges: each model step that a router logged as complete has a
// line.
func (c *chargeChecker) checkStepCharges() {
	for _, a := range c.Attempts {
		if a.Code != 0 || a.Target == serviceName || slices.Contains(c.stored[a.RequestID], a.Step) {
			continue
		}
		if !c.lineLost(a.Router, a.VM, a.At) {
			c.add(a.RequestID, "step %d, completed at %s by %s through %s, has no charge", a.Step, c.sinceStart(a.At), a.VM, a.Router)
		}
	}
}

// checkBookingCharges: each confirmed booking has exactly one line, under the
// request ID of one of its calls.
func (c *chargeChecker) checkBookingCharges() {
	for ref, calls := range c.bookings {
		ids := make(map[string]bool)
		unknown := false
		var done *Call
		for _, call := range calls {
			ids[call.RequestID] = true
			unknown = unknown || call.RequestID == ""
			if call.Outcome == OutcomeOK {
				done = call
			}
		}
		lines := 0
		for id := range ids {
			lines += len(c.stored[id])
		}
		if lines > 1 {
			c.add(calls[0].RequestID, "booking %s is billed %d times", ref, lines)
		}
		if done == nil || lines > 0 || unknown {
			continue
		}
		if vm, at := c.completionOf(ids, done); !c.lineLost(done.Router, vm, at) {
			c.add(done.RequestID, "booking %s, answered at %s through %s and run by %s, has no charge", ref, c.sinceStart(at), done.Router, vm)
		}
	}
}

// completionOf returns the agent that completed one of the requests and the
// time at which the router of the call had its charge line. Without an entry
// in the router's log it returns the end of the call, which is later for a
// slow reader.
func (c *chargeChecker) completionOf(ids map[string]bool, call *Call) (string, time.Time) {
	for _, a := range c.Attempts {
		if ids[a.RequestID] && a.Code == 0 && a.Router == call.Router {
			return a.VM, a.At
		}
	}
	return "", call.Ended
}

// checkChatCharges: each chat request with a complete answer has a line.
func (c *chargeChecker) checkChatCharges() {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.Booking || call.Outcome != OutcomeOK || len(c.stored[call.RequestID]) > 0 {
			continue
		}
		if vm, at := c.completionOf(map[string]bool{call.RequestID: true}, call); !c.lineLost(call.Router, vm, at) {
			c.add(call.RequestID, "%s, answered at %s through %s, has no charge", call.Class, c.sinceStart(at), call.Router)
		}
	}
}

// lineLost reports whether all processes that held a line at the time may have
// lost it since. An empty agent is unknown and not considered.
func (c *chargeChecker) lineLost(router, agent string, at time.Time) bool {
	return c.holderKilled(router, at) && (agent == "" || c.holderKilled(agent, at))
}

// holderKilled reports whether the process exited with an error after the
// time, or stopped as planned and a router was killed after that stop was
// requested.
func (c *chargeChecker) holderKilled(vm string, at time.Time) bool {
	at = at.Add(-logResolution)
	for _, x := range c.Exits {
		if x.Process == vm && !x.At.Before(at) && x.Code != 0 {
			return true
		}
	}
	for _, s := range c.PlannedStops {
		if s.Process == vm && !s.Ended.Before(at) && c.anyRouterKilled(s.At) {
			return true
		}
	}
	return false
}

func (c *chargeChecker) anyRouterKilled(after time.Time) bool {
	return slices.ContainsFunc(c.Exits, func(x Exit) bool {
		return slices.Contains(c.Routers, x.Process) && x.Code != 0 && !x.At.Before(after)
	})
}
