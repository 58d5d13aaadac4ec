package gateway

import (
	"time"

	"cactusknot.example/daemon/selection"
)

const (
	// slowFactor times the expected time until the first byte, plus slowMargin, is
	// where an answer counts as slow evidence on its version.
	slowFactor = 3
	slowMargin = 250 * time.Millisecond
)

// slow tells whether the first byte is later than it should be. A small model's
// answer can be several times slower and still within the latency target.
func (a *attempt) slow(now time.Time) bool {
	return now.Sub(a.sentAt) > slowFactor*a.choice.ExpectedFirstByte+slowMargin
}

// observe hands a sample of the attempt to the evidence on its version, once. It is
// taken as soon as the answer begins or is slow: samples at the end would miss the
// slow answers of a version for as long as they take.
func (g *Gateway) observe(a *attempt, sample Sample) {
	if a.sampled.Swap(true) {
		return
	}
	g.report(a, sample)
}

// observeEnd counts a failure, also after an answer that began well.
func (g *Gateway) observeEnd(a *attempt) {
	if a.lost {
		a.sampled.Store(true)
		g.losses.hold(time.Now(), a.target.ID, a.sample(Sample{Failed: true}))
		return
	}
	switch a.outcome {
	case selection.Failed, selection.Unreachable:
		a.sampled.Store(true)
		g.report(a, Sample{Failed: true})
	case selection.Succeeded:
		g.observe(a, Sample{})
	}
}

func (g *Gateway) report(a *attempt, sample Sample) { g.Observe(a.sample(sample)) }

// sample names the service and version of a sample.
func (a *attempt) sample(s Sample) Sample {
	s.Service, s.Version = a.service.Name, a.choice.Server.Version
	return s
}

// releaseLosses counts the broken connections of a server that has answered again.
func (g *Gateway) releaseLosses(a *attempt) {
	for _, sample := range g.losses.release(time.Now(), a.target.ID, a.sentAt) {
		g.Observe(sample)
	}
}
