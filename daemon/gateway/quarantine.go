package gateway

import (
	"fmt"
	"time"

	"cactusknot.example/daemon/quarantine"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
)

// minQuarantineRetryAfter keeps callers from asking more than once a second for a part
// whose trial is due.
const minQuarantineRetryAfter = time.Second

// checkQuarantine refuses a request with a quarantined part in its prompt. The trial of
// such a part gets one attempt.
func (g *Gateway) checkQuarantine(x *requestState) *result.Error {
	x.parts = quarantine.Parts(x.service.Name, x.call.PartIDs)
	switch verdict, wait := g.Quarantine.Check(time.Now(), x.parts); verdict {
	case quarantine.Refuse:
		x.retryAfter = max(wait, minQuarantineRetryAfter)
		return result.Quarantined.With("next trial in %s", wait.Round(time.Millisecond))
	case quarantine.Trial:
		x.trial, x.dispatch.MaxAttempts = true, 1
		g.logEvent(g.Log.Info()).Str("request", x.call.ID).Strs("parts", partNames(x.parts)).Msg("trial of a quarantined prompt part")
	}
	return nil
}

// incarnation returns the incarnation of the attempt's backend server.
func (a *attempt) incarnation() quarantine.Incarnation {
	return quarantine.IncarnationOf(a.target.ID, a.choice.Server.StartedMS)
}

// observeProgress records that the answer goes on past the time in which it may crash its
// server.
func (g *Gateway) observeProgress(a *attempt) {
	if !a.sound && time.Since(a.begunAt) > quarantine.GuiltWindow {
		g.observeSound(a)
	}
}

func (g *Gateway) observeSound(a *attempt) {
	a.sound = true
	if len(a.parts) == 0 {
		return
	}
	g.Crashes.RecordSound(time.Now(), a.parts)
	g.Quarantine.RecordSound(a.parts)
}

// observeCrash records the end of an attempt as evidence on the parts of its prompt.
func (g *Gateway) observeCrash(a *attempt) {
	now := time.Now()
	switch {
	case len(a.parts) == 0 || a.sound || a.begunAt.IsZero():
	case a.outcome == selection.Succeeded:
		g.observeSound(a)
	case a.closedByServer && now.Sub(a.begunAt) <= quarantine.GuiltWindow:
		g.Crashes.RecordCrash(now, a.incarnation(), a.parts)
		g.metrics.GetOrCreateCounter("cactusknot_crashes_after_begin_total").Inc()
		g.logEvent(g.Log.Warn()).Str("request", a.call.ID).Str("server", a.target.ID).Strs("parts", partNames(a.parts)).
			Dur("since_begun_ms", now.Sub(a.begunAt)).Msg("backend server lost just after the answer began; its prompt parts are suspected")
	}
}

// partNames returns the parts as log lines name them.
func partNames(parts []quarantine.Part) []string {
	names := make([]string, len(parts))
	for i, part := range parts {
		names[i] = fmt.Sprintf("%016x", uint64(part))
	}
	return names
}
