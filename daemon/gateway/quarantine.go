package gateway

import (
	"net/http"
	"time"

	"cactusknot.example/daemon/quarantine"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
)

// minQuarantineRetryAfter keeps callers from asking more than once a second for a part
// whose trial is due.
const minQuarantineRetryAfter = time.Second

// checkQuarantine refuses a request that is quarantined or has a quarantined part in its
// prompt. The trial of such a part gets one attempt.
func (g *Gateway) checkQuarantine(x *requestState) *result.Error {
	whole := quarantine.WholeRequest(x.service.Name, x.call.Path, x.workspace, x.call.PartIDs, x.call.Body)
	x.keys = append(quarantine.PromptKeys(x.service.Name, x.call.PartIDs), whole)
	switch verdict, wait := g.Quarantine.Check(time.Now(), x.keys); verdict {
	case quarantine.Refuse:
		x.retryAfter = max(wait, minQuarantineRetryAfter)
		return result.Quarantined.With("next trial in %s", wait.Round(time.Millisecond))
	case quarantine.Trial:
		x.trial, x.dispatch.MaxAttempts = true, 1
		g.logEvent(g.Log.Info()).Str("request", x.call.ID).Strs("parts", keyNames(x.keys)).Msg("trial of a quarantined part")
	}
	return nil
}

// incarnation returns the incarnation of the attempt's backend server.
func (a *attempt) incarnation() quarantine.Incarnation {
	return quarantine.IncarnationOf(a.target.ID, a.choice.Server.StartedMS)
}

// observeProgress records an event of the answer, which may show that the answer goes on past
// the time in which its prompt may crash the server. The time counts from the first event: the
// head may be sent long before the server begins to write.
func (g *Gateway) observeProgress(a *attempt, firstEvent time.Time) {
	since := time.Since(firstEvent)
	if !a.goingOn && since > quarantine.GuiltWindow {
		a.goingOn = true
		g.Crashes.RecordGoingOn(time.Now(), a.promptKeys())
	}
	if !a.outlived && since > quarantine.SurvivalWindow {
		g.observeOutlived(a)
	}
}

// observeOutlived records that the server has outlived the answer, which acquits the parts of its
// prompt.
func (g *Gateway) observeOutlived(a *attempt) {
	a.outlived = true
	parts := a.promptKeys()
	g.Quarantine.RecordSound(parts)
	if acquitted := g.Crashes.RecordOutlived(time.Now(), parts); len(acquitted) > 0 {
		g.logEvent(g.Log.Info()).Str("request", a.call.ID).Str("server", a.target.ID).Strs("parts", keyNames(acquitted)).
			Dur("since_begun_ms", a.sinceBegun(time.Now())).Msg("crashes of servers no longer count against these parts: a server has outlived an answer")
	}
}

// promptKeys returns the keys of the parts of the prompt, without that of the request as a whole.
func (x *requestState) promptKeys() []quarantine.Key { return x.keys[:len(x.keys)-1] }

// wholeRequest returns the key of the request as a whole.
func (x *requestState) wholeRequest() quarantine.Key { return x.keys[len(x.keys)-1] }

// wholeRequestOnly returns the list of that key alone.
func (x *requestState) wholeRequestOnly() []quarantine.Key { return x.keys[len(x.keys)-1:] }

// observeCrash records the end of an attempt as evidence on the parts of its prompt.
func (g *Gateway) observeCrash(a *attempt) {
	now := time.Now()
	switch {
	case a.outcome == selection.Succeeded && !a.begunAt.IsZero():
		g.observeAnswered(a)
	case a.closedByServer:
		if a.goingOn {
			g.Crashes.RecordGoingOn(now, a.promptKeys())
		}
		g.Crashes.RecordCrash(now, a.sentAt, a.incarnation(), a.keys, a.goingOn)
		g.metrics.GetOrCreateCounter("cactusknot_crashes_under_requests_total").Inc()
		g.logEvent(g.Log.Warn()).Str("request", a.call.ID).Str("server", a.target.ID).Strs("parts", keyNames(a.keys)).
			Strs("part_ids", a.call.PartIDs[:min(len(a.call.PartIDs), maxLoggedParts)]).Bool("going_on", a.goingOn).
			Dur("since_begun_ms", a.sinceBegun(now)).Msg("backend server lost under the request; it and parts of its prompt are suspected")
	}
}

// observeAnswered records that the answer is complete, which acquits the request as a whole. It
// acquits the parts of the prompt only if the server has written something on them: an answer that
// fails, or the end of a resumed stream, need not have come to them.
func (g *Gateway) observeAnswered(a *attempt) {
	if a.wroteAnswer() {
		g.observeOutlived(a)
	}
	g.Crashes.RecordAnswered(time.Now(), a.wholeRequest())
	g.Quarantine.RecordSound(a.wholeRequestOnly())
}

// wroteAnswer reports whether the server has written an answer to the prompt.
func (a *attempt) wroteAnswer() bool {
	if a.reply.EventStream {
		return a.events > 0
	}
	return a.exchange.Status < http.StatusMultipleChoices
}

// keyNames returns the keys as log lines name them.
func keyNames(keys []quarantine.Key) []string {
	names := make([]string, len(keys))
	for i, key := range keys {
		names[i] = key.String()
	}
	return names
}
