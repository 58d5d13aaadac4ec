package gateway

import "time"

const (
	// leastConfidence is the confidence from which a small model's answer is kept.
	leastConfidence = 60
)

// firstModel chooses the model of the first attempt: the caller's, or the
// smallest of the route, whose answer is kept when it is confident.
func (g *Gateway) firstModel(x *requestState) {
	x.model = x.call.Model
	if n := len(x.route.Models); n > 0 {
		x.model = x.route.Models[0]
	}
}

// shouldEscalate decides whether the answer that has just begun is dropped for
// that of the largest model. Nothing of it was passed on yet.
func (g *Gateway) shouldEscalate(a *attempt) bool {
	models := a.route.Models
	if a.reply.Confidence >= 0 {
		a.confidences = append(a.confidences, a.reply.Confidence)
	}
	if len(models) < 2 || a.model == models[len(models)-1] || a.started || !a.route.MayRepeat() {
		return false
	}
	if a.reply.Confidence < 0 || a.reply.Confidence >= leastConfidence || a.attempts >= a.route.MaxAttempts {
		return false
	}
	return a.budget.Take(time.Now(), a.view.Routers)
}
