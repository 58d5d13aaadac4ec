package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusknot.example/daemon/result"
)

// metricSet counts requests by kind and outcome. Its series are bounded: kinds
// and result codes are fixed lists.
type metricSet struct{ set *metrics.Set }

func newMetricSet() *metricSet { return &metricSet{set: metrics.NewSet()} }

// WriteMetrics writes the gateway's metrics as text.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.metrics.set.WritePrometheus(w)
	fmt.Fprintf(w, "cactusknot_upstream_connections_total %d\n", g.Pool.Opened())
}

// record writes one log line and counts the request.
func (g *Gateway) record(x *requestState, failure *result.Error) {
	kind, outcome := "unknown", "ok"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	if failure != nil {
		outcome = failure.Code.Name
	}
	took := time.Since(x.began)
	g.metrics.set.GetOrCreateCounter(fmt.Sprintf("cactusknot_requests_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	if failure == nil {
		g.metrics.set.GetOrCreateHistogram(fmt.Sprintf("cactusknot_first_byte_seconds{kind=%q}", kind)).Update(x.firstByte.Seconds())
		g.metrics.set.GetOrCreateHistogram(fmt.Sprintf("cactusknot_answer_seconds{kind=%q}", kind)).Update(took.Seconds())
	}
	line := g.line(g.Log.Info().Str("request", x.call.ID).Str("kind", kind).Str("outcome", outcome))
	if x.view != nil && x.view.Config != nil {
		line = line.Uint64("config", x.view.Config.Version).Dur("view_age_ms", time.Since(x.view.At))
	}
	if x.route != nil {
		line = line.Str("route", x.route.Name)
	}
	if failure != nil {
		line = line.Int("code", failure.Code.Number).Str("detail", failure.Detail)
	}
	line.Str("workspace", x.workspace).Strs("servers", x.servers).Int("attempts", x.dispatch.Attempts()).Str("model", x.model).Ints("confidence", x.confidences).
		Int64("last_event", x.lastEvent).
		Dur("first_byte_ms", x.firstByte).Dur("took_ms", took).Msg("request")
}

// recordAttempt writes one line on an attempt that is not the end of its request or
// that failed: what was expected of the server, and what became of it.
func (g *Gateway) recordAttempt(a *attempt, failure *result.Error) {
	message, outcome, detail := "attempt failed", "", ""
	switch {
	case a.escalation != nil:
		message = "answer dropped for a larger model"
	case failure == nil:
		return
	default:
		outcome, detail = failure.Code.Name, failure.Detail
	}
	g.metrics.set.GetOrCreateCounter(fmt.Sprintf("cactusknot_attempts_repeated_total{reason=%q}", outcome)).Inc()
	g.line(g.Log.Info()).Str("request", a.call.ID).Str("server", a.target.ID).Str("version", a.choice.Server.Version).
		Str("model", a.model).Ints("confidence", a.confidences).Int("attempt", a.dispatch.Attempts()).
		Dur("expected_ms", a.choice.Estimate).Int("missing_tokens", a.choice.Missing).Dur("view_age_ms", time.Since(a.view.At)).
		Dur("since_sent_ms", time.Since(a.sentAt)).Int64("last_event", a.lastEvent).
		Str("outcome", outcome).Str("detail", detail).Msg(message)
}
