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

// Engine is an emulated model engine: an HTTP server around a continuous batch.
type Engine struct {
	cfg  EngineConfig
	log  zerolog.Logger
	host *Host
	stop context.CancelFunc
	done sync.WaitGroup
	// wake tells the batch loop of new work; it holds at most one signal.
	wake chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	epoch     uint64
	started   time.Time
	crashed   bool
	fence     uint64
	role      string
	loaded    map[string]bool
	adapters  []string
	quality   map[string]float64
	running   []*sequence
	waiting   []*sequence
	arrivals  uint64
	warmth    int
	cache     *prefixCache
	faults    engineFaultState
	report    LoadReport
	totals    EngineTotals
	cacheLate time.Duration
	starts    startLog
}

// EngineTotals counts what an engine did since it was made, across restarts.
type EngineTotals struct {
	Accepted  uint64 `json:"accepted"`
	Completed uint64 `json:"completed"`
	// Cancelled requests lost their connection, also by a crash.
	Cancelled uint64 `json:"cancelled"`
	Refused   uint64 `json:"refused"`
	// Overloads counts how often the engine fell over.
	Overloads uint64 `json:"overloads"`
	// Crashes counts ordered crashes and overloads.
	Crashes    uint64 `json:"crashes"`
	PrefixHits uint64 `json:"prefix_hits"`
	TokensIn   uint64 `json:"tokens_in"`
	TokensOut  uint64 `json:"tokens_out"`
	// MaxHeld is the largest number of running and waiting requests.
	MaxHeld int `json:"max_held"`
	// Served counts completed requests by model@version.
	Served map[string]uint64 `json:"served"`
}

// StartEngine checks cfg and serves the engine on listen, such as "127.0.0.1:0".
func StartEngine(listen string, cfg EngineConfig, log zerolog.Logger) (*Engine, error) {
	if err := cfg.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	e := &Engine{
		cfg:       cfg,
		log:       log,
		wake:      make(chan struct{}, 1),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		quality:   map[string]float64{},
		cacheLate: ms(cfg.CacheEventDelayMs),
	}
	e.totals.Served = map[string]uint64{}
	e.faults.reset()
	e.mu.Lock()
	e.startLocked()
	if cfg.StartWarm {
		e.warmth = cfg.WarmCompletions
	}
	e.report = e.reportLocked()
	e.mu.Unlock()
	e.host = NewHost(e.handler(), log)
	e.host.onReopen = e.restart
	if err := e.host.Start(listen); err != nil {
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
func (e *Engine) Addr() string { return e.host.Addr() }

// URL returns the base URL of the engine.
func (e *Engine) URL() string { return e.host.URL() }

// Close drops all connections and ends the engine.
func (e *Engine) Close() {
	e.host.Close()
	e.stop()
	e.done.Wait()
}

// Shutdown waits for running requests until ctx ends, then closes the engine.
func (e *Engine) Shutdown(ctx context.Context) error {
	err := e.host.Shutdown(ctx)
	e.stop()
	e.done.Wait()
	return trace.Wrap(err)
}

// Totals returns the counts since the engine was made.
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

// startLocked puts the engine in the state of a fresh process.
func (e *Engine) startLocked() {
	e.epoch++
	e.started = time.Now()
	e.crashed = false
	e.fence = 0
	e.role = e.cfg.Role
	e.loaded = map[string]bool{}
	for _, m := range e.cfg.Models {
		if m.Loaded {
			e.loaded[m.ID] = true
		}
	}
	e.adapters = nil
	e.warmth = 0
	e.cache = newPrefixCache(e.cfg.PrefixEntries)
}

// restart is called when a crashed engine accepts connections again.
func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked()
	e.report = e.reportLocked()
	e.log.Info().Uint64("epoch", e.epoch).Msg("engine restarted cold")
}

// Crash ends all requests and refuses connections for d, or until Reopen when d
// is zero. The engine then starts cold in a new epoch.
func (e *Engine) Crash(d time.Duration) {
	e.mu.Lock()
	epoch := e.epoch
	e.mu.Unlock()
	e.crash(epoch, d, "ordered")
}

// crash ends all requests and refuses connections for d; zero means until
// Reopen. It does nothing when the engine is down or no longer in epoch: of
// several requests that overload one epoch, only the first may have an effect.
func (e *Engine) crash(epoch uint64, d time.Duration, reason string) {
	e.mu.Lock()
	if e.crashed || e.epoch != epoch {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.totals.Crashes++
	e.dropAllLocked()
	e.mu.Unlock()
	e.log.Warn().Str("reason", reason).Dur("down", d).Msg("engine crashed")
	e.host.Crash(d)
}

func (e *Engine) dropAllLocked() {
	for _, s := range slices.Concat(e.running, e.waiting) {
		e.totals.Cancelled++
		s.end()
	}
	e.running, e.waiting = nil, nil
}

// Reopen ends a crash without waiting for its duration.
func (e *Engine) Reopen() error { return trace.Wrap(e.host.Reopen()) }

// modelLocked returns the settings of a version with the quality in force.
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
	if q, ok := e.quality[id]; ok {
		found.Quality = q
	}
	return found, known
}

// coldnessLocked returns 1 for a cold engine and 0 for a warm one.
func (e *Engine) coldnessLocked() float64 {
	if e.cfg.WarmCompletions == 0 {
		return 0
	}
	return max(0, 1-float64(e.warmth)/float64(e.cfg.WarmCompletions))
}

// maxHeldLocked returns the number of requests that the engine survives now.
func (e *Engine) maxHeldLocked() int {
	spare := float64(e.cfg.MaxHeld-e.cfg.ColdMaxHeld) * (1 - e.coldnessLocked())
	return e.cfg.ColdMaxHeld + int(spare)
}
