package gateway

import (
	"fmt"
	"math"
	"slices"
	"time"

	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

const (
	// onTimeThreshold is the confidence from which a small model's answer is kept
	// although the largest model's answer would meet the latency target.
	onTimeThreshold = 50
	// DefaultLateAnswerValue is the value of an answer after the latency target, as a
	// fraction of a timely one's. For some customers it is a tenth, for others a half.
	DefaultLateAnswerValue = 0.3
	// defaultLateThreshold is the confidence from which a small model's answer is kept if
	// the largest model's answer would be late and has the default value.
	defaultLateThreshold = 20
	// An answer whose first byte is expected after lateTargetFactor times the time left
	// to the latency target counts as certainly late.
	lateTargetFactor = 1.5
	// answerTimeMargin scales the expected number of events, as estimates of an answer's
	// length and pace can be low.
	answerTimeMargin = 1.3
	// backlogHalvingTime is the average prefill backlog of the servers at which the
	// confidence threshold is halved.
	backlogHalvingTime = time.Second
	// maxShortPromptBonus is added to the confidence threshold if the largest model has
	// nothing to prefill. The bonus falls linearly to 0 at a prefill time of
	// maxShortPromptTime, because other requests' prompts wait during that time.
	maxShortPromptBonus = 30
	maxShortPromptTime  = 800 * time.Millisecond
	// defaultAnswerEvents is the number of events assumed if the caller states no
	// answer length.
	defaultAnswerEvents = 20
)

// chooseFirstModel sets the model of the first attempt: the caller's, or on a route
// that lists models the one that the model policy starts with.
func (g *Gateway) chooseFirstModel(x *requestState) {
	x.model = x.call.Model
	if n := len(x.route.Models); n > 0 {
		x.model = x.route.Models[g.ModelPolicy.startIndex(n)]
	}
}

// ModelPolicy is how a model is chosen on routes that list several. All policies but
// Cascade are baselines for measurements.
type ModelPolicy uint8

// Model policies.
const (
	// Cascade asks the smallest model first and keeps its answer if the model is
	// confident enough.
	Cascade ModelPolicy = iota
	// SmallestModel, MiddleModel and LargestModel always use that model of the route.
	SmallestModel
	MiddleModel
	LargestModel
)

var modelPolicyNames = map[string]ModelPolicy{"cascade": Cascade, "smallest": SmallestModel, "middle": MiddleModel, "largest": LargestModel}

// ParseModelPolicy returns the policy with the given name.
func ParseModelPolicy(name string) (ModelPolicy, error) {
	if p, ok := modelPolicyNames[name]; ok {
		return p, nil
	}
	return 0, fmt.Errorf("model policy: %q is not cascade, smallest, middle or largest", name)
}

// startIndex returns the index of the first model to ask among n models.
func (p ModelPolicy) startIndex(n int) int {
	switch p {
	case MiddleModel:
		return n / 2
	case LargestModel:
		return n - 1
	}
	return 0
}

// modelRank returns the model's relative position by size: 0 for the smallest, 1 for
// the largest or only one.
func modelRank(models []string, model string) float64 {
	i := slices.Index(models, model)
	if i < 0 || len(models) < 2 {
		return 1
	}
	return float64(i) / float64(len(models)-1)
}

// largestModel returns the largest model of a route that lists models.
func largestModel(route *topology.Route) string { return route.Models[len(route.Models)-1] }

// escalate decides whether to discard the answer that has just begun and ask the
// largest model instead. It returns the server chosen for that, or nil. Nothing of the
// answer has been passed on yet, and it is discarded only once another server is sure
// to take the request.
func (g *Gateway) escalate(a *attempt) *selection.Choice {
	if a.reply.Confidence >= 0 {
		a.confidences = append(a.confidences, a.reply.Confidence)
	}
	if !g.canEscalate(a) || g.Quarantine.Holds(a.keys) || g.refreshCandidates(a.requestState) != nil {
		return nil
	}
	now := time.Now()
	request := g.selectionRequest(a.requestState, largestModel(a.route), nil)
	request.AnswerEvents, request.Within = a.expectedEvents(), a.deadline.Sub(now)
	expected, ok := g.Chooser.Estimate(now, a.candidates, request)
	if !ok {
		g.recordNoTime(a, now, request)
		return nil
	}
	threshold := keepThreshold(expected.FirstByte, expected.Answer(request), a.route.LatencyTarget-now.Sub(a.startedAt), request.Within, lateThreshold(g.LateAnswerValue))
	threshold += shortPromptBonus(expected.Prefill, threshold)
	backlog := g.Chooser.Backlog(now, a.candidates, len(a.view.Routers))
	if a.reply.Confidence >= thresholdUnderLoad(backlog, threshold) || !a.dispatch.Budget.Take(now, len(a.view.Routers)) {
		return nil
	}
	choice, ok := g.Chooser.Choose(now, a.candidates, request)
	if !ok {
		return nil
	}
	return choice
}

// canEscalate reports whether the answer of a smaller model may be discarded at all.
func (g *Gateway) canEscalate(a *attempt) bool {
	if g.ModelPolicy != Cascade || len(a.route.Models) < 2 || a.model == largestModel(a.route) || a.started || !a.route.MayRepeat() {
		return false
	}
	return a.reply.Confidence >= 0 && a.dispatch.Attempts() < a.route.MaxAttempts
}

// shortPromptBonus returns what is added to a confidence threshold if the largest
// model's prefill is short. It is proportional to the threshold, so it is 0 if the
// largest model's answer would miss the deadline.
func shortPromptBonus(prefill time.Duration, threshold int) int {
	if prefill >= maxShortPromptTime {
		return 0
	}
	return int(maxShortPromptBonus * (1 - float64(prefill)/float64(maxShortPromptTime)) * float64(threshold) / onTimeThreshold)
}

// thresholdUnderLoad lowers the confidence threshold as the servers' prefill backlog
// grows, because prefilling a large model's prompt delays every stream on the same
// server.
func thresholdUnderLoad(backlog time.Duration, threshold int) int {
	return int(float64(threshold) / (1 + float64(backlog)/float64(backlogHalvingTime)))
}

// expectedEvents estimates the number of events of the answer from above.
func (x *requestState) expectedEvents() float64 {
	events := defaultAnswerEvents
	if x.call.AnswerTokens > 0 && x.service.EventTokens > 0 {
		events = x.call.AnswerTokens / x.service.EventTokens
	}
	return answerTimeMargin * float64(events)
}

// recordNoTime counts and logs that a larger model is not asked because its answer is not
// expected to end before the deadline at any server that may take the request.
func (g *Gateway) recordNoTime(a *attempt, now time.Time, request selection.Request) {
	within := request.Within
	request.Within = 0
	expected, ok := g.Chooser.Estimate(now, a.candidates, request)
	if !ok {
		// No server may take the request at all.
		return
	}
	g.metrics.GetOrCreateCounter("cactusknot_escalations_without_time_total").Inc()
	if a.reply.Confidence >= onTimeThreshold {
		return
	}
	g.logEvent(g.Log.Info()).Str("request", a.call.ID).Str("server", expected.Server.ID).Str("model", request.Model).
		Ints("confidence", a.confidences).Dur("expected_ms", expected.FirstByte).Dur("expected_interval_ms", expected.EventInterval).
		Float64("expected_events", request.AnswerEvents).Dur("left_ms", within).Dur("view_age_ms", now.Sub(a.view.At)).
		Msg("larger model not asked: its answer is not expected to end before the deadline")
}

// lateThreshold returns the confidence from which a small model's answer is kept if the
// largest model's answer would be late: 0 if that were worth nothing, and the one for timely
// answers if it were worth as much. A value of 0 stands for DefaultLateAnswerValue.
func lateThreshold(value float64) int {
	switch {
	case value <= 0:
		return defaultLateThreshold
	case value <= DefaultLateAnswerValue:
		return int(math.Round(defaultLateThreshold * value / DefaultLateAnswerValue))
	}
	rise := (min(value, 1) - DefaultLateAnswerValue) / (1 - DefaultLateAnswerValue)
	return defaultLateThreshold + int(math.Round((onTimeThreshold-defaultLateThreshold)*rise))
}

// keepThreshold returns the confidence from which a small model's answer is kept.
// firstByte is the expected time until the largest model's first byte, answer the time
// from its first to its last byte; toTarget and toDeadline are the times left to the
// latency target and to the deadline, and lateThreshold is the confidence for a late answer.
func keepThreshold(firstByte, answer, toTarget, toDeadline time.Duration, lateThreshold int) int {
	if firstByte+answer > toDeadline {
		return 0
	}
	if firstByte <= toTarget {
		return onTimeThreshold
	}
	late := time.Duration(lateTargetFactor * float64(toTarget))
	if firstByte >= late || toTarget <= 0 {
		return lateThreshold
	}
	fraction := float64(firstByte-toTarget) / float64(late-toTarget)
	return onTimeThreshold - int(fraction*float64(onTimeThreshold-lateThreshold))
}
