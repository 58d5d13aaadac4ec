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

// MemoryStore is a Store in memory for tests and emulators. It counts calls and can
// show the faults of the platform's store. It is safe for concurrent use.
type MemoryStore struct {
	clock clock.Clock

	mu       sync.Mutex
	random   *rand.Rand
	revision Revision
	entries  map[string]Entry
	leases   map[LeaseID]*leaseState
	nextID   LeaseID
	changed  map[string]chan struct{}
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

// NewMemoryStore returns an empty store. Leases expire by clk; random decides which
// answers are lost and is used under the store's lock.
func NewMemoryStore(clk clock.Clock, random rand.Source) *MemoryStore {
	return &MemoryStore{
		clock:   clk,
		random:  rand.New(random),
		entries: make(map[string]Entry),
		leases:  make(map[LeaseID]*leaseState),
		changed: make(map[string]chan struct{}),
		usage:   make(map[CallKind]Usage),
	}
}

// SetFaults replaces the faults shown from now on.
func (m *MemoryStore) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f.CallsPerSecond != m.faults.CallsPerSecond {
		m.limiter = newLimiter(f.CallsPerSecond)
	}
	m.faults = f
	if f.Outage {
		m.wakeAll()
	}
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Usage returns the counted calls by kind. A waiting watch is one call.
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
	if err := m.enter(ctx, KindGet, len(key), false); err != nil {
		return Entry{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	e, ok := m.entries[key]
	if !ok {
		return Entry{}, ErrNotFound
	}
	return m.answer(KindGet, e), nil
}

// List returns the entries whose key starts with prefix, in key order.
func (m *MemoryStore) List(ctx context.Context, prefix string) ([]Entry, error) {
	if err := m.enter(ctx, KindList, len(prefix), false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	var out []Entry
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			out = append(out, m.answer(KindList, e))
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
	if err := m.enter(ctx, KindPut, len(key)+len(value), true); err != nil {
		return 0, err
	}
	if late := m.lateness(); late > 0 {
		value = bytes.Clone(value)
		go func() {
			_ = m.clock.Sleep(context.WithoutCancel(ctx), late)
			_, _ = m.put(key, value, expect, lease)
		}()
		return 0, ErrUnknownOutcome
	}
	return m.put(key, value, expect, lease)
}

// lateness returns by how much the next write is carried out late.
func (m *MemoryStore) lateness() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.LateWrites > 0 && m.random.Float64() < m.faults.LateWrites {
		return m.faults.LateBy
	}
	return 0
}

func (m *MemoryStore) put(key string, value []byte, expect Revision, lease LeaseID) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	old := m.entries[key]
	if old.Revision != expect {
		return 0, ErrConflict
	}
	if lease != 0 && m.leases[lease] == nil {
		return 0, ErrNotFound
	}
	m.detach(old)
	m.revision++
	m.entries[key] = Entry{Key: key, Value: bytes.Clone(value), Revision: m.revision, Lease: lease}
	if lease != 0 {
		m.leases[lease].keys[key] = struct{}{}
	}
	m.wake(key)
	if err := m.loseAnswer(); err != nil {
		return 0, err
	}
	return m.revision, nil
}

// Delete removes key when its revision equals expect. An absent key counts as
// revision 0, so that deleting it with another expected revision is a conflict.
func (m *MemoryStore) Delete(ctx context.Context, key string, expect Revision) error {
	if err := m.enter(ctx, KindDelete, len(key), true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	old, ok := m.entries[key]
	if old.Revision != expect {
		return ErrConflict
	}
	if !ok {
		return ErrNotFound
	}
	m.remove(old)
	return m.loseAnswer()
}

// Watch blocks until the key's revision is above after. With after 0 it waits
// for the key to exist; with after above 0 an absent key returns at once with
// revision 0. An outage ends the wait with ErrUnavailable.
func (m *MemoryStore) Watch(ctx context.Context, key string, after Revision) (Entry, error) {
	if err := m.enter(ctx, KindWatch, len(key), false); err != nil {
		return Entry{}, err
	}
	for {
		e, done, changed, lease := m.poll(key, after)
		if done != nil {
			return e, done.err
		}
		if err := m.await(ctx, changed, lease); err != nil {
			return Entry{}, err
		}
	}
}

// watchEnd is the result of a watch that has ended.
type watchEnd struct{ err error }

// poll looks at key once. When the watch goes on it returns the channel that is
// closed at the key's next change and the time left of the key's lease.
func (m *MemoryStore) poll(key string, after Revision) (Entry, *watchEnd, <-chan struct{}, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Outage {
		return Entry{}, &watchEnd{err: ErrUnavailable}, nil, 0
	}
	m.expire()
	e, ok := m.entries[key]
	if !ok && after > 0 {
		return Entry{Key: key}, &watchEnd{}, nil, 0
	}
	if e.Revision > after {
		return m.answer(KindWatch, e), &watchEnd{}, nil, 0
	}
	ch := m.changed[key]
	if ch == nil {
		ch = make(chan struct{})
		m.changed[key] = ch
	}
	var left time.Duration
	if l := m.leases[e.Lease]; l != nil {
		left = l.expires.Sub(m.clock.Now())
	}
	return Entry{}, nil, ch, left
}

// await waits for a change, for the end of the key's lease or for ctx.
func (m *MemoryStore) await(ctx context.Context, changed <-chan struct{}, lease time.Duration) error {
	var expired chan struct{}
	if lease > 0 {
		sleepCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		expired = make(chan struct{})
		go func() {
			if m.clock.Sleep(sleepCtx, lease) == nil {
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
	if err := m.enter(ctx, KindGrant, 0, true); err != nil {
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
	if err := m.loseAnswer(); err != nil {
		return 0, err
	}
	return m.nextID, nil
}

// KeepAlive extends the lease, or returns ErrNotFound when it has expired.
func (m *MemoryStore) KeepAlive(ctx context.Context, id LeaseID) error {
	if err := m.enter(ctx, KindKeepAlive, 0, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	l := m.leases[id]
	if l == nil {
		return ErrNotFound
	}
	l.expires = m.clock.Now().Add(l.ttl)
	return m.loseAnswer()
}

// Revoke ends the lease and deletes its keys.
func (m *MemoryStore) Revoke(ctx context.Context, id LeaseID) error {
	if err := m.enter(ctx, KindRevoke, 0, true); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expire()
	if m.leases[id] == nil {
		return ErrNotFound
	}
	m.end(id)
	return m.loseAnswer()
}

// enter counts the call, applies the outage and the rate limit and waits for
// the added delay.
func (m *MemoryStore) enter(ctx context.Context, kind CallKind, size int, write bool) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	delay, err := m.admit(kind, size)
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

func (m *MemoryStore) admit(kind CallKind, size int) (time.Duration, error) {
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

// answer counts the bytes of e and returns a copy that shares no memory.
func (m *MemoryStore) answer(kind CallKind, e Entry) Entry {
	u := m.usage[kind]
	u.Bytes += uint64(len(e.Key) + len(e.Value))
	m.usage[kind] = u
	e.Value = bytes.Clone(e.Value)
	return e
}

func (m *MemoryStore) loseAnswer() error {
	if m.faults.LoseNextResponses > 0 {
		m.faults.LoseNextResponses--
		return ErrUnknownOutcome
	}
	if m.faults.LostResponseRate > 0 && m.random.Float64() < m.faults.LostResponseRate {
		return ErrUnknownOutcome
	}
	return nil
}

// expire ends the leases whose time is over.
func (m *MemoryStore) expire() {
	now := m.clock.Now()
	for id, l := range m.leases {
		if !now.Before(l.expires) {
			m.end(id)
		}
	}
}

func (m *MemoryStore) end(id LeaseID) {
	for key := range m.leases[id].keys {
		m.remove(m.entries[key])
	}
	delete(m.leases, id)
}

func (m *MemoryStore) remove(e Entry) {
	m.detach(e)
	m.revision++
	delete(m.entries, e.Key)
	m.wake(e.Key)
}

func (m *MemoryStore) detach(e Entry) {
	if l := m.leases[e.Lease]; l != nil {
		delete(l.keys, e.Key)
	}
}

func (m *MemoryStore) wake(key string) {
	if ch := m.changed[key]; ch != nil {
		close(ch)
		delete(m.changed, key)
	}
}

func (m *MemoryStore) wakeAll() {
	for key := range m.changed {
		m.wake(key)
	}
}
