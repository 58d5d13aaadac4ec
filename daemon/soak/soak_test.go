package soak

import (
	"encoding/hex"
	"reflect"
	"testing"
	"time"

	"cactusknot.example/coord/ledger"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/emulate"
	"cactusknot.example/daemon/result"
)

// Guards against schedules that differ between runs of one seed, against
// faults that outlast the run and against schedules without a store outage.
func TestScheduleIsDeterministic(t *testing.T) {
	const duration = 30 * time.Second
	kinds := map[Kind]bool{}
	for seed := range uint64(50) {
		actions := Schedule(seed, duration)
		if !reflect.DeepEqual(actions, Schedule(seed, duration)) {
			t.Fatalf("seed %d gives two schedules", seed)
		}
		outage := false
		for _, a := range actions {
			kinds[a.Kind] = true
			outage = outage || a.Kind == StoreOutage && a.For >= minCheckedOutage
			if a.At < faultFreeStart || a.At+a.For > duration {
				t.Errorf("seed %d: %s is outside the run", seed, a)
			}
		}
		if !outage {
			t.Errorf("seed %d has no store outage", seed)
		}
	}
	for _, c := range actionTemplates {
		if !kinds[c.kind] {
			t.Errorf("no seed schedules %s", c.kind)
		}
	}
	if reflect.DeepEqual(Schedule(1, duration), Schedule(2, duration)) {
		t.Error("two seeds give the same schedule")
	}
}

var began = time.UnixMilli(1_700_000_000_000)

func at(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }

func unixMs(seconds float64) int64 { return at(seconds).UnixMilli() }

func lineID(request string) ledger.ID {
	var id ledger.ID
	_, _ = hex.Decode(id.RequestID[:], []byte(request))
	return id
}

const (
	chatID    = "00000000000000000000000000000001"
	bookingID = "00000000000000000000000000000002"
)

// validHistory returns a history without violations: a chat and a booking,
// with one process of each kind.
func validHistory() *History {
	return &History{
		LoadStart: began, FaultsEnd: at(30), LoadEnd: at(50), Ended: at(80),
		Calls: []Call{
			{
				Ref: "r1", Class: "pinned", Workspace: workspaceMove, Session: "s", Router: "router-a", RequestID: chatID, Prompt: "p1",
				Started: at(10), Ended: at(10.5), Outcome: OutcomeOK, Status: 200, RequestedModel: modelSmall, ServedModel: "small@1",
			},
			{
				Ref: "r2", Class: "booking", Booking: true, Workspace: workspaceRefuse, Router: "router-a", RequestID: bookingID,
				Started: at(12), Ended: at(12.1), Outcome: OutcomeOK, Status: 201,
			},
		},
		Faults:         []Interval{{Kind: StoreOutage, Target: "store", From: at(11), To: at(14)}},
		Configurations: []AcceptedConfiguration{{Earliest: at(0), At: at(0), Version: 1, Bundle: testBundle()}},
		Samples: []Sample{
			{Process: "router-a", At: at(1), Version: 1},
			{Process: "engine-a1", At: at(1), Version: 1},
			{Process: "tickets-a", At: at(1), Version: 1},
		},
		Starts: map[string]emulate.RequestLog{
			"engine-a1": {Starts: []emulate.RequestStart{{UnixMs: unixMs(10.1), Model: "small@1", Prompt: "p1"}}},
			"tickets-a": {Starts: []emulate.RequestStart{{UnixMs: unixMs(12.05), Ref: "r2"}}},
		},
		Effects: map[string]emulate.Effects{"tickets-a": {Times: map[string][]int64{"r2": {unixMs(12.06)}}}},
		Attempts: []Attempt{
			{Router: "router-a", At: at(10), RequestID: chatID, VM: "engine-a1", Target: "small@1"},
			{Router: "router-a", At: at(12), RequestID: bookingID, VM: "tickets-a", Target: serviceName},
		},
		Ledger:     ledger.AuditReport{Stored: []ledger.ID{lineID(chatID), lineID(bookingID)}},
		DataCentre: map[string]string{"router-a": "a", "engine-a1": "a", "tickets-a": "a"},
		Routers:    []string{"router-a"},
	}
}

func testBundle() *bundle.Bundle {
	b := firstBundle()
	return &b
}

// accept adds a configuration at 3 s, when no fault is near.
func accept(h *History, change func(b *bundle.Bundle)) {
	b := testBundle()
	change(b)
	h.Configurations = append(h.Configurations, AcceptedConfiguration{Earliest: at(2.9), At: at(3), Version: 2, Bundle: b})
	for _, s := range h.Samples {
		s.Version, s.At = 2, at(4)
		h.Samples = append(h.Samples, s)
	}
}

// defects holds changes to validHistory by check; the check must report each
// of them.
var defects = map[string][]func(h *History){
	"allowed_version": {
		func(h *History) { h.Calls[0].Workspace = workspaceLargeOnly },
		func(h *History) { h.Starts["engine-a1"].Starts[0].Model = "large@1" },
	},
	"withdrawn_no_new_work": {func(h *History) {
		accept(h, func(b *bundle.Bundle) { b.Model(modelSmall).Version("2").State = bundle.VersionWithdrawn })
		h.Starts["engine-a1"].Starts[0].Model = "small@2"
	}},
	"session_keeps_version": {
		func(h *History) { h.addChat("r3", "small@2", "") },
		// An announced move from a version that is still serving.
		func(h *History) { h.addChat("r3", "small@2", "small@1 -> small@2") },
	},
	"billed_once": {
		func(h *History) { h.Ledger.Stored = h.Ledger.Stored[1:] },
		func(h *History) { h.Ledger.Stored = h.Ledger.Stored[:1] },
		func(h *History) { h.Ledger.Duplicates = []ledger.ID{lineID(chatID)} },
		func(h *History) { h.Ledger.Stored = append(h.Ledger.Stored, lineID("ff")) },
		func(h *History) { h.Ledger.Gaps = []string{"ledger/0/seg/1"} },
		func(h *History) { h.Ledger.Disputed = []ledger.Line{{}} },
		// Only one of the two holders of the line was killed.
		func(h *History) {
			h.Ledger.Stored = h.Ledger.Stored[1:]
			h.Exits = []Exit{{Process: "router-a", At: at(11), Code: -1, Expected: true}}
		},
		// A charge for a refused request.
		func(h *History) { h.Calls[0].Outcome, h.Calls[0].Run = OutcomeError, result.NotRun },
	},
	"engine_not_overloaded": {func(h *History) {
		h.Starts["engine-a1"] = emulate.RequestLog{Overloads: []emulate.Overload{{UnixMs: unixMs(10), Held: 9, Limit: 8}}}
		h.Faults = append(h.Faults, Interval{Kind: EngineCold, Target: "engine-a1", From: at(5), To: at(5)})
	}},
	"data_centre_out_no_new_work": {func(h *History) {
		accept(h, func(b *bundle.Bundle) { b.DataCentres[0].State = bundle.DataCentreOutOfService })
	}},
	"complete_own_answer": {
		func(h *History) { h.Calls[0].Outcome = OutcomeTruncated },
		func(h *History) { h.Calls[0].Outcome = OutcomeWrongAnswer },
		func(h *History) { h.Calls[1].Outcome = OutcomeTransportError },
		func(h *History) { h.Calls[0].Outcome = OutcomeTimeout },
		func(h *History) { h.Calls[0].Outcome, h.Calls[0].Status = OutcomeError, 502 },
	},
	"not_run_is_true": {
		func(h *History) {
			h.Calls[0].Outcome, h.Calls[0].Code, h.Calls[0].Run = OutcomeError, "x", result.NotRun
		},
		func(h *History) {
			h.Calls[1].Outcome, h.Calls[1].Code, h.Calls[1].Run = OutcomeError, "x", result.NotRun
		},
	},
	"booking_at_most_once": {
		func(h *History) {
			h.Effects["tickets-b"] = emulate.Effects{Times: map[string][]int64{"r2": {unixMs(20)}}}
		},
		func(h *History) { h.Effects = nil },
	},
	"leaving_no_new_work": {
		func(h *History) {
			h.LeavingVMs = []Interval{{Kind: VMLeaving, Target: "engine-a1", From: at(4), To: at(20)}}
		},
		func(h *History) {
			accept(h, func(b *bundle.Bundle) { b.VMs = []bundle.VM{{Name: "engine-a1", OutOfService: true}} })
		},
	},
	"announcements_heeded": {func(h *History) {
		h.Faults = append(h.Faults, Interval{Kind: KillProcess, Target: "engine-a1", From: at(5), To: at(8)})
		log := h.Starts["engine-a1"]
		log.Unheeded = []emulate.Unheeded{{UnixMs: unixMs(10.1), Kind: emulate.AnnouncedPause, AfterMs: 700}}
		h.Starts["engine-a1"] = log
	}},
	"planned_stop_interrupts_nothing": {
		func(h *History) {
			h.Calls[0].Outcome = OutcomeTransportError
			h.PlannedStops = []PlannedStop{{Process: "router-a", At: at(10.2), Ended: at(12)}}
		},
		func(h *History) {
			h.Attempts[0].Code = result.StreamBroken.Number
			h.PlannedStops = []PlannedStop{{Process: "engine-a1", At: at(9.8), Ended: at(10.5)}}
		},
		func(h *History) {
			h.PlannedStops = []PlannedStop{{Process: "engine-a1", At: at(9), Ended: at(40), Killed: true}}
		},
	},
	"configuration_in_force": {func(h *History) {
		h.Configurations = append(h.Configurations, AcceptedConfiguration{Earliest: at(30), At: at(30), Version: 2, Bundle: testBundle()})
		h.Samples = append(h.Samples, Sample{Process: "router-a", At: at(43.5), Version: 2})
	}},
	"configuration_never_reverts": {func(h *History) {
		h.Samples = append(h.Samples, Sample{Process: "router-a", At: at(5), Version: 3}, Sample{Process: "router-a", At: at(6), Version: 2})
	}},
	"one_proposal_wins": {
		func(h *History) { h.Races = []Race{{At: at(5), ExitCodes: [2]int{0, 0}}} },
		func(h *History) { h.Races = []Race{{At: at(5), ExitCodes: [2]int{0, 1}, StoreHealthy: true}} },
	},
	"no_invariant_violated": {
		func(h *History) { h.Samples[0].Violations = []string{"billed_twice 1"} },
		func(h *History) { h.Exits = []Exit{{Process: "router-a", At: at(5), Code: 70}} },
		func(h *History) { h.Exits = []Exit{{Process: "router-a", At: at(5), Code: 2, Expected: true}} },
		func(h *History) { h.Exits = []Exit{{Process: "router-a", At: at(5), Code: 0}} },
	},
	"served_without_faults": {func(h *History) { h.addFailures(46) }},
	"recovery_time":         {func(h *History) { h.addFailures(45.5) }},
	"bookings_during_store_outage": {func(h *History) {
		h.Faults = []Interval{{Kind: StoreOutage, From: at(20), To: at(24)}}
	}},
}

// addChat adds another answered chat of the session.
func (h *History) addChat(ref, answered, moved string) {
	c := h.Calls[0]
	c.Ref, c.ServedModel, c.SessionMoved, c.Started, c.Ended = ref, answered, moved, at(20), at(21)
	h.Calls = append(h.Calls, c)
}

// addFailures adds two refused calls at the given time.
func (h *History) addFailures(seconds float64) {
	for range 2 {
		c := Call{Ref: "r9", Class: "whole", Workspace: workspaceRefuse, Router: "router-a", RequestID: "09", Prompt: "p9"}
		c.Started, c.Ended, c.Outcome, c.Code, c.Run = at(seconds), at(seconds), OutcomeError, "no_backend", result.NotRun
		h.Calls = append(h.Calls, c)
	}
}

// Guards against checks that miss violations, and against checks that report
// valid histories.
func TestChecksReportInjectedDefects(t *testing.T) {
	for _, c := range Checks() {
		if found, _ := c.run(validHistory()); len(found) > 0 {
			t.Errorf("%s reports %v in a valid history", c.Name, found)
		}
		if len(defects[c.Name]) == 0 {
			t.Errorf("%s has no injected defect", c.Name)
		}
		for i, inject := range defects[c.Name] {
			h := validHistory()
			inject(h)
			if found, _ := c.run(h); len(found) == 0 {
				t.Errorf("%s does not report defect %d", c.Name, i)
			}
		}
	}
}

// Guards against violations reported for behaviour that the design allows.
func TestChecksAcceptAllowedBehaviour(t *testing.T) {
	for name, change := range map[string]func(h *History){
		"a charge lost with all processes that held it": func(h *History) {
			h.Ledger.Stored = h.Ledger.Stored[1:]
			h.Exits = []Exit{
				{Process: "router-a", At: at(11), Code: -1, Expected: true}, {Process: "engine-a1", At: at(12), Code: -1, Expected: true},
			}
		},
		// The router had the charge line at 10 s; the caller read until 11.5 s.
		"a charge lost with all processes that held it during a slow read": func(h *History) {
			h.Ledger.Stored = h.Ledger.Stored[1:]
			h.Calls[0].Ended = at(11.5)
			h.Exits = []Exit{
				{Process: "router-a", At: at(11), Code: -1, Expected: true}, {Process: "engine-a1", At: at(12), Code: -1, Expected: true},
			}
		},
		"an answer truncated by a killed router": func(h *History) {
			h.Calls[0].Outcome = OutcomeTruncated
			h.Faults = append(h.Faults, Interval{Kind: KillProcess, Target: "router-a", From: at(10.4), To: at(11)})
		},
		"an announced move from a withdrawn version": func(h *History) {
			accept(h, func(b *bundle.Bundle) {
				m := b.Model(modelSmall)
				m.Version("2").State = bundle.VersionWithdrawn
			})
			h.Calls[0].ServedModel = "small@2"
			h.Starts["engine-a1"].Starts[0].UnixMs = unixMs(2)
			h.addChat("r3", "small@1", "small@2 -> small@1")
		},
		"a start within the time that the change may take": func(h *History) {
			h.LeavingVMs = []Interval{{Kind: VMLeaving, Target: "engine-a1", From: at(7), To: at(20)}}
		},
	} {
		h := validHistory()
		change(h)
		for _, c := range Checks() {
			if found, _ := c.run(h); len(found) > 0 {
				t.Errorf("%s: %s reports %v", name, c.Name, found)
			}
		}
	}
}
