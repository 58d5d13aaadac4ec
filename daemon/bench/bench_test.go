package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"testing"

	"cactusknot.example/daemon/routing"
)

// Guards against a workload file that does not decode or whose shares do not
// add up to 1.
func TestWorkloads(t *testing.T) {
	workloads, err := loadWorkloads(Options{})
	if err != nil || len(workloads) != len(deployments) {
		t.Fatalf("loaded %d workloads, error %v", len(workloads), err)
	}
	for _, w := range workloads {
		traffic, kinds := 0.0, 0.0
		for _, ws := range w.Workspaces {
			traffic += ws.Share
		}
		for _, k := range w.Kinds {
			kinds += k.Share
		}
		if diff := (traffic - 1) * (traffic - 1); diff > 1e-9 || (kinds-1)*(kinds-1) > 1e-9 {
			t.Errorf("%s: shares add up to %v and %v", w.Name, traffic, kinds)
		}
		if len(w.Models) > maxModels || w.modelIndex(w.Rollout.Model) < 0 {
			t.Errorf("%s: too many models, or the roll-out model is not among them", w.Name)
		}
	}
}

// Guards against an error in the oracle that all costs are compared with: it
// must meet every target, and no variant that meets all targets may be cheaper.
func TestOracleIsCheapest(t *testing.T) {
	report, err := RunCost(context.Background(), Options{Seeds: []uint64{7}, Scale: 0.02})
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range report.Summary() {
		if s.Variant == "oracle" && s.Name == "workspaces below target" && s.Max > 0 {
			t.Errorf("seed 7: the oracle misses a target in %s", s.Deployment)
		}
		meets := report.worstValue(s.Deployment, s.Variant, "workspaces below target") == 0
		if s.Name == "cost / oracle" && meets && s.Min < 0.999 {
			t.Errorf("seed 7: %s costs %v of the oracle in %s", s.Variant, s.Min, s.Deployment)
		}
	}
	var out bytes.Buffer
	if err := report.WriteJSON(&out); err != nil || !json.Valid(out.Bytes()) {
		t.Errorf("JSON: %v", err)
	}
}

// Guards against rollouts that violate an invariant and against stop notices
// that do not reach every router; until they do, the others keep exposing
// requests to the bad version.
func TestRolloutStops(t *testing.T) {
	w, err := loadWorkload("creches")
	if err != nil {
		t.Fatal(err)
	}
	w.Rollout.HorizonSeconds = 400
	run := rolloutConfig{workload: w, scope: pooledEvidence, failureShare: 0.9, test: routing.DefaultStopTest()}
	s := newSimulation(run, 7)
	out := s.run()
	if out.err != nil || !out.stopped {
		t.Fatalf("seed 7: %+v", out)
	}
	for i, n := range s.routers {
		if len(n.stops) != 1 {
			t.Errorf("seed 7: router %d holds %d notices", i, len(n.stops))
		}
	}
}

// Guards against sessions of the simulation whose pins are lost or duplicated
// when the session moves to another version.
func TestStorePinReplacesPin(t *testing.T) {
	s := &routing.Session{}
	storePin(s, &routing.Decision{Model: "m", Version: "1", NewPin: true})
	storePin(s, &routing.Decision{Model: "m", Version: "2", NewPin: true, Reason: routing.ReasonMoved})
	if len(s.Pins) != 1 || s.Pins[0].Version != "2" {
		t.Fatalf("pins %+v", s.Pins)
	}
}

// Guards against a difference between the fast simulation with one counter key
// per version and the routers' counters per workspace, kind and score interval:
// both must give the same rollout.
func TestPooledKeysMatchSeparateKeys(t *testing.T) {
	w, err := loadWorkload("coop")
	if err != nil {
		t.Fatal(err)
	}
	w.Rollout.HorizonSeconds = 500
	for _, scope := range []evidenceScope{pooledEvidence, ownEvidence, ownWithNotices} {
		for _, failures := range []float64{0, 0.4} {
			run := rolloutConfig{workload: w, scope: scope, failureShare: failures, test: routing.DefaultStopTest()}
			short := newSimulation(run, 7).run()
			run.separateKeys = true
			full := newSimulation(run, 7).run()
			same := short.exposed == full.exposed && short.stopped == full.stopped && math.Abs(short.maxEvidence-full.maxEvidence) < 1e-6
			if !same {
				t.Errorf("seed 7, %s, failures %v: %+v and %+v", scopeNames[scope], failures, short, full)
			}
		}
	}
}

// Guards against an error in the upper bound of the false stop rate. Without
// events the exact bound is 1-(1-confidence)^(1/runs); for 3 events in 300 runs
// published tables give 0.0256.
func TestRateUpperBound(t *testing.T) {
	if got, want := rateUpperBound(0, 300, 0.95), 1-math.Pow(0.05, 1.0/300); math.Abs(got-want) > 1e-9 {
		t.Errorf("0 of 300: %v, want %v", got, want)
	}
	if got := rateUpperBound(3, 300, 0.95); math.Abs(got-0.0256) > 5e-4 {
		t.Errorf("3 of 300: %v", got)
	}
	if rateUpperBound(300, 300, 0.95) != 1 {
		t.Error("300 of 300: the bound is not 1")
	}
}
