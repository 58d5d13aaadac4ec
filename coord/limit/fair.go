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

var (
	// ErrWorkspaceFull is returned when the workspace's queue is full.
	ErrWorkspaceFull = errors.New("limit: the workspace has no capacity left")
	// ErrQueueFull is returned when the queue of the process is full.
	ErrQueueFull = errors.New("limit: the queue is full")
	// ErrDeadline is returned when the deadline can't be met.
	ErrDeadline = errors.New("limit: the deadline can't be met")
	// ErrInvalidShare is returned for a share or a capacity that is not usable.
	ErrInvalidShare = errors.New("limit: bad share or capacity")
)

// FairLimiterConfig bounds the requests of one process. All fields must be positive.
type FairLimiterConfig struct {
	// Capacity is the number of requests in progress.
	Capacity int
	// MaxQueue bounds the waiting requests of all workspaces.
	MaxQueue int
	// MaxQueuePerWorkspace bounds the waiting requests of one workspace.
	MaxQueuePerWorkspace int
	// MinServiceTime is the least time that a request needs after admission. A request
	// that would be admitted later than MinServiceTime before its deadline is refused.
	MinServiceTime time.Duration
}

// Share is the part of one workspace.
type Share struct {
	// Weight is the relative share when the process is full; at least 1.
	Weight int
	// Max bounds the workspace's requests in progress; 0 means the capacity.
	Max int
}

// FairLimiter admits requests by workspace. While there is room, each workspace gets
// what it asks for up to its maximum. When the process is full, a freed place
// goes to the waiting workspace with the fewest requests in progress for its
// weight; a workspace with none in progress comes first, so none starves. It is
// safe for concurrent use; calls take O(log n) for n waiting workspaces.
type FairLimiter struct {
	clock clock.Clock
	cfg   FairLimiterConfig

	mu         sync.Mutex
	workspaces map[string]*workspace
	waiting    waitHeap
	// weights is the sum of the weights of workspaces with requests.
	weights int
	running int
	queued  int
	// pass is the largest pass of a granted workspace; see workspace.pass.
	pass float64
	// holdSeconds is the smoothed time for which a place is held.
	holdSeconds float64
}

type workspace struct {
	share   Share
	running int
	queue   *list.List
	// pass grows by 1/weight with each grant and orders workspaces with equal use
	// (stride scheduling).
	pass float64
	// index is the position in the heap, -1 when absent.
	index int
	// active counts running and waiting requests; workspaces without any are
	// dropped, so that memory is bounded by the requests.
	active int
	name   string
}

type waiter struct {
	deadline time.Time
	granted  chan error
}

// NewFairLimiter returns a Fair without requests.
func NewFairLimiter(cfg FairLimiterConfig, c clock.Clock) (*FairLimiter, error) {
	if cfg.Capacity <= 0 || cfg.MaxQueue <= 0 || cfg.MaxQueuePerWorkspace <= 0 || cfg.MinServiceTime < 0 {
		return nil, ErrInvalidShare
	}
	return &FairLimiter{clock: c, cfg: cfg, workspaces: make(map[string]*workspace)}, nil
}

// Acquire takes a place for the workspace, waiting until deadline or until ctx
// ends. On success the caller calls release once; further calls do nothing. The
// errors are ErrWorkspaceFull, ErrQueueFull, ErrDeadline and ctx.Err(). A share
// takes effect with the workspace's next request after it was idle.
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
	w := f.enter(name, share)
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
	return f.await(ctx, w, wait, element)
}

func (f *FairLimiter) await(ctx context.Context, w *workspace, wait *waiter, element *list.Element) (func(), error) {
	limit := wait.deadline.Add(-f.cfg.MinServiceTime).Sub(f.clock.Now())
	timer, stop := context.WithCancel(ctx)
	defer stop()
	expired := make(chan struct{})
	go func() {
		if f.clock.Sleep(timer, limit) == nil {
			close(expired)
		}
	}()
	var cause error
	select {
	case err := <-wait.granted:
		return f.outcome(w, err)
	case <-ctx.Done():
		cause = ctx.Err()
	case <-expired:
		cause = ErrDeadline
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case err := <-wait.granted:
		// The grant won the race; the place is given back.
		if err == nil {
			f.free(w)
		}
	default:
		f.dequeue(w, element)
		f.leave(w)
	}
	return nil, cause
}

func (f *FairLimiter) outcome(w *workspace, err error) (func(), error) {
	if err != nil {
		return nil, err
	}
	return f.releaseFunc(w, f.clock.Now()), nil
}

// enqueue refuses early what can't be admitted in time.
func (f *FairLimiter) enqueue(w *workspace, now, deadline time.Time) (*waiter, *list.Element, error) {
	err := f.refuse(w, now, deadline)
	if err != nil {
		f.leave(w)
		return nil, nil, err
	}
	wait := &waiter{deadline: deadline, granted: make(chan error, 1)}
	element := w.queue.PushBack(wait)
	f.queued++
	f.reorder(w)
	return wait, element, nil
}

func (f *FairLimiter) refuse(w *workspace, now, deadline time.Time) error {
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

// expectedWait estimates the wait of a request at the end of w's queue: its share
// of places turns over once in the smoothed hold time.
func (f *FairLimiter) expectedWait(w *workspace) time.Duration {
	places := float64(f.cfg.Capacity*w.share.Weight) / float64(max(f.weights, 1))
	places = min(max(places, 1), float64(w.max(f.cfg)))
	turns := float64(w.queue.Len()+1) / places
	return time.Duration(turns * f.holdSeconds * float64(time.Second))
}

func (f *FairLimiter) releaseFunc(w *workspace, since time.Time) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.observeHold(f.clock.Now().Sub(since))
			f.free(w)
		})
	}
}

func (f *FairLimiter) observeHold(d time.Duration) {
	const weight = 0.1
	if f.holdSeconds == 0 {
		f.holdSeconds = d.Seconds()
		return
	}
	f.holdSeconds += weight * (d.Seconds() - f.holdSeconds)
}

// free gives back a place of w and hands it on.
func (f *FairLimiter) free(w *workspace) {
	f.running--
	w.running--
	f.reorder(w)
	f.leave(w)
	f.dispatch()
}

// dispatch grants free places to waiting workspaces.
func (f *FairLimiter) dispatch() {
	for f.running < f.cfg.Capacity && f.waiting.Len() > 0 {
		w := f.waiting[0]
		element := w.queue.Front()
		wait := element.Value.(*waiter)
		f.dequeue(w, element)
		if f.clock.Now().Add(f.cfg.MinServiceTime).After(wait.deadline) {
			wait.granted <- ErrDeadline
			f.leave(w)
			continue
		}
		f.grant(w)
		wait.granted <- nil
	}
}

func (f *FairLimiter) grant(w *workspace) {
	f.running++
	w.running++
	w.pass = max(w.pass, f.pass)
	f.pass = w.pass
	w.pass += 1 / float64(w.share.Weight)
	f.reorder(w)
}

func (f *FairLimiter) dequeue(w *workspace, element *list.Element) {
	w.queue.Remove(element)
	f.queued--
	f.reorder(w)
}

// enter returns the workspace, created on its first request.
func (f *FairLimiter) enter(name string, share Share) *workspace {
	w := f.workspaces[name]
	if w == nil {
		// A workspace that comes back starts behind those that wait: with f.pass, a few
		// workspaces that are briefly idle between requests would always go first.
		pass := f.pass + 1/float64(share.Weight)
		w = &workspace{name: name, share: share, queue: list.New(), index: -1, pass: pass}
		f.workspaces[name] = w
		f.weights += share.Weight
	}
	w.active++
	return w
}

func (f *FairLimiter) leave(w *workspace) {
	w.active--
	if w.active > 0 {
		return
	}
	delete(f.workspaces, w.name)
	f.weights -= w.share.Weight
}

// reorder puts w where it belongs in the heap of workspaces that wait and are
// under their maximum.
func (f *FairLimiter) reorder(w *workspace) {
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

// Usage returns the requests in progress and waiting.
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

// before orders workspaces by use for their weight, then by pass.
func (w *workspace) before(other *workspace) bool {
	mine := w.running * other.share.Weight
	theirs := other.running * w.share.Weight
	if mine != theirs {
		return mine < theirs
	}
	return w.pass < other.pass
}

// waitHeap is a heap of waiting workspaces, the next one first.
type waitHeap []*workspace

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }

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
