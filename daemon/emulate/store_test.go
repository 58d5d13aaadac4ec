package emulate

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/platform"
)

func startStore(t *testing.T) (*Store, *platform.Store) {
	t.Helper()
	s, err := StartStore("127.0.0.1:0", StoreConfig{Seed: 1}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	c := platform.NewStore(s.URL())
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

// A lost response must be reported as an unknown outcome, since "nothing written"
// would allow a second write. A refused call must not be reported as unknown.
func TestStoreOutcomeOfWrites(t *testing.T) {
	s, c := startStore(t)
	ctx := context.Background()
	if err := s.SetFaults(StoreFaults{LoseNextResponses: intPtr(1)}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, "k", []byte("v"), 0, 0); !errors.Is(err, kv.ErrUnknownOutcome) {
		t.Errorf("lost response: %v", err)
	}
	e, err := c.Get(ctx, "k")
	if err != nil || string(e.Value) != "v" {
		t.Errorf("the write with the lost response is missing: %v", err)
	}
	if _, err := c.Put(ctx, "k", []byte("w"), 0, 0); !errors.Is(err, kv.ErrConflict) {
		t.Errorf("old revision: %v", err)
	}
	on := true
	_ = s.SetFaults(StoreFaults{CommonFaults: CommonFaults{Outage: &on}})
	if _, err := c.Put(ctx, "k", []byte("w"), e.Revision, 0); !errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknownOutcome) {
		t.Errorf("outage: %v", err)
	}
	on = false
	_ = s.SetFaults(StoreFaults{CommonFaults: CommonFaults{Outage: &on}})
	s.Crash()
	// The outcome of a request on a dead idle connection is unknown, because the
	// request may have been sent. A new client has no idle connection.
	fresh := platform.NewStore(s.URL())
	defer fresh.Close()
	if _, err := fresh.Put(ctx, "k", []byte("w"), e.Revision, 0); !errors.Is(err, kv.ErrUnavailable) || errors.Is(err, kv.ErrUnknownOutcome) {
		t.Errorf("refused connection: %v", err)
	}
	if err := s.Reopen(); err != nil {
		t.Fatal(err)
	}
	if _, err := fresh.Put(ctx, "k", []byte("w"), e.Revision, 0); err != nil {
		t.Errorf("after the crash: %v", err)
	}
}

// A timeout after a write was sent must be reported as an unknown outcome, not as
// "nothing written".
func TestStoreTimeoutIsUnknown(t *testing.T) {
	s, c := startStore(t)
	_ = s.SetFaults(StoreFaults{CommonFaults: CommonFaults{FreezeMs: intPtr(3600 * 1000)}})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if _, err := c.Put(ctx, "k", nil, 0, 0); !errors.Is(err, kv.ErrUnknownOutcome) {
		t.Errorf("write: %v", err)
	}
	if _, err := c.Get(ctx, "k"); !errors.Is(err, kv.ErrUnavailable) || !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("read: %v", err)
	}
}

// A watch must see writes and deletes, and a revoked lease must delete its keys.
func TestStoreWatchAndLease(t *testing.T) {
	_, c := startStore(t)
	ctx := context.Background()
	id, err := c.Grant(ctx, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan kv.Entry, 1)
	go func() {
		e, _ := c.Watch(ctx, "k", 0)
		seen <- e
	}()
	rev, err := c.Put(ctx, "k", []byte("v"), 0, id)
	if err != nil {
		t.Fatal(err)
	}
	if e := <-seen; e.Revision != rev || e.Lease != id {
		t.Errorf("watch returned %+v", e)
	}
	if err := c.KeepAlive(ctx, id); err != nil {
		t.Error(err)
	}
	if err := c.Revoke(ctx, id); err != nil {
		t.Error(err)
	}
	if e, err := c.Watch(ctx, "k", rev); err != nil || e.Revision != 0 {
		t.Errorf("watch of a deleted key: %+v %v", e, err)
	}
	if err := c.KeepAlive(ctx, id); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("revoked lease: %v", err)
	}
	if all, err := c.List(ctx, ""); err != nil || len(all) != 0 {
		t.Errorf("list: %v %v", all, err)
	}
}

// Guards against fencing tokens that fall, and against a write or a renewal that hits another
// one's entry or lease, because a restored store gives out its numbers again.
func TestNumbersOfARestoredStore(t *testing.T) {
	s, c := startStore(t)
	ctx := context.Background()
	_ = s.SetFaults(StoreFaults{Backup: true})
	before, err := c.Put(ctx, "k", []byte("lost"), 0, 0)
	lease, leaseErr := c.Grant(ctx, time.Minute)
	if err != nil || leaseErr != nil || s.SetFaults(StoreFaults{Restore: true}) != nil {
		t.Fatal(err, leaseErr)
	}
	if e, err := c.Watch(ctx, "k", before); err != nil || e.Revision != 0 {
		t.Errorf("watch of a lost key: %+v, %v", e, err)
	}
	after, err := c.Put(ctx, "k", []byte("new"), 0, 0)
	if err != nil || after <= before {
		t.Errorf("revision %d after %d, %v", after, before, err)
	}
	if _, err := c.Put(ctx, "k", []byte("late"), before, 0); !errors.Is(err, kv.ErrConflict) {
		t.Errorf("write with the revision of the era before: %v", err)
	}
	again, err := c.Grant(ctx, time.Minute)
	if err != nil || again == lease {
		t.Errorf("lease %d was given out again, %v", lease, err)
	}
	if err := c.KeepAlive(ctx, lease); !errors.Is(err, kv.ErrNotFound) {
		t.Errorf("renewal of a lost lease: %v", err)
	}
	if err := c.KeepAlive(ctx, again); err != nil {
		t.Errorf("renewal: %v", err)
	}
	if e, err := c.Watch(ctx, "k", before); err != nil || e.Revision != after {
		t.Errorf("watch from the era before: %+v, %v", e, err)
	}
}

// Guards against a process that learns of a restore late, because the response that told it was
// an error: the first call after a restore is often a conditional write that conflicts.
func TestErrorsCarryTheEra(t *testing.T) {
	s, c := startStore(t)
	ctx := context.Background()
	var seen []uint64
	c.OnEra(func(era uint64) { seen = append(seen, era) })
	_ = s.SetFaults(StoreFaults{Backup: true})
	rev, err := c.Put(ctx, "k", []byte("lost"), 0, 0)
	if err != nil || c.Era() != 0 || s.SetFaults(StoreFaults{Restore: true}) != nil {
		t.Fatal(err, c.Era())
	}
	if _, err := c.Put(ctx, "k", []byte("late"), rev, 0); !errors.Is(err, kv.ErrConflict) || c.Era() != 1 {
		t.Errorf("%v, era %d", err, c.Era())
	}
	_ = s.SetFaults(StoreFaults{Restore: true})
	if _, err := c.Get(ctx, "k"); !errors.Is(err, kv.ErrNotFound) || len(seen) != 2 || seen[1] != 2 {
		t.Errorf("%v, eras %v", err, seen)
	}
}
