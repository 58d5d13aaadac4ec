package gateway

import (
	"time"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
)

// hopelessFactor is how many times the time left the rest of a stream has to be expected to
// take before its resumption is given up. A resumption has no alternative, so estimates that
// are too high must not end it.
const hopelessFactor = 3

// chooseInTime chooses the server of a further attempt such that the answer is expected to
// end before the deadline. If no server can end the largest model's answer in time and
// nothing of it was passed on, the request goes back to the first model. It returns nil if
// there is no such server, and an error if the rest of a stream can't end in time by far.
func (g *Gateway) chooseInTime(x *requestState) (*selection.Choice, *result.Error) {
	if len(x.servers) == 0 || x.call.PromptTokens == 0 || g.checkBeforeAttempt(x) != nil {
		return nil, nil
	}
	now := time.Now()
	request := g.selectionRequest(x, x.model, x.excluded)
	request.AnswerEvents, request.Within = x.remainingEvents(), x.deadline.Sub(now)
	if choice, ok := g.Chooser.Choose(now, x.candidates, request); ok {
		return choice, nil
	}
	if x.started {
		return nil, g.checkResumption(x, now, request)
	}
	if n := len(x.route.Models); n > 1 && g.ModelPolicy == Cascade && x.model == largestModel(x.route) {
		smaller := g.selectionRequest(x, x.route.Models[0], x.excluded)
		smaller.AnswerEvents, smaller.Within = request.AnswerEvents, request.Within
		if choice, ok := g.Chooser.Choose(now, x.candidates, smaller); ok {
			g.logEvent(g.Log.Info()).Str("request", x.call.ID).Str("server", choice.Server.ID).Str("model", smaller.Model).Str("model_before", x.model).
				Dur("expected_ms", choice.ExpectedFirstByte).Dur("expected_interval_ms", choice.EventInterval).Float64("expected_events", smaller.AnswerEvents).
				Dur("left_ms", smaller.Within).Dur("view_age_ms", now.Sub(x.view.At)).Msg("request goes back to the smaller model: the larger one would not end before the deadline")
			x.model = smaller.Model
			return choice, nil
		}
	}
	return nil, nil
}

// checkResumption returns an error if the rest of a stream would take several times the time
// left at every server that may take it.
func (g *Gateway) checkResumption(x *requestState, now time.Time, request selection.Request) *result.Error {
	left := request.Within
	request.AnswerEvents /= answerTimeMargin
	request.Within = hopelessFactor * left
	if _, ok := g.Chooser.Estimate(now, x.candidates, request); ok || x.call.AnswerTokens == 0 {
		return nil
	}
	request.Within = 0
	expected, ok := g.Chooser.Estimate(now, x.candidates, request)
	if !ok {
		return nil
	}
	return result.DeadlinePassed.With("not resumed: %s left, at least %s expected at %s", left.Round(time.Millisecond),
		(expected.FirstByte + expected.Answer(request)).Round(time.Millisecond), expected.Server.ID)
}

// remainingEvents estimates from above the number of events that the caller does not have.
func (x *requestState) remainingEvents() float64 {
	return max(x.expectedEvents()-answerTimeMargin*float64(x.lastEvent+1), 1)
}
