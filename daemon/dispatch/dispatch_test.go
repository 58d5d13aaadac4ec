package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/result"
)

// script is a sender whose attempts end as listed; the last outcome repeats.
type script struct {
	outcomes []Outcome[int]
	sent     int
	// choices bounds the backend servers; 0 for no bound.
	choices int
	pauses  int
	noTime  bool
}

func (s *script) Choose(context.Context) (int, *result.Error) {
	if s.choices > 0 && s.sent >= s.choices {
		return 0, result.NoBackend.With("")
	}
	return s.sent, nil
}

func (s *script) Send(_ context.Context, _ int) Outcome[int] {
	out := s.outcomes[min(s.sent, len(s.outcomes)-1)]
	s.sent++
	return out
}

func (s *script) Pause(context.Context, *result.Error) bool {
	s.pauses++
	return !s.noTime
}

func failed(code result.Code) Outcome[int] { return Outcome[int]{Err: code.With("")} }

// generous is a budget that never ends in these tests.
func generous() *limit.RetryBudget {
	return limit.NewRetryBudget(limit.RetryConfig{Extra: 1000, Window: time.Minute})
}

func request(rules RetryPolicy) *Request {
	if rules.Deadline.IsZero() {
		rules.Deadline = time.Now().Add(time.Minute)
	}
	return &Request{RetryPolicy: rules, Budget: generous(), Routers: 1, Now: time.Now}
}

// Guards against a second attempt of a request that may have run, against one that
// is missing where it is allowed, and against "not run" for work that may have run.
func TestAttempts(t *testing.T) {
	once, twice := RetryPolicy{MaxAttempts: 3}, RetryPolicy{Idempotent: true, MaxAttempts: 2}
	agents := RetryPolicy{Idempotent: true, MaxAttempts: 6, MaxRefusals: 64}
	started := Outcome[int]{Err: result.StreamBroken.With(""), Started: true}
	replaced := Outcome[int]{Err: result.BackendError.With(""), Replaced: true}
	broken, full, down, whole := failed(result.StreamBroken), failed(result.AgentFull), failed(result.BackendDown), Outcome[int]{}
	for _, c := range []struct {
		name  string
		rules RetryPolicy
		s     script
		sent  int
		want  int
	}{
		{"whole answer", once, script{outcomes: []Outcome[int]{whole}}, 1, 0},
		{"non-idempotent, unknown outcome", once, script{outcomes: []Outcome[int]{broken, whole}}, 1, result.StreamBroken.Number},
		{"non-idempotent, refused", once, script{outcomes: []Outcome[int]{full, full, whole}}, 3, 0},
		{"non-idempotent, not sent", RetryPolicy{MaxAttempts: 1}, script{outcomes: []Outcome[int]{down, down, whole}}, 3, 0},
		{"refusals count as attempts", RetryPolicy{MaxAttempts: 2}, script{outcomes: []Outcome[int]{full}}, 2, result.AgentFull.Number},
		{"refusals are bounded", RetryPolicy{MaxAttempts: 1, MaxRefusals: 4}, script{outcomes: []Outcome[int]{full}}, 4, result.AgentFull.Number},
		{"unreachable servers are no attempts", RetryPolicy{Idempotent: true, MaxAttempts: 2}, script{outcomes: []Outcome[int]{down, down, broken, whole}}, 4, 0},
		{"unreachable servers are bounded", RetryPolicy{MaxAttempts: 1, MaxRefusals: 2}, script{outcomes: []Outcome[int]{down}}, 2, result.BackendDown.Number},
		{"refusals are no attempts", RetryPolicy{Idempotent: true, MaxAttempts: 2, MaxRefusals: 9}, script{outcomes: []Outcome[int]{full, full, broken, whole}}, 4, 0},
		{"idempotent, unknown outcome", twice, script{outcomes: []Outcome[int]{broken, whole}}, 2, 0},
		{"attempts are bounded", twice, script{outcomes: []Outcome[int]{broken}}, 2, result.StreamBroken.Number},
		{"no rule on attempts is one", RetryPolicy{Idempotent: true}, script{outcomes: []Outcome[int]{broken}}, 1, result.StreamBroken.Number},
		{"unknown, then refused", agents, script{outcomes: []Outcome[int]{broken, full}, choices: 5}, 5, result.StreamBroken.Number},
		{"unknown, then no server", twice, script{outcomes: []Outcome[int]{broken}, choices: 1}, 1, result.StreamBroken.Number},
		{"no server", twice, script{outcomes: []Outcome[int]{down}, choices: 2}, 2, result.NoBackend.Number},
		{"begun, not resumable", twice, script{outcomes: []Outcome[int]{started, whole}}, 1, result.StreamBroken.Number},
		{"begun, resumable", RetryPolicy{Idempotent: true, Resumable: true, MaxAttempts: 2}, script{outcomes: []Outcome[int]{started, whole}}, 2, 0},
		{"begun, then refused", agents, script{outcomes: []Outcome[int]{started, full}}, 1, result.StreamBroken.Number},
		{"answer replaced", RetryPolicy{Idempotent: true, MaxAttempts: 2}, script{outcomes: []Outcome[int]{replaced, whole}}, 2, 0},
		{"answer replaced, then refused", RetryPolicy{Idempotent: true, MaxAttempts: 2}, script{outcomes: []Outcome[int]{replaced, full}}, 2, result.BackendError.Number},
		{"final failure", twice, script{outcomes: []Outcome[int]{{Err: result.CallerGone.With(""), Final: true}}}, 1, result.CallerGone.Number},
		{"code without retry", twice, script{outcomes: []Outcome[int]{failed(result.Internal)}}, 1, result.Internal.Number},
		{"no time to pause", twice, script{outcomes: []Outcome[int]{broken}, noTime: true}, 1, result.StreamBroken.Number},
	} {
		err := Run(t.Context(), request(c.rules), &c.s)
		got := 0
		if err != nil {
			got = err.Code.Number
		}
		if got != c.want || c.s.sent != c.sent {
			t.Errorf("%s: code %d after %d attempts, want %d after %d", c.name, got, c.s.sent, c.want, c.sent)
		}
	}
}

// Guards against retries beyond the budget, and against refusals that use it up.
func TestBudget(t *testing.T) {
	r := request(RetryPolicy{Idempotent: true, MaxAttempts: 9})
	r.Budget = limit.NewRetryBudget(limit.RetryConfig{Extra: 3, Window: time.Minute})
	s := script{outcomes: []Outcome[int]{failed(result.StreamBroken)}}
	if err := Run(t.Context(), r, &s); err == nil || s.sent != 3 {
		t.Errorf("%d attempts, %v; the budget allows two retries", s.sent, err)
	}
	if !r.IsLastAttempt() {
		t.Error("without budget a failure is the last one")
	}
	r = request(RetryPolicy{MaxAttempts: 9, MaxRefusals: 9})
	s = script{outcomes: []Outcome[int]{failed(result.AgentFull)}}
	Run(t.Context(), r, &s)
	if taken, _ := r.Budget.Counts(); taken != 0 {
		t.Errorf("refusals took %d retries", taken)
	}
}

// Guards against an attempt that has no time left.
func TestNoAttemptAtTheDeadline(t *testing.T) {
	s := script{outcomes: []Outcome[int]{failed(result.BackendDown)}}
	Run(t.Context(), request(RetryPolicy{Deadline: time.Now().Add(leastLeft / 2)}), &s)
	if s.sent != 1 {
		t.Errorf("%d attempts with less than %s left", s.sent, leastLeft)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s = script{outcomes: []Outcome[int]{failed(result.BackendDown)}}
	Run(ctx, request(RetryPolicy{}), &s)
	if s.sent != 1 {
		t.Errorf("%d attempts for a caller who has left", s.sent)
	}
}

// Guards, for any order of outcomes, against a second run of a request that is not
// idempotent and against a refusal that says "not run" untruly.
func TestRandomOutcomes(t *testing.T) {
	codes := []result.Code{result.BackendDown, result.AgentFull, result.AgentLeaving, result.StreamBroken, result.BackendError, result.DeadlinePassed}
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := script{choices: 1 + random.IntN(8)}
		for range s.choices {
			out := failed(codes[random.IntN(len(codes))])
			out.Started = out.Err.Code.Run == result.Unknown && random.IntN(3) == 0
			s.outcomes = append(s.outcomes, out)
		}
		rules := RetryPolicy{Idempotent: random.IntN(2) == 0, Resumable: random.IntN(2) == 0, MaxAttempts: random.IntN(4), MaxRefusals: random.IntN(4)}
		err := Run(t.Context(), request(rules), &s)
		ran, started := 0, 0
		for i, out := range s.outcomes[:s.sent] {
			if i > 0 && started > 0 && !rules.Resumable {
				t.Fatalf("seed %d: attempt %d after a part of the answer was passed on", seed, i+1)
			}
			if ran > 0 && !rules.Idempotent {
				t.Fatalf("seed %d: attempt %d of a request that may have run", seed, i+1)
			}
			if out.Err.Code.Run == result.Unknown {
				ran++
			}
			if out.Started {
				started++
			}
		}
		if ran > max(rules.MaxAttempts, 1) {
			t.Fatalf("seed %d: %d attempts that may have run, %d allowed", seed, ran, rules.MaxAttempts)
		}
		if notRun := err.Code.Run == result.NotRun; notRun != (ran == 0) {
			t.Fatalf("seed %d: %s after %d attempts that may have run", seed, err, ran)
		}
	}
}
