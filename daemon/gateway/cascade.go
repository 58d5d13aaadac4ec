package gateway

import (
	"fmt"
	"slices"
	"time"

	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

const (
	// timelyConfidence is the confidence from which a small model's answer is kept
	// although the largest model's would come within the latency target.
	timelyConfidence = 50
	// lateConfidence is the same where the largest model's answer would be late and
	// so worth about a third.
	lateConfidence = 20
	// lateFactor times the remaining time is where an answer is certainly late.
	lateFactor = 1.5
	// answerFactor allows for estimates of an answer's length and pace that are low.
	answerFactor = 1.3
	// backlogScale is the reading time at the average server at which half the
	// confidence is enough.
	backlogScale = time.Second
	// cheapConfidence is added to the confidence that is asked for where the largest
	// model has nothing to read, and less the longer it reads, down to 0 at
	// cheapReading: the prompts of others wait for that time.
	cheapConfidence = 30
	cheapReading    = 800 * time.Millisecond
	// unknownAnswer is the number of events assumed where the caller states no length.
	unknownAnswer = 20
)

// firstModel chooses the model of the first attempt: the caller's, or the
// smallest of the route, whose answer is kept when it is confident.
func (g *Gateway) firstModel(x *requestState) {
	x.model = x.call.Model
	if n := len(x.route.Models); n > 0 {
		x.model = x.route.Models[g.ModelPolicy.index(n)]
	}
}

// ModelPolicy is how a model is chosen on routes that list several. All but Cascade
// are baselines for measurements.
type ModelPolicy uint8

// Policies of the choice of a model.
const (
	// Cascade asks the smallest model and keeps its answer when it is confident.
	Cascade ModelPolicy = iota
	Smallest
	Middle
	Largest
)

var modelPolicyNames = map[string]ModelPolicy{"cascade": Cascade, "smallest": Smallest, "middle": Middle, "largest": Largest}

// ParseModelPolicy returns the policy of a name.
func ParseModelPolicy(name string) (ModelPolicy, error) {
	if p, ok := modelPolicyNames[name]; ok {
		return p, nil
	}
	return 0, fmt.Errorf("choice of models: %q is not cascade, smallest, middle or largest", name)
}

// index returns the place of the first model to ask among n.
func (p ModelPolicy) index(n int) int {
	switch p {
	case Middle:
		return n / 2
	case Largest:
		return n - 1
	}
	return 0
}

// modelRank returns the model's place by size: 0 for the smallest, 1 for the
// largest or only one.
func modelRank(models []string, model string) float64 {
	i := slices.Index(models, model)
	if i < 0 || len(models) < 2 {
		return 1
	}
	return float64(i) / float64(len(models)-1)
}

// largest returns the largest model of a route that lists some.
func largest(route *topology.Route) string { return route.Models[len(route.Models)-1] }

// escalate decides whether the answer that has just begun is dropped for that of
// the largest model, and returns the server that has been chosen for it, or nil.
// Nothing of the answer was passed on yet; it is dropped only once another server
// is sure to take the request.
func (g *Gateway) escalate(a *attempt) *selection.Choice {
	if a.reply.Confidence >= 0 {
		a.confidences = append(a.confidences, a.reply.Confidence)
	}
	if !g.mayEscalate(a) || g.refresh(a.requestState) != nil {
		return nil
	}
	now := time.Now()
	request := g.selectionRequest(a.requestState, largest(a.route), nil)
	expected, ok := g.Chooser.Estimate(now, a.candidates, request)
	if !ok {
		return nil
	}
	confidence := enough(expected.FirstByte, a.answerTime(expected.EventInterval), a.route.LatencyTarget-now.Sub(a.began), a.deadline.Sub(now))
	confidence += cheapBonus(expected.Prefill, confidence)
	backlog := g.Chooser.Backlog(now, a.candidates, len(a.view.Routers))
	if a.reply.Confidence >= underLoad(backlog, confidence) || !a.dispatch.Budget.Take(now, len(a.view.Routers)) {
		return nil
	}
	choice, ok := g.Chooser.Choose(now, a.candidates, request)
	if !ok {
		return nil
	}
	return choice
}

// mayEscalate tells whether the answer of a smaller model may be dropped at all.
func (g *Gateway) mayEscalate(a *attempt) bool {
	if g.ModelPolicy != Cascade || len(a.route.Models) < 2 || a.model == largest(a.route) || a.started || !a.route.MayRepeat() {
		return false
	}
	return a.reply.Confidence >= 0 && a.dispatch.Attempts() < a.route.MaxAttempts
}

// cheapBonus returns what is added to a confidence that is enough where the largest
// model reads for a time. Nothing is added where its answer would pass the deadline.
func cheapBonus(reading time.Duration, confidence int) int {
	if reading >= cheapReading {
		return 0
	}
	return int(cheapConfidence * (1 - float64(reading)/float64(cheapReading)) * float64(confidence) / timelyConfidence)
}

// underLoad lowers the confidence from which an answer is kept by what escalation
// costs the other requests: a large model's prompts delay every stream beside them.
func underLoad(backlog time.Duration, confidence int) int {
	return int(float64(confidence) / (1 + float64(backlog)/float64(backlogScale)))
}

// answerTime estimates the time from the first to the last event of the answer.
func (x *requestState) answerTime(event time.Duration) time.Duration {
	events := unknownAnswer
	if x.call.AnswerTokens > 0 && x.service.EventTokens > 0 {
		events = x.call.AnswerTokens / x.service.EventTokens
	}
	return time.Duration(answerFactor * float64(events) * float64(event))
}

// enough returns the confidence from which an answer is kept, when the largest
// model's first byte is expected after a time and its last one an answer's time
// later, toTarget is left until the latency target and left until the deadline.
func enough(expected, answer, toTarget, left time.Duration) int {
	if expected+answer > left {
		return 0
	}
	if expected <= toTarget {
		return timelyConfidence
	}
	late := time.Duration(lateFactor * float64(toTarget))
	if expected >= late || toTarget <= 0 {
		return lateConfidence
	}
	part := float64(expected-toTarget) / float64(late-toTarget)
	return timelyConfidence - int(part*(timelyConfidence-lateConfidence))
}
