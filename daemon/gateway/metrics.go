package gateway

import (
	"fmt"
	"io"
	"strings"
	"time"

	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
)

// WriteMetrics writes the gateway's metrics in the Prometheus text format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.metrics.WritePrometheus(w)
	g.writeRetryBudgets(w)
	g.writeWaiting(w)
	work := selection.OutstandingWork{}
	for _, server := range g.Chooser.OutstandingWork() {
		work = work.Add(server)
	}
	fmt.Fprintf(w, "cactusknot_requests_in_flight %d\n", work.InFlight)
	fmt.Fprintf(w, "cactusknot_unread_prompts_seconds %.3f\n", work.PrefillTime.Seconds())
	fmt.Fprintf(w, "cactusknot_limited_servers %d\n", g.Chooser.Limits.Size())
	fmt.Fprintf(w, "cactusknot_log_lines_left_out_total %d\n", g.logLimit.total())
	fmt.Fprintf(w, "cactusknot_upstream_connections_total %d\n", g.Pool.Opened())
}

// writeRetryBudgets writes the metrics of each service's retry budget.
func (g *Gateway) writeRetryBudgets(w io.Writer) {
	routers := 1
	if view := g.View(); view != nil {
		routers = len(view.Routers)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for service, budget := range g.budgets {
		taken, denied := budget.Counts()
		fmt.Fprintf(w, "cactusknot_retries_left{service=%q} %.1f\n", service, budget.Remaining(time.Now(), routers))
		fmt.Fprintf(w, "cactusknot_retries_total{service=%q} %d\n", service, taken)
		fmt.Fprintf(w, "cactusknot_retries_denied_total{service=%q} %d\n", service, denied)
	}
}

// recordRequest logs the end of a request and updates the request metrics.
func (g *Gateway) recordRequest(x *requestState, failure *result.Error) {
	kind, outcome := "unknown", "ok"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	if failure != nil {
		outcome = failure.Code.Name
	}
	took := time.Since(x.startedAt)
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_requests_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	if failure == nil {
		g.metrics.GetOrCreateHistogram(fmt.Sprintf("cactusknot_first_byte_seconds{kind=%q}", kind)).Update(x.firstByte.Seconds())
		g.metrics.GetOrCreateHistogram(fmt.Sprintf("cactusknot_answer_seconds{kind=%q}", kind)).Update(took.Seconds())
	}
	logEvent := g.logEvent(g.Log.Info().Str("request", x.call.ID).Str("kind", kind).Str("outcome", outcome))
	if x.view != nil && x.view.Config != nil {
		logEvent = logEvent.Uint64("config", x.view.Config.Version).Dur("view_age_ms", time.Since(x.view.At))
	}
	if x.route != nil {
		logEvent = logEvent.Str("route", x.route.Name).Dur("allowed_ms", x.deadline.Sub(x.startedAt))
	} else {
		logEvent = logEvent.Str("host", truncate(x.call.Host)).Str("path", truncate(x.call.Path))
	}
	if failure != nil {
		logEvent = logEvent.Int("code", failure.Code.Number).Str("detail", failure.Detail)
	}
	logEvent.Str("workspace", x.workspace).Strs("servers", x.servers).Int("attempts", x.dispatch.Attempts()).Str("model", x.model).Ints("confidence", x.confidences).
		Int64("last_event", x.lastEvent).
		Dur("first_byte_ms", x.firstByte).Dur("took_ms", took).Msg("request")
}

// recordViolation counts a violation of the protocol by a backend server and adds it to
// what is known of the server.
func (g *Gateway) recordViolation(a *attempt) {
	if a.violation == "" {
		return
	}
	a.choice.RecordViolation(time.Now(), a.violation)
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_upstream_violations_total{violation=%q}", a.violation)).Inc()
}

// observeRateLimit records the rate limit that a response names and logs changes.
func (g *Gateway) observeRateLimit(a *attempt) {
	if !a.reply.Sealed && !a.reply.NotRun {
		return
	}
	before := a.choice.RecordRateLimit(time.Now(), a.reply.RateLimit)
	if before == a.reply.RateLimit {
		return
	}
	g.logEvent(g.Log.Info()).Str("server", a.target.ID).Str("request", a.call.ID).Float64("limit_per_s", a.reply.RateLimit).
		Float64("limit_before_per_s", before).Msg("rate limit of backend server changed")
}

// maxLoggedParts bounds the IDs of prompt parts in a log line.
const maxLoggedParts = 8

// truncate returns the beginning of a caller-supplied text as valid UTF-8, for a log
// line.
func truncate(text string) string {
	const maxChars = 120
	return strings.ToValidUTF8(text[:min(len(text), maxChars)], "")
}

// recordAttempt logs and counts an attempt that failed or whose answer was discarded,
// with what the gateway expected of the server and what happened.
func (g *Gateway) recordAttempt(a *attempt, failure *result.Error) {
	message, outcome, detail := "attempt failed", "", ""
	switch {
	case a.escalation != nil:
		message = "answer discarded in favour of a larger model"
	case failure == nil:
		return
	default:
		outcome, detail = failure.Code.Name, failure.Detail
	}
	g.metrics.GetOrCreateCounter(fmt.Sprintf("cactusknot_attempts_repeated_total{reason=%q}", outcome)).Inc()
	g.logEvent(g.Log.Info()).Str("request", a.call.ID).Str("server", a.target.ID).Str("version", a.choice.Server.Version).
		Str("model", a.model).Ints("confidence", a.confidences).Int("attempt", a.dispatch.Attempts()).
		Dur("expected_ms", a.choice.ExpectedFirstByte).Int("missing_tokens", a.choice.UncachedTokens).Dur("view_age_ms", time.Since(a.view.At)).
		Dur("since_sent_ms", time.Since(a.sentAt)).Int64("last_event", a.lastEvent).
		Dur("since_begun_ms", a.sinceBegun(time.Now())).Strs("parts", a.call.PartIDs[:min(len(a.call.PartIDs), maxLoggedParts)]).
		Str("outcome", outcome).Str("violation", a.violation).Str("detail", detail).Msg(message)
}
