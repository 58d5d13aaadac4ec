package soak

import (
	"encoding/hex"
	"slices"
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/result"
)

// charges indexes the stored charge lines and the calls they belong to.
type charges struct {
	*Evidence
	violations
	stored map[string][]uint32
	// calls by request id, bookings by reference.
	calls    map[string][]*Call
	bookings map[string][]*Call
	prompts  map[string][]int64
}

// checkCharges compares the ledger with the answers. A line may be missing only
// when every process that held it was killed after the answer: the router that
// answered and the agent that ran the request. A process that stopped as planned
// handed its lines to some router, so they are lost only if a router was killed
// later.
func checkCharges(e *Evidence) []Violation {
	c := &charges{
		Evidence: e, violations: violations{name: "billed_once"}, stored: make(map[string][]uint32),
		calls: make(map[string][]*Call), bookings: make(map[string][]*Call), prompts: e.startsByPrompt(),
	}
	for _, id := range e.Ledger.Stored {
		request := hex.EncodeToString(id.RequestID[:])
		c.stored[request] = append(c.stored[request], id.Step)
	}
	for i := range e.Calls {
		call := &e.Calls[i]
		if call.RequestID != "" {
			c.calls[call.RequestID] = append(c.calls[call.RequestID], call)
		}
		if call.Booking {
			c.bookings[call.Ref] = append(c.bookings[call.Ref], call)
		}
	}
	c.checkLedger()
	c.checkSteps()
	c.checkBooked()
	c.checkAnswered()
	return c.list
}

// checkLedger checks the ledger for itself and that each line has a request.
func (c *charges) checkLedger() {
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
		c.checkOwner(request, calls)
	}
	// The caller doesn't know the id of a call that it gave no key and that got no
	// response.
	if anonymous := c.anonymous(); unknown > anonymous {
		c.add("", "%d lines belong to no known request; %d calls have an unknown id", unknown, anonymous)
	}
}

func requestHex(id ledger.ID) string { return hex.EncodeToString(id.RequestID[:]) }

func (c *charges) anonymous() int {
	n := 0
	for _, call := range c.Calls {
		if call.RequestID == "" {
			n++
		}
	}
	return n
}

// checkOwner: a line needs a backend server that completed the request, and a
// caller that was not told "not run" for the last time.
func (c *charges) checkOwner(request string, calls []*Call) {
	refused := !slices.ContainsFunc(calls, func(x *Call) bool { return x.Outcome != OutcomeError || x.Run != result.NotRun })
	if refused {
		c.add(request, "a charge is stored for a request that was refused as not run (%s)", calls[0].Code)
	}
	call := calls[0]
	if call.Booking && len(c.effectsOf(call.Ref)) == 0 {
		c.add(request, "a charge is stored for booking %s, which was not performed", call.Ref)
	}
	if !call.Booking && len(c.prompts[call.Prompt]) == 0 {
		c.add(request, "a charge is stored for a request that no engine took")
	}
}

// checkSteps: each model step that a router saw complete has its line.
func (c *charges) checkSteps() {
	for _, a := range c.Attempts {
		if a.Code != 0 || a.Target == serviceName || slices.Contains(c.stored[a.RequestID], a.Step) {
			continue
		}
		if !c.lost(a.Router, a.VM, a.At) {
			c.add(a.RequestID, "step %d, completed at %s by %s through %s, has no charge", a.Step, c.clock(a.At), a.VM, a.Router)
		}
	}
}

// checkBooked: a booking answered as done has one line under the id of one of its
// calls.
func (c *charges) checkBooked() {
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
		if vm, at := c.ranAt(ids, done); !c.lost(done.Router, vm, at) {
			c.add(done.RequestID, "booking %s, answered at %s through %s and run by %s, has no charge", ref, c.clock(at), done.Router, vm)
		}
	}
}

// ranAt returns the agent that completed one of the requests and the time at which
// the router of the call had its line. A slow reader ends its call later; when the
// router's log does not say, that is the best known time.
func (c *charges) ranAt(ids map[string]bool, call *Call) (string, time.Time) {
	for _, a := range c.Attempts {
		if ids[a.RequestID] && a.Code == 0 && a.Router == call.Router {
			return a.VM, a.At
		}
	}
	return "", call.Ended
}

// checkAnswered: a chat request with a whole answer has a line.
func (c *charges) checkAnswered() {
	for i := range c.Calls {
		call := &c.Calls[i]
		if call.Booking || call.Outcome != OutcomeOK || len(c.stored[call.RequestID]) > 0 {
			continue
		}
		if vm, at := c.ranAt(map[string]bool{call.RequestID: true}, call); !c.lost(call.Router, vm, at) {
			c.add(call.RequestID, "%s, answered at %s through %s, has no charge", call.Class, c.clock(at), call.Router)
		}
	}
}

// lost tells whether all holders of a line were killed after the time.
func (c *charges) lost(router, agent string, at time.Time) bool {
	return c.dropped(router, at) && (agent == "" || c.dropped(agent, at))
}

func (c *charges) dropped(vm string, at time.Time) bool {
	at = at.Add(-logResolution)
	for _, x := range c.Exits {
		if x.Process == vm && !x.At.Before(at) && x.Code != 0 {
			return true
		}
	}
	for _, s := range c.Stops {
		if s.Process == vm && !s.Ended.Before(at) && c.anyRouterKilled(s.At) {
			return true
		}
	}
	return false
}

func (c *charges) anyRouterKilled(after time.Time) bool {
	return slices.ContainsFunc(c.Exits, func(x Exit) bool {
		return slices.Contains(c.Routers, x.Process) && x.Code != 0 && !x.At.Before(after)
	})
}
