// Package lease holds named leases in the store. The holder's own deadline ends
// before the store's, so that a holder that was paused or cut off stops before
// another one can start.
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
	// ErrHeld: another holder has the lease.
	ErrHeld = errors.New("lease: held by another holder")
	// ErrLost: the lease has ended in the store and must be acquired again.
	ErrLost = errors.New("lease: lost")
	// ErrConfig: TTL or Margin do not leave time to work.
	ErrConfig = errors.New("lease: margin must be above 0 and below the ttl")
)

// renewalsPerTTL: two renewals in a row may fail before the lease is lost.
const renewalsPerTTL = 3

// Config configures leases.
type Config struct {
	Client *kv.Client
	Clock  clock.Clock
	// TTL is the life of the lease in the store after a renewal.
	TTL time.Duration
	// SafetyMargin is the part of TTL by which the local deadline ends earlier. It
	// covers the drift between the two clocks and the longest effect that may
	// start just before the deadline.
	SafetyMargin time.Duration
}

// Lease is a held lease. It is safe for concurrent use.
type Lease struct {
	cfg   Config
	id    kv.LeaseID
	token uint64

	mu      sync.Mutex
	since   time.Time
	expired bool // local deadline passed; a renewal can undo it
	ended   bool // lost or released for good
}

// Acquire takes the lease named by the store key, or returns ErrHeld. holder is
// stored for operators to read.
func Acquire(ctx context.Context, cfg Config, key, holder string) (*Lease, error) {
	if cfg.SafetyMargin <= 0 || cfg.SafetyMargin >= cfg.TTL {
		return nil, fmt.Errorf("%w: ttl %v, margin %v", ErrConfig, cfg.TTL, cfg.SafetyMargin)
	}
	since := cfg.Clock.Now()
	id, err := cfg.Client.Grant(ctx, cfg.TTL)
	if err != nil {
		return nil, fmt.Errorf("lease: grant: %w", err)
	}
	write := cfg.Client.NewWriteID()
	e, err := cfg.Client.PutOnce(ctx, key, kv.Seal(write, []byte(holder)), 0, id, kv.SameWrite(write))
	if err != nil {
		// The lease also ends by itself; revoking it only frees the key sooner.
		_ = cfg.Client.Revoke(ctx, id)
	}
	if errors.Is(err, kv.ErrConflict) {
		return nil, ErrHeld
	}
	if err != nil {
		return nil, fmt.Errorf("lease: put: %w", err)
	}
	return &Lease{cfg: cfg, id: id, token: uint64(e.Revision), since: since}, nil
}

// FencingToken returns the fencing token: the revision of the lease key, which is
// higher for each later holder.
func (l *Lease) FencingToken() uint64 { return l.token }

// Valid reports whether the holder may start an effect now. It must be called
// before each effect. Once false it stays false until a Renew succeeds.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Clock.Now()
	if over(now.Sub(l.since), now.Round(0).Sub(l.since.Round(0)), l.cfg.TTL-l.cfg.SafetyMargin) {
		l.expired = true
	}
	return !l.expired && !l.ended
}

// over reports whether the local deadline has passed. The monotonic reading
// covers wall clocks that are stepped back. The wall clock covers monotonic
// clocks that stand still while the VM is suspended; a step forward then ends
// the lease early, which is safe. A falling monotonic reading comes only from
// clocks without one, where the elapsed time is unknown.
func over(monotonic, wall, limit time.Duration) bool {
	return monotonic < 0 || monotonic >= limit || wall >= limit
}

// Renew extends the lease by one call. ErrLost is final; after any other error
// the deadline is unchanged and Renew may be called again.
func (l *Lease) Renew(ctx context.Context) error {
	since := l.cfg.Clock.Now()
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
	l.since = since
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

// Release makes the lease invalid and then ends it in the store. When the store
// cannot be reached the lease ends there after its TTL.
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
