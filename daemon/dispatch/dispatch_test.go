package dispatch

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/result"
)

// scriptedSender is a sender whose attempts end with the listed outcomes. The last one
// is repeated.
type scriptedSender struct {
	outcomes []Outcome[int]
	sent     int
	// choices is the number of backend servers; 0 for no limit.
	choices int
	pauses  int
	noTime  bool
}

func (s *scriptedSender) Choose(context.Context) (int, *result.Error) {
	if s.choices > 0 && s.sent >= s.choices {
		return 0, result.NoBackend.With("")
	}
	return s.sent, nil
}

func (s *scriptedSender) Send(_ context.Context, _ int) Outcome[int] {
	out := s.outcomes[min(s.sent, len(s.outcomes)-1)]
	s.sent++
	return out
}

func (s *scriptedSender) Pause(context.Context, *result.Error) bool {
	s.pauses++
	return !s.noTime
}

func failed(code result.Code) Outcome[int] { return Outcome[int]{Err: code.With("")} }

// unlimitedBudget returns a retry budget that these tests can't use up.
func unlimitedBudget() *limit.RetryBudget {
	return limit.NewRetryBudget(limit.RetryConfig{Extra: 1000, Window: time.Minute})
}

func request(policy RetryPolicy) *Request {
	if policy.Deadline.IsZero() {
		policy.Deadline = time.Now().Add(time.Minute)
	}
	return &Request{RetryPolicy: policy, Budget: unlimitedBudget(), Routers: 1, Now: time.Now}
}

// A request that may have run must not be sent again unless the policy allows it, must
// be sent again where it does, and must not be reported as "not run".
func TestAttempts(t *testing.T) {
	once, twice := RetryPolicy{MaxAttempts: 3}, RetryPolicy{Idempotent: true, MaxAttempts: 2}
	agents := RetryPolicy{Idempotent: true, MaxAttempts: 6, MaxRefusals: 64}
	started := Outcome[int]{Err: result.StreamBroken.With(""), Started: true}
	replaced := Outcome[int]{Err: result.BackendError.With(""), Replaced: true}
	broken, full, down, whole := failed(result.StreamBroken), failed(result.AgentFull), failed(result.BackendDown), Outcome[int]{}
	for _, c := range []struct {
		name   string
		policy RetryPolicy
		s      scriptedSender
		sent   int
		want   int
	}{
		{"complete answer", once, scriptedSender{outcomes: []Outcome[int]{whole}}, 1, 0},
		{"non-idempotent, unknown outcome", once, scriptedSender{outcomes: []Outcome[int]{broken, whole}}, 1, result.StreamBroken.Number},
		{"non-idempotent, refused", once, scriptedSender{outcomes: []Outcome[int]{full, full, whole}}, 3, 0},
		{"non-idempotent, not sent", RetryPolicy{MaxAttempts: 1}, scriptedSender{outcomes: []Outcome[int]{down, down, whole}}, 3, 0},
		{"refusals count as attempts", RetryPolicy{MaxAttempts: 2}, scriptedSender{outcomes: []Outcome[int]{full}}, 2, result.AgentFull.Number},
		{"refusals are bounded", RetryPolicy{MaxAttempts: 1, MaxRefusals: 4}, scriptedSender{outcomes: []Outcome[int]{full}}, 4, result.AgentFull.Number},
		{"unreachable servers are no attempts", RetryPolicy{Idempotent: true, MaxAttempts: 2}, scriptedSender{outcomes: []Outcome[int]{down, down, broken, whole}}, 4, 0},
		{"unreachable servers are bounded", RetryPolicy{MaxAttempts: 1, MaxRefusals: 2}, scriptedSender{outcomes: []Outcome[int]{down}}, 2, result.BackendDown.Number},
		{"refusals are no attempts", RetryPolicy{Idempotent: true, MaxAttempts: 2, MaxRefusals: 9}, scriptedSender{outcomes: []Outcome[int]{full, full, broken, whole}}, 4, 0},
		{"idempotent, unknown outcome", twice, scriptedSender{outcomes: []Outcome[int]{broken, whole}}, 2, 0},
		{"attempts are bounded", twice, scriptedSender{outcomes: []Outcome[int]{broken}}, 2, result.StreamBroken.Number},
		{"no limit on attempts means one", RetryPolicy{Idempotent: true}, scriptedSender{outcomes: []Outcome[int]{broken}}, 1, result.StreamBroken.Number},
		{"unknown, then refused", agents, scriptedSender{outcomes: []Outcome[int]{broken, full}, choices: 5}, 5, result.StreamBroken.Number},
		{"unknown, then no server", twice, scriptedSender{outcomes: []Outcome[int]{broken}, choices: 1}, 1, result.StreamBroken.Number},
		{"no server", twice, scriptedSender{outcomes: []Outcome[int]{down}, choices: 2}, 2, result.NoBackend.Number},
		{"started, not resumable", twice, scriptedSender{outcomes: []Outcome[int]{started, whole}}, 1, result.StreamBroken.Number},
		{"started, resumable", RetryPolicy{Idempotent: true, Resumable: true, MaxAttempts: 2}, scriptedSender{outcomes: []Outcome[int]{started, whole}}, 2, 0},
		{"started, then refused", agents, scriptedSender{outcomes: []Outcome[int]{started, full}}, 1, result.StreamBroken.Number},
		{"answer replaced", RetryPolicy{Idempotent: true, MaxAttempts: 2}, scriptedSender{outcomes: []Outcome[int]{replaced, whole}}, 2, 0},
		{"answer replaced, then refused", RetryPolicy{Idempotent: true, MaxAttempts: 2}, scriptedSender{outcomes: []Outcome[int]{replaced, full}}, 2, result.BackendError.Number},
		{"final failure", twice, scriptedSender{outcomes: []Outcome[int]{{Err: result.CallerGone.With(""), Final: true}}}, 1, result.CallerGone.Number},
		{"code without retry", twice, scriptedSender{outcomes: []Outcome[int]{failed(result.Internal)}}, 1, result.Internal.Number},
		{"no time to pause", twice, scriptedSender{outcomes: []Outcome[int]{broken}, noTime: true}, 1, result.StreamBroken.Number},
	} {
		err := Run(t.Context(), request(c.policy), &c.s)
		got := 0
		if err != nil {
			got = err.Code.Number
		}
		if got != c.want || c.s.sent != c.sent {
			t.Errorf("%s: code %d after %d attempts, want %d after %d", c.name, got, c.s.sent, c.want, c.sent)
		}
	}
}

// Retries must stay within the budget, and refusals must not use it.
func TestBudget(t *testing.T) {
	r := request(RetryPolicy{Idempotent: true, MaxAttempts: 9})
	r.Budget = limit.NewRetryBudget(limit.RetryConfig{Extra: 3, Window: time.Minute})
	s := scriptedSender{outcomes: []Outcome[int]{failed(result.StreamBroken)}}
	if err := Run(t.Context(), r, &s); err == nil || s.sent != 3 {
		t.Errorf("%d attempts, %v; the budget allows two retries", s.sent, err)
	}
	if !r.IsLastAttempt() {
		t.Error("IsLastAttempt is false although the budget is used up")
	}
	r = request(RetryPolicy{MaxAttempts: 9, MaxRefusals: 9})
	s = scriptedSender{outcomes: []Outcome[int]{failed(result.AgentFull)}}
	Run(t.Context(), r, &s)
	if taken, _ := r.Budget.Counts(); taken != 0 {
		t.Errorf("refusals took %d retries", taken)
	}
}

// No further attempt is made shortly before the deadline or for a caller who has left.
func TestNoAttemptAtTheDeadline(t *testing.T) {
	s := scriptedSender{outcomes: []Outcome[int]{failed(result.BackendDown)}}
	Run(t.Context(), request(RetryPolicy{Deadline: time.Now().Add(minTimeLeft / 2)}), &s)
	if s.sent != 1 {
		t.Errorf("%d attempts with less than %s left", s.sent, minTimeLeft)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s = scriptedSender{outcomes: []Outcome[int]{failed(result.BackendDown)}}
	Run(ctx, request(RetryPolicy{}), &s)
	if s.sent != 1 {
		t.Errorf("%d attempts for a caller who has left", s.sent)
	}
}

// For any order of outcomes, a request that is not idempotent must not run twice, and
// "not run" must be reported only if no attempt may have run.
func TestRandomOutcomes(t *testing.T) {
	codes := []result.Code{result.BackendDown, result.AgentFull, result.AgentLeaving, result.StreamBroken, result.BackendError, result.DeadlinePassed}
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := scriptedSender{choices: 1 + random.IntN(8)}
		for range s.choices {
			out := failed(codes[random.IntN(len(codes))])
			out.Started = out.Err.Code.Run == result.Unknown && random.IntN(3) == 0
			s.outcomes = append(s.outcomes, out)
		}
		policy := RetryPolicy{Idempotent: random.IntN(2) == 0, Resumable: random.IntN(2) == 0, MaxAttempts: random.IntN(4), MaxRefusals: random.IntN(4)}
		err := Run(t.Context(), request(policy), &s)
		ran, started := 0, 0
		for i, out := range s.outcomes[:s.sent] {
			if i > 0 && started > 0 && !policy.Resumable {
				t.Fatalf("seed %d: attempt %d after a part of the answer was passed on", seed, i+1)
			}
			if ran > 0 && !policy.Idempotent {
				t.Fatalf("seed %d: attempt %d of a request that may have run", seed, i+1)
			}
			if out.Err.Code.Run == result.Unknown {
				ran++
			}
			if out.Started {
				started++
			}
		}
		if ran > max(policy.MaxAttempts, 1) {
			t.Fatalf("seed %d: %d attempts that may have run, %d allowed", seed, ran, policy.MaxAttempts)
		}
		if notRun := err.Code.Run == result.NotRun; notRun != (ran == 0) {
			t.Fatalf("seed %d: %s after %d attempts that may have run", seed, err, ran)
		}
	}
}
