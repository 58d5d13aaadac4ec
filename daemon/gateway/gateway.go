package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/quarantine"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

const (
	// defaultTimeout bounds a request whose route states no timeout.
	defaultTimeout = 60 * time.Second
	// minRetryAfter and maxRetryAfter are the range of the random Retry-After time of a
	// refused request. The spread keeps callers from retrying at the same time.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
)

// Sample is the result of one attempt, as evidence on the version of its backend
// server.
type Sample struct {
	Service, Version string
	// Failed: the attempt failed. Slow: its first byte came much later than expected,
	// or is already that late.
	Failed, Slow bool
	// EventInterval is the time between the first events of a stream. A sample with it is
	// no result of its own; it is 0 in all others.
	EventInterval time.Duration
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Name is this router's name in the view's list of routers.
	Name  string
	Codec HeaderCodec
	// View returns the current view. Until the first configuration is known, it returns
	// nil or a view without a configuration.
	View func() *topology.View
	// Observe receives the samples; it must not block.
	Observe func(Sample)
	// Count receives the number of requests of a workspace that began to run at a time: 1, or
	// -1 to take one back that has turned out not to run. It must not block; nil for none.
	Count func(workspace string, at time.Time, n int32)
	// ColdFactor and ColdExtra set the limit on requests per second to a cold server:
	// ColdFactor times the service's rate, plus ColdExtra.
	ColdFactor, ColdExtra float64
	Retries               limit.RetryConfig
	Log                   zerolog.Logger
	// LimitBacklog holds requests at the router while the servers have a long backlog of
	// prompts. Otherwise they are held only while no server may take them at all.
	LimitBacklog bool
	// ModelPolicy and ServerPolicy choose the policies; the zero values are the
	// production policies.
	ModelPolicy  ModelPolicy
	ServerPolicy selection.Policy
	// LateAnswerValue is the value of an answer after the latency target, as a fraction of a
	// timely one's; 0 means DefaultLateAnswerValue.
	LateAnswerValue float64
	// AnswerBudget bounds the bytes of long responses that are buffered at once; nil stands for
	// one of 32 MB.
	AnswerBudget *httplimit.Budget
	// Intake bounds the memory that requests take; nil stands for one of 256 MB.
	Intake *httplimit.Intake
}

// Gateway is an HTTP handler that serves callers' requests.
type Gateway struct {
	Config
	Chooser *selection.Chooser
	Pool    *upstream.Pool
	// Crashes collects which parts of prompts may have crashed backend servers, and
	// Quarantine holds those that are not sent.
	Crashes    *quarantine.Recorder
	Quarantine *quarantine.List

	// admission holds the waiting requests of each service.
	admission admissions

	mu      sync.Mutex
	budgets map[string]*limit.RetryBudget
	// metrics counts requests by kind and outcome. The number of series is bounded:
	// kinds and result codes are fixed lists.
	metrics         *metrics.Set
	filters         []filter
	stop            *stop
	logLimit        logLimiter
	loadProblems    loadProblems
	pendingFailures pendingFailures
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{
		Config: cfg, Chooser: selection.New(), Pool: upstream.NewPool(),
		Crashes: &quarantine.Recorder{}, Quarantine: &quarantine.List{},
		budgets: make(map[string]*limit.RetryBudget), metrics: metrics.NewSet(), stop: newStop(),
	}
	if g.AnswerBudget == nil {
		g.AnswerBudget = &httplimit.Budget{Max: defaultAnswerBudget}
	}
	if g.Intake == nil {
		g.Intake = &httplimit.Intake{Max: defaultIntake}
	}
	g.Chooser.Policy = cfg.ServerPolicy
	g.filters = []filter{g.match, g.authenticate, g.readBody, g.chooseService, g.checkQuarantine, g.dispatch}
	return g
}

// filter is one step of the request path; an error ends the path.
type filter func(x *requestState) *result.Error

// requestState is the state of one caller's request.
type requestState struct {
	ctx       context.Context
	request   *http.Request
	response  http.ResponseWriter
	call      *Call
	view      *topology.View
	route     *topology.Route
	startedAt time.Time
	// age is how long before its arrival the caller first sent the request, as far as known.
	age time.Duration
	// dispatch holds the retry rules and the attempts made so far.
	dispatch dispatch.Request
	// workspace is the name of the caller's workspace; empty on anonymous routes.
	workspace string
	// regions are the regions that the workspace allows; empty means any.
	regions []string
	// urgency ranks the request; 0 is the most urgent.
	urgency int
	service *topology.Service
	// candidates are the backend servers of the version that the session uses.
	candidates []*topology.Server
	// keys are those of the parts of the prompt that may be quarantined, and as the last one that
	// of the request as a whole.
	keys []quarantine.Key
	// trial is set if the request is the trial of a quarantined part.
	trial bool
	// retryAfter is when the caller may try again after a refusal; 0 for a short random
	// time.
	retryAfter time.Duration
	// model is the model of the current attempt.
	model string
	// confidences lists the confidences of the models that answered.
	confidences []int
	// deadline is when the final response is due.
	deadline time.Time
	// excluded holds the IDs of the backend servers that were tried.
	excluded map[string]bool
	// started is set once a byte of the response was passed on.
	started bool
	// answered is set once nothing more will be sent to the caller.
	answered bool
	// lastEvent is the ID of the last event that the caller has, or -1.
	lastEvent int64
	// firstByte is the time from the request's arrival to the first byte of its
	// response.
	firstByte time.Duration
	// body is that of the caller's request.
	body *httplimit.RequestBody
	// servers lists the IDs of the backend servers that were tried, in order.
	servers []string
	// counted is set once the request was counted as begun.
	counted bool
}

// ServeHTTP handles a caller's request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &requestState{ctx: r.Context(), request: r, response: w, call: g.Codec.Decode(r), view: g.View(), startedAt: time.Now()}
	x.lastEvent = x.call.ResumeAfter
	x.body = httplimit.NewRequestBody(w, r)
	defer x.releaseBody()
	for _, step := range g.filters {
		if err := step(x); err != nil {
			g.finish(x, err)
			return
		}
	}
	g.recordRequest(x, nil)
	// Clears the deadline, because the connection may carry another request.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		g.Log.Debug().Err(err).Str("request", x.call.ID).Msg("connection closed after the response was sent")
	}
}

// match finds the route and sets the deadline.
func (g *Gateway) match(x *requestState) *result.Error {
	if x.view == nil || x.view.Config == nil {
		return result.NotReady.With("no configuration yet")
	}
	if n := requestHeadSize(x.request); n > x.view.Config.Limits.MaxHeaderBytes {
		return result.HeadersTooLarge.With("%d bytes", n)
	}
	host := x.call.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if x.route = x.view.Config.Match(host, x.call.Path); x.route == nil {
		return x.unknown(result.NotFound.With("no route%s", withdrawnNote(x.view.Config.RouteWithdrawn(host, x.call.Path))))
	}
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.deadline = x.startedAt.Add(timeout)
	x.urgency = x.route.Urgency
	return g.stop.refuse(x.startedAt, x.route, x.deadline)
}

// unknown returns the refusal of a request for what the configuration in force does not have. It
// does not say that for good while a newer configuration, which may have it, is on its way.
func (x *requestState) unknown(refusal *result.Error) *result.Error {
	if x.view.ConfigBehind {
		return result.NotReady.With("a newer configuration is being received; in the one in force: %s", refusal.Detail)
	}
	return refusal
}

// requestHeadSize returns the size of the request line and the headers as sent over
// HTTP/1.1, to within a few bytes.
func requestHeadSize(r *http.Request) int64 {
	const lineOverhead, fieldOverhead = len(" HTTP/1.1\r\n") + 1, len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + lineOverhead + len("Host") + len(r.Host) + fieldOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return int64(n)
}

// authenticate finds the workspace of the caller's API key.
func (g *Gateway) authenticate(x *requestState) *result.Error {
	if !x.view.Config.HasWorkspaces || x.route.Anonymous {
		return nil
	}
	workspace := x.view.Config.Workspace(x.call.APIKey)
	if workspace == nil {
		return x.unknown(result.Unauthenticated.With("unknown key%s", withdrawnNote(x.view.Config.KeyWithdrawn(x.call.APIKey))))
	}
	x.workspace, x.regions = workspace.Name, workspace.Regions
	if workspace.HasUrgency {
		x.urgency = workspace.Urgency
	}
	return nil
}

// withdrawnNote returns a note for a refusal: which configuration version withdrew the
// route or key, if one did.
func withdrawnNote(version uint64, ok bool) string {
	if !ok {
		return ""
	}
	return fmt.Sprintf(": withdrawn by configuration %d", version)
}

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *limit.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = limit.NewRetryBudget(g.Retries)
		g.budgets[service] = b
	}
	return b
}

// finish sends an error response. It closes the connection instead if the caller has
// left or a part of the response has already been sent.
func (g *Gateway) finish(x *requestState, err *result.Error) {
	g.recordRequest(x, err)
	if err.Code.Number == result.CallerGone.Number || x.started {
		// net/http then closes the connection without a final chunk, so that the caller
		// can't take the response for complete.
		panic(http.ErrAbortHandler)
	}
	retryAfter := x.retryAfter
	if retryAfter == 0 && err.Code.Retry && err.Code.Run == result.NotRun {
		retryAfter = minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	}
	x.body.Abandon()
	header := x.response.Header()
	for name, values := range g.Codec.ErrorHeader(x.call, retryAfter) {
		header[name] = values
	}
	x.response.WriteHeader(err.Code.Status)
}
