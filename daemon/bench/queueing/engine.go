package queueing

import (
	"slices"
	"time"
)

// engine simulates a backend server with continuous batching.
type engine struct {
	loop  *loop
	model EngineModel
	// slowFactor multiplies the duration of all steps; 1 is normal speed.
	slowFactor float64
	up         bool
	// epoch increases with each stop, so that step events from before the stop are
	// ignored.
	epoch       int
	completions int
	waiting     []*sequence
	batch       []*sequence
	stepping    bool
	// prefixes is the prefix cache with the most recently used prefix last.
	prefixes []uint64
	// onOverloadCrash is called after the engine has stopped because it held more
	// requests than its capacity.
	onOverloadCrash func()
}

// sequence is one request within an engine.
type sequence struct {
	lengths          lengths
	prefillRemaining int
	cached           int
	answerRemaining  int
	cancelled        bool
	onFirstToken     func(cached int)
	onDone           func()
	onFailed         func()
}

func (e *engine) held() int { return len(e.waiting) + len(e.batch) }

// capacity returns the number of held requests above which the engine crashes.
func (e *engine) capacity() int {
	return min(e.model.ColdHeld+e.completions, e.model.MaxHeld)
}

func (e *engine) slowdown() float64 {
	warm := min(float64(e.completions)/float64(e.model.ColdCompletions), 1)
	return e.slowFactor * (e.model.ColdSlowdown - (e.model.ColdSlowdown-1)*warm)
}

// start starts the engine cold and with an empty prefix cache.
func (e *engine) start() {
	e.up = true
	e.completions = 0
	e.prefixes = nil
}

// stop stops the engine and fails all held requests.
func (e *engine) stop() {
	e.up = false
	e.epoch++
	e.stepping = false
	held := append(e.batch, e.waiting...)
	e.batch, e.waiting = nil, nil
	for _, s := range held {
		if !s.cancelled {
			s.onFailed()
		}
	}
}

func (e *engine) submit(s *sequence) {
	e.waiting = append(e.waiting, s)
	if e.held() > e.capacity() {
		e.stop()
		e.onOverloadCrash()
		return
	}
	if !e.stepping {
		e.step()
	}
}

// step starts the next step of the batch and schedules its end.
func (e *engine) step() {
	e.dropCancelled()
	e.fillBatch()
	e.stepping = len(e.batch) > 0
	if !e.stepping {
		return
	}
	duration, decoding := e.planStep()
	epoch := e.epoch
	e.loop.after(duration, func() {
		if e.epoch == epoch {
			e.finishStep(decoding)
		}
	})
}

func (e *engine) dropCancelled() {
	gone := func(s *sequence) bool { return s.cancelled }
	e.batch = slices.DeleteFunc(e.batch, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
}

func (e *engine) fillBatch() {
	for len(e.waiting) > 0 && len(e.batch) < e.model.BatchLimit {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.cached = e.lookupPrefix(s.lengths)
		s.prefillRemaining = s.lengths.prompt - s.cached
		s.answerRemaining = s.lengths.answer
		e.batch = append(e.batch, s)
	}
}

// lookupPrefix returns the number of cached prompt tokens and adds the prefix to
// the cache.
func (e *engine) lookupPrefix(l lengths) int {
	at := slices.Index(e.prefixes, l.prefix)
	if at >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, at, at+1), l.prefix)
		return min(DefaultWorkload().PrefixTokens, l.prompt)
	}
	e.prefixes = append(e.prefixes, l.prefix)
	if len(e.prefixes) > e.model.PrefixCapacity {
		e.prefixes = e.prefixes[1:]
	}
	return 0
}

// planStep assigns the prefill budget of a step to the sequences. It returns the
// duration of the step and the sequences that generate a token in it.
func (e *engine) planStep() (time.Duration, []*sequence) {
	budget := e.model.PrefillPerStep
	spent := 0
	decoding := make([]*sequence, 0, len(e.batch))
	for _, s := range e.batch {
		n := min(s.prefillRemaining, budget-spent)
		s.prefillRemaining -= n
		spent += n
		if s.prefillRemaining == 0 {
			decoding = append(decoding, s)
		}
	}
	duration := e.model.BaseStep +
		time.Duration(len(decoding))*e.model.StepPerSequence +
		time.Duration(spent)*e.model.StepPerPrefillToken
	return time.Duration(float64(duration) * e.slowdown()), decoding
}

func (e *engine) finishStep(decoding []*sequence) {
	for _, s := range decoding {
		if s.cancelled {
			continue
		}
		if s.answerRemaining == s.lengths.answer {
			s.onFirstToken(s.cached)
		}
		s.answerRemaining--
		if s.answerRemaining == 0 {
			e.completions++
			e.batch = slices.DeleteFunc(e.batch, func(o *sequence) bool { return o == s })
			s.onDone()
		}
	}
	e.step()
}

// Capacity returns the completed requests per second of one warm engine under a
// constant number of held requests.
func Capacity(model EngineModel, w Workload, held int, seed uint64) float64 {
	const warmUp, measured = 60 * time.Second, 300 * time.Second
	l := newLoop()
	e := &engine{loop: l, model: model, slowFactor: 1, up: true, completions: model.MaxHeld + model.ColdCompletions}
	e.onOverloadCrash = func() {}
	g := newGenerator(w, newRandom(seed, 0))
	count := 0
	var submit func()
	submit = func() {
		e.submit(&sequence{
			lengths:      g.next(),
			onFirstToken: func(int) {},
			onFailed:     func() {},
			onDone: func() {
				if l.now > warmUp {
					count++
				}
				l.after(0, submit)
			},
		})
	}
	for range held {
		l.after(0, submit)
	}
	l.runUntil(warmUp + measured)
	return float64(count) / measured.Seconds()
}
