package gateway

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/dispatch"
	"cactusknot.example/daemon/result"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
	"cactusknot.example/daemon/upstream"
)

const (
	// defaultTimeout bounds a request whose route states none.
	defaultTimeout = 60 * time.Second
	// minPause and maxPause are the range of the pause that a refusal names; the
	// spread keeps callers from returning together.
	minPause = 200 * time.Millisecond
	maxPause = 900 * time.Millisecond
)

// Sample is an observation for the evidence on a version.
type Sample struct {
	Service, Version string
	// Failed: the attempt failed. Slow: its first byte came or will come much later
	// than expected.
	Failed, Slow bool
}

// Config wires a Gateway.
type Config struct {
	// Name is this router's name among the routers of the view.
	Name  string
	Codec HeaderCodec
	// View returns the present view; nil or without a configuration before the
	// first one is known.
	View func() *topology.View
	// Observe takes samples; it must not block.
	Observe func(Sample)
	// ColdFactor and ColdExtra give the bound on requests to a cold server in a
	// second: factor times the service's rate, plus extra.
	ColdFactor, ColdExtra float64
	Retries               limit.RetryConfig
	Log                   zerolog.Logger
	// ModelPolicy and Servers choose the policies; the zero values are those in use.
	ModelPolicy  ModelPolicy
	ServerPolicy selection.Policy
}

// Gateway serves callers' requests.
type Gateway struct {
	Config
	Chooser *selection.Chooser
	Pool    *upstream.Pool

	mu      sync.Mutex
	budgets map[string]*limit.RetryBudget
	// metrics counts requests by kind and outcome. Its series are bounded: kinds and
	// result codes are fixed lists.
	metrics *metrics.Set
	filters []filter
	lines   lineBudget
	losses  losses
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{
		Config: cfg, Chooser: selection.New(), Pool: upstream.NewPool(),
		budgets: make(map[string]*limit.RetryBudget), metrics: metrics.NewSet(),
	}
	g.Chooser.Policy = cfg.ServerPolicy
	g.filters = []filter{g.match, g.authenticate, g.readBody, g.split, g.dispatch}
	return g
}

// filter is one step of the request path; an error ends the path.
type filter func(x *requestState) *result.Error

// requestState is a caller's request on its way.
type requestState struct {
	ctx   context.Context
	in    *http.Request
	out   http.ResponseWriter
	call  *Call
	view  *topology.View
	route *topology.Route
	began time.Time
	// dispatch holds the rules on attempts and what has become of them.
	dispatch dispatch.Request
	// workspace is the name of the caller's workspace; empty on anonymous routes.
	workspace string
	// regions are those that the workspace allows; empty means any.
	regions []string
	urgency int
	service *topology.Service
	// candidates are the backend servers of the version chosen for the session.
	candidates []*topology.Server
	// model is the model of the present attempt.
	model string
	// confidences lists the opinions of the models that answered.
	confidences []int
	// deadline is when the final answer is due.
	deadline time.Time
	// excluded holds the backend servers that were tried.
	excluded map[string]bool
	// started is set once a byte of the answer was passed on.
	started bool
	// answered is set once the caller got all that it will get.
	answered  bool
	lastEvent int64
	firstByte time.Duration
	// servers names the backend servers that were tried, in order.
	servers []string
}

// ServeHTTP handles a request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &requestState{ctx: r.Context(), in: r, out: w, call: g.Codec.Decode(r), view: g.View(), began: time.Now()}
	x.lastEvent = x.call.ResumeAfter
	for _, step := range g.filters {
		if err := step(x); err != nil {
			g.finish(x, err)
			return
		}
	}
	g.record(x, nil)
	// The connection may carry another request.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Time{}); err != nil {
		g.Log.Debug().Err(err).Str("request", x.call.ID).Msg("connection ended after its answer")
	}
}

// match finds the route.
func (g *Gateway) match(x *requestState) *result.Error {
	if x.view == nil || x.view.Config == nil {
		return result.NotReady.With("no configuration yet")
	}
	if n := headBytes(x.in); n > x.view.Config.Limits.MaxHeaderBytes {
		return result.HeadersTooLarge.With("%d bytes", n)
	}
	host := x.call.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if x.route = x.view.Config.Match(host, x.call.Path); x.route == nil {
		return result.NotFound.With("no route%s", withdrawn(x.view.Config.RouteWithdrawn(host, x.call.Path)))
	}
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.call.Timeout > 0 {
		timeout = min(timeout, x.call.Timeout)
	}
	x.deadline = x.began.Add(timeout)
	x.urgency = x.route.Urgency
	return nil
}

// headBytes returns the size of the request line and the headers as sent over
// HTTP/1.1, up to a few bytes.
func headBytes(r *http.Request) int64 {
	const lineOverhead, fieldOverhead = len(" HTTP/1.1\r\n") + 1, len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + lineOverhead + len("Host") + len(r.Host) + fieldOverhead
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + fieldOverhead
		}
	}
	return int64(n)
}

// authenticate finds the workspace of the key.
func (g *Gateway) authenticate(x *requestState) *result.Error {
	if !x.view.Config.HasWorkspaces || x.route.Anonymous {
		return nil
	}
	workspace := x.view.Config.Workspace(x.call.APIKey)
	if workspace == nil {
		return result.Unauthenticated.With("unknown key%s", withdrawn(x.view.Config.KeyWithdrawn(x.call.APIKey)))
	}
	x.workspace, x.regions = workspace.Name, workspace.Regions
	if workspace.HasUrgency {
		x.urgency = workspace.Urgency
	}
	return nil
}

// withdrawn explains a refusal by the configuration that withdrew what was asked for.
func withdrawn(version uint64, ok bool) string {
	if !ok {
		return ""
	}
	return fmt.Sprintf(": withdrawn by configuration %d", version)
}

// readBody reads the whole request, so that it can be sent again.
func (g *Gateway) readBody(x *requestState) *result.Error {
	bound := x.view.Config.Limits.MaxBodyBytes
	if x.in.ContentLength > bound {
		return result.TooLarge.With("%d bytes", x.in.ContentLength)
	}
	if x.in.Body == nil || x.in.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(x.out)
	if err := conn.SetReadDeadline(x.deadline); err != nil {
		return result.Internal.With("%v", err)
	}
	body, err := readAll(io.LimitReader(x.in.Body, bound+1), max(x.in.ContentLength, 0))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return result.RequestTimeout.With("%d bytes in time", len(body))
	}
	if err != nil {
		return result.CallerGone.With("%v", err)
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return result.CallerGone.With("%v", err)
	}
	if int64(len(body)) > bound {
		return result.TooLarge.With("over %d bytes", bound)
	}
	x.call.Body = body
	return nil
}

// readAll reads from until its end, expecting size bytes. It returns what was read
// also with an error.
func readAll(from io.Reader, size int64) ([]byte, error) {
	// The buffer grows unless it has room for one more read, which meets the end.
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	_, err := body.ReadFrom(from)
	return body.Bytes(), err
}

// budgetOf returns the retry budget of a service.
func (g *Gateway) budgetOf(service string) *limit.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = limit.NewRetryBudget(g.Retries)
		g.budgets[service] = b
	}
	return b
}

// finish answers with an error of the gateway's own, or breaks the answer off.
func (g *Gateway) finish(x *requestState, err *result.Error) {
	g.record(x, err)
	if err.Code.Number == result.CallerGone.Number || x.started {
		// The server closes the connection without an end mark.
		panic(http.ErrAbortHandler)
	}
	var pause time.Duration
	if err.Code.Retry && err.Code.Run == result.NotRun {
		pause = minPause + rand.N(maxPause-minPause)
	}
	header := x.out.Header()
	for name, values := range g.Codec.ErrorHeader(x.call, pause) {
		header[name] = values
	}
	x.out.WriteHeader(err.Code.Status)
}
