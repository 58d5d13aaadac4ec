package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The retries of all members together must stay within the fleet's bound in any window,
// however uneven the members' traffic is.
func TestFleetRetriesStayWithinBound(t *testing.T) {
	cfg := RetryConfig{Ratio: 0.9, Extra: 56, Window: 10 * time.Second}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		members := 1 + random.IntN(8)
		budgets := make([]*RetryBudget, members)
		for i := range budgets {
			budgets[i] = NewRetryBudget(cfg)
		}
		now := time.Unix(1_700_000_000, 0)
		var attempts, retries []time.Time
		for range 4000 {
			now = now.Add(time.Duration(random.IntN(10)) * time.Millisecond)
			i := min(random.IntN(members), random.IntN(members))
			if random.IntN(3) == 0 {
				budgets[i].RecordFirstAttempt(now)
				attempts = append(attempts, now)
			}
			if budgets[i].Take(now, members) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			f, r := within(attempts, end, cfg.Window), within(retries, end, cfg.Window)
			if float64(r) > cfg.Ratio*float64(f)+cfg.Extra {
				t.Fatalf("seed %d, %d members: %d retries of %d requests in a window", seed, members, r, f)
			}
		}
	}
}

// within counts the times in the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

// An exhausted budget must refill as its window moves on.
func TestRetryBudgetRefills(t *testing.T) {
	b := NewRetryBudget(RetryConfig{Extra: 10, Window: time.Second})
	now := time.Unix(1_700_000_000, 0)
	taken := 0
	for b.Take(now, 1) {
		taken++
	}
	if taken != 8 {
		t.Errorf("%d retries of 10 with the margin, want 8", taken)
	}
	if !b.Take(now.Add(1100*time.Millisecond), 1) {
		t.Error("the budget did not refill")
	}
}
