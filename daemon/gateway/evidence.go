package gateway

import (
	"time"

	"cactusknot.example/daemon/selection"
)

const (
	// An answer counts as slow evidence on its version once its first byte takes longer
	// than slowFactor times the expected time plus slowMargin.
	slowFactor = 3
	slowMargin = 250 * time.Millisecond
)

// slow reports whether the first byte is later than expected. The latency target alone
// is not enough: a small model's answer can take several times the expected time and
// still meet it.
func (a *attempt) slow(now time.Time) bool {
	return now.Sub(a.sentAt) > slowFactor*a.choice.ExpectedFirstByte+slowMargin
}

// observe reports the attempt's sample once, as evidence on its version. It does so as
// soon as the answer begins or is slow: if samples were reported at the end of
// requests, a version's slow answers would be missing for as long as they take.
func (g *Gateway) observe(a *attempt, sample Sample) {
	if a.sampled.Swap(true) {
		return
	}
	g.report(a, sample)
}

// observeEnd reports the attempt's outcome. A failure is reported also after an answer
// that began well. A broken connection is held back until the server answers again.
func (g *Gateway) observeEnd(a *attempt) {
	if a.connectionLost {
		a.sampled.Store(true)
		g.pendingFailures.add(time.Now(), a.target.ID, a.sample(Sample{Failed: true}))
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

// sample adds the attempt's service and version to a sample.
func (a *attempt) sample(s Sample) Sample {
	s.Service, s.Version = a.service.Name, a.choice.Server.Version
	return s
}

// releasePendingFailures reports the broken connections to a server that has answered
// again.
func (g *Gateway) releasePendingFailures(a *attempt) {
	for _, sample := range g.pendingFailures.release(time.Now(), a.target.ID, a.sentAt) {
		g.Observe(sample)
	}
}
