// Package router is the role on entry VMs. A router authenticates callers, chooses
// model, version and backend server, and passes answers on. It owns the
// connections of its callers and nothing else that must last.
package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
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
	"cactusknot.example/daemon/node"
	"cactusknot.example/daemon/platform"
	"cactusknot.example/daemon/rpc"
)

// queueShare is the bound of waiting requests as a multiple of those in progress.
const queueShare = 1

// workspaceBufferPart: the slow readers of one workspace hold at most half of the
// buffer memory, so that they do not refuse the others.
const workspaceBufferPart = 2

// Router runs the router role.
type Router struct {
	*node.Node
	settings *config.Router
	sessions *auth.SessionTokens
	fair     *limit.FairLimiter
	buffers  *limit.BufferPool
	retries  *limit.RetryBudget
	keys     *idempotency.Generator
	charges  *ledger.Queue
	// ledgerStore has a call budget of its own: charges that are stored after an
	// outage must not keep callers' keys and the configuration from the store.
	ledgerStore *kv.Client
	rating      *platform.RatingClient
	metrics     *routerMetrics
	history     history
	view        atomic.Pointer[view]
	events      chan event
	chat        pipe
	service     pipe
	ratingUp    atomic.Bool
	rateSlot    chan struct{}
}

// New builds a router; it connects nowhere yet.
func New(settings *config.Router, log zerolog.Logger) (*Router, error) {
	common, err := node.New(settings.Node, auth.RoleRouter, log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Router{
		Node:     common,
		settings: settings,
		events:   make(chan event, eventQueue),
		rateSlot: make(chan struct{}, maxRatings),
	}
	if r.sessions, err = auth.NewSessionTokens(settings.SessionSecrets); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := r.makeLimits(); err != nil {
		return nil, trace.Wrap(err)
	}
	r.keys = idempotency.NewGenerator(r.Clock, rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.ledgerStore = node.NewStore(settings.Platform.Store, r.Clock, node.LedgerStoreCalls)
	r.charges = ledger.NewQueue(r.Clock, settings.LedgerLines)
	if settings.Platform.Rating != "" {
		r.rating = platform.NewRatingClient(settings.Platform.Rating)
		r.ratingUp.Store(true)
	}
	r.metrics = newRouterMetrics(r)
	r.view.Store(&view{})
	r.chat = r.chatPipe()
	r.service = r.servicePipe()
	r.Configure(node.Hooks{
		OnBundle:  func(*distribute.Current) { r.send(changedEvent{}) },
		OnStop:    func() { r.send(changedEvent{}) },
		OnCounter: func(c *rpc.QualityCounter) { r.send(counterEvent{c}) },
	})
	return r, nil
}

// makeLimits creates the bounds on requests, answer memory and retries.
func (r *Router) makeLimits() (err error) {
	r.fair, err = limit.NewFairLimiter(limit.FairLimiterConfig{
		Capacity:             r.settings.MaxRequests,
		MaxQueue:             r.settings.MaxRequests * queueShare,
		MaxQueuePerWorkspace: r.settings.MaxRequests * queueShare,
		MinServiceTime:       minService,
	}, r.Clock)
	if err != nil {
		return err
	}
	r.buffers, err = limit.NewBufferPool(limit.BufferConfig{
		Reserve:      node.StreamBufferBytes,
		PerRequest:   node.StreamBufferBytes,
		PerWorkspace: max(r.settings.BufferBytes/workspaceBufferPart, node.StreamBufferBytes),
		PerProcess:   r.settings.BufferBytes,
	})
	r.retries = limit.NewRetryBudget(limit.SingleRouterRetryConfig())
	return err
}

// Run serves until ctx ends, then performs a graceful shutdown.
func (r *Router) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r.LocalLedger = newCollectorSet(background, r)
	internal, err := r.ServeInternal(r.internalHandler())
	if err != nil {
		return trace.Wrap(err)
	}
	admin, err := r.ServePlain("admin", r.settings.AdminListen, r.adminHandler())
	if err != nil {
		return trace.Wrap(err)
	}
	public, err := r.ServePlain("callers", r.settings.Listen, r.publicHandler())
	if err != nil {
		return trace.Wrap(err)
	}
	r.Node.Run(background)
	go r.control(background)
	go r.deliverCharges(background)
	r.Log.Info().Str("listen", r.settings.Listen).Msg("router started")
	<-ctx.Done()
	r.shutDown(background, public, internal, admin)
	return nil
}

// shutDown stops without interrupting a request: the balancer sees the failed
// readiness first, and connections are accepted until it has.
func (r *Router) shutDown(ctx context.Context, public, internal, admin *http.Server) {
	r.Log.Info().Msg("planned stop: not ready")
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

// ratings tells whether answers are rated.
func (r *Router) ratings() bool { return r.rating != nil }
