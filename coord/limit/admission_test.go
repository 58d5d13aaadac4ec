package limit

import (
	"sync"
	"testing"
	"time"

	"cactusknot.example/coord/invariant"
	"pgregory.net/rapid"
)

func newTestAdmission(t testing.TB, cfg AdmissionConfig) (*Admission, *invariant.Checker) {
	t.Helper()
	check := &invariant.Checker{}
	a, err := NewAdmission(cfg, check)
	if err != nil {
		t.Fatal(err)
	}
	return a, check
}

// fill admits requests until one is refused.
func fill(a *Admission) ([]*Permit, Refusal) {
	var permits []*Permit
	for {
		p, refusal := a.Admit(10)
		if refusal != NotRefused {
			return permits, refusal
		}
		permits = append(permits, p)
	}
}

// warmUp completes requests until a is warm.
func warmUp(t testing.TB, a *Admission) {
	t.Helper()
	for range 1000 {
		if a.State().Phase == Warm {
			return
		}
		permits, _ := fill(a)
		for _, p := range permits {
			p.RecordFirstToken(FirstTokenSample{FirstToken: 50 * time.Millisecond, PromptTokens: 100})
			p.Complete()
		}
	}
	t.Fatal("not warm after 1000 rounds")
}

var testLimits = AdmissionConfig{MaxRequests: 16, MaxTokens: 1000}

// A cold server must not get the load of a warm one, and the ramp limit must not rise
// when requests are released without a result.
func TestRampOpensOnlyOnCompletions(t *testing.T) {
	a, check := newTestAdmission(t, testLimits)
	permits, refusal := fill(a)
	if len(permits) != DefaultColdLimit || refusal != RefusedCold {
		t.Fatalf("cold: %d admitted, then %v", len(permits), refusal)
	}
	for _, p := range permits {
		p.Release()
	}
	if got := a.State().Limit; got != DefaultColdLimit {
		t.Fatalf("limit after releases without evidence: %d", got)
	}
	warmUp(t, a)
	permits, refusal = fill(a)
	if len(permits) != testLimits.MaxRequests || refusal != RefusedFull {
		t.Fatalf("warm: %d admitted, then %v", len(permits), refusal)
	}
	if check.Total() != 0 {
		t.Fatal(check.Counts())
	}
}

// A server may restart without notice while many routers still send it full load. Slow
// first tokens must start the cold phase, and requests admitted before must not raise
// the ramp limit again.
func TestSecondColdStartUnderLoad(t *testing.T) {
	a, check := newTestAdmission(t, testLimits)
	warmUp(t, a)
	for range 40 {
		permits, _ := fill(a)
		for _, p := range permits {
			p.RecordFirstToken(FirstTokenSample{FirstToken: 50 * time.Millisecond, PromptTokens: 100})
			p.Complete()
		}
	}
	before, _ := fill(a)
	for _, p := range before {
		p.RecordFirstToken(FirstTokenSample{FirstToken: 500 * time.Millisecond, PromptTokens: 100})
	}
	s := a.State()
	if s.Phase != Cold || s.Reason != ColdFirstToken || s.Free != 0 {
		t.Fatalf("state after slow first tokens: %+v", s)
	}
	for _, p := range before {
		p.Complete()
	}
	if got := a.State().Limit; got != DefaultColdLimit {
		t.Fatalf("requests from before the cold start opened the ramp to %d", got)
	}
	var routers sync.WaitGroup
	for range 24 {
		routers.Go(func() {
			for range 200 {
				if p, refusal := a.Admit(10); refusal == NotRefused {
					p.Complete()
				}
			}
		})
	}
	routers.Wait()
	if check.Total() != 0 {
		t.Fatal(check.Counts())
	}
}

// A lost prefix cache must be detected from cache misses, before overload shows it.
func TestCacheLossStartsColdPhase(t *testing.T) {
	a, _ := newTestAdmission(t, testLimits)
	warmUp(t, a)
	permits, _ := fill(a)
	for _, p := range permits {
		p.RecordFirstToken(FirstTokenSample{FirstToken: 50 * time.Millisecond, PromptTokens: 600, ExpectedCached: 500})
	}
	if s := a.State(); s.Phase != Cold || s.Reason != ColdCacheLost {
		t.Fatalf("state after misses: %+v", s)
	}
}

// Occasional slow first tokens must not start the cold phase of a healthy server.
func TestOutliersKeepWarm(t *testing.T) {
	a, _ := newTestAdmission(t, testLimits)
	warmUp(t, a)
	for i := range 1000 {
		p, _ := a.Admit(10)
		d := 50 * time.Millisecond
		if i%3 == 0 {
			d *= 20
		}
		p.RecordFirstToken(FirstTokenSample{FirstToken: d, PromptTokens: 100})
		p.Complete()
	}
	if s := a.State(); s.Phase != Warm {
		t.Fatalf("state after outliers: %+v", s)
	}
}

// A server that leaves during its cold start must get no new requests, and must be
// cold when it returns.
func TestLeavingDuringColdStart(t *testing.T) {
	a, check := newTestAdmission(t, testLimits)
	p, _ := a.Admit(10)
	a.SetLeaving(true)
	if _, refusal := a.Admit(10); refusal != RefusedLeaving {
		t.Fatalf("leaving: %v", refusal)
	}
	p.Complete()
	if s := a.State(); s.Phase != Leaving || s.Running != 0 || s.Free != 0 {
		t.Fatalf("leaving: %+v", s)
	}
	a.SetLeaving(false)
	if s := a.State(); s.Phase != Cold || s.Limit != DefaultColdLimit {
		t.Fatalf("returned: %+v", s)
	}
	if check.Total() != 0 {
		t.Fatal(check.Counts())
	}
}

// No order of events may exceed a limit, admit a request while the server is leaving or
// down, or leave slots taken at the end.
func TestAdmissionProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		check := &invariant.Checker{}
		a, err := NewAdmission(AdmissionConfig{MaxRequests: rapid.IntRange(1, 20).Draw(t, "max"), MaxTokens: 200}, check)
		if err != nil {
			t.Fatal(err)
		}
		var held []*Permit
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				if p, refusal := a.Admit(rapid.IntRange(1, 50).Draw(t, "tokens")); refusal == NotRefused {
					held = append(held, p)
				}
			},
			"finish": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip()
				}
				ends := []func(*Permit){(*Permit).Complete, (*Permit).Fail, (*Permit).Release}
				ends[rapid.IntRange(0, 2).Draw(t, "how")](held[0])
				held[0].Complete()
				held = held[1:]
			},
			"leave": func(t *rapid.T) { a.SetLeaving(rapid.Bool().Draw(t, "leaving")) },
			"pause": func(t *rapid.T) { a.SetPaused(rapid.Bool().Draw(t, "paused")) },
			"down":  func(t *rapid.T) { a.SetDown(rapid.Bool().Draw(t, "down")) },
			"cold":  func(*rapid.T) { a.ReportColdStart(ColdRestarted) },
			"limits": func(t *rapid.T) {
				_ = a.SetLimits(AdmissionConfig{MaxRequests: rapid.IntRange(1, 20).Draw(t, "m"), MaxTokens: 200})
			},
			"": func(t *rapid.T) {
				if s := a.State(); s.Running != len(held) || check.Total() != 0 {
					t.Fatalf("held %d, state %+v, violations %v", len(held), s, check.Counts())
				}
			},
		})
		for _, p := range held {
			p.Release()
		}
		if s := a.State(); s.Running != 0 || s.Tokens != 0 {
			t.Fatalf("after all releases: %+v", s)
		}
	})
}

// The invariants must report violations: each injected defect admits a request that
// must be refused.
func TestInjectedDefectsViolateInvariants(t *testing.T) {
	always := func(int) Refusal { return NotRefused }
	for _, tc := range []struct {
		name   invariant.Name
		inject func(*Admission)
		calls  int
	}{
		{InvariantColdOverload, func(a *Admission) { a.ramp = 16 }, DefaultColdLimit + 1},
		{InvariantLimitExceeded, func(a *Admission) { a.cold = false; a.refusalFunc = always }, testLimits.MaxRequests + 1},
		{InvariantLeavingAdmitted, func(a *Admission) { a.leaving = true; a.refusalFunc = always }, 1},
		{InvariantLeavingAdmitted, func(a *Admission) { a.paused = true; a.refusalFunc = always }, 1},
	} {
		a, check := newTestAdmission(t, testLimits)
		tc.inject(a)
		for range tc.calls {
			a.Admit(1)
		}
		if check.Counts()[tc.name] != 1 || check.Total() != 1 {
			t.Errorf("%s: %v", tc.name, check.Counts())
		}
	}
}

// The time between tokens must ignore answers of a single token and requests admitted
// before the latest cold start.
func TestTokenInterval(t *testing.T) {
	a, _ := newTestAdmission(t, AdmissionConfig{MaxRequests: 10, MaxTokens: 1000})
	p, _ := a.Admit(10)
	p.RecordDecode(1, time.Second)
	p.RecordDecode(2, 0)
	if got := a.State().TokenInterval; got != 0 {
		t.Errorf("interval %v without a sample", got)
	}
	p.RecordDecode(11, 300*time.Millisecond)
	if got := a.State().TokenInterval; got != 30*time.Millisecond {
		t.Errorf("interval %v", got)
	}
	a.ReportColdStart(ColdReturned)
	p.RecordDecode(11, 3*time.Second)
	if got := a.State().TokenInterval; got != 30*time.Millisecond {
		t.Errorf("interval %v after an old sample", got)
	}
}
