package queueing

import (
	"context"
	"reflect"
	"testing"
	"time"
)

// Guards against a run that depends on more than its seed, and against lost or
// duplicate requests and violated invariants in a short run.
func TestRunsAreReproducible(t *testing.T) {
	scenario := NewLatency(CoOp())
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

// Guards against a cold-start ramp that lets a returning data centre fall over,
// and against answers lost or given twice on the way.
func TestDataCentreReturns(t *testing.T) {
	scenario := NewDataCentre(CoOp())
	scenario.Announce, scenario.Dark = 5*time.Second, 20*time.Second
	scenario.Return, scenario.End = 25*time.Second, 50*time.Second
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
	if r := results[0]; r.Falls != 0 || r.AdmittedLate != 0 {
		t.Errorf("seed %d: %+v", seed, r)
	}
}

// Guards against an engine model that can't fall over, which would hide overload.
func TestColdEngineFallsOver(t *testing.T) {
	l := newLoop()
	falls := 0
	e := &engine{loop: l, model: DefaultEngine(), slow: 1, fellOver: func() { falls++ }}
	e.begin()
	failed := 0
	for range e.model.ColdHeld + 1 {
		e.submit(&sequence{lengths: lengths{prompt: 10, answer: 10}, failed: func() { failed++ }})
	}
	if falls != 1 || failed != e.model.ColdHeld+1 || e.up {
		t.Errorf("falls %d, failed %d, up %v", falls, failed, e.up)
	}
}
