package router

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusknot.example/daemon/balance"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/routing"
)

// logPlacement logs and records the choice of a model and version.
func (r *Router) logPlacement(c *call, v *view) {
	d := &c.decision
	event := r.Log.Info().Hex("request", c.id[:]).Str("workspace", c.workspace.Name).Str("asked", c.chat.Model).Str("kind", c.route.Kind).
		Str("model", d.Model).Str("version", d.Version).Stringer("reason", d.Reason).Bool("refused", d.Refused).
		Uint64("bundle_version", v.version())
	if d.Policy != nil {
		event.Bool("cascade", d.Policy.Plan != nil).Float64("lower_bound", d.Policy.Lower).Bool("explored", d.Explored)
	}
	event.Msg("model chosen")
	r.history.add(c.id, pastDecision{
		Time: r.Clock.Now(), Step: stepModel, Workspace: c.workspace.Name, Target: d.Model + "@" + d.Version,
		Reason: d.Reason.String(), BundleVersion: v.version(),
	})
}

// logAttempt logs and records the choice of a backend server and the outcome of the
// attempt.
func (r *Router) logAttempt(j *job, to peer, version uint64, out attemptResult) {
	event := r.Log.Info().Hex("request", j.call.id[:]).Uint32("step", j.in.GetStep()).Uint32("attempt", j.in.GetAttempt()).
		Str("workspace", j.call.workspace.Name).Str("target", j.target).Str("chosen_vm", to.vm).Str("data_centre", to.dataCentre).
		Uint64("bundle_version", version)
	if debug := r.Log.Debug(); debug.Enabled() {
		event.Interface("candidates", r.candidates(j))
	}
	if out.err != nil {
		event.Int("code", out.err.Code.Number)
	}
	event.Str("result", outcomeText(out)).Msg("backend server chosen")
	r.history.add(j.call.id, pastDecision{
		Time: r.Clock.Now(), Step: stepServer, Workspace: j.call.workspace.Name, Target: j.target, VM: to.vm,
		DataCentre: to.dataCentre, Reason: outcomeText(out), BundleVersion: version,
	})
}

func outcomeText(out attemptResult) string {
	if out.err == nil {
		return "done"
	}
	return out.err.Error()
}

func (r *Router) candidates(j *job) []balance.Candidate {
	return r.view.Load().servers.Explain(r.Clock.Now(), j.balanceRequest())
}

func (r *Router) logEscalation(c *call, score float64, rated bool, d *routing.Decision, escalate bool) {
	r.Log.Info().Hex("request", c.id[:]).Str("workspace", c.workspace.Name).Float64("score", score).Bool("rated", rated).
		Bool("escalated", escalate).Str("model", d.Model).Str("version", d.Version).Stringer("reason", d.Reason).Msg("cascade decided")
	r.history.add(c.id, pastDecision{
		Time: r.Clock.Now(), Step: stepCascade, Workspace: c.workspace.Name, Target: d.Model + "@" + d.Version,
		Reason: d.Reason.String(), BundleVersion: r.view.Load().version(),
	})
}

func (r *Router) logError(c *call, err *result.Error) {
	event := r.Log.Info().Hex("request", c.id[:]).Str("path", c.request.URL.Path).Int("code", err.Code.Number).Str("result", err.Error())
	if c.workspace != nil {
		event.Str("workspace", c.workspace.Name)
	}
	event.Msg("request failed")
}

// routerMetrics holds the metrics of a router.
type routerMetrics struct {
	set           *metrics.Set
	requests      *metrics.Counter
	attempts      *metrics.Counter
	refusals      *metrics.Counter
	droppedEvents *metrics.Counter
	unrated       *metrics.Counter
	alerts        *metrics.Counter
	duration      *metrics.Histogram
}

func newRouterMetrics(r *Router) *routerMetrics {
	set := r.Metrics
	set.NewGauge("cactusknot_router_running_requests", func() float64 {
		running, _ := r.fair.Usage()
		return float64(running)
	})
	set.NewGauge("cactusknot_router_queued_requests", func() float64 {
		_, queued := r.fair.Usage()
		return float64(queued)
	})
	set.NewGauge("cactusknot_router_unstored_charges", func() float64 {
		lines, _ := r.charges.Len()
		return float64(lines)
	})
	set.NewGauge("cactusknot_router_buffer_bytes", func() float64 { return float64(r.buffers.Used()) })
	set.NewGauge("cactusknot_bundle_version", func() float64 { return float64(r.view.Load().version()) })
	set.NewGauge("cactusknot_router_retries_total", func() float64 {
		taken, _ := r.retries.Counts()
		return float64(taken)
	})
	set.NewGauge("cactusknot_router_retry_budget_refusals_total", func() float64 {
		_, denied := r.retries.Counts()
		return float64(denied)
	})
	return &routerMetrics{
		set:           set,
		requests:      set.NewCounter("cactusknot_router_requests_total"),
		attempts:      set.NewCounter("cactusknot_router_attempts_total"),
		refusals:      set.NewCounter("cactusknot_router_agent_refusals_total"),
		droppedEvents: set.NewCounter("cactusknot_router_dropped_events_total"),
		unrated:       set.NewCounter("cactusknot_router_unrated_answers_total"),
		alerts:        set.NewCounter("cactusknot_router_quality_alerts_total"),
		duration:      set.NewHistogram("cactusknot_router_request_seconds"),
	}
}

// observe counts a finished request by its result code and records its duration.
func (m *routerMetrics) observe(err *result.Error, took time.Duration) {
	name := "ok"
	if err != nil {
		name = err.Code.Name
	}
	m.set.GetOrCreateCounter(`cactusknot_router_results_total{code="` + name + `"}`).Inc()
	m.duration.Update(took.Seconds())
}
