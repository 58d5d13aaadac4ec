package queueing

import (
	"container/heap"
	"time"

	"cactusknot.example/coord/clock"
)

// loop is the event loop of the simulation. Events at the same time run in the
// order in which they were added, so that a run depends only on its seed.
type loop struct {
	clock  *clock.Manual
	start  time.Time
	now    time.Duration
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

func newLoop() *loop {
	start := time.Unix(0, 0)
	return &loop{clock: clock.NewManual(start), start: start}
}

// currentTime returns the simulated time as a time.Time.
func (l *loop) currentTime() time.Time { return l.start.Add(l.now) }

func (l *loop) after(d time.Duration, run func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + d, seq: l.seq, run: run})
}

// runUntil runs all events up to and including end.
func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.clock.Advance(e.at - l.now)
		l.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return e
}
