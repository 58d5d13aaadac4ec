// Package router implements the router role, which runs on the VMs that callers
// connect to. A router authenticates callers, chooses the model, version and backend
// server of each request and forwards the answer. Apart from its callers'
// connections it keeps no state that must survive a restart.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/idempotency"
	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/ledger"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/frontend"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/rpc"
)

// queueFactor is the maximum number of waiting requests as a multiple of the maximum
// number of running ones.
const queueFactor = 1

// workspaceBufferDivisor limits one workspace to half of the buffer memory, so that
// its slow readers don't cause the requests of others to be refused.
const workspaceBufferDivisor = 2

// heapMemoryShare is the share of the memory of the process that the Go runtime aims to stay within.
// The rest is for the kernel's buffers, the program's code, and what is allocated during a collection.
const heapMemoryShare = 0.7

// callerReadBuffer is the size in bytes of the kernel's receive buffer of a caller's connection.
const callerReadBuffer = 32 << 10

// Router is a process in the router role.
type Router struct {
	*node.Node
	settings *config.Router
	sessions *auth.SessionTokens
	fair     *limit.FairLimiter
	buffers  *limit.BufferPool
	retries  *limit.RetryBudget
	keys     *idempotency.Generator
	charges  *ledger.Queue
	// ledgerStore has a separate rate limit, so that the charges that accumulate
	// during an outage don't delay store calls for idempotency keys and the
	// configuration.
	ledgerStore *kv.Client
	// bindings are written again when eraBegun signals a new era of the store.
	bindings *bindings
	eraBegun chan struct{}
	rating   *platform.RatingClient
	metrics  *routerMetrics
	history  history
	view     atomic.Pointer[view]
	events   chan event
	// intake bounds the memory of requests.
	intake  *httplimit.Intake
	chat    filterChain
	service filterChain
	// ratingUp is true unless the latest call to the rating service failed.
	ratingUp atomic.Bool
	// ratingSlots bounds the concurrent background ratings.
	ratingSlots chan struct{}
}

// New creates a router. It opens no connections; Run does.
func New(settings *config.Router, log zerolog.Logger) (*Router, error) {
	common, err := node.New(settings.Node, auth.RoleRouter, log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Router{
		Node:        common,
		settings:    settings,
		events:      make(chan event, eventQueue),
		ratingSlots: make(chan struct{}, maxRatings),
		eraBegun:    make(chan struct{}, 1),
	}
	if r.sessions, err = auth.NewSessionTokens(settings.SessionSecrets); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.newLimits(); err != nil {
		return nil, trace.Wrap(err)
	}
	r.keys = idempotency.NewGenerator(r.Clock, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.ledgerStore = r.OpenStore(node.LedgerStoreCalls)
	r.charges = ledger.NewQueue(r.Clock, settings.LedgerLines)
	r.RedeliverCharges(r.charges)
	r.bindings = newBindings(r.Clock)
	r.OnStoreEra(func(uint64) { r.signalEra() })
	if settings.Platform.Rating != "" {
		r.rating = platform.NewRatingClient(settings.Platform.Rating)
		r.ratingUp.Store(true)
	}
	r.metrics = newRouterMetrics(r)
	r.view.Store(&view{})
	r.chat = r.chatFilters()
	r.service = r.serviceFilters()
	r.InitSyncer(node.Hooks{
		OnBundle:  func(*distribute.Current) { r.send(configChangedEvent{}) },
		OnStop:    func() { r.send(configChangedEvent{}) },
		OnCounter: func(c *rpc.QualityCounter) { r.send(counterEvent{c}) },
	})
	return r, nil
}

// newLimits creates the limiters for requests, answer memory and retries.
func (r *Router) newLimits() (err error) {
	r.fair, err = limit.NewFairLimiter(limit.FairLimiterConfig{
		Capacity:             r.settings.MaxRequests,
		MaxQueue:             r.settings.MaxRequests * queueFactor,
		MaxQueuePerWorkspace: r.settings.MaxRequests * queueFactor,
		MinServiceTime:       minServiceTime,
	}, r.Clock)
	if err != nil {
		return err
	}
	r.buffers, err = limit.NewBufferPool(limit.BufferConfig{
		Reserve:      node.StreamBufferBytes,
		PerRequest:   node.StreamBufferBytes,
		PerWorkspace: max(r.settings.BufferBytes/workspaceBufferDivisor, node.StreamBufferBytes),
		PerProcess:   r.settings.BufferBytes,
	})
	r.intake = &httplimit.Intake{Max: r.settings.BufferBytes}
	r.retries = limit.NewRetryBudget(limit.SingleRouterRetryConfig())
	return err
}

// boundHeap makes the garbage collector work more as the heap comes near the share of the memory
// that it may take. A lower GOMEMLIMIT of the environment goes before it.
func boundHeap(memory int64) {
	limit := int64(heapMemoryShare * float64(memory))
	debug.SetMemoryLimit(min(limit, debug.SetMemoryLimit(-1)))
}

// Run serves until ctx is done, then shuts down gracefully.
func (r *Router) Run(ctx context.Context) error {
	boundHeap(r.settings.MemoryBytes)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.LocalLedger = newCollectorSet(background, r)
	internal, err := r.ServeInternal(r.internalHandler())
	if err != nil {
		return trace.Wrap(err)
	}
	admin, err := r.ServePlain("admin", r.settings.AdminListen, r.adminHandler(), frontend.Bounds{})
	if err != nil {
		return trace.Wrap(err)
	}
	bounds := frontend.Bounds{Intake: r.intake, Memory: r.settings.MemoryBytes, ReadBuffer: callerReadBuffer}
	public, err := r.ServePlain("callers", r.settings.Listen, r.publicHandler(), bounds)
	if err != nil {
		return trace.Wrap(err)
	}
	r.Node.Run(background)
	go r.control(background)
	go r.deliverCharges(background)
	go r.rewriteBindings(background)
	r.Log.Info().Str("listen", r.settings.Listen).Msg("router started")
	<-ctx.Done()
	r.shutDown(background, public, internal, admin)
	return nil
}

// shutDown stops the router without interrupting a request. It first reports not
// ready and keeps accepting connections for the drain delay, in which the load
// balancer stops sending new ones.
func (r *Router) shutDown(ctx context.Context, public, internal, admin *frontend.Server) {
	r.Log.Info().Msg("graceful shutdown started; reporting not ready")
	r.SetDraining()
	_ = r.Clock.Sleep(ctx, time.Duration(r.settings.DrainDelayMs)*time.Millisecond)
	_ = public.Shutdown(context.Background())
	r.handOverCharges(ctx)
	_ = internal.Shutdown(context.Background())
	_ = admin.Shutdown(context.Background())
	r.Log.Info().Msg("router stopped")
}

func isDeadline(err error) bool { return errors.Is(err, limit.ErrDeadline) }

func newSource() rand.Source { return rand.NewPCG(rand.Uint64(), rand.Uint64()) }

// ratesAnswers reports whether a rating service is configured.
func (r *Router) ratesAnswers() bool { return r.rating != nil }
