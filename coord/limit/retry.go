package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// The maximum delay before a retry doubles with each attempt, from backoffBase up to
// backoffMax.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
)

// RetryConfig bounds the retries in any window of time.
type RetryConfig struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Extra is the number of retries allowed in addition to the ratio, over all members
	// of the fleet.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// SingleRouterRetryConfig bounds the retries of one router independently of others: a
// tenth of its requests, plus one, in any 4 s. Longer windows accumulate more unused
// retries: with ten of them, 24 routers at 5 requests/s made 1.39 attempts per request
// in the worst 5 s of an overload.
func SingleRouterRetryConfig() RetryConfig {
	return RetryConfig{Ratio: 0.1 / (1 - retryMargin), Extra: 1 / (1 - retryMargin), Window: 4 * time.Second}
}

// retryMargin is the fraction of the bound that stays unused; see PerMemberLimit.
const retryMargin = 0.2

// RetryBudget is one member's part of a fleet-wide bound on retries in a sliding
// window. It is safe for concurrent use.
type RetryBudget struct {
	cfg RetryConfig

	mu       sync.Mutex
	attempts *SlidingWindow
	retries  *SlidingWindow
	taken    uint64
	denied   uint64
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(cfg RetryConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, attempts: NewSlidingWindow(cfg.Window), retries: NewSlidingWindow(cfg.Window)}
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts.Count(now) // Drops expired events.
	b.attempts.Add(now)
}

// Take takes one retry from the budget, or returns false if none is left. members is
// the present number of members that share the bound.
func (b *RetryBudget) Take(now time.Time, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now, members) < 1 {
		b.denied++
		return false
	}
	b.taken++
	b.retries.Add(now)
	return true
}

// Counts returns how many retries were taken and how many were denied.
func (b *RetryBudget) Counts() (taken, denied uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken, b.denied
}

// Remaining returns the number of retries left in the budget.
func (b *RetryBudget) Remaining(now time.Time, members int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now, members)
}

func (b *RetryBudget) remaining(now time.Time, members int) float64 {
	earned := b.cfg.Ratio * float64(b.attempts.Count(now))
	allowed := earned + b.cfg.Extra/float64(max(members, 1))
	return allowed*(1-retryMargin) - float64(b.retries.Count(now))
}

// Backoff returns the delay before retry n, counted from 1. The delay is uniform
// between a tenth of the maximum and the maximum, so that the retries after one failure
// spread out.
func Backoff(n int, random *rand.Rand) time.Duration {
	const maxDoublings = 20
	span := min(backoffBase<<min(max(n-1, 0), maxDoublings), backoffMax)
	shortest := span / 10
	return shortest + time.Duration(random.Int64N(int64(span-shortest)+1))
}
