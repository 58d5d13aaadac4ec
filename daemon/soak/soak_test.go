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

// Guards against schedules that differ between runs of one seed, against faults
// that outlast the run and against schedules without a store outage.
func TestScheduleIsAFunctionOfTheSeed(t *testing.T) {
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
			outage = outage || a.Kind == StoreOutage && a.For >= shortestOutage
			if a.At < quietStart || a.At+a.For > duration {
				t.Errorf("seed %d: %s is outside of the run", seed, a)
			}
		}
		if !outage {
			t.Errorf("seed %d has no store outage", seed)
		}
	}
	for _, c := range choices {
		if !kinds[c.kind] {
			t.Errorf("no seed has %s", c.kind)
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

// sound returns the evidence of a run without violations: a chat and a booking,
// with one process of each kind.
func sound() *Evidence {
	return &Evidence{
		Began: began, FaultsEnd: at(30), LoadEnd: at(50), Ended: at(80),
		Calls: []Call{
			{
				Ref: "r1", Class: "pinned", Workspace: workspaceMove, Session: "s", Router: "router-a", RequestID: chatID, Prompt: "p1",
				Started: at(10), Ended: at(10.5), Outcome: OutcomeOK, Status: 200, Asked: modelSmall, Answered: "small@1",
			},
			{
				Ref: "r2", Class: "booking", Booking: true, Workspace: workspaceStay, Router: "router-a", RequestID: bookingID,
				Started: at(12), Ended: at(12.1), Outcome: OutcomeOK, Status: 201,
			},
		},
		Faults:   []Interval{{Kind: StoreOutage, Target: "store", From: at(11), To: at(14)}},
		Accepted: []Accepted{{Earliest: at(0), At: at(0), Version: 1, Bundle: testBundle()}},
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
func accept(e *Evidence, change func(b *bundle.Bundle)) {
	b := testBundle()
	change(b)
	e.Accepted = append(e.Accepted, Accepted{Earliest: at(2.9), At: at(3), Version: 2, Bundle: b})
	for _, s := range e.Samples {
		s.Version, s.At = 2, at(4)
		e.Samples = append(e.Samples, s)
	}
}

// plants holds defects, each of which one check must report.
var plants = map[string][]func(e *Evidence){
	"allowed_version": {
		func(e *Evidence) { e.Calls[0].Workspace = workspaceFew },
		func(e *Evidence) { e.Starts["engine-a1"].Starts[0].Model = "large@1" },
	},
	"withdrawn_no_new_work": {func(e *Evidence) {
		accept(e, func(b *bundle.Bundle) { b.Model(modelSmall).Version("2").State = bundle.VersionWithdrawn })
		e.Starts["engine-a1"].Starts[0].Model = "small@2"
	}},
	"session_keeps_version": {
		func(e *Evidence) { e.addChat("r3", "small@2", "") },
		// An announced move away from a version that still serves.
		func(e *Evidence) { e.addChat("r3", "small@2", "small@1 -> small@2") },
	},
	"billed_once": {
		func(e *Evidence) { e.Ledger.Stored = e.Ledger.Stored[1:] },
		func(e *Evidence) { e.Ledger.Stored = e.Ledger.Stored[:1] },
		func(e *Evidence) { e.Ledger.Duplicates = []ledger.ID{lineID(chatID)} },
		func(e *Evidence) { e.Ledger.Stored = append(e.Ledger.Stored, lineID("ff")) },
		func(e *Evidence) { e.Ledger.Gaps = []string{"ledger/0/seg/1"} },
		func(e *Evidence) { e.Ledger.Disputed = []ledger.Line{{}} },
		// Only one of the two holders of the line was killed.
		func(e *Evidence) {
			e.Ledger.Stored = e.Ledger.Stored[1:]
			e.Exits = []Exit{{Process: "router-a", At: at(11), Code: -1, Expected: true}}
		},
		// A charge for a refusal.
		func(e *Evidence) { e.Calls[0].Outcome, e.Calls[0].Run = OutcomeError, result.NotRun },
	},
	"engine_not_overloaded": {func(e *Evidence) {
		e.Starts["engine-a1"] = emulate.RequestLog{Overloads: []emulate.Overload{{UnixMs: unixMs(10), Held: 9, Limit: 8}}}
		e.Faults = append(e.Faults, Interval{Kind: EngineCold, Target: "engine-a1", From: at(5), To: at(5)})
	}},
	"data_centre_out_no_new_work": {func(e *Evidence) {
		accept(e, func(b *bundle.Bundle) { b.DataCentres[0].State = bundle.DataCentreOutOfService })
	}},
	"complete_own_answer": {
		func(e *Evidence) { e.Calls[0].Outcome = OutcomeCut },
		func(e *Evidence) { e.Calls[0].Outcome = OutcomeWrong },
		func(e *Evidence) { e.Calls[1].Outcome = OutcomeTransport },
		func(e *Evidence) { e.Calls[0].Outcome = OutcomeTimeout },
		func(e *Evidence) { e.Calls[0].Outcome, e.Calls[0].Status = OutcomeError, 502 },
	},
	"not_run_is_true": {
		func(e *Evidence) {
			e.Calls[0].Outcome, e.Calls[0].Code, e.Calls[0].Run = OutcomeError, "x", result.NotRun
		},
		func(e *Evidence) {
			e.Calls[1].Outcome, e.Calls[1].Code, e.Calls[1].Run = OutcomeError, "x", result.NotRun
		},
	},
	"booking_at_most_once": {
		func(e *Evidence) {
			e.Effects["tickets-b"] = emulate.Effects{Times: map[string][]int64{"r2": {unixMs(20)}}}
		},
		func(e *Evidence) { e.Effects = nil },
	},
	"leaving_no_new_work": {
		func(e *Evidence) {
			e.Leaving = []Interval{{Kind: VMLeaving, Target: "engine-a1", From: at(4), To: at(20)}}
		},
		func(e *Evidence) {
			accept(e, func(b *bundle.Bundle) { b.VMs = []bundle.VM{{Name: "engine-a1", OutOfService: true}} })
		},
	},
	"planned_stop_interrupts_nothing": {
		func(e *Evidence) {
			e.Calls[0].Outcome = OutcomeTransport
			e.Stops = []Stop{{Process: "router-a", At: at(10.2), Ended: at(12)}}
		},
		func(e *Evidence) {
			e.Attempts[0].Code = result.StreamBroken.Number
			e.Stops = []Stop{{Process: "engine-a1", At: at(9.8), Ended: at(10.5)}}
		},
		func(e *Evidence) { e.Stops = []Stop{{Process: "engine-a1", At: at(9), Ended: at(40), Killed: true}} },
	},
	"configuration_in_force": {func(e *Evidence) {
		e.Accepted = append(e.Accepted, Accepted{Earliest: at(30), At: at(30), Version: 2, Bundle: testBundle()})
		e.Samples = append(e.Samples, Sample{Process: "router-a", At: at(43.5), Version: 2})
	}},
	"configuration_never_reverts": {func(e *Evidence) {
		e.Samples = append(e.Samples, Sample{Process: "router-a", At: at(5), Version: 3}, Sample{Process: "router-a", At: at(6), Version: 2})
	}},
	"one_proposal_wins": {
		func(e *Evidence) { e.Races = []Race{{At: at(5), Codes: [2]int{0, 0}}} },
		func(e *Evidence) { e.Races = []Race{{At: at(5), Codes: [2]int{0, 1}, StoreUp: true}} },
	},
	"no_invariant_violated": {
		func(e *Evidence) { e.Samples[0].Violations = []string{"billed_twice 1"} },
		func(e *Evidence) { e.Exits = []Exit{{Process: "router-a", At: at(5), Code: 70}} },
		func(e *Evidence) { e.Exits = []Exit{{Process: "router-a", At: at(5), Code: 2, Expected: true}} },
		func(e *Evidence) { e.Exits = []Exit{{Process: "router-a", At: at(5), Code: 0}} },
	},
	"served_without_faults": {func(e *Evidence) { e.addFailures(46) }},
	"recovery_time":         {func(e *Evidence) { e.addFailures(45.5) }},
	"bookings_during_store_outage": {func(e *Evidence) {
		e.Faults = []Interval{{Kind: StoreOutage, From: at(20), To: at(24)}}
	}},
}

// addChat adds another answered chat of the session.
func (e *Evidence) addChat(ref, answered, moved string) {
	c := e.Calls[0]
	c.Ref, c.Answered, c.Moved, c.Started, c.Ended = ref, answered, moved, at(20), at(21)
	e.Calls = append(e.Calls, c)
}

// addFailures adds two refused calls at the time.
func (e *Evidence) addFailures(seconds float64) {
	for range 2 {
		c := Call{Ref: "r9", Class: "whole", Workspace: workspaceStay, Router: "router-a", RequestID: "09", Prompt: "p9"}
		c.Started, c.Ended, c.Outcome, c.Code, c.Run = at(seconds), at(seconds), OutcomeError, "no_backend", result.NotRun
		e.Calls = append(e.Calls, c)
	}
}

// Guards against checks that report nothing, and against checks that report
// what is allowed.
func TestChecksReportPlantedDefects(t *testing.T) {
	for _, c := range Checks() {
		if found, _ := c.run(sound()); len(found) > 0 {
			t.Errorf("%s reports %v in sound evidence", c.Name, found)
		}
		if len(plants[c.Name]) == 0 {
			t.Errorf("%s has no planted defect", c.Name)
		}
		for i, plant := range plants[c.Name] {
			e := sound()
			plant(e)
			if found, _ := c.run(e); len(found) == 0 {
				t.Errorf("%s does not report defect %d", c.Name, i)
			}
		}
	}
}

// Guards against violations reported for what the design allows.
func TestChecksAllow(t *testing.T) {
	for name, change := range map[string]func(e *Evidence){
		"a line lost with all its holders": func(e *Evidence) {
			e.Ledger.Stored = e.Ledger.Stored[1:]
			e.Exits = []Exit{
				{Process: "router-a", At: at(11), Code: -1, Expected: true}, {Process: "engine-a1", At: at(12), Code: -1, Expected: true},
			}
		},
		// The router had the line at 10 s; the caller read until 11.5 s.
		"a line lost with all its holders during a slow read": func(e *Evidence) {
			e.Ledger.Stored = e.Ledger.Stored[1:]
			e.Calls[0].Ended = at(11.5)
			e.Exits = []Exit{
				{Process: "router-a", At: at(11), Code: -1, Expected: true}, {Process: "engine-a1", At: at(12), Code: -1, Expected: true},
			}
		},
		"an answer cut by a killed router": func(e *Evidence) {
			e.Calls[0].Outcome = OutcomeCut
			e.Faults = append(e.Faults, Interval{Kind: KillProcess, Target: "router-a", From: at(10.4), To: at(11)})
		},
		"an announced move from a withdrawn version": func(e *Evidence) {
			accept(e, func(b *bundle.Bundle) {
				m := b.Model(modelSmall)
				m.Version("2").State = bundle.VersionWithdrawn
			})
			e.Calls[0].Answered = "small@2"
			e.Starts["engine-a1"].Starts[0].UnixMs = unixMs(2)
			e.addChat("r3", "small@1", "small@2 -> small@1")
		},
		"a start in the time that an order takes": func(e *Evidence) {
			e.Leaving = []Interval{{Kind: VMLeaving, Target: "engine-a1", From: at(7), To: at(20)}}
		},
	} {
		e := sound()
		change(e)
		for _, c := range Checks() {
			if found, _ := c.run(e); len(found) > 0 {
				t.Errorf("%s: %s reports %v", name, c.Name, found)
			}
		}
	}
}
