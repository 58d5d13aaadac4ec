package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/coord/kv"
)

// Limits of the store client.
const (
	// storeTimeout bounds calls other than watches. A working store responds within
	// milliseconds.
	storeTimeout = 5 * time.Second
	// watchWait is the wait time that a watch requests from the store. The client
	// waits storeTimeout longer.
	watchWait = 25 * time.Second
	// maxStoreEntryBytes bounds a response with one entry: the largest value in
	// base64, plus its key and the other fields.
	maxStoreEntryBytes = kv.MaxValueBytes*4/3 + 64<<10
	// maxStoreListBytes bounds the response to a list call.
	maxStoreListBytes = 64 << 20
)

// Store is a client of the key-value store that implements kv.Store over HTTP. A
// write that gets no valid response returns kv.ErrUnknownOutcome if the request was
// assigned to a connection, and kv.ErrUnavailable otherwise. A failed read returns
// kv.ErrUnavailable, which also wraps the error of ctx if that has ended. Revisions and lease
// IDs include the store's era, so they go on rising when the store is restored from an older
// copy.
type Store struct {
	client httpClient
	// era is the highest era in any response; see Era.
	era   atomic.Uint64
	onEra func(uint64)
}

var _ kv.Store = (*Store)(nil)

// NewStore returns a client of the store at the base URL.
func NewStore(base string) *Store { return &Store{client: newHTTPClient(base)} }

// OnEra sets a function that is called after a response with a higher era than all earlier
// ones, before the call that got it returns. It must be set before the first call and must not
// block.
func (s *Store) OnEra(f func(era uint64)) { s.onEra = f }

// Era returns the highest era that a response has carried, which includes errors. It is 0 before
// the first response.
func (s *Store) Era() uint64 { return s.era.Load() }

// observeEra records the era of a response.
func (s *Store) observeEra(era uint64) {
	for {
		known := s.era.Load()
		if era <= known {
			return
		}
		if s.era.CompareAndSwap(known, era) {
			if s.onEra != nil {
				s.onEra(era)
			}
			return
		}
	}
}

// Close closes the idle connections.
func (s *Store) Close() { s.client.close() }

// Get returns the entry of key, or kv.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	return s.entry(ctx, StorePathGet, StoreRequest{Key: key}, storeTimeout)
}

// List returns the entries whose key starts with prefix, in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	a, err := s.read(ctx, StorePathList, StoreRequest{Key: prefix}, storeTimeout, maxStoreListBytes)
	return a.Entries, err
}

// Put writes value if the revision of key equals expect.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, trace.Wrap(kv.ErrTooLarge)
	}
	a, err := s.write(ctx, StorePathPut, StoreRequest{Key: key, Value: value, Revision: expect, Lease: lease})
	return a.Revision, err
}

// Delete removes key if its revision equals expect.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Revision) error {
	_, err := s.write(ctx, StorePathDelete, StoreRequest{Key: key, Revision: expect})
	return err
}

// Watch blocks until the revision of key is higher than after. If the store ends the
// wait before that, Watch returns the unchanged entry or kv.ErrNotFound.
func (s *Store) Watch(ctx context.Context, key string, after kv.Revision) (kv.Entry, error) {
	req := StoreRequest{Key: key, Revision: after, WaitMs: watchWait.Milliseconds()}
	return s.entry(ctx, StorePathWatch, req, watchWait+storeTimeout)
}

// Grant creates a lease that expires ttl after its last KeepAlive.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	a, err := s.write(ctx, StorePathGrant, StoreRequest{TTLMs: ttl.Milliseconds()})
	return a.Lease, err
}

// KeepAlive extends the lease, or returns kv.ErrNotFound when it has expired.
func (s *Store) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := s.write(ctx, StorePathKeepAlive, StoreRequest{Lease: id})
	return err
}

// Revoke ends the lease and deletes the keys that are attached to it.
func (s *Store) Revoke(ctx context.Context, id kv.LeaseID) error {
	_, err := s.write(ctx, StorePathRevoke, StoreRequest{Lease: id})
	return err
}

func (s *Store) entry(ctx context.Context, path string, req StoreRequest, timeout time.Duration) (kv.Entry, error) {
	a, err := s.read(ctx, path, req, timeout, maxStoreEntryBytes)
	if err != nil {
		return kv.Entry{}, err
	}
	if a.Entry == nil {
		return kv.Entry{}, trace.Wrap(fmt.Errorf("%w: %w: no entry", kv.ErrUnavailable, ErrBadResponse))
	}
	return *a.Entry, nil
}

// read sends a call that does not modify the store.
func (s *Store) read(ctx context.Context, path string, req StoreRequest, timeout time.Duration, limit int64) (StoreResponse, error) {
	a, _, err := s.exchange(ctx, path, req, timeout, limit)
	if err == nil || isStoreError(err) {
		return a, trace.Wrap(err)
	}
	return StoreResponse{}, trace.Wrap(fmt.Errorf("%w: %w", kv.ErrUnavailable, err))
}

// write sends a call that modifies the store. Errors tell whether the store may have
// applied it.
func (s *Store) write(ctx context.Context, path string, req StoreRequest) (StoreResponse, error) {
	a, sent, err := s.exchange(ctx, path, req, storeTimeout, maxStoreEntryBytes)
	if err == nil || isStoreError(err) {
		return a, trace.Wrap(err)
	}
	outcome := kv.ErrUnavailable
	if sent {
		outcome = kv.ErrUnknownOutcome
	}
	return StoreResponse{}, trace.Wrap(fmt.Errorf("%w: %w", outcome, err))
}

func isStoreError(err error) bool {
	_, _, ok := StoreErrorStatus(err)
	return ok
}

// exchange sends one call. The second result reports whether the store may have
// received the request.
func (s *Store) exchange(ctx context.Context, path string, req StoreRequest, timeout time.Duration, limit int64) (StoreResponse, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, attempt, err := s.client.send(ctx, http.MethodPost, path, eraRequest(req), nil)
	if err != nil {
		return StoreResponse{}, attempt.sent.Load(), err
	}
	defer resp.Body.Close()
	body, err := readBounded(resp.Body, limit)
	if err != nil {
		return StoreResponse{}, true, err
	}
	var a StoreResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return StoreResponse{}, true, fmt.Errorf("%w: status %d: %v", ErrBadResponse, resp.StatusCode, err)
	}
	s.observeEra(a.Era)
	if resp.StatusCode == http.StatusOK && a.Error == "" {
		return eraResponse(a), true, nil
	}
	if known := storeErrorByCode(a.Error); known != nil {
		return StoreResponse{}, true, known
	}
	return StoreResponse{}, true, fmt.Errorf("%w: status %d, code %q", ErrBadResponse, resp.StatusCode, a.Error)
}
