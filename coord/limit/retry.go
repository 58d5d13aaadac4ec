package limit

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Range of the pause before a retry, doubled from backoffBase up to backoffMax.
const (
	backoffBase = 10 * time.Millisecond
	backoffMax  = time.Second
)

// RetryConfig bounds the retries of requests in any window.
type RetryConfig struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// Extra is the number of retries allowed beyond the ratio, over all members.
	Extra  float64
	Window time.Duration
}

// SingleRouterRetryConfig bounds the retries of one router that knows of no others: a tenth of
// its requests and one more in any 4 s. In longer windows more is saved up: with
// ten saved retries, 24 routers at 5 requests/s made 1.39 attempts per request in
// the worst 5 s of an overload.
func SingleRouterRetryConfig() RetryConfig {
	return RetryConfig{Ratio: 0.1 / (1 - retryMargin), Extra: 1 / (1 - retryMargin), Window: 4 * time.Second}
}

// retryMargin is the unused part of the retries; see PerMember.
const retryMargin = 0.2

// RetryBudget is one member's part of a fleet-wide bound on retries in a
// sliding window. It is safe for concurrent use.
type RetryBudget struct {
	cfg RetryConfig

	mu      sync.Mutex
	firsts  *SlidingWindow
	retries *SlidingWindow
	taken   uint64
	denied  uint64
}

// NewRetryBudget returns an unused budget.
func NewRetryBudget(cfg RetryConfig) *RetryBudget {
	return &RetryBudget{cfg: cfg, firsts: NewSlidingWindow(cfg.Window), retries: NewSlidingWindow(cfg.Window)}
}

// RecordFirstAttempt records a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts.Count(now)
	b.firsts.Add(now)
}

// Take takes one retry, or returns false when the budget of this member, one of
// members, is used up.
func (b *RetryBudget) Take(now time.Time, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left(now, members) < 1 {
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

// Remaining returns the retries that are left now.
func (b *RetryBudget) Remaining(now time.Time, members int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(now, members)
}

func (b *RetryBudget) left(now time.Time, members int) float64 {
	earned := b.cfg.Ratio * float64(b.firsts.Count(now))
	own := earned + b.cfg.Extra/float64(max(members, 1))
	return own*(1-retryMargin) - float64(b.retries.Count(now))
}

// Backoff returns the pause before retry n (from 1): uniform between a tenth of
// the range and the range, so that retries of one failure spread out.
func Backoff(n int, random *rand.Rand) time.Duration {
	const maxDoublings = 20
	span := min(backoffBase<<min(max(n-1, 0), maxDoublings), backoffMax)
	least := span / 10
	return least + time.Duration(random.Int64N(int64(span-least)+1))
}
