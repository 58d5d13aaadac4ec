// Package lease implements named leases in the key-value store. The local deadline
// of the holder precedes the expiry of the lease in the store, so that a holder that
// was paused or partitioned stops before another holder can start.
package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/kv"
)

var (
	// ErrHeld is returned when another holder has the lease.
	ErrHeld = errors.New("lease: held by another holder")
	// ErrLost is returned when the lease has ended in the store; it must be acquired
	// again.
	ErrLost = errors.New("lease: lost")
	// ErrInvalidConfig is returned when SafetyMargin is not positive or leaves no time
	// before the local deadline.
	ErrInvalidConfig = errors.New("lease: SafetyMargin must be above 0 and below TTL")
)

// renewalsPerTTL is the number of renewal attempts within one TTL. With 3, two
// consecutive renewals may fail before the lease is lost.
const renewalsPerTTL = 3

// Config configures leases.
type Config struct {
	Client *kv.Client
	Clock  clock.Clock
	// TTL is the time after a renewal at which the lease expires in the store.
	TTL time.Duration
	// SafetyMargin is the time by which the local deadline precedes the expiry in
	// the store. It must cover the drift between the two clocks and the longest
	// operation that may start just before the deadline.
	SafetyMargin time.Duration
}

// Lease is a held lease. It is safe for concurrent use.
type Lease struct {
	cfg   Config
	id    kv.LeaseID
	token uint64

	mu        sync.Mutex
	renewedAt time.Time // when the last successful Acquire or Renew began, before its call to the store
	expired   bool      // the local deadline has passed; a renewal resets this
	ended     bool      // lost or released; final
}

// Acquire acquires the lease at the given store key, or returns ErrHeld. holder is
// stored as the value of the key, for operators to read.
func Acquire(ctx context.Context, cfg Config, key, holder string) (*Lease, error) {
	if cfg.SafetyMargin <= 0 || cfg.SafetyMargin >= cfg.TTL {
		return nil, fmt.Errorf("%w: ttl %v, margin %v", ErrInvalidConfig, cfg.TTL, cfg.SafetyMargin)
	}
	renewedAt := cfg.Clock.Now()
	id, err := cfg.Client.Grant(ctx, cfg.TTL)
	if err != nil {
		return nil, fmt.Errorf("lease: grant: %w", err)
	}
	write := cfg.Client.NewWriteID()
	e, err := cfg.Client.PutOnce(ctx, key, kv.EncodeEnvelope(write, []byte(holder)), 0, id, kv.MatchWriteID(write))
	if err != nil {
		// Best effort: the lease expires anyway; revoking it only frees the key sooner.
		_ = cfg.Client.Revoke(ctx, id)
	}
	if errors.Is(err, kv.ErrConflict) {
		return nil, ErrHeld
	}
	if err != nil {
		return nil, fmt.Errorf("lease: put: %w", err)
	}
	return &Lease{cfg: cfg, id: id, token: uint64(e.Revision), renewedAt: renewedAt}, nil
}

// FencingToken returns the revision of the lease key, which is higher for each
// later holder.
func (l *Lease) FencingToken() uint64 { return l.token }

// Valid reports whether the holder may start an operation that the lease protects.
// It must be called before each such operation. After it has returned false, it
// returns true again only after a successful Renew.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if deadlinePassed(now.Sub(l.renewedAt), now.Round(0).Sub(l.renewedAt.Round(0)), l.cfg.TTL-l.cfg.SafetyMargin) {
		l.expired = true
	}
	return !l.expired && !l.ended
}

// deadlinePassed reports whether the local deadline has passed, given the elapsed
// time by the monotonic clock and by the wall clock. The monotonic clock is needed
// because the wall clock may be set back. The wall clock is needed because the
// monotonic clock stops while the VM is suspended; if the wall clock is set forward,
// the lease ends early, which is safe. A negative monotonic duration occurs only for
// clocks without a monotonic reading; the elapsed time is then unknown, and the
// deadline counts as passed.
func deadlinePassed(monotonic, wall, limit time.Duration) bool {
	return monotonic < 0 || monotonic >= limit || wall >= limit
}

// Renew extends the lease with one call to the store. ErrLost is final; after any
// other error the local deadline is unchanged and Renew may be called again.
func (l *Lease) Renew(ctx context.Context) error {
	renewedAt := l.cfg.Clock.Now()
	err := l.cfg.Client.KeepAlive(ctx, l.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if errors.Is(err, kv.ErrNotFound) {
		l.ended = true
		return ErrLost
	}
	if err != nil {
		return fmt.Errorf("lease: renew: %w", err)
	}
	l.renewedAt = renewedAt
	l.expired = false
	return nil
}

// Run renews the lease until ctx ends or the lease is lost, and returns
// ctx.Err() or ErrLost.
func (l *Lease) Run(ctx context.Context) error {
	for {
		if err := l.cfg.Clock.Sleep(ctx, l.cfg.TTL/renewalsPerTTL); err != nil {
			return err
		}
		if err := l.Renew(ctx); errors.Is(err, ErrLost) {
			return err
		}
	}
}

// Release invalidates the lease locally and then revokes it in the store. If the
// store can't be reached, the lease expires there after its TTL.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	err := l.cfg.Client.Revoke(ctx, l.id)
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		return nil
	}
	return fmt.Errorf("lease: release: %w", err)
}
