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
	DefaultMaxWait        = time.Second
	DefaultAttempts       = 4
	DefaultBackoffBase    = 20 * time.Millisecond
	DefaultBackoffMax     = 2 * time.Second
)

// ClientConfig configures a Client. Zero numbers take the defaults.
type ClientConfig struct {
	Clock  clock.Clock
	Random rand.Source
	// CallsPerSecond and Burst are the call budget. Each call counts as one,
	// a waiting watch too.
	CallsPerSecond float64
	Burst          int
	// MaxWait is the longest wait for the budget; a call that would wait longer
	// fails with ErrBudget.
	MaxWait time.Duration
	// Attempts bounds the tries of a read and of a PutOnce, first one included.
	Attempts int
	// BackoffBase and BackoffMax bound the pause between attempts, which is
	// drawn uniformly from 0 to min(BackoffMax, BackoffBase * 2^attempt).
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
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Attempts <= 0 {
		c.Attempts = DefaultAttempts
	}
	if c.BackoffBase <= 0 {
		c.BackoffBase = DefaultBackoffBase
	}
	if c.BackoffMax <= 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	return c
}

// Client is a Store with a call budget. Reads are repeated with jittered
// backoff while the store is unavailable. Writes are sent once, except by
// PutOnce, which reads back before it repeats. It is safe for concurrent use.
type Client struct {
	store   Store
	cfg     ClientConfig
	limiter *rate.Limiter

	mu     sync.Mutex
	random *rand.Rand
}

var _ Store = (*Client)(nil)

// NewClient returns a Client of store. Clock and Random must be set.
func NewClient(store Store, cfg ClientConfig) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		store:   store,
		cfg:     cfg,
		limiter: rate.NewLimiter(rate.Limit(cfg.CallsPerSecond), cfg.Burst),
		random:  rand.New(cfg.Random),
	}
}

// NewWriteID returns a random write identity.
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
	err := c.read(ctx, func() (err error) {
		e, err = c.store.Get(ctx, key)
		return err
	})
	return e, err
}

// List returns the entries whose key starts with prefix, in key order.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var list []Entry
	err := c.read(ctx, func() (err error) {
		list, err = c.store.List(ctx, prefix)
		return err
	})
	return list, err
}

// Put sends one write within the budget; see Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	if err := c.spend(ctx); err != nil {
		return 0, err
	}
	return c.store.Put(ctx, key, value, expect, lease)
}

// Delete sends one deletion within the budget; see Store.
func (c *Client) Delete(ctx context.Context, key string, expect Revision) error {
	if err := c.spend(ctx); err != nil {
		return err
	}
	return c.store.Delete(ctx, key, expect)
}

// Watch sends one watch within the budget; see Store.
func (c *Client) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	if err := c.spend(ctx); err != nil {
		return Entry{}, err
	}
	return c.store.Watch(ctx, key, after)
}

// Grant sends one grant within the budget. A lease whose answer was lost ends
// by itself after ttl.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := c.spend(ctx); err != nil {
		return 0, err
	}
	return c.store.Grant(ctx, ttl)
}

// KeepAlive sends one renewal within the budget; see Store.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := c.spend(ctx); err != nil {
		return err
	}
	return c.store.KeepAlive(ctx, id)
}

// Revoke sends one revocation within the budget; see Store.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	if err := c.spend(ctx); err != nil {
		return err
	}
	return c.store.Revoke(ctx, id)
}

// PutOnce writes value when the key's revision equals expect (0: the key must
// not exist) and finds out what became of the write when its answer is lost or
// it conflicts: it reads the key and asks same whether the stored value is this
// write. It returns the stored entry and nil when the write is in the store.
//
// With ErrConflict the returned entry is the one that is there instead; it may
// have replaced this write when the answer of this write was lost.
// ErrUnknownOutcome means that the write may be in the store or may still
// arrive there; calling PutOnce again with the same arguments is safe. All other
// errors mean that nothing was written. A repeat is sent only after a read showed the expected
// revision, and a late first copy and its repeat cannot both take effect while
// the key is not deleted; whoever deletes create-only keys must fence against
// late copies itself.
func (c *Client) PutOnce(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID, same func(existing []byte) bool) (Entry, error) {
	uncertain := false
	for attempt := 0; ; attempt++ {
		rev, err := c.Put(ctx, key, value, expect, lease)
		if err == nil {
			return Entry{Key: key, Value: value, Revision: rev, Lease: lease}, nil
		}
		if !isDefinite(err) {
			uncertain = true
		}
		if !uncertain && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnavailable) {
			return Entry{}, err
		}
		if uncertain || errors.Is(err, ErrConflict) {
			e, found, readErr := c.readBack(ctx, key, expect, same)
			if readErr != nil || found {
				return e, settle(readErr, uncertain)
			}
		}
		if attempt+1 >= c.cfg.Attempts {
			return Entry{}, settle(err, uncertain)
		}
		if sleepErr := c.backoff(ctx, attempt); sleepErr != nil {
			return Entry{}, settle(sleepErr, uncertain)
		}
	}
}

// isDefinite reports whether a failed write is known to have had no effect.
func isDefinite(err error) bool {
	for _, known := range []error{ErrNotFound, ErrConflict, ErrUnavailable, ErrTooLarge, ErrBudgetExhausted} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// settle turns a failure into ErrUnknownOutcome when an earlier attempt may
// have taken effect. A conflict is certain: the expected revision has passed,
// so that no copy can take effect any more.
func settle(err error, uncertain bool) error {
	if err == nil || errors.Is(err, ErrConflict) || !uncertain {
		return err
	}
	return errors.Join(ErrUnknownOutcome, err)
}

// readBack looks for the write after a lost answer or a conflict. It returns
// found with the entry when the write is there, ErrConflict with the entry when
// another one is, and neither when the key still has the expected revision.
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

// read runs one read call and repeats it while the store is unavailable.
func (c *Client) read(ctx context.Context, call func() error) error {
	for attempt := 0; ; attempt++ {
		if err := c.spend(ctx); err != nil {
			return err
		}
		err := call()
		if !errors.Is(err, ErrUnavailable) || attempt+1 >= c.cfg.Attempts {
			return err
		}
		if c.backoff(ctx, attempt) != nil {
			return err
		}
	}
}

// spend takes one call from the budget and waits for it up to MaxWait. A
// context that has ended means that nothing was sent.
func (c *Client) spend(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	now := c.cfg.Clock.Now()
	r := c.limiter.ReserveN(now, 1)
	delay := r.DelayFrom(now)
	if delay == 0 {
		return nil
	}
	if delay > c.cfg.MaxWait {
		r.CancelAt(now)
		return ErrBudgetExhausted
	}
	if err := c.cfg.Clock.Sleep(ctx, delay); err != nil {
		return errors.Join(ErrBudgetExhausted, err)
	}
	return nil
}

func (c *Client) backoff(ctx context.Context, attempt int) error {
	limit := c.cfg.BackoffMax
	if attempt < 16 {
		limit = min(limit, c.cfg.BackoffBase<<attempt)
	}
	c.mu.Lock()
	pause := time.Duration(c.random.Int64N(int64(limit) + 1))
	c.mu.Unlock()
	return c.cfg.Clock.Sleep(ctx, pause)
}
