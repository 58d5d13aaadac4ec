package queueing

import (
	"context"
	"reflect"
	"testing"
	"time"
)

// Guards against runs that depend on more than their seed, and against invariant
// violations in a short run.
func TestRunsAreReproducible(t *testing.T) {
	scenario := NewLatencyScenario(CoOp())
	scenario.WarmUp, scenario.Measured = 5*time.Second, 10*time.Second
	const seed = 3
	first, err := scenario.Run(context.Background(), seed)
	if err != nil {
		t.Fatal(err)
	}
	second, err := scenario.Run(context.Background(), seed)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(first, second) {
		t.Errorf("seed %d:\n%+v\n%+v", seed, first, second)
	}
	for _, r := range first {
		if r.Violations != 0 {
			t.Errorf("seed %d: %s: %d violations", seed, r.Policy, r.Violations)
		}
	}
}

// Guards against overload crashes of cold engines when a data centre returns to
// service, against admissions in it while it is excluded, and against lost or
// duplicate answers.
func TestDataCentreReturns(t *testing.T) {
	scenario := NewDataCentreScenario(CoOp())
	scenario.AnnouncedAt, scenario.StoppedAt = 5*time.Second, 20*time.Second
	scenario.ReturnedAt, scenario.End = 25*time.Second, 50*time.Second
	const seed = 4
	results, err := scenario.Run(context.Background(), seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range results {
		if r.Lost != 0 || r.Duplicates != 0 || r.Violations != 0 {
			t.Errorf("seed %d: %+v", seed, r)
		}
	}
	if r := results[0]; r.OverloadCrashes != 0 || r.AdmittedLate != 0 {
		t.Errorf("seed %d: %+v", seed, r)
	}
}

// Guards against an engine model that accepts any number of requests, which would
// hide overload: a cold engine must crash and fail its requests above ColdHeld.
func TestColdEngineCrashesUnderOverload(t *testing.T) {
	l := newLoop()
	crashes := 0
	e := &engine{loop: l, model: DefaultEngine(), slowFactor: 1, onOverloadCrash: func() { crashes++ }}
	e.start()
	failed := 0
	for range e.model.ColdHeld + 1 {
		e.submit(&sequence{lengths: lengths{prompt: 10, answer: 10}, onFailed: func() { failed++ }})
	}
	if crashes != 1 || failed != e.model.ColdHeld+1 || e.up {
		t.Errorf("overload crashes %d, failed requests %d, up %v", crashes, failed, e.up)
	}
}

// Guards against a router that sends requests to servers which have announced to it that they
// leave or pause, and against a scenario in which none could be sent.
func TestAnnouncementsAreHeeded(t *testing.T) {
	s := NewAnnouncementScenario(12)
	s.Measured = 6 * time.Second
	results, err := s.Run(t.Context(), 1)
	if err != nil {
		t.Fatal(err)
	}
	heeded, dropped := results[0], results[1]
	if heeded.SentToLeaving+heeded.SentToPaused > 0 || dropped.SentToLeaving == 0 || dropped.SentToPaused == 0 {
		t.Errorf("heeded: %+v, dropped: %+v", heeded, dropped)
	}
	if heeded.Counts.Requests == 0 || heeded.Counts.Broken > 0 {
		t.Errorf("%d of %d requests were cut off", heeded.Counts.Broken, heeded.Counts.Requests)
	}
}
