package kv

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cactusknot.example/coord/clock"
)

// Defaults of ClientConfig.
const (
	DefaultCallsPerSecond = 20
	DefaultBurst          = 40
	DefaultMaxBudgetWait  = time.Second
	DefaultMaxAttempts    = 4
	DefaultBackoffBase    = 20 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
)

// ClientConfig configures a Client. Numeric fields that are not positive take their
// defaults.
type ClientConfig struct {
	Clock  clock.Clock
	Random rand.Source
	// CallsPerSecond and Burst are the call budget, enforced by a token bucket.
	// Each call takes one token; so does a watch, however long it waits.
	CallsPerSecond float64
	Burst          int
	// MaxBudgetWait is the longest time that a call waits for the budget; a call
	// that would have to wait longer fails with ErrBudgetExhausted.
	MaxBudgetWait time.Duration
	// MaxAttempts limits the attempts of a read and of PutOnce, including the first.
	MaxAttempts int
	// BackoffBase and BackoffMax determine the delay between attempts, which is
	// uniformly distributed from 0 to min(BackoffMax, BackoffBase * 2^attempt).
	BackoffBase time.Duration
	BackoffMax  time.Duration
}

func (c ClientConfig) withDefaults() ClientConfig {
	if c.CallsPerSecond <= 0 {
		c.CallsPerSecond = DefaultCallsPerSecond
	}
	if c.Burst <= 0 {
		c.Burst = DefaultBurst
	}
	if c.MaxBudgetWait <= 0 {
		c.MaxBudgetWait = DefaultMaxBudgetWait
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.BackoffBase <= 0 {
		c.BackoffBase = DefaultBackoffBase
	}
	if c.BackoffMax <= 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	return c
}

// Client is a Store with a call budget. Reads are retried with jittered exponential
// backoff while the store is unavailable. Writes are sent once, except by PutOnce,
// which reads the key before it retries. Client is safe for concurrent use.
type Client struct {
	store   Store
	cfg     ClientConfig
	limiter *rate.Limiter

	mu     sync.Mutex
	random *rand.Rand
}

var _ Store = (*Client)(nil)

// NewClient returns a Client for store. Clock and Random must be set.
func NewClient(store Store, cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		store:   store,
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		random:  rand.New(cfg.Random),
	}
}

// eraReporter is implemented by stores that know the era of the latest response.
type eraReporter interface{ Era() uint64 }

// Era returns the highest era that the store has reported, or 0 if it reports none. After a call
// has returned, Era is at least the era in which the store executed the call.
func (c *Client) Era() uint64 {
	if r, ok := c.store.(eraReporter); ok {
		return r.Era()
	}
	return 0
}

// NewWriteID returns a random WriteID.
func (c *Client) NewWriteID() WriteID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var id WriteID
	binary.BigEndian.PutUint64(id[:8], c.random.Uint64())
	binary.BigEndian.PutUint64(id[8:], c.random.Uint64())
	return id
}

// Get returns the entry of key, or ErrNotFound.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.retryRead(ctx, func() (err error) {
		e, err = c.store.Get(ctx, key)
		return err
	})
	return e, err
}

// List returns the entries whose key starts with prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var list []Entry
	err := c.retryRead(ctx, func() (err error) {
		list, err = c.store.List(ctx, prefix)
		return err
	})
	return list, err
}

// Put sends one write within the budget; see Store.Put.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	if err := c.waitForBudget(ctx); err != nil {
		return 0, err
	}
	return c.store.Put(ctx, key, value, expect, lease)
}

// Delete sends one deletion within the budget; see Store.Delete.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	if err := c.waitForBudget(ctx); err != nil {
		return err
	}
	return c.store.Delete(ctx, key, expect)
}

// Watch sends one watch within the budget; see Store.Watch.
func (c *Client) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	if err := c.waitForBudget(ctx); err != nil {
		return Entry{}, err
	}
	return c.store.Watch(ctx, key, after)
}

// Grant sends one grant within the budget. If the response is lost, the lease that
// was created expires after ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := c.waitForBudget(ctx); err != nil {
		return 0, err
	}
	return c.store.Grant(ctx, ttl)
}

// KeepAlive sends one renewal within the budget; see Store.KeepAlive.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := c.waitForBudget(ctx); err != nil {
		return err
	}
	return c.store.KeepAlive(ctx, id)
}

// Revoke sends one revocation within the budget; see Store.Revoke.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	if err := c.waitForBudget(ctx); err != nil {
		return err
	}
	return c.store.Revoke(ctx, id)
}

// PutOnce writes value when the key's revision equals expect (0: the key must not
// exist) and determines the outcome when the response is lost or the write
// conflicts: it reads the key and calls same, which reports whether the stored value
// comes from this write. When the write is in the store, PutOnce returns the stored
// entry and nil.
//
// With ErrConflict it returns the entry found instead. If the response was lost,
// that entry may have replaced this write. ErrUnknownOutcome means that the write
// may be in the store or may still reach it; calling PutOnce again with the same
// arguments is safe. All other errors mean that nothing was written.
//
// After a lost response, a retry is sent only when a read has returned the expected
// revision. A delayed first write and its retry can't both take effect unless the
// key is deleted in between. Code that deletes keys written with expect 0 must
// therefore guard against delayed writes itself.
func (c *Client) PutOnce(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID, same func(existing []byte) bool) (Entry, error) {
	uncertain := false
	for attempt := 0; ; attempt++ {
		rev, err := c.Put(ctx, key, value, expect, lease)
		if err == nil {
			return Entry{Key: key, Value: value, Revision: rev, Lease: lease}, nil
		}
		if !hasNoEffect(err) {
			uncertain = true
		}
		if !uncertain && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnavailable) {
			return Entry{}, err
		}
		if uncertain || errors.Is(err, ErrConflict) {
			e, found, readErr := c.readBack(ctx, key, expect, same)
			if readErr != nil || found {
				return e, withUncertainty(readErr, uncertain)
			}
		}
		if attempt+1 >= c.cfg.MaxAttempts {
			return Entry{}, withUncertainty(err, uncertain)
		}
		if sleepErr := c.backoff(ctx, attempt); sleepErr != nil {
			return Entry{}, withUncertainty(sleepErr, uncertain)
		}
	}
}

// hasNoEffect reports whether err means that a failed write certainly had no effect.
func hasNoEffect(err error) bool {
	for _, known := range []error{ErrNotFound, ErrConflict, ErrUnavailable, ErrTooLarge, ErrBudgetExhausted} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// withUncertainty adds ErrUnknownOutcome to err when an earlier attempt may have
// taken effect. ErrConflict stays as it is: the key no longer has the expected
// revision, so no delayed write can take effect.
func withUncertainty(err error, uncertain bool) error {
	if err == nil || errors.Is(err, ErrConflict) || !uncertain {
		return err
	}
	return errors.Join(ErrUnknownOutcome, err)
}

// readBack reads the key after a lost response or a conflict. It returns the entry
// and true when the entry comes from this write, and the entry and ErrConflict when
// it comes from another one. It returns false and no error when the key still has
// the expected revision.
func (c *Client) readBack(ctx context.Context, key string, expect Revision, same func([]byte) bool) (Entry, bool, error) {
	e, err := c.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		e, err = Entry{Key: key}, nil
	}
	if err != nil {
		return Entry{}, false, err
	}
	if e.Revision == expect {
		return e, false, nil
	}
	if e.Revision != 0 && same(e.Value) {
		return e, true, nil
	}
	return e, false, ErrConflict
}

// retryRead makes a read call and retries it while the store is unavailable.
func (c *Client) retryRead(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		if err := c.waitForBudget(ctx); err != nil {
			return err
		}
		err := call()
		if !errors.Is(err, ErrUnavailable) || attempt+1 >= c.cfg.MaxAttempts {
			return err
		}
		if c.backoff(ctx, attempt) != nil {
			return err
		}
	}
}

// waitForBudget takes one call from the budget, for which it waits up to
// MaxBudgetWait. When ctx has already ended it returns ErrUnavailable, since nothing
// is sent.
func (c *Client) waitForBudget(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	now := c.cfg.Clock.Now()
	r := c.limiter.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	if delay > c.cfg.MaxBudgetWait {
		r.CancelAt(now)
		return ErrBudgetExhausted
	}
	if err := c.cfg.Clock.Sleep(ctx, delay); err != nil {
		return errors.Join(ErrBudgetExhausted, err)
	}
	return nil
}

// backoff sleeps before the attempt that follows the given one.
func (c *Client) backoff(ctx context.Context, attempt int) error {
	limit := c.cfg.BackoffMax
	if attempt < 16 {
		limit = min(limit, c.cfg.BackoffBase<<attempt)
	}
	c.mu.Lock()
	delay := time.Duration(c.random.Int64N(int64(limit) + 1))
	c.mu.Unlock()
	return c.cfg.Clock.Sleep(ctx, delay)
}
