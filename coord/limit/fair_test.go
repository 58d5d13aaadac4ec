package limit

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusknot.example/coord/clock"
)

var (
	testFair = FairLimiterConfig{Capacity: 8, MaxQueue: 100, MaxQueuePerWorkspace: 50, MinServiceTime: time.Millisecond}
	errTest  = errors.New("test")
)

// A workspace with many callers must not starve one with a single caller, and the
// shares must follow the weights.
func TestFairShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, err := NewFairLimiter(testFair, clock.System{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Second)
		defer stop()
		var mu sync.Mutex
		served := map[string]int{}
		var callers sync.WaitGroup
		start := func(name string, n int, share Share) {
			for range n {
				callers.Go(func() {
					for ctx.Err() == nil {
						release, err := f.Acquire(ctx, name, share, time.Now().Add(time.Hour))
						if err != nil {
							continue
						}
						_ = clock.System{}.Sleep(ctx, time.Second)
						release()
						mu.Lock()
						served[name]++
						mu.Unlock()
					}
				})
			}
		}
		start("large", 40, Share{Weight: 3})
		start("small", 40, Share{Weight: 1})
		start("single", 1, Share{Weight: 1})
		callers.Wait()
		// 8 slots for 100 s serve 800 requests of 1 s. The single caller is served
		// nearly every second. The others share 7 slots in the ratio 3 to 1, rounded to
		// whole slots.
		if served["single"] < 40 || served["small"] < 100 || served["large"] < 2*served["small"] {
			t.Errorf("served %v", served)
		}
		if running, queued := f.Usage(); running != 0 || queued != 0 || len(f.workspaces) != 0 || f.weights != 0 {
			t.Errorf("left over: running %d, queued %d, workspaces %d", running, queued, len(f.workspaces))
		}
	})
}

// Workspaces that are idle for a moment between requests, and so get a new pass value
// each time, must not starve a workspace that waits.
func TestFairReturningWorkspacesDoNotStarve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testFair
		cfg.Capacity = 1
		f, _ := NewFairLimiter(cfg, clock.System{})
		ctx, stop := context.WithTimeout(t.Context(), 100*time.Second)
		defer stop()
		var callers sync.WaitGroup
		for _, name := range []string{"a", "b", "c"} {
			callers.Go(func() {
				for ctx.Err() == nil {
					release, err := f.Acquire(ctx, name, Share{Weight: 10}, time.Now().Add(time.Hour))
					if err == nil {
						_ = clock.System{}.Sleep(ctx, time.Second)
						release()
					}
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		waited := 0
		for range 3 {
			release, err := f.Acquire(ctx, "low", Share{Weight: 1}, time.Now().Add(time.Hour))
			if err != nil {
				t.Fatalf("low weight starved after %d grants: %v", waited, err)
			}
			waited++
			release()
		}
		stop()
		callers.Wait()
	})
}

// Requests that can't be served in time must be refused, queues must be bounded, and a
// cancelled request must not keep a slot.
func TestFairRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := NewFairLimiter(FairLimiterConfig{Capacity: 1, MaxQueue: 2, MaxQueuePerWorkspace: 1, MinServiceTime: time.Second}, clock.System{})
		share := Share{Weight: 1}
		far := time.Now().Add(time.Hour)
		if _, err := f.Acquire(t.Context(), "a", share, time.Now().Add(time.Second/2)); !errors.Is(err, ErrDeadline) {
			t.Fatalf("deadline shorter than the minimum service time: %v", err)
		}
		release, _ := f.Acquire(t.Context(), "a", share, far)
		time.Sleep(10 * time.Second)
		release()
		release, _ = f.Acquire(t.Context(), "a", share, far)
		if _, err := f.Acquire(t.Context(), "a", share, time.Now().Add(5*time.Second)); !errors.Is(err, ErrDeadline) {
			t.Fatalf("deadline shorter than the expected wait of 10 s: %v", err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		failed := make(chan error, 2)
		wait := func(name string, deadline time.Time) {
			_, err := f.Acquire(ctx, name, share, deadline)
			failed <- err
		}
		go wait("a", far)
		synctest.Wait()
		if _, err := f.Acquire(t.Context(), "a", share, far); !errors.Is(err, ErrWorkspaceFull) {
			t.Fatalf("full workspace queue: %v", err)
		}
		go wait("b", time.Now().Add(30*time.Second))
		synctest.Wait()
		if _, err := f.Acquire(t.Context(), "c", share, far); !errors.Is(err, ErrQueueFull) {
			t.Fatalf("full queue: %v", err)
		}
		if err := <-failed; !errors.Is(err, ErrDeadline) {
			t.Fatalf("deadline passed while waiting: %v", err)
		}
		cancel()
		if err := <-failed; !errors.Is(err, context.Canceled) {
			t.Fatalf("cancelled: %v", err)
		}
		release()
		release()
		if running, queued := f.Usage(); running != 0 || queued != 0 {
			t.Fatalf("left over: running %d, queued %d", running, queued)
		}
	})
}

// When every request fails, retries must stay within a tenth of the first attempts. At
// low traffic, retries must still be possible.
func TestRetryBudget(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewRetryBudget(SingleRouterRetryConfig())
	const attempts = 10_000
	retries := 0
	for range attempts {
		b.RecordFirstAttempt(now)
		now = now.Add(time.Millisecond)
		for range 5 {
			if b.Take(now, 1) {
				retries++
			}
		}
	}
	// Each of the three windows of 4 s allows one retry in addition to the tenth.
	if retries > attempts/10+3 || retries < attempts/10-3 {
		t.Errorf("%d retries for %d attempts", retries, attempts)
	}
	low := NewRetryBudget(SingleRouterRetryConfig())
	granted := 0
	for range 60 {
		low.RecordFirstAttempt(now)
		now = now.Add(10 * time.Second)
		if low.Take(now, 1) {
			granted++
		}
	}
	if granted < 59 {
		t.Errorf("%d of 60 retries were granted at one request per 10 s", granted)
	}
}

// Retries after one failure must not be synchronised: their delays spread over the
// whole range.
func TestBackoffSpreads(t *testing.T) {
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 0))
	var tenths [10]int
	for range 1000 {
		d := Backoff(1, random)
		tenths[min(int(d/time.Millisecond), 9)]++
	}
	for i, n := range tenths[1:] {
		if n < 50 {
			t.Errorf("seed %d: %d of 1000 delays in tenth %d", seed, n, i+1)
		}
	}
	if d := Backoff(1000, random); d > backoffMax {
		t.Errorf("delay %v is above the maximum", d)
	}
}

var testBuffers = BufferConfig{Reserve: 10, PerRequest: 50, PerWorkspace: 80, PerProcess: 100}

// A very slow reader must not make memory grow or block other readers, and all bytes
// must be freed at the end.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := NewBufferPool(testBuffers)
		slow, _ := pool.Open("w")
		another, _ := pool.Open("w")
		fast, _ := pool.Open("w")
		ctx, cancel := context.WithCancel(t.Context())
		var writers sync.WaitGroup
		for _, b := range []*Buffer{slow, another} {
			writers.Go(func() {
				for b.Put(ctx, make([]byte, 7)) == nil {
				}
			})
		}
		synctest.Wait()
		if used := pool.WorkspaceUsed("w"); used > testBuffers.PerWorkspace || slow.buffered > testBuffers.PerRequest {
			t.Fatalf("workspace uses %d, slow reader %d", used, slow.buffered)
		}
		writers.Go(func() { fast.Close(fast.Put(ctx, make([]byte, 1000))) })
		got := 0
		for {
			chunk, err := fast.Take(ctx)
			got += len(chunk)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		if got != 1000 {
			t.Fatalf("fast reader got %d bytes", got)
		}
		for range 5 {
			time.Sleep(time.Second)
			if _, err := slow.Take(ctx); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			if slow.buffered > testBuffers.PerRequest {
				t.Fatalf("slow reader holds %d", slow.buffered)
			}
		}
		cancel()
		slow.Discard()
		another.Discard()
		fast.Discard()
		fast.Discard()
		writers.Wait()
		if pool.Used() != 0 || pool.WorkspaceUsed("w") != 0 || len(pool.workspaces) != 0 {
			t.Fatalf("left over: %d bytes, %d workspaces", pool.Used(), len(pool.workspaces))
		}
	})
}

// Discard must unblock the writer, an error passed to Close must reach the reader after
// the remaining chunks, and the reserves must stay within the bound.
func TestBufferDiscardCloseAndReserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool, _ := NewBufferPool(testBuffers)
		b, _ := pool.Open("w")
		failed := make(chan error, 1)
		go func() { failed <- b.Put(t.Context(), make([]byte, 1000)) }()
		synctest.Wait()
		b.Discard()
		if err := <-failed; !errors.Is(err, ErrDiscarded) {
			t.Fatalf("writer after discard: %v", err)
		}
		var open []*Buffer
		for range 8 {
			b, err := pool.Open("w")
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, b)
		}
		if _, err := pool.Open("w"); !errors.Is(err, ErrNoBufferSpace) {
			t.Fatalf("reserve beyond the workspace: %v", err)
		}
		_ = open[0].Put(t.Context(), []byte("ab"))
		open[0].Close(errTest)
		if chunk, err := open[0].Take(t.Context()); string(chunk) != "ab" || err != nil {
			t.Fatalf("chunk %q, %v", chunk, err)
		}
		if _, err := open[0].Take(t.Context()); !errors.Is(err, errTest) {
			t.Fatalf("end: %v", err)
		}
		for _, b := range open {
			b.Discard()
		}
		if pool.Used() != 0 {
			t.Fatalf("left over: %d bytes", pool.Used())
		}
	})
}
