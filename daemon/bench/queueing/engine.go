package queueing

import (
	"slices"
	"time"
)

// engine is one backend server with continuous batching.
type engine struct {
	loop  *loop
	model EngineModel
	// slow is a constant factor on all steps; 1 is normal.
	slow float64
	up   bool
	// epoch grows with each stop, to drop events of an earlier run.
	epoch       int
	completions int
	waiting     []*sequence
	batch       []*sequence
	stepping    bool
	// prefixes is the prefix cache, the latest used one last.
	prefixes []uint64
	// fellOver is called when the engine held more than it can.
	fellOver func()
}

// sequence is one request within an engine.
type sequence struct {
	lengths   lengths
	prefill   int
	cached    int
	left      int
	cancelled bool
	first     func(cached int)
	done      func()
	failed    func()
}

func (e *engine) held() int { return len(e.waiting) + len(e.batch) }

// capacity is the number of requests above which the engine falls over.
func (e *engine) capacity() int {
	return min(e.model.ColdHeld+e.completions, e.model.MaxHeld)
}

func (e *engine) slowdown() float64 {
	warm := min(float64(e.completions)/float64(e.model.ColdCompletions), 1)
	return e.slow * (e.model.ColdSlowdown - (e.model.ColdSlowdown-1)*warm)
}

// begin starts the engine cold.
func (e *engine) begin() {
	e.up = true
	e.completions = 0
	e.prefixes = nil
}

// stop ends the engine; all held requests fail.
func (e *engine) stop() {
	e.up = false
	e.epoch++
	e.stepping = false
	held := append(e.batch, e.waiting...)
	e.batch, e.waiting = nil, nil
	for _, s := range held {
		if !s.cancelled {
			s.failed()
		}
	}
}

func (e *engine) submit(s *sequence) {
	e.waiting = append(e.waiting, s)
	if e.held() > e.capacity() {
		e.stop()
		e.fellOver()
		return
	}
	if !e.stepping {
		e.step()
	}
}

// step runs one step of the batch.
func (e *engine) step() {
	e.dropCancelled()
	e.fill()
	e.stepping = len(e.batch) > 0
	if !e.stepping {
		return
	}
	duration, decoding := e.plan()
	epoch := e.epoch
	e.loop.after(duration, func() {
		if e.epoch == epoch {
			e.finish(decoding)
		}
	})
}

func (e *engine) dropCancelled() {
	gone := func(s *sequence) bool { return s.cancelled }
	e.batch = slices.DeleteFunc(e.batch, gone)
	e.waiting = slices.DeleteFunc(e.waiting, gone)
}

func (e *engine) fill() {
	for len(e.waiting) > 0 && len(e.batch) < e.model.BatchLimit {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.cached = e.lookup(s.lengths)
		s.prefill = s.lengths.prompt - s.cached
		s.left = s.lengths.answer
		e.batch = append(e.batch, s)
	}
}

// lookup returns the cached tokens of the prompt and stores its prefix.
func (e *engine) lookup(l lengths) int {
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

// plan spends the step's prefill budget and returns the duration and the
// sequences that get a token in this step.
func (e *engine) plan() (time.Duration, []*sequence) {
	budget := e.model.PrefillPerStep
	spent := 0
	decoding := make([]*sequence, 0, len(e.batch))
	for _, s := range e.batch {
		n := min(s.prefill, budget-spent)
		s.prefill -= n
		spent += n
		if s.prefill == 0 {
			decoding = append(decoding, s)
		}
	}
	duration := e.model.BaseStep +
		time.Duration(len(decoding))*e.model.StepPerSequence +
		time.Duration(spent)*e.model.StepPerPrefillToken
	return time.Duration(float64(duration) * e.slowdown()), decoding
}

func (e *engine) finish(decoding []*sequence) {
	for _, s := range decoding {
		if s.cancelled {
			continue
		}
		if s.left == s.lengths.answer {
			s.first(s.cached)
		}
		s.left--
		if s.left == 0 {
			e.completions++
			e.batch = slices.DeleteFunc(e.batch, func(o *sequence) bool { return o == s })
			s.done()
		}
	}
	e.step()
}

// Capacity measures the completed requests per second of one warm engine that
// always holds held requests.
func Capacity(model EngineModel, w Workload, held int, seed uint64) float64 {
	const warmUp, measured = 60 * time.Second, 300 * time.Second
	l := newLoop()
	e := &engine{loop: l, model: model, slow: 1, up: true, completions: model.MaxHeld + model.ColdCompletions}
	e.fellOver = func() {}
	g := newGenerator(w, newRandom(seed, 0))
	count := 0
	var submit func()
	submit = func() {
		e.submit(&sequence{
			lengths: g.next(),
			first:   func(int) {},
			failed:  func() {},
			done: func() {
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
