// Package edge is the role on entry VMs of a platform whose backend servers are
// called directly. It keeps a mirror of the platform's store, publishes a view of
// it to the gateway, takes part in roll-outs, and stops without losing requests.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

// ErrCompacted: the store does not hold the history that a watch asks for.
var ErrCompacted = errors.New("edge: history of the store is compacted")

// Condition demands the present revision of a key; 0 means that it does not exist.
type Condition struct {
	Key      string
	Revision kv.Revision
}

// Write sets a key.
type Write struct {
	Key   string
	Value []byte
	Lease kv.LeaseID
}

// Txn is a set of writes that is done as a whole where all conditions hold.
type Txn struct {
	Conditions []Condition
	Writes     []Write
}

// Store is what the role needs of the platform's store. Errors are those of
// package kv, and ErrCompacted.
type Store interface {
	// Range returns the entries under a prefix and a revision at which the listing
	// began.
	Range(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error)
	// Watch returns changes under prefix after a revision, or none after wait.
	Watch(ctx context.Context, prefix string, after kv.Revision, wait time.Duration) ([]mirror.Change, kv.Revision, error)
	Commit(ctx context.Context, t Txn) (kv.Revision, error)
	Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error)
	KeepAlive(ctx context.Context, id kv.LeaseID) error
	Revoke(ctx context.Context, id kv.LeaseID) error
}

// Decoder reads the platform's entries. ok is false for keys of another kind.
type Decoder interface {
	Config(e kv.Entry) (config *topology.Config, ok bool, err error)
	Server(e kv.Entry) (server *topology.Server, ok bool, err error)
	// ServerID returns the identity of the backend server that a key belongs to.
	ServerID(key string) (id string, ok bool)
	Evacuation(e kv.Entry) (dataCentre string, ok bool)
	Order(e kv.Entry) (order *topology.RolloutOrder, ok bool, err error)
	// Status returns the key and value that report the phase of a roll-out.
	Status(service, target string, phase rollout.Phase) (key string, value []byte, err error)
}

// Settings configure the role.
type Settings struct {
	VM         string
	DataCentre string
	// FrontendAddress and ReadyAddress are the addresses for callers and for the balancer.
	FrontendAddress, ReadyAddress string
	// MetricsAddress is a further address for the metrics; empty for none.
	MetricsAddress string
	// PeerAddress is the address for other routers, SeedPeers those of some of them.
	PeerAddress string
	SeedPeers   []string
	Store       Store
	Decoder     Decoder
	Wire        gateway.HeaderCodec
	// MemoryLimitBytes is the memory limit of the process; 0 means none.
	MemoryLimitBytes int64
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod           time.Duration
	Retries               limit.RetryConfig
	ColdFactor, ColdExtra float64
	// ExposureShare is the part of a service's requests that a bad version may get.
	ExposureShare float64
	// ModelPolicy and ServerPolicy select the policies; the zero values are the defaults.
	ModelPolicy  gateway.ModelPolicy
	ServerPolicy selection.Policy
}

const (
	// memoryPart is the part of the memory limit at which the collector works harder.
	memoryPart = 0.4
	// gcPercent keeps the heap small; the live heap is a few megabytes.
	gcPercent = 100
	// unreadyTime is how long connections are accepted after readiness has ended:
	// the balancer asks once a second and needs two misses.
	unreadyTime = 2500 * time.Millisecond
	// stopMargin is kept free before the process is killed.
	stopMargin = 400 * time.Millisecond
	// peerHeaderTimeout and peerIdleTimeout bound connections of the project's own
	// processes and of the balancer.
	peerHeaderTimeout = 10 * time.Second
	peerIdleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the headers that are read; the configuration's limit is
	// checked afterwards and is lower.
	maxHeaderBytes = 256 << 10
)

// Edge runs the role.
type Edge struct {
	settings *Settings
	reload   Reload
	log      zerolog.Logger
	gateway  *gateway.Gateway
	mirror   *mirror.Mirror
	control  *control
	view     atomic.Pointer[topology.View]
	stopping atomic.Bool
	peerHTTP *http.Client
	load     loadSums
	// storeCalls counts the calls to the store.
	storeCalls *metrics.Set
}

// Reload is how the settings are read again while the process runs.
type Reload struct {
	// Requests asks for it, for example by a signal.
	Requests <-chan os.Signal
	Load     func() (*Settings, error)
}

// New builds the role; it connects nowhere yet.
func New(settings *Settings, reload Reload, log zerolog.Logger) *Edge {
	calls := metrics.NewSet()
	settings.Store = meteredStore{settings.Store, calls}
	e := &Edge{settings: settings, reload: reload, log: log.With().Str("vm", settings.VM).Logger(), mirror: mirror.New(), storeCalls: calls}
	e.peerHTTP = &http.Client{Timeout: peerTimeout}
	e.control = newControl(e)
	e.gateway = gateway.New(gateway.Config{
		Name: settings.VM, Codec: settings.Wire, View: e.view.Load, Observe: e.control.observe,
		ColdFactor: settings.ColdFactor, ColdExtra: settings.ColdExtra, Retries: settings.Retries,
		ModelPolicy: settings.ModelPolicy, ServerPolicy: settings.ServerPolicy, Log: e.log,
	})
	return e
}

// Run serves until ctx ends, then stops without interrupting requests.
func (e *Edge) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if e.settings.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(e.settings.MemoryLimitBytes)))
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	front := frontServer(e.gateway)
	if err := e.serveOn(e.settings.FrontendAddress, front, e.limited); err != nil {
		return trace.Wrap(err)
	}
	if err := e.serve(e.settings.ReadyAddress, e.readyHandler()); err != nil {
		return trace.Wrap(err)
	}
	if err := e.serve(e.settings.PeerAddress, e.peerHandler()); err != nil {
		return trace.Wrap(err)
	}
	if e.settings.MetricsAddress != "" {
		if err := e.serve(e.settings.MetricsAddress, e.metricsRouter()); err != nil {
			return trace.Wrap(err)
		}
	}
	go e.synchronise(background)
	go e.control.run(background)
	go e.exchangeLoad(background)
	go e.watchSettings(background)
	e.log.Info().Str("listen", e.settings.FrontendAddress).Msg("edge started")
	<-ctx.Done()
	e.stop(front)
	return nil
}

// frontServer returns the server of callers, on a listener of limited connections.
func frontServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerMark, IdleTimeout: idleMark, MaxHeaderBytes: maxHeaderBytes,
	}
}

// limited gives the connections of a listener the limits of the configuration.
func (e *Edge) limited(l net.Listener) net.Listener {
	return limitedListener{l, func() topology.Limits {
		if v := e.view.Load(); v != nil && v.Config != nil {
			return v.Config.Limits
		}
		return topology.DefaultLimits()
	}}
}

// serve serves the project's own processes and the balancer.
func (e *Edge) serve(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout}
	return e.serveOn(address, server, func(l net.Listener) net.Listener { return l })
}

func (e *Edge) serveOn(address string, server *http.Server, wrap func(net.Listener) net.Listener) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	go func() {
		if err := server.Serve(wrap(listener)); err != nil && !errors.Is(err, http.ErrServerClosed) {
			e.log.Error().Err(err).Str("listen", address).Msg("server ended")
		}
	}()
	return nil
}

// stop ends readiness, serves until the balancer has noticed, and finishes the
// requests in progress.
func (e *Edge) stop(front *http.Server) {
	began := time.Now()
	e.log.Info().Msg("planned stop: not ready")
	e.stopping.Store(true)
	time.Sleep(min(unreadyTime, e.settings.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(e.settings.GracePeriod-stopMargin))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		e.log.Warn().Err(err).Msg("requests left at the end of the grace period")
	}
	e.control.leave()
	e.log.Info().Dur("took_ms", time.Since(began)).Msg("edge stopped")
}

// readyHandler tells the balancer whether this process takes requests, and
// serves the metrics.
func (e *Edge) readyHandler() http.Handler {
	router := e.metricsRouter()
	router.GET("/readyz", func(c echo.Context) error {
		if !e.ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	return router
}

func (e *Edge) metricsRouter() *echo.Echo {
	router := echo.New()
	router.GET("/metrics", func(c echo.Context) error {
		c.Response().WriteHeader(http.StatusOK)
		e.writeMetrics(c.Response())
		return nil
	})
	router.GET("/state", e.serveState)
	return router
}

func (e *Edge) ready() bool {
	v := e.view.Load()
	return v != nil && v.Config != nil && !e.stopping.Load()
}
