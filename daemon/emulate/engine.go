package emulate

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// Engine is an emulated model engine: an HTTP server with continuous batching.
type Engine struct {
	announcements
	cfg    EngineConfig
	log    zerolog.Logger
	server *FaultServer
	stop   context.CancelFunc
	done   sync.WaitGroup
	// wake notifies the batch loop of new work; its buffer holds one signal.
	wake chan struct{}

	mu                sync.Mutex
	rng               *rand.Rand
	epoch             uint64
	started           time.Time
	crashed           bool
	fencingToken      uint64
	role              string
	loaded            map[string]bool
	adapters          []string
	qualityOverrides  map[string]float64
	running           []*sequence
	waiting           []*sequence
	arrivals          uint64
	warmupCompletions int
	cache             *prefixCache
	faults            engineFaultState
	report            LoadReport
	totals            EngineTotals
	cacheEventDelay   time.Duration
	requests          requestLog
}

// EngineTotals holds the counters of an engine since its creation, across restarts.
type EngineTotals struct {
	Accepted  uint64 `json:"accepted"`
	Completed uint64 `json:"completed"`
	// Cancelled counts requests whose connection closed, including by a crash.
	Cancelled uint64 `json:"cancelled"`
	Refused   uint64 `json:"refused"`
	// Overloads counts how often the engine crashed from overload.
	Overloads uint64 `json:"overloads"`
	// Crashes counts injected crashes and crashes from overload.
	Crashes    uint64 `json:"crashes"`
	PrefixHits uint64 `json:"prefix_hits"`
	TokensIn   uint64 `json:"tokens_in"`
	TokensOut  uint64 `json:"tokens_out"`
	// MaxHeld is the largest number of running and waiting requests.
	MaxHeld int `json:"max_held"`
	// Served counts completed requests by model@version.
	Served map[string]uint64 `json:"served"`
}

// StartEngine validates cfg and serves the engine on listen, such as "127.0.0.1:0".
func StartEngine(listen string, cfg EngineConfig, log zerolog.Logger) (*Engine, error) {
	if err := cfg.validate(); err != nil {
		return nil, trace.Wrap(err)
	}
	e := &Engine{
		cfg:              cfg,
		log:              log,
		wake:             make(chan struct{}, 1),
		rng:              rand.New(rand.NewPCG(cfg.Seed, 0)),
		qualityOverrides: map[string]float64{},
		cacheEventDelay:  milliseconds(cfg.CacheEventDelayMs),
	}
	e.totals.Served = map[string]uint64{}
	e.faults.reset()
	e.mu.Lock()
	e.resetLocked()
	if cfg.StartWarm {
		e.warmupCompletions = cfg.WarmCompletions
	}
	e.report = e.reportLocked()
	e.mu.Unlock()
	e.server = NewFaultServer(e.handler(), log)
	e.server.onReopen = e.restart
	if err := e.server.Start(listen); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.done.Add(2)
	go e.batchLoop(ctx)
	go e.reportLoop(ctx)
	return e, nil
}

// Addr returns the host and port of the engine.
func (e *Engine) Addr() string { return e.server.Addr() }

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return e.server.URL() }

// Close drops all connections and stops the engine.
func (e *Engine) Close() {
	e.server.Close()
	e.stop()
	e.done.Wait()
}

// Shutdown waits for running requests until ctx is done, then closes the engine.
func (e *Engine) Shutdown(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	e.stop()
	e.done.Wait()
	return trace.Wrap(err)
}

// Totals returns the counters since the creation of the engine.
func (e *Engine) Totals() EngineTotals {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.totals
	t.Served = make(map[string]uint64, len(e.totals.Served))
	for id, n := range e.totals.Served {
		t.Served[id] = n
	}
	return t
}

// resetLocked puts the engine into the state of a newly started process.
func (e *Engine) resetLocked() {
	e.epoch++
	e.announcements.reset()
	e.started = time.Now()
	e.crashed = false
	e.fencingToken = 0
	e.role = e.cfg.Role
	e.loaded = map[string]bool{}
	for _, m := range e.cfg.Models {
		if m.Loaded {
			e.loaded[m.ID] = true
		}
	}
	e.adapters = nil
	e.warmupCompletions = 0
	e.cache = newPrefixCache(e.cfg.PrefixEntries)
}

// restart is called when a crashed engine accepts connections again.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resetLocked()
	e.report = e.reportLocked()
	e.log.Info().Uint64("epoch", e.epoch).Msg("engine restarted cold")
}

// Crash cancels all requests and refuses connections for d, or until Reopen when
// d is zero. The engine then starts cold in a new epoch.
func (e *Engine) Crash(d time.Duration) {
	e.mu.Lock()
	epoch := e.epoch
	e.mu.Unlock()
	e.crash(epoch, d, "ordered")
}

// crash cancels all requests and refuses connections for d, or until Reopen when
// d is zero. It does nothing when the engine is down or no longer in epoch, so
// that several requests that overload one epoch cause only one crash.
func (e *Engine) crash(epoch uint64, d time.Duration, reason string) {
	e.mu.Lock()
	if e.crashed || e.epoch != epoch {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.totals.Crashes++
	e.cancelAllLocked()
	e.mu.Unlock()
	e.log.Warn().Str("reason", reason).Dur("down", d).Msg("engine crashed")
	e.server.Crash(d)
}

func (e *Engine) cancelAllLocked() {
	for _, s := range slices.Concat(e.running, e.waiting) {
		e.totals.Cancelled++
		s.end()
	}
	e.running, e.waiting = nil, nil
}

// Reopen ends a crash without waiting for its duration.
func (e *Engine) Reopen() error { return trace.Wrap(e.server.Reopen()) }

// modelLocked returns the settings of a version, with its overridden quality if
// there is one, and whether the engine can load the version.
func (e *Engine) modelLocked(id string) (EngineModel, bool) {
	found := EngineModel{ID: id, Quality: e.cfg.UnlistedQuality}
	known := e.cfg.UnlistedQuality > 0
	for _, m := range e.cfg.Models {
		if m.ID == id {
			found, known = m, true
		}
	}
	if found.Cost == 0 {
		found.Cost = 1
	}
	if q, ok := e.qualityOverrides[id]; ok {
		found.Quality = q
	}
	return found, known
}

// coldFractionLocked returns 1 for a cold engine, 0 for a warm one and a value in
// between during warm-up.
func (e *Engine) coldFractionLocked() float64 {
	if e.cfg.WarmCompletions == 0 {
		return 0
	}
	return max(0, 1-float64(e.warmupCompletions)/float64(e.cfg.WarmCompletions))
}

// requestLimitLocked returns the number of running and waiting requests above
// which the engine crashes, in its current state of warm-up.
func (e *Engine) requestLimitLocked() int {
	spare := float64(e.cfg.MaxHeld-e.cfg.ColdMaxHeld) * (1 - e.coldFractionLocked())
	return e.cfg.ColdMaxHeld + int(spare)
}
