// Package duty elects the owner of a duty that one process at a time may fulfil, such as
// calls to an outside system that accepts only the highest fencing token. The owner is the
// process whose record the store holds under a lease. Everything else, such as the suspicion
// that an owner has failed, only decides who tries to write the record.
package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"cactusknot.example/coord/kv"
)

// ErrInvalidConfig is returned when Margin is not positive or leaves no time before the local
// deadline.
var ErrInvalidConfig = errors.New("duty: Margin must be above 0 and below half of TTL")

const (
	// renewalsPerTTL is the number of renewals within one TTL. With 3, two consecutive
	// renewals may fail before the local deadline.
	renewalsPerTTL = 3
	// rankDelay is the delay of a candidate for each one that ranks before it. It covers an
	// acquisition (two calls of the store) and the news of it.
	rankDelay = 150 * time.Millisecond
	// retryDelay is the delay after a failed attempt of the first candidate. It grows in
	// proportion to the rank, so that the attempts of all candidates together grow with the
	// logarithm of their number only.
	retryDelay = time.Second
	// releaseTimeout limits the call that releases the record.
	releaseTimeout = time.Second
	// unreadableHolder is the holder of a record that can't be decoded. Such a record still
	// belongs to an owner.
	unreadableHolder = "?"
)

// Instant is a point in time by the monotonic clock and by the wall clock. The monotonic clock
// stops while the machine is suspended; the wall clock may be set.
type Instant struct {
	Monotonic time.Duration
	Wall      time.Time
}

// Lease is a lease of the store with the era in which it was granted.
type Lease struct {
	ID  kv.LeaseID
	Era uint64
}

// Store is the interface to the store. Its methods return the errors of package kv.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Create writes a key under a lease if the key does not exist, and returns the position
	// of the write. kv.ErrConflict means that the key exists.
	Create(ctx context.Context, key string, value []byte, lease Lease) (kv.Position, error)
	// KeepAlive extends a lease; kv.ErrNotFound means that it has ended.
	KeepAlive(ctx context.Context, lease Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease Lease) error
}

// Record is the value of a duty's key.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation identifies the process.
	Incarnation string `json:"incarnation"`
}

// Config configures an Owner.
type Config struct {
	Store Store
	// Key is the key of the duty's record.
	Key string
	// Self is what this process writes into the record.
	Self Record
	// TTL is the time after a renewal at which the record expires in the store.
	TTL time.Duration
	// Margin is the time by which the local deadline precedes the expiry in the store.
	Margin time.Duration
	// LateTime is how long after a call without an answer it may still be executed.
	LateTime time.Duration
	// Now returns the time.
	Now func() Instant
	// Rank returns the position of this process among the candidates, from 0, or false if it
	// is not to try, for example because it does not reach the store.
	Rank func() (int, bool)
	// Notify receives the events; it must not block.
	Notify func(Event)
}

// Owner is this process's part in one duty. It is safe for concurrent use.
type Owner struct {
	cfg  Config
	wake chan struct{}

	mu sync.Mutex
	// seen is the position of the latest news of the record; holder is empty if there is no
	// record. known is set once there was news.
	known  bool
	seen   kv.Position
	holder Record
	// startedAt is the monotonic time at which this process began.
	startedAt time.Duration
	// lastCallAt is the latest monotonic time at which a call of this process, or of an earlier
	// one of its machine, may have been executed. Calls of an earlier process that are executed
	// after startedAt count only if another owner has been seen since.
	lastCallAt time.Duration
	// calls is the number of calls in progress.
	calls int
	// attemptAt is the earliest time of the next attempt of the first candidate to acquire the
	// duty, attemptStep the delay for each candidate before this one.
	attemptAt   Instant
	attemptStep time.Duration
	// The fields below belong to the current ownership; token is 0 while there is none.
	token     Token
	lease     Lease
	renewedAt Instant // before the call that last extended the lease
	renewAt   Instant
	expired   bool // the local deadline has passed; a renewal resets this
	stopped   bool
}

// EventKind is a kind of event.
type EventKind string

// Kinds of events.
const (
	Acquired      EventKind = "acquired"
	AcquireFailed EventKind = "acquire_failed"
	Lost          EventKind = "lost"
	Released      EventKind = "released"
	RenewFailed   EventKind = "renew_failed"
	HolderChanged EventKind = "holder_changed"
)

// Event is a change of what this process knows about a duty.
type Event struct {
	Kind EventKind
	// Token is the token of the ownership that the event is about; 0 for none.
	Token Token
	// Holder is the known owner; empty for none.
	Holder Record
	// At is the position of the record or of its removal.
	At kv.Position
	// Reason says why the duty was lost.
	Reason string
	// Err is the error of the failed call of the store, if any.
	Err error
	// Age is the time since the lease was last extended.
	Age time.Duration
}

// New returns an Owner that does not own the duty yet.
func New(cfg Config) (*Owner, error) {
	if cfg.Margin <= 0 || cfg.Margin >= cfg.TTL/2 {
		return nil, fmt.Errorf("%w: ttl %v, margin %v", ErrInvalidConfig, cfg.TTL, cfg.Margin)
	}
	if cfg.Notify == nil {
		cfg.Notify = func(Event) {}
	}
	now := cfg.Now()
	return &Owner{cfg: cfg, wake: make(chan struct{}, 1), startedAt: now.Monotonic, lastCallAt: now.Monotonic, attemptAt: now, attemptStep: rankDelay}, nil
}

// Observe takes over news of the record: its value and position, or nil and the position of
// its removal. News may come late, more than once and in any order.
func (o *Owner) Observe(value []byte, at kv.Position) {
	var record Record
	if value != nil && json.Unmarshal(value, &record) != nil {
		record = Record{Holder: unreadableHolder}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	// News may skip records: a removal may be that of another owner's that was not seen.
	if o.known && value == nil || record.Holder != "" && record.Holder != o.cfg.Self.Holder {
		o.lastCallAt = max(o.lastCallAt, o.startedAt+o.cfg.LateTime)
	}
	if o.known && !at.After(o.seen) {
		return
	}
	changed := !o.known || o.holder != record
	o.known, o.seen, o.holder = true, at, record
	now := o.cfg.Now()
	if o.token != 0 && at.After(o.token.Position()) {
		o.lose(now, "the record is another one", nil)
	}
	if changed {
		o.cfg.Notify(Event{Kind: HolderChanged, Holder: record, At: at})
		if record == (Record{}) {
			o.attemptAt, o.attemptStep = now, rankDelay
		}
	}
	o.signal()
}

// Token returns the token of this process, or 0 if it does not own the duty at this moment.
func (o *Owner) Token() Token {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.valid(o.cfg.Now())
}

// valid returns the token if the local deadline has not passed.
func (o *Owner) valid(now Instant) Token {
	if o.token == 0 || o.stopped {
		return 0
	}
	if now.since(o.renewedAt) >= o.cfg.TTL-o.cfg.Margin {
		o.expired = true
	}
	if o.expired {
		return 0
	}
	return o.token
}

// Holder returns the known owner, empty for none, and the token of its record.
func (o *Owner) Holder() (Record, Token) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if token := o.valid(o.cfg.Now()); token != 0 {
		return o.cfg.Self, token
	}
	token := TokenOf(o.seen)
	if token == 0 || o.holder == (Record{}) {
		return Record{}, 0
	}
	return o.holder, token
}

// BeginCall returns the token for a call that is to be made now, or 0 if none may be made.
// After a token other than 0, EndCall must follow.
func (o *Owner) BeginCall() Token {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Now()
	token := o.valid(now)
	if token != 0 {
		o.calls++
		o.lastCallAt = max(o.lastCallAt, now.Monotonic)
	}
	return token
}

// Answer is what a call ended with.
type Answer uint8

// Answers of calls.
const (
	// Answered: the call was executed or will never be.
	Answered Answer = iota
	// Unanswered: the call may be executed later.
	Unanswered
	// Refused: the call was not executed because of a higher token.
	Refused
)

// EndCall records the end of a call.
func (o *Owner) EndCall(token Token, answer Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Now()
	o.calls--
	until := now.Monotonic
	if answer == Unanswered {
		until += o.cfg.LateTime
	}
	o.lastCallAt = max(o.lastCallAt, until)
	if answer == Refused && o.token == token {
		o.lose(now, "a call was refused because of a higher token", nil)
		o.signal()
	}
}

// lose ends the ownership. The lease is left to Step, which revokes it.
func (o *Owner) lose(now Instant, reason string, err error) {
	o.cfg.Notify(Event{Kind: Lost, Token: o.token, Holder: o.holder, At: o.seen, Reason: reason, Err: err, Age: now.since(o.renewedAt)})
	o.token = 0
	o.attemptAt, o.attemptStep = now, rankDelay
}

// blockedUntil returns until when this process must not try to acquire the duty. Until the lease
// time and a margin have passed since its last call, another owner may have acted, and this
// process would act before and after it. For the same reason a process that has just started
// waits: an earlier process of its machine may have made calls.
func (o *Owner) blockedUntil(now Instant) time.Duration {
	wait := o.cfg.TTL + o.cfg.Margin
	if o.calls > 0 {
		return now.Monotonic + wait
	}
	// The monotonic clock alone counts here. It is the later one after a suspension, and the
	// wall clock may be set forward.
	return o.lastCallAt + wait
}

// Due returns the time until the next call of Step is due. ok is false if no call is due until
// Observe reports a change.
func (o *Owner) Due() (wait time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Now()
	switch {
	case o.stopped:
		return 0, false
	case o.token == 0 && o.lease != Lease{}:
		return 0, true
	case o.token != 0:
		return max(0, o.renewAt.Monotonic-now.Monotonic), true
	case !o.known || o.holder != Record{}:
		return 0, false
	}
	rank, able := o.cfg.Rank()
	if !able {
		return retryDelay, true
	}
	from := max(o.blockedUntil(now), o.attemptAt.Monotonic)
	return max(0, from+time.Duration(rank)*o.attemptStep-now.Monotonic), true
}

// Step makes the calls of the store that are due. It must not be called concurrently.
func (o *Owner) Step(ctx context.Context) {
	wait, ok := o.Due()
	if !ok || wait > 0 {
		return
	}
	o.mu.Lock()
	token, lease := o.token, o.lease
	_, able := o.cfg.Rank()
	o.mu.Unlock()
	switch {
	case token != 0:
		o.renew(ctx, token, lease)
	case lease != Lease{}:
		o.dropLease(ctx, lease)
	case able:
		o.acquire(ctx)
	}
}

// dropLease revokes the lease of an ownership that has ended. If that fails, the record
// expires.
func (o *Owner) dropLease(ctx context.Context, lease Lease) {
	o.mu.Lock()
	o.lease = Lease{}
	o.mu.Unlock()
	_ = o.cfg.Store.Revoke(ctx, lease)
}

// renew extends the lease.
func (o *Owner) renew(ctx context.Context, token Token, lease Lease) {
	began := o.cfg.Now()
	err := o.cfg.Store.KeepAlive(ctx, lease)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.token != token {
		return
	}
	now := o.cfg.Now()
	switch {
	case errors.Is(err, kv.ErrNotFound):
		o.lease = Lease{}
		o.lose(now, "the lease has ended", err)
	case err != nil:
		o.renewAt = now.add(o.cfg.TTL / (2 * renewalsPerTTL))
		o.cfg.Notify(Event{Kind: RenewFailed, Token: token, Err: err, Age: now.since(o.renewedAt)})
	default:
		o.renewedAt, o.renewAt, o.expired = began, began.add(o.cfg.TTL/renewalsPerTTL), false
	}
}

// acquire tries to write the record.
func (o *Owner) acquire(ctx context.Context) {
	began := o.cfg.Now()
	token, lease, err := o.create(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.cfg.Now()
	if err == nil && o.known && o.seen.After(token.Position()) && o.holder != o.cfg.Self {
		err = kv.ErrConflict // news of a later record or of the removal came first
	}
	if err != nil {
		// The record may have been written all the same: the lease is revoked, or refuses
		// a write that is still on its way.
		o.lease = lease
		o.attemptAt, o.attemptStep = now.add(retryDelay), retryDelay
		o.cfg.Notify(Event{Kind: AcquireFailed, Holder: o.holder, At: o.seen, Err: err})
		return
	}
	if o.stopped {
		go o.cfg.Store.Revoke(context.WithoutCancel(ctx), lease)
		return
	}
	o.token, o.lease, o.expired = token, lease, false
	o.renewedAt, o.renewAt = began, began.add(o.cfg.TTL/renewalsPerTTL)
	o.cfg.Notify(Event{Kind: Acquired, Token: token, Holder: o.cfg.Self, At: token.Position(), Age: now.since(began)})
}

func (o *Owner) create(ctx context.Context) (Token, Lease, error) {
	value, err := json.Marshal(o.cfg.Self)
	if err != nil {
		return 0, Lease{}, err
	}
	lease, err := o.cfg.Store.Grant(ctx, o.cfg.TTL)
	if err != nil {
		return 0, Lease{}, err
	}
	at, err := o.cfg.Store.Create(ctx, o.cfg.Key, value, lease)
	if err != nil {
		return 0, lease, err
	}
	token := TokenOf(at)
	if token == 0 {
		return 0, lease, fmt.Errorf("duty: position %v does not fit a token", at)
	}
	return token, lease, nil
}

// signal wakes Run.
func (o *Owner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// Run keeps the duty up until ctx ends. Nothing but news of the record and due steps wakes it.
func (o *Owner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		var due <-chan time.Time
		if wait, ok := o.Due(); ok {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
		case <-o.wake:
		case <-due:
		}
		o.Step(ctx)
	}
}

// Release gives up the duty for good, so that another process can take it over at once.
func (o *Owner) Release(ctx context.Context) {
	o.mu.Lock()
	token, lease := o.token, o.lease
	o.stopped, o.token, o.lease = true, 0, Lease{}
	o.mu.Unlock()
	if lease == (Lease{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := o.cfg.Store.Revoke(ctx, lease)
	o.cfg.Notify(Event{Kind: Released, Token: token, Holder: o.cfg.Self, Err: err})
}

// since returns the time since an earlier instant by the clock that says more: a lease must
// end early rather than late when one of the clocks stood still or was set back.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall))
}

func (i Instant) add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Wall: i.Wall.Add(d)}
}
