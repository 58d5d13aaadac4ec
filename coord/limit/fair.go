package limit

import (
	"container/heap"
	"container/list"
	"context"
	"errors"
	"sync"
	"time"

	"cactusknot.example/coord/clock"
)

// Errors of admission. The router sends their texts to callers.
var (
	// ErrWorkspaceFull is returned when the queue of the workspace is full.
	ErrWorkspaceFull = errors.New("limit: the workspace has no capacity left")
	// ErrQueueFull is returned when the queue of the process is full.
	ErrQueueFull = errors.New("limit: the queue is full")
	// ErrDeadline is returned when the request can't be admitted in time for its
	// deadline.
	ErrDeadline = errors.New("limit: the deadline can't be met")
	// ErrInvalidShare is returned for a Share or a FairLimiterConfig with a value out
	// of range.
	ErrInvalidShare = errors.New("limit: bad share or capacity")
)

// FairLimiterConfig bounds the requests of one process. MinServiceTime may be zero;
// the other fields must be positive.
type FairLimiterConfig struct {
	// Capacity bounds the requests in progress.
	Capacity int
	// MaxQueue bounds the waiting requests of all workspaces.
	MaxQueue int
	// MaxQueuePerWorkspace bounds the waiting requests of one workspace.
	MaxQueuePerWorkspace int
	// MinServiceTime is the shortest time that a request needs after admission. A
	// request that can't be admitted this long before its deadline is refused.
	MinServiceTime time.Duration
}

// Share is the share of one workspace in the capacity.
type Share struct {
	// Weight is the relative share while the capacity is exhausted; at least 1.
	Weight int
	// Max bounds the workspace's requests in progress; 0 means the capacity.
	Max int
}

// FairLimiter limits the requests in progress and shares the capacity between
// workspaces by weight. While capacity is free, each workspace gets what it asks for
// up to its maximum. Otherwise, a freed slot goes to the waiting workspace with the
// fewest requests in progress relative to its weight. A workspace with none in
// progress comes first, so none starves. FairLimiter is safe for concurrent use; calls
// take O(log n) for n waiting workspaces.
type FairLimiter struct {
	clock clock.Clock
	cfg   FairLimiterConfig

	mu         sync.Mutex
	workspaces map[string]*workspace
	waiting    waitHeap
	// weights is the sum of the weights of the workspaces that have requests.
	weights int
	running int
	queued  int
	// pass is the pass value of the latest grant; see workspace.pass.
	pass float64
	// holdSeconds is the smoothed time for which a request holds its slot.
	holdSeconds float64
}

type workspace struct {
	share   Share
	running int
	queue   *list.List
	// pass is the pass value of stride scheduling. It grows by 1/weight with each grant
	// and orders workspaces with equal use relative to their weight.
	pass float64
	// index is the position in the heap, or -1 if the workspace is not in it.
	index int
	// active counts the running and waiting requests. A workspace without any is
	// dropped, so the number of requests bounds the memory.
	active int
	name   string
}

type waiter struct {
	deadline time.Time
	granted  chan error
}

// NewFairLimiter returns a FairLimiter without requests.
func NewFairLimiter(cfg FairLimiterConfig, c clock.Clock) (*FairLimiter, error) {
	if cfg.Capacity <= 0 || cfg.MaxQueue <= 0 || cfg.MaxQueuePerWorkspace <= 0 || cfg.MinServiceTime < 0 {
		return nil, ErrInvalidShare
	}
	return &FairLimiter{clock: c, cfg: cfg, workspaces: make(map[string]*workspace)}, nil
}

// Acquire takes a slot for a request of the named workspace. If none is free, it waits
// until ctx ends or the deadline can no longer be met. On success, the caller must call
// release; only its first call has an effect. The errors are ErrInvalidShare,
// ErrWorkspaceFull, ErrQueueFull, ErrDeadline and ctx.Err(). A changed share takes
// effect once the workspace has had no requests.
func (f *FairLimiter) Acquire(ctx context.Context, name string, share Share, deadline time.Time) (release func(), err error) {
	if share.Weight < 1 || share.Max < 0 {
		return nil, ErrInvalidShare
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	now := f.clock.Now()
	if now.Add(f.cfg.MinServiceTime).After(deadline) {
		f.mu.Unlock()
		return nil, ErrDeadline
	}
	w := f.addRequest(name, share)
	if f.running < f.cfg.Capacity && w.queue.Len() == 0 && w.running < w.max(f.cfg) {
		f.grant(w)
		f.mu.Unlock()
		return f.releaseFunc(w, now), nil
	}
	wait, element, err := f.enqueue(w, now, deadline)
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return f.waitForGrant(ctx, w, wait, element)
}

// waitForGrant waits until the request gets a slot, its deadline can no longer be met, or
// ctx ends.
func (f *FairLimiter) waitForGrant(ctx context.Context, w *workspace, wait *waiter, element *list.Element) (func(), error) {
	timeout := wait.deadline.Add(-f.cfg.MinServiceTime).Sub(f.clock.Now())
	timer, stop := context.WithCancel(ctx)
	defer stop()
	expired := make(chan struct{})
	go func() {
		if f.clock.Sleep(timer, timeout) == nil {
			close(expired)
		}
	}()
	var cause error
	select {
	case err := <-wait.granted:
		return f.grantResult(w, err)
	case <-ctx.Done():
		cause = ctx.Err()
	case <-expired:
		cause = ErrDeadline
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case err := <-wait.granted:
		// The slot was granted at the same time; release it.
		if err == nil {
			f.releaseSlot(w)
		}
	default:
		f.dequeue(w, element)
		f.removeRequest(w)
	}
	return nil, cause
}

func (f *FairLimiter) grantResult(w *workspace, err error) (func(), error) {
	if err != nil {
		return nil, err
	}
	return f.releaseFunc(w, f.clock.Now()), nil
}

// enqueue adds a request to the queue of its workspace. It refuses a request that is
// not expected to be admitted in time.
func (f *FairLimiter) enqueue(w *workspace, now, deadline time.Time) (*waiter, *list.Element, error) {
	err := f.checkQueue(w, now, deadline)
	if err != nil {
		f.removeRequest(w)
		return nil, nil, err
	}
	wait := &waiter{deadline: deadline, granted: make(chan error, 1)}
	element := w.queue.PushBack(wait)
	f.queued++
	f.updateHeap(w)
	return wait, element, nil
}

func (f *FairLimiter) checkQueue(w *workspace, now, deadline time.Time) error {
	switch {
	case w.queue.Len() >= f.cfg.MaxQueuePerWorkspace:
		return ErrWorkspaceFull
	case f.queued >= f.cfg.MaxQueue:
		return ErrQueueFull
	case now.Add(f.expectedWait(w) + f.cfg.MinServiceTime).After(deadline):
		return ErrDeadline
	}
	return nil
}

// expectedWait estimates the waiting time of a request at the end of w's queue. It
// assumes that w has its weighted share of the slots, and that each slot is released
// once per smoothed hold time.
func (f *FairLimiter) expectedWait(w *workspace) time.Duration {
	slots := float64(f.cfg.Capacity*w.share.Weight) / float64(max(f.weights, 1))
	slots = min(max(slots, 1), float64(w.max(f.cfg)))
	rounds := float64(w.queue.Len()+1) / slots
	return time.Duration(rounds * f.holdSeconds * float64(time.Second))
}

// releaseFunc returns the function that releases a slot granted at the time since.
func (f *FairLimiter) releaseFunc(w *workspace, since time.Time) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.recordHoldTime(f.clock.Now().Sub(since))
			f.releaseSlot(w)
		})
	}
}

func (f *FairLimiter) recordHoldTime(d time.Duration) {
	const weight = 0.1
	if f.holdSeconds == 0 {
		f.holdSeconds = d.Seconds()
		return
	}
	f.holdSeconds += weight * (d.Seconds() - f.holdSeconds)
}

// releaseSlot releases a slot of w and grants it to a waiting request.
func (f *FairLimiter) releaseSlot(w *workspace) {
	f.running--
	w.running--
	f.updateHeap(w)
	f.removeRequest(w)
	f.dispatch()
}

// dispatch grants free slots to waiting requests.
func (f *FairLimiter) dispatch() {
	for f.running < f.cfg.Capacity && f.waiting.Len() > 0 {
		w := f.waiting[0]
		element := w.queue.Front()
		wait := element.Value.(*waiter)
		f.dequeue(w, element)
		if f.clock.Now().Add(f.cfg.MinServiceTime).After(wait.deadline) {
			wait.granted <- ErrDeadline
			f.removeRequest(w)
			continue
		}
		f.grant(w)
		wait.granted <- nil
	}
}

// grant gives w a slot and advances its pass value by one stride.
func (f *FairLimiter) grant(w *workspace) {
	f.running++
	w.running++
	w.pass = max(w.pass, f.pass)
	f.pass = w.pass
	w.pass += 1 / float64(w.share.Weight)
	f.updateHeap(w)
}

func (f *FairLimiter) dequeue(w *workspace, element *list.Element) {
	w.queue.Remove(element)
	f.queued--
	f.updateHeap(w)
}

// addRequest counts a request of the workspace, which it creates if necessary.
func (f *FairLimiter) addRequest(name string, share Share) *workspace {
	w := f.workspaces[name]
	if w == nil {
		// A returning workspace starts one stride after the latest grant. If it started
		// at f.pass, workspaces that are idle for a moment between requests would always
		// be served first.
		pass := f.pass + 1/float64(share.Weight)
		w = &workspace{name: name, share: share, queue: list.New(), index: -1, pass: pass}
		f.workspaces[name] = w
		f.weights += share.Weight
	}
	w.active++
	return w
}

// removeRequest ends the counting of a request. It drops a workspace that has no more
// requests.
func (f *FairLimiter) removeRequest(w *workspace) {
	w.active--
	if w.active > 0 {
		return
	}
	delete(f.workspaces, w.name)
	f.weights -= w.share.Weight
}

// updateHeap restores the position of w in the heap, which holds the workspaces that
// have waiting requests and are below their maximum.
func (f *FairLimiter) updateHeap(w *workspace) {
	eligible := w.queue.Len() > 0 && w.running < w.max(f.cfg)
	switch {
	case eligible && w.index < 0:
		heap.Push(&f.waiting, w)
	case eligible:
		heap.Fix(&f.waiting, w.index)
	case w.index >= 0:
		heap.Remove(&f.waiting, w.index)
	}
}

// Usage returns the numbers of requests in progress and waiting.
func (f *FairLimiter) Usage() (running, queued int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running, f.queued
}

func (w *workspace) max(cfg FairLimiterConfig) int {
	if w.share.Max == 0 {
		return cfg.Capacity
	}
	return w.share.Max
}

// less orders workspaces by requests in progress relative to weight, then by pass.
func (w *workspace) less(other *workspace) bool {
	mine := w.running * other.share.Weight
	theirs := other.running * w.share.Weight
	if mine != theirs {
		return mine < theirs
	}
	return w.pass < other.pass
}

// waitHeap is a heap of waiting workspaces, the next one to be served first.
type waitHeap []*workspace

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].less(h[j]) }

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w := x.(*workspace)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	w.index = -1
	return w
}
