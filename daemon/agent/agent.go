// Package agent implements the process that runs next to one backend server. Only
// the agent sends requests and load or unload orders to its backend server. It is
// the authority on the server's load, cold start, loaded versions and executed
// requests.
package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/frontend"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/routing"
	"cactusknot.example/daemon/rpc"
)

// Agent runs the agent role.
type Agent struct {
	*node.Node
	settings        *config.Agent
	backend         backend
	incarnation     uint64
	admission       *limit.Admission
	records         *idempotency.Records
	charges         *ledger.Queue
	announced       announcements
	view            atomic.Pointer[view]
	sequence        atomic.Uint64
	publishRequests chan struct{}
	// running counts execute calls and detached runs.
	running atomic.Int64
	// stopping is set when a graceful shutdown starts.
	stopping atomic.Bool
}

// New returns an agent. It opens no connections.
func New(settings *config.Agent, log zerolog.Logger) (*Agent, error) {
	common, err := node.New(settings.Node, auth.RoleAgent, log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Agent{
		Node:            common,
		settings:        settings,
		incarnation:     idempotency.NewIncarnation(settings.VM, node.NewRand()),
		publishRequests: make(chan struct{}, 1),
	}
	a.backend = newBackend(settings.Backend, a.observeResponse)
	a.admission, err = limit.NewAdmission(limit.AdmissionConfig{
		MaxRequests: settings.Backend.MaxConcurrent,
		MaxTokens:   settings.Backend.MaxQueuedTokens,
		ColdLimit:   settings.Backend.ColdConcurrent,
	}, a.Checker)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a.records = idempotency.New(idempotency.Config{
		Home:       a.incarnation,
		Clock:      a.Clock,
		Checker:    a.Checker,
		MaxEntries: settings.Records,
		MaxBytes:   int(settings.RecordBytes),
	})
	a.charges = ledger.NewQueue(a.Clock, settings.LedgerLines)
	a.RedeliverCharges(a.charges)
	a.view.Store(&view{})
	a.InitSyncer(node.Hooks{
		OnBundle: func(*distribute.Current) { a.requestPublish() },
		OnStop:   a.requestPublish,
	})
	a.registerMetrics()
	return a, nil
}

// requestPublish makes publishLoop publish a new view.
func (a *Agent) requestPublish() {
	select {
	case a.publishRequests <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, then shuts down gracefully: it refuses new requests,
// waits for the running ones and hands undelivered charges over.
func (a *Agent) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	internal, err := a.ServeInternal(a.internalHandler())
	if err != nil {
		return trace.Wrap(err)
	}
	admin, err := a.ServePlain("admin", a.settings.AdminListen, a.AdminHandler(), frontend.Bounds{})
	if err != nil {
		return trace.Wrap(err)
	}
	a.Node.Run(background)
	go a.publishLoop(background)
	go a.probeLoop(background)
	go a.deliverChargesLoop(background)
	go a.placementLoop(background)
	a.Log.Info().Uint64("incarnation", a.incarnation).Str("backend", a.settings.Backend.URL).Msg("agent started")
	<-ctx.Done()
	a.shutDown(internal, admin)
	return nil
}

// shutDown waits for running requests without a time limit: the platform ends a
// process that takes too long.
func (a *Agent) shutDown(internal, admin *frontend.Server) {
	a.Log.Info().Msg("graceful shutdown started; refusing new requests")
	a.stopping.Store(true)
	a.SetDraining()
	a.admission.SetLeaving(true)
	a.requestPublish()
	a.awaitRunning()
	a.handOverCharges()
	_ = internal.Shutdown(context.Background())
	_ = admin.Shutdown(context.Background())
	a.Log.Info().Msg("agent stopped")
}

// awaitRunning blocks until no request runs. A WaitGroup can't be used, because
// calls that are refused or answered from a record still arrive during the wait.
func (a *Agent) awaitRunning() {
	for a.running.Load() > 0 {
		time.Sleep(stopPoll)
	}
}

// stopPoll is the interval at which a graceful shutdown checks for running
// requests. It uses the system clock, because tests may stop the agent's clock.
const stopPoll = 20 * time.Millisecond

// publishLoop is the only goroutine that builds views.
func (a *Agent) publishLoop(ctx context.Context) {
	for {
		a.publish()
		select {
		case <-ctx.Done():
			return
		case <-a.publishRequests:
		case <-a.Directory.Changed():
		}
	}
}

func (a *Agent) publish() {
	next := &view{current: a.Syncer.Current(), leaving: a.leaving()}
	next.loadedNames = a.backend.loaded()
	next.loaded = make(map[string]bool, len(next.loadedNames))
	for _, name := range next.loadedNames {
		next.loaded[name] = true
	}
	if next.current != nil {
		next.routes = routing.NewSnapshot(next.current.Bundle, next.current.Version, node.Stops(a.Syncer), routing.Quality{})
		a.SetConfigured()
	}
	previous := a.view.Load()
	a.view.Store(next)
	now := a.Clock.Now()
	previous.replaced.Store(&now)
	a.admission.SetLeaving(next.leaving != "")
	if previous.leaving != next.leaving || previous.version() != next.version() {
		a.Log.Info().Uint64("bundle_version", next.version()).Str("leaving", next.leaving).Strs("loaded", next.loadedNames).Msg("agent state changed")
	}
}

// leaving returns the first reason to refuse new requests, or "" if there is none.
func (a *Agent) leaving() string {
	if a.stopping.Load() {
		return "the agent is stopping"
	}
	if a.announcedLeaving() {
		return "the backend server has announced that it leaves"
	}
	if p := a.Directory.Processes().Find(a.settings.VM); p != nil && p.Leaving {
		return "the VM is leaving by the VM list"
	}
	if current := a.Syncer.Current(); current != nil {
		return leavingReason(current.Bundle, a.settings.VM, a.settings.DataCentre)
	}
	return ""
}

// state returns the state of the backend server that routers use for balancing.
func (a *Agent) state() *rpc.AgentState {
	v := a.view.Load()
	pausedFor := a.pausedFor()
	now := a.admission.State()
	return &rpc.AgentState{
		Vm:              a.settings.VM,
		DataCentre:      a.settings.DataCentre,
		Incarnation:     a.incarnation,
		Sequence:        a.sequence.Add(1),
		BundleVersion:   v.version(),
		Phase:           phase(now.Phase),
		FreePermits:     uint32(now.Free),
		PermitLimit:     uint32(now.Limit),
		QueuedTokens:    uint32(now.Tokens),
		FirstTokenMs:    uint32(now.FirstToken / time.Millisecond),
		TokenIntervalUs: uint32(now.TokenInterval / time.Microsecond),
		Loaded:          v.loadedNames,
		Service:         a.settings.Backend.Service,
		PausedMs:        milliseconds(pausedFor),
	}
}

// milliseconds returns a time that is not negative in milliseconds, rounded up.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func phase(p limit.Phase) rpc.Phase {
	switch p {
	case limit.Cold:
		return rpc.Phase_PHASE_COLD
	case limit.Warm:
		return rpc.Phase_PHASE_WARM
	case limit.Leaving:
		return rpc.Phase_PHASE_LEAVING
	case limit.Down:
		return rpc.Phase_PHASE_DOWN
	}
	return rpc.Phase_PHASE_UNSPECIFIED
}

func (a *Agent) registerMetrics() {
	a.Metrics.NewGauge("cactusknot_bundle_version", func() float64 { return float64(a.view.Load().version()) })
	a.Metrics.NewGauge("cactusknot_agent_running_requests", func() float64 { return float64(a.admission.State().Running) })
	a.Metrics.NewGauge("cactusknot_agent_permit_limit", func() float64 { return float64(a.admission.State().Limit) })
	a.Metrics.NewGauge("cactusknot_agent_paused_seconds", func() float64 { return a.pausedFor().Seconds() })
	a.Metrics.NewGauge("cactusknot_agent_cold_starts", func() float64 { return float64(a.admission.State().ColdStarts) })
	a.Metrics.NewGauge("cactusknot_agent_idempotency_records", func() float64 { return float64(a.records.Stats().Entries) })
}
