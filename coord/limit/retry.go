package limit

import (
	"math/rand/v2"
	"sync"
	"time"

	"cactusknot.example/coord/clock"
)

// Defaults of RetryConfig.
const (
	// DefaultRetryRatio allows one retry for ten first attempts.
	DefaultRetryRatio = 0.1
	// DefaultRetryFloorPerSecond lets a router with little traffic retry.
	DefaultRetryFloorPerSecond = 0.1
	// DefaultRetryBurst bounds saved-up retries. With 10, 24 routers at 5 requests/s
	// made 1.39 attempts per request in the worst 5 s of an overload.
	DefaultRetryBurst = 2
	// DefaultBackoffBase and DefaultBackoffMax bound the pause before a retry.
	DefaultBackoffBase = 10 * time.Millisecond
	DefaultBackoffMax  = time.Second
)

// RetryConfig sets a RetryBudget. Zero values select the defaults.
type RetryConfig struct {
	// Ratio is the number of retries per first attempt.
	Ratio float64
	// FloorPerSecond is the rate of retries allowed when Ratio gives less.
	FloorPerSecond float64
	// Burst is the largest number of saved-up retries.
	Burst float64
	// BackoffBase is the range of the first pause, doubled for each further retry
	// up to BackoffMax.
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

func (c RetryConfig) withDefaults() RetryConfig {
	if c.Ratio == 0 {
		c.Ratio = DefaultRetryRatio
	}
	if c.FloorPerSecond == 0 {
		c.FloorPerSecond = DefaultRetryFloorPerSecond
	}
	if c.Burst == 0 {
		c.Burst = DefaultRetryBurst
	}
	if c.BackoffBase == 0 {
		c.BackoffBase = DefaultBackoffBase
	}
	if c.BackoffMax == 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	return c
}

// RetryBudget is a token bucket that is filled by first attempts. It is safe for
// concurrent use.
type RetryBudget struct {
	cfg   RetryConfig
	clock clock.Clock

	mu     sync.Mutex
	tokens float64
	// earned counts the tokens of first attempts since last, to grant the floor
	// only where first attempts earned less.
	earned   float64
	last     time.Time
	attempts uint64
	retries  uint64
}

// NewRetryBudget returns a budget with one saved-up retry.
func NewRetryBudget(cfg RetryConfig, c clock.Clock) *RetryBudget {
	return &RetryBudget{cfg: cfg.withDefaults(), clock: c, tokens: 1, last: c.Now()}
}

// Attempt records a first attempt.
func (b *RetryBudget) Attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts++
	b.earned += b.cfg.Ratio
	b.add(b.cfg.Ratio)
}

// Retry takes one retry from the budget, or returns false when there is none.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillFloor()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Counts returns the numbers of first attempts and granted retries.
func (b *RetryBudget) Counts() (attempts, retries uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts, b.retries
}

// refillFloor adds what the floor gives beyond the first attempts since the last
// refill. The larger of the two counts, not their sum.
func (b *RetryBudget) refillFloor() {
	const interval = time.Second
	now := b.clock.Now()
	elapsed := now.Sub(b.last)
	if elapsed < interval {
		return
	}
	floor := elapsed.Seconds() * b.cfg.FloorPerSecond
	if floor > b.earned {
		// The floor alone never saves up more than one retry.
		b.tokens = max(b.tokens, min(1, b.tokens+floor-b.earned))
	}
	b.earned = 0
	b.last = now
}

func (b *RetryBudget) add(n float64) {
	b.tokens = min(b.tokens+n, b.cfg.Burst)
}

// Backoff returns the pause before retry n (from 1): uniform between a tenth of
// the range and the range, so that retries of one failure spread out.
func (b *RetryBudget) Backoff(n int, random *rand.Rand) time.Duration {
	const maxDoublings = 20
	span := b.cfg.BackoffBase << min(max(n-1, 0), maxDoublings)
	span = min(span, b.cfg.BackoffMax)
	least := span / 10
	return least + time.Duration(random.Int64N(int64(span-least)+1))
}
