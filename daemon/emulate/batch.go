package emulate

import (
	"context"
	"sort"
	"time"
)

// sequence is one request that is waiting or running in the engine.
type sequence struct {
	model    EngineModel
	priority int
	arrival  uint64
	// prefill is the number of prompt tokens still to process.
	prefill int
	tokens  []string
	next    int
	// out carries the generated tokens. It is closed when the sequence completes
	// or is cancelled.
	out   chan string
	ended bool
}

func (s *sequence) end() {
	if !s.ended {
		s.ended = true
		close(s.out)
	}
}

// paused reports whether the output buffer is full, in which case the sequence
// generates no tokens.
func (s *sequence) paused() bool { return len(s.out) == cap(s.out) }

// submit adds a sequence to the waiting queue. It returns the current epoch, and
// false when the sequence takes the engine over its request limit.
func (e *Engine) submit(s *sequence) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		s.end()
		return e.epoch, true
	}
	e.arrivals++
	s.arrival = e.arrivals
	e.totals.Accepted++
	e.waiting = append(e.waiting, s)
	held := len(e.waiting) + len(e.running)
	e.totals.MaxHeld = max(e.totals.MaxHeld, held)
	if limit := e.requestLimitLocked(); held > limit {
		e.totals.Overloads++
		e.requests.addOverload(held, limit)
		return e.epoch, false
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return e.epoch, true
}

// cancel removes a sequence whose connection has closed.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended {
		return
	}
	e.totals.Cancelled++
	s.end()
	e.removeEndedLocked()
}

// removeEndedLocked removes ended sequences from the batch and the queue.
func (e *Engine) removeEndedLocked() {
	e.running = withoutEnded(e.running)
	e.waiting = withoutEnded(e.waiting)
}

func withoutEnded(sequences []*sequence) []*sequence {
	kept := sequences[:0]
	for _, s := range sequences {
		if !s.ended {
			kept = append(kept, s)
		}
	}
	clear(sequences[len(kept):])
	return kept
}

// batchLoop runs batch steps until ctx is done.
func (e *Engine) batchLoop(ctx context.Context) {
	defer e.done.Done()
	due := time.Now()
	for ctx.Err() == nil {
		step, work := e.beginStep()
		if !work {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			due = time.Now()
			continue
		}
		// Each step is due relative to the previous one, so that timer inaccuracy
		// does not accumulate. A step that is late by more than its own duration
		// restarts the schedule.
		due = due.Add(step)
		if err := sleep(ctx, time.Until(due)); err != nil {
			return
		}
		if !e.server.ioGate.wait(ctx.Done()) {
			return
		}
		if late := time.Since(due); late > step {
			due = time.Now()
		}
		e.endStep()
	}
}

// beginStep fills the batch and returns the duration of the next step; it
// reports false when the engine is idle.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fillBatchLocked()
	if len(e.running) == 0 {
		return 0, false
	}
	cost, requests := 0.0, 0.0
	budget, prefill := e.cfg.PrefillChunk, 0.0
	for _, s := range e.running {
		cost = max(cost, s.model.Cost)
		requests += s.model.Cost
		part := min(budget, s.prefill)
		budget -= part
		prefill += float64(part) * s.model.Cost
	}
	t := e.cfg.StepUs*cost + e.cfg.StepPerRequestUs*requests + e.cfg.PrefillUs*prefill
	t *= 1 + (e.cfg.ColdFactor-1)*e.coldFractionLocked()
	return microseconds(t * e.faults.slowFactor), true
}

// fillBatchLocked moves waiting requests into the batch, ordered by priority (the
// lowest number first) and then by arrival.
func (e *Engine) fillBatchLocked() {
	free := e.cfg.BatchLimit - len(e.running)
	if free <= 0 || len(e.waiting) == 0 {
		return
	}
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return a.arrival < b.arrival
	})
	n := min(free, len(e.waiting))
	e.running = append(e.running, e.waiting[:n]...)
	rest := copy(e.waiting, e.waiting[n:])
	clear(e.waiting[rest:])
	e.waiting = e.waiting[:rest]
}

// endStep completes a step: it processes prompt tokens and generates one token for
// each request whose prompt has been processed.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	budget := e.cfg.PrefillChunk
	for _, s := range e.running {
		part := min(budget, s.prefill)
		budget -= part
		s.prefill -= part
		if s.prefill == 0 && !s.paused() {
			e.emitLocked(s)
		}
	}
	e.removeEndedLocked()
}

func (e *Engine) emitLocked(s *sequence) {
	s.out <- s.tokens[s.next]
	s.next++
	e.totals.TokensOut++
	if s.next < len(s.tokens) {
		return
	}
	s.end()
	e.totals.Completed++
	e.totals.Served[s.model.ID]++
	e.warmupCompletions = min(e.warmupCompletions+1, e.cfg.WarmCompletions)
}
