package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"cactusknot.example/coord/kv"
)

// Limits of the store client.
const (
	// storeTimeout bounds calls other than watches; the store answers in
	// milliseconds when it works.
	storeTimeout = 5 * time.Second
	// watchWait is how long a watch asks the store to wait. The client waits
	// storeTimeout longer.
	watchWait = 25 * time.Second
	// maxStoreEntryBytes bounds an answer with one entry: the largest value in
	// base64, with its key.
	maxStoreEntryBytes = kv.MaxValueBytes*4/3 + 64<<10
	// maxStoreListBytes bounds the answer to a list.
	maxStoreListBytes = 64 << 20
)

// Store is a kv.Store over HTTP. A write whose answer does not arrive after the
// request was handed to a connection returns kv.ErrUnknownOutcome; a write that
// no connection took returns kv.ErrUnavailable. Reads that fail return
// kv.ErrUnavailable and, when ctx has ended, also its error.
type Store struct {
	caller caller
}

var _ kv.Store = (*Store)(nil)

// NewStore returns a client of the store at the base URL.
func NewStore(base string) *Store { return &Store{caller: newCaller(base)} }

// Close drops the idle connections.
func (s *Store) Close() { s.caller.close() }

// Get returns the entry of key, or kv.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	return s.entry(ctx, StorePathGet, StoreRequest{Key: key}, storeTimeout)
}

// List returns the entries whose key starts with prefix, in key order.
func (s *Store) List(ctx context.Context, prefix string) ([]kv.Entry, error) {
	a, err := s.read(ctx, StorePathList, StoreRequest{Key: prefix}, storeTimeout, maxStoreListBytes)
	return a.Entries, err
}

// Put writes value when the key's revision equals expect.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect kv.Revision, lease kv.LeaseID) (kv.Revision, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, trace.Wrap(kv.ErrTooLarge)
	}
	a, err := s.write(ctx, StorePathPut, StoreRequest{Key: key, Value: value, Revision: expect, Lease: lease})
	return a.Revision, err
}

// Delete removes key when its revision equals expect.
func (s *Store) Delete(ctx context.Context, key string, expect kv.Revision) error {
	_, err := s.write(ctx, StorePathDelete, StoreRequest{Key: key, Revision: expect})
	return err
}

// Watch blocks until the key's revision is above after or the store ends the
// wait, in which case it returns the unchanged entry or kv.ErrNotFound.
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

// Revoke ends the lease and deletes its keys.
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

// read sends a call that changes nothing.
func (s *Store) read(ctx context.Context, path string, req StoreRequest, timeout time.Duration, limit int64) (StoreResponse, error) {
	a, _, err := s.exchange(ctx, path, req, timeout, limit)
	if err == nil || isStoreError(err) {
		return a, trace.Wrap(err)
	}
	return StoreResponse{}, trace.Wrap(fmt.Errorf("%w: %w", kv.ErrUnavailable, err))
}

// write sends a call that changes the store.
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

// exchange sends one call. The second result tells whether the store may have
// seen the request.
func (s *Store) exchange(ctx context.Context, path string, req StoreRequest, timeout time.Duration, limit int64) (StoreResponse, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, try, err := s.caller.send(ctx, http.MethodPost, path, req, nil)
	if err != nil {
		return StoreResponse{}, try.sent.Load(), err
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
	if resp.StatusCode == http.StatusOK && a.Error == "" {
		return a, true, nil
	}
	if known := storeError(a.Error); known != nil {
		return StoreResponse{}, true, known
	}
	return StoreResponse{}, true, fmt.Errorf("%w: status %d, code %q", ErrBadResponse, resp.StatusCode, a.Error)
}
