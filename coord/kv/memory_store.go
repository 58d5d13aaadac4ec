package kv

import (
	"bytes"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cactusknot.example/coord/clock"
)

// MemoryStore is an in-memory Store for tests and emulators. It counts calls and can
// inject the faults that the platform's store may have. It is safe for concurrent
// use.
type MemoryStore struct {
	clock clock.Clock

	mu       sync.Mutex
	random   *rand.Rand
	era      uint64
	revision Revision
	entries  map[string]Entry
	leases   map[LeaseID]*leaseState
	nextID   LeaseID
	changes  map[string]chan struct{}
	faults   Faults
	limiter  *rate.Limiter
	usage    map[CallKind]Usage
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

var _ Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store. Leases expire according to clk. random
// selects the calls with injected faults; the store uses it only under its lock.
func NewMemoryStore(clk clock.Clock, random rand.Source) *MemoryStore {
	return &MemoryStore{
		clock:   clk,
		random:  rand.New(random),
		entries: make(map[string]Entry),
		leases:  make(map[LeaseID]*leaseState),
		changes: make(map[string]chan struct{}),
		usage:   make(map[CallKind]Usage),
	}
}

// SetFaults replaces the faults to inject.
func (m *MemoryStore) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.CallsPerSecond != m.faults.CallsPerSecond {
		m.limiter = newLimiter(f.CallsPerSecond)
	}
	m.faults = f
	if f.Outage {
		m.notifyAllWatches()
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Usage returns the counted calls by kind. A watch counts as one call, however long
// it waits.
func (m *MemoryStore) Usage() map[CallKind]Usage {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[CallKind]Usage, len(m.usage))
	for kind, u := range m.usage {
		out[kind] = u
	}
	return out
}

// Get returns the entry of key, or ErrNotFound.
func (m *MemoryStore) Get(ctx context.Context, key string) (Entry, error) {
	if err := m.beginCall(ctx, KindGet, len(key), false); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	e, ok := m.entries[key]
	if !ok {
		return Entry{}, ErrNotFound
	}
	return m.copyEntry(KindGet, e), nil
}

// List returns the entries whose key starts with prefix, in key order.
func (m *MemoryStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := m.beginCall(ctx, KindList, len(prefix), false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	var out []Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, m.copyEntry(KindList, e))
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// Put writes value when the key's revision equals expect.
func (m *MemoryStore) Put(ctx context.Context, key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	if err := m.beginCall(ctx, KindPut, len(key)+len(value), true); err != nil {
		return 0, err
	}
	if late := m.lateWriteDelay(); late > 0 {
		value = bytes.Clone(value)
		go func() {
			_ = m.clock.Sleep(context.WithoutCancel(ctx), late)
			_, _ = m.put(key, value, expect, lease)
		}()
		return 0, ErrUnknownOutcome
	}
	return m.put(key, value, expect, lease)
}

// lateWriteDelay returns the delay with which to execute the next write, 0 for none.
func (m *MemoryStore) lateWriteDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.LateWriteRate > 0 && m.random.Float64() < m.faults.LateWriteRate {
		return m.faults.LateWriteDelay
	}
	return 0
}

func (m *MemoryStore) put(key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	old := m.entries[key]
	if old.Revision != expect {
		return 0, ErrConflict
	}
	if lease != 0 && m.leases[lease] == nil {
		return 0, ErrNotFound
	}
	m.detachFromLease(old)
	m.revision++
	m.entries[key] = Entry{Key: key, Value: bytes.Clone(value), Revision: m.revision, Lease: lease}
	if lease != 0 {
		m.leases[lease].keys[key] = struct{}{}
	}
	m.notifyWatches(key)
	if err := m.loseResponse(); err != nil {
		return 0, err
	}
	return m.revision, nil
}

// Delete removes key when its revision equals expect. A missing key has revision 0,
// so deleting it with another expected revision is a conflict.
func (m *MemoryStore) Delete(ctx context.Context, key string, expect Revision) error {
	if err := m.beginCall(ctx, KindDelete, len(key), true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	old, ok := m.entries[key]
	if old.Revision != expect {
		return ErrConflict
	}
	if !ok {
		return ErrNotFound
	}
	m.remove(old)
	return m.loseResponse()
}

// Watch blocks until the key's revision is above after. With after 0 it waits until
// the key exists; with after above 0 it returns immediately with revision 0 when the
// key is missing. An outage ends the wait with ErrUnavailable.
func (m *MemoryStore) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	if err := m.beginCall(ctx, KindWatch, len(key), false); err != nil {
		return Entry{}, err
	}
	for {
		e, result, changed, leaseLeft := m.checkWatch(key, after)
		if result != nil {
			return e, result.err
		}
		if err := m.waitForChange(ctx, changed, leaseLeft); err != nil {
			return Entry{}, err
		}
	}
}

// watchResult is the result of a completed watch.
type watchResult struct{ err error }

// checkWatch checks whether the watch of key is complete. If it is not, checkWatch
// returns a nil result, the channel that is closed at the next change of the key and
// the remaining time of the key's lease.
func (m *MemoryStore) checkWatch(key string, after Revision) (Entry, *watchResult, <-chan struct{}, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return Entry{}, &watchResult{err: ErrUnavailable}, nil, 0
	}
	m.expireLeases()
	e, ok := m.entries[key]
	if !ok && after > 0 {
		return Entry{Key: key}, &watchResult{}, nil, 0
	}
	if e.Revision > after {
		return m.copyEntry(KindWatch, e), &watchResult{}, nil, 0
	}
	ch := m.changes[key]
	if ch == nil {
		ch = make(chan struct{})
		m.changes[key] = ch
	}
	var leaseLeft time.Duration
	if l := m.leases[e.Lease]; l != nil {
		leaseLeft = l.expires.Sub(m.clock.Now())
	}
	return Entry{}, nil, ch, leaseLeft
}

// waitForChange waits until the key changes, its lease expires or ctx ends.
func (m *MemoryStore) waitForChange(ctx context.Context, changed <-chan struct{}, leaseLeft time.Duration) error {
	var expired chan struct{}
	if leaseLeft > 0 {
		sleepCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		expired = make(chan struct{})
		go func() {
			if m.clock.Sleep(sleepCtx, leaseLeft) == nil {
				close(expired)
			}
		}()
	}
	select {
	case <-changed:
	case <-expired:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// Grant creates a lease that expires ttl after its last KeepAlive.
func (m *MemoryStore) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	if err := m.beginCall(ctx, KindGrant, 0, true); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextID++
	m.leases[m.nextID] = &leaseState{
		ttl:     ttl,
		expires: m.clock.Now().Add(ttl),
		keys:    make(map[string]struct{}),
	}
	if err := m.loseResponse(); err != nil {
		return 0, err
	}
	return m.nextID, nil
}

// KeepAlive extends the lease, or returns ErrNotFound when it has expired.
func (m *MemoryStore) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := m.beginCall(ctx, KindKeepAlive, 0, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	l := m.leases[id]
	if l == nil {
		return ErrNotFound
	}
	l.expires = m.clock.Now().Add(l.ttl)
	return m.loseResponse()
}

// Revoke ends the lease and deletes its keys.
func (m *MemoryStore) Revoke(ctx context.Context, id LeaseID) error {
	if err := m.beginCall(ctx, KindRevoke, 0, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	if m.leases[id] == nil {
		return ErrNotFound
	}
	m.endLease(id)
	return m.loseResponse()
}

// beginCall counts the call, applies the injected outage and rate limit, and waits
// for the injected delay.
func (m *MemoryStore) beginCall(ctx context.Context, kind CallKind, size int, write bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	delay, err := m.countCall(kind, size)
	if err != nil || delay <= 0 {
		return err
	}
	if err := m.clock.Sleep(ctx, delay); err != nil {
		if write {
			return ErrUnknownOutcome
		}
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return ErrUnavailable
	}
	return nil
}

// countCall counts the call and returns the injected delay, or ErrUnavailable or
// ErrRateLimited.
func (m *MemoryStore) countCall(kind CallKind, size int) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.usage[kind]
	u.Calls++
	u.Bytes += uint64(size)
	m.usage[kind] = u
	if m.faults.Outage {
		return 0, ErrUnavailable
	}
	if m.limiter != nil && !m.limiter.AllowN(m.clock.Now(), 1) {
		return 0, ErrRateLimited
	}
	return m.faults.Delay, nil
}

// copyEntry counts the bytes of e as part of the response and returns a copy that
// shares no memory with the store.
func (m *MemoryStore) copyEntry(kind CallKind, e Entry) Entry {
	u := m.usage[kind]
	u.Bytes += uint64(len(e.Key) + len(e.Value))
	m.usage[kind] = u
	e.Value = bytes.Clone(e.Value)
	return e
}

// loseResponse returns ErrUnknownOutcome when the response of the current write is
// to be lost.
func (m *MemoryStore) loseResponse() error {
	if m.faults.LoseNextResponses > 0 {
		m.faults.LoseNextResponses--
		return ErrUnknownOutcome
	}
	if m.faults.LostResponseRate > 0 && m.random.Float64() < m.faults.LostResponseRate {
		return ErrUnknownOutcome
	}
	return nil
}

// expireLeases ends the leases that have expired.
func (m *MemoryStore) expireLeases() {
	now := m.clock.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.endLease(id)
		}
	}
}

func (m *MemoryStore) endLease(id LeaseID) {
	for key := range m.leases[id].keys {
		m.remove(m.entries[key])
	}
	delete(m.leases, id)
}

func (m *MemoryStore) remove(e Entry) {
	m.detachFromLease(e)
	m.revision++
	delete(m.entries, e.Key)
	m.notifyWatches(e.Key)
}

func (m *MemoryStore) detachFromLease(e Entry) {
	if l := m.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

func (m *MemoryStore) notifyWatches(key string) {
	if ch := m.changes[key]; ch != nil {
		close(ch)
		delete(m.changes, key)
	}
}

func (m *MemoryStore) notifyAllWatches() {
	for key := range m.changes {
		m.notifyWatches(key)
	}
}
