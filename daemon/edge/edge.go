// Package edge implements the edge role: the router process on the entry VMs of a
// platform whose backend servers are called directly. It mirrors the platform's
// store, publishes a view of it to the gateway, takes part in rollouts and shuts
// down without dropping requests.
package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/kv"
	"cactusknot.example/coord/limit"
	"cactusknot.example/daemon/frontend"
	"cactusknot.example/daemon/gateway"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/mirror"
	"cactusknot.example/daemon/rollout"
	"cactusknot.example/daemon/selection"
	"cactusknot.example/daemon/topology"
)

// Errors of a watch.
var (
	// ErrCompacted means that the store has dropped the requested history.
	ErrCompacted = errors.New("edge: store history has been compacted")
	// ErrRestored means that the store is in a newer era than the requested history.
	ErrRestored = errors.New("edge: store has been restored from an older copy")
)

// Condition requires a key to be at a revision of the transaction's era. Revision 0
// requires that the key does not exist.
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

// Lease is a lease with the store's era in which it was granted. In a later era it has ended,
// and its ID may have been given out again.
type Lease struct {
	ID  kv.LeaseID
	Era uint64
}

// Txn is a set of writes that is applied atomically if all conditions hold.
type Txn struct {
	// Era is the store's era in which the revisions and leases were given out.
	Era        uint64
	Conditions []Condition
	Writes     []Write
	// Removes lists the keys to be removed.
	Removes []string
}

// Store is the interface to the platform's store. Its methods return the errors of
// package kv, ErrCompacted and ErrRestored.
type Store interface {
	// Range returns the entries under a prefix and the store's position at the start of
	// the listing.
	Range(ctx context.Context, prefix string) ([]kv.Entry, kv.Position, error)
	// Watch blocks until there are changes under prefix after a position, or until
	// wait has passed. It returns the changes and the position they lead to, both of the
	// era of after.
	Watch(ctx context.Context, prefix string, after kv.Position, wait time.Duration) ([]mirror.Change, kv.Position, error)
	// Commit applies a transaction and returns its position. It returns kv.ErrConflict
	// if a condition does not hold, or if the store is known to be in a newer era.
	Commit(ctx context.Context, t Txn) (kv.Position, error)
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// KeepAlive extends a lease; kv.ErrNotFound means that it has ended.
	KeepAlive(ctx context.Context, l Lease) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, l Lease) error
}

// eraObserver is a Store that reports the eras that its responses name, also those of calls
// which return no position.
type eraObserver interface {
	// ObserveEra sets the function that is called with each new era. It must be called before
	// the first call of the store.
	ObserveEra(observe func(era uint64))
}

// Decoder decodes the platform's store entries. ok is false for keys of another kind.
type Decoder interface {
	Config(e kv.Entry) (config *topology.Config, ok bool, err error)
	Server(e kv.Entry) (server *topology.Server, ok bool, err error)
	// ServerID returns the ID of the backend server that a key belongs to.
	ServerID(key string) (id string, ok bool)
	// Evacuation returns the data centre whose evacuation an entry requests.
	Evacuation(e kv.Entry) (dataCentre string, ok bool)
	Order(e kv.Entry) (order *topology.RolloutOrder, ok bool, err error)
	// Status returns the key and value that report the phase of a rollout.
	Status(service, target string, phase rollout.Phase) (key string, value []byte, err error)
}

// Settings configure an Edge.
type Settings struct {
	VM         string
	DataCentre string
	// FrontendAddress is the listen address for clients, ReadyAddress that for the
	// readiness probes of the load balancer.
	FrontendAddress, ReadyAddress string
	// MetricsAddress is an additional listen address for the metrics; empty for none.
	MetricsAddress string
	// PeerAddress is the listen address for other routers. SeedPeers are the peer
	// addresses of some of them, used until routers are known from the store.
	PeerAddress string
	SeedPeers   []string
	// Cores is the processor share of this process in cores; 0 if unknown.
	Cores float64
	// StoreReaders is the number of routers in each data centre that watch the store for
	// the others; 0 means that each router watches it itself.
	StoreReaders int
	Store        Store
	Decoder      Decoder
	HeaderCodec  gateway.HeaderCodec
	// MemoryLimitBytes is the memory limit of the process; 0 means no limit.
	MemoryLimitBytes int64
	// MaxDescriptors is the limit of open files of the process; 0 means that of the system.
	MaxDescriptors int
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	Retries     limit.RetryConfig
	// ColdFactor and ColdExtra limit the requests per second to a cold server: its
	// service's cold rate times the factor, plus the extra.
	ColdFactor, ColdExtra float64
	// Contact is how long after the end of a disruption between it and the store this process
	// counts as in touch, ConfigApply how long after its acknowledgement a configuration must
	// be in force, and StoreReadsPerS the reads per second that the store allows all
	// processes together. Zero stands for a safe value.
	Contact, ConfigApply time.Duration
	StoreReadsPerS       float64
	// ServerHeartbeat is the interval at which backend servers renew their entries in the
	// store. Zero stands for DefaultServerHeartbeat.
	ServerHeartbeat time.Duration
	// Exposure bounds the requests that a bad version of a service may get until the deadline of its
	// rollout.
	Exposure rollout.Bound
	// ModelPolicy and ServerPolicy select the policies; the zero values are the defaults.
	ModelPolicy  gateway.ModelPolicy
	ServerPolicy selection.Policy
	// CloudAPI is the client of the platform's API; nil if there is none.
	CloudAPI CloudAPI
	Duties   DutySettings
	// LateAnswerValue is the value of an answer after the latency target, as a fraction of a
	// timely one's; 0 means the default.
	LateAnswerValue float64
	// LimitBacklog holds requests at the router while the servers have a long backlog of
	// prompts.
	LimitBacklog bool
}

const (
	// gcMemoryShare sets the soft memory limit of the Go runtime, as a share of the
	// memory limit of the process.
	gcMemoryShare = 0.4
	// answerMemoryShare is the share of the memory limit of the process that buffered responses
	// of backend servers may take.
	answerMemoryShare = 1.0 / 16
	// intakeMemoryShare is the share of the memory limit of the process that requests may take.
	intakeMemoryShare = 1.0 / 5
	// connDescriptorShare is the share of the open files that connections of clients may take, and the
	// same for those to backend servers. The rest is for peers, the store and checks of servers.
	connDescriptorShare = 2.0 / 5
	// gcPercent keeps the heap small. The live heap is a few megabytes.
	gcPercent = 100
	// drainDelay is how long connections are still accepted after the process reports
	// not ready: the load balancer probes once a second and needs two failures.
	drainDelay = 2500 * time.Millisecond
	// lateRequestDelay is how long after the begin of a shutdown requests are taken that may be
	// repeated and may not end before the process does. Clients may hold a connection, or find
	// no other VM.
	lateRequestDelay = 3 * time.Second
	// answerTime is the time in which the callers whose requests are unfinished at the end get
	// an error response.
	answerTime = 300 * time.Millisecond
	// shutdownMargin is the time left between the end of the last connection and SIGKILL, and
	// exitMargin that between the end of the calls after it and SIGKILL.
	shutdownMargin = 400 * time.Millisecond
	exitMargin     = 150 * time.Millisecond
	// peerHeaderTimeout and peerIdleTimeout apply to connections of other routers,
	// operators' tools and the load balancer.
	peerHeaderTimeout = 10 * time.Second
	peerIdleTimeout   = 60 * time.Second
	// clientReadBuffer is the size in bytes of the kernel's receive buffer of a client's connection.
	clientReadBuffer = 32 << 10
)

// Edge runs the edge role.
type Edge struct {
	settings *Settings
	reload   Reload
	log      zerolog.Logger
	gateway  *gateway.Gateway
	// frontend is nil before Run.
	frontend   *frontend.Server
	mirror     *mirror.Mirror
	controller *controller
	view       atomic.Pointer[topology.View]
	stopping   atomic.Bool
	// peerHTTP is the client for calls of other routers.
	peerHTTP *http.Client
	load     loadAggregator
	// exchanged lists the kinds of facts that the routers exchange.
	exchanged []exchanged
	config    configExchange
	duties    *duties
	// prepared is set once the peers were asked for the configuration.
	prepared atomic.Bool
	// storeMetrics holds the counters of store calls.
	storeMetrics *metrics.Set
	transfers    transfers
	// fetcher fetches the large values that this router has heard of.
	fetcher *contentFetcher
}

// Reload reloads the settings while the process runs.
type Reload struct {
	// Requests triggers a reload, usually by a signal.
	Requests <-chan os.Signal
	// Load reads the settings.
	Load func() (*Settings, error)
}

// New returns an Edge. It opens no connections before Run.
func New(settings *Settings, reload Reload, log zerolog.Logger) *Edge {
	calls := metrics.NewSet()
	store := settings.Store
	settings.Store = meteredStore{settings.Store, calls}
	e := &Edge{settings: settings, reload: reload, log: log.With().Str("vm", settings.VM).Logger(), mirror: mirror.New(), storeMetrics: calls}
	e.setPeerTransport(newPeerTransport())
	e.fetcher = newContentFetcher(e)
	e.controller = newController(e)
	e.duties = newDuties(e)
	if observer, ok := store.(eraObserver); ok {
		observer.ObserveEra(func(era uint64) { e.controller.noteEra(era, eraFromStore) })
	}
	if observer, ok := store.(transferObserver); ok {
		observer.ObserveTransfers(&e.transfers.store, e.reportTransfer)
	}
	e.gateway = gateway.New(gateway.Config{
		Name: settings.VM, Codec: settings.HeaderCodec, View: e.view.Load, Observe: e.controller.observe,
		ColdFactor: settings.ColdFactor, ColdExtra: settings.ColdExtra, Retries: settings.Retries,
		ModelPolicy: settings.ModelPolicy, ServerPolicy: settings.ServerPolicy, LateAnswerValue: settings.LateAnswerValue,
		LimitBacklog: settings.LimitBacklog, AnswerBudget: settings.answerBudget(), Intake: settings.intake(),
		Count: e.duties.usage.count, Log: e.log,
	})
	e.gateway.Pool.MaxOpen = settings.maxConns()
	e.gateway.Chooser.Announcements.DeparturesChanged = e.controller.noteDeparture
	e.config.edge = e
	e.exchanged = []exchanged{
		loadExchange{e},
		e.controller.quarantines, &limitExchange{edge: e}, &e.config, e.duties.usage, newPaceExchange(e.gateway.Chooser),
		&departureExchange{edge: e},
	}
	return e
}

// answerBudget returns the bound on the responses of backend servers that are buffered at once, or
// nil for the default. Buffers grow by doubling, so that they take up to twice as much.
func (s *Settings) answerBudget() *httplimit.Budget {
	if s.MemoryLimitBytes <= 0 {
		return nil
	}
	return &httplimit.Budget{Max: int64(answerMemoryShare * float64(s.MemoryLimitBytes))}
}

// intake returns the bound on the memory of requests, or nil for the default.
func (s *Settings) intake() *httplimit.Intake {
	if s.MemoryLimitBytes <= 0 {
		return nil
	}
	return &httplimit.Intake{Max: int64(intakeMemoryShare * float64(s.MemoryLimitBytes))}
}

// maxConns returns the bound on the connections of clients, and on those to backend servers, by the
// open files; 0 for none.
func (s *Settings) maxConns() int {
	files := frontend.DescriptorLimit()
	if s.MaxDescriptors > 0 && (files == 0 || s.MaxDescriptors < files) {
		files = s.MaxDescriptors
	}
	return int(connDescriptorShare * float64(files))
}

// Run serves until ctx is cancelled and then shuts down gracefully.
func (e *Edge) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	if e.settings.MemoryLimitBytes > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(e.settings.MemoryLimitBytes)))
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.frontend = frontend.New(e.gateway, e.limits, frontend.Bounds{
		Intake: e.gateway.Intake, MaxConns: e.settings.maxConns(), Memory: e.settings.MemoryLimitBytes, ReadBuffer: clientReadBuffer,
	})
	listener, err := net.Listen("tcp", e.settings.FrontendAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	go e.serveAndLog(e.settings.FrontendAddress, func() error { return e.frontend.Serve(listener) })
	if err := e.listenAndServe(e.settings.ReadyAddress, e.readyHandler()); err != nil {
		return trace.Wrap(err)
	}
	if err := e.listenAndServe(e.settings.PeerAddress, e.peerHandler()); err != nil {
		return trace.Wrap(err)
	}
	if e.settings.MetricsAddress != "" {
		if err := e.listenAndServe(e.settings.MetricsAddress, e.metricsRouter()); err != nil {
			return trace.Wrap(err)
		}
	}
	go e.syncStore(background)
	go e.controller.run(background)
	go e.prepare(background)
	go e.exchangeFacts(background)
	go e.watchSettings(background)
	e.duties.start(background)
	e.log.Info().Str("listen", e.settings.FrontendAddress).Msg("edge started")
	<-ctx.Done()
	e.shutdown(e.frontend)
	return nil
}

// limits returns the limits of the configuration in force.
func (e *Edge) limits() topology.Limits {
	if v := e.view.Load(); v != nil && v.Config != nil {
		return v.Config.Limits
	}
	return topology.DefaultLimits()
}

// listenAndServe serves other routers, operators' tools and the load balancer in the
// background.
func (e *Edge) listenAndServe(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: peerHeaderTimeout, IdleTimeout: peerIdleTimeout}
	go e.serveAndLog(address, func() error { return server.Serve(listener) })
	return nil
}

// serveAndLog runs a server and logs its failure.
func (e *Edge) serveAndLog(address string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		e.log.Error().Err(err).Str("listen", address).Msg("HTTP server failed")
	}
}

// prepare makes the process ready once it has a view and has asked its peers for what the
// store may lack.
func (e *Edge) prepare(ctx context.Context) {
	if !e.controller.waitForView(ctx) {
		return
	}
	e.config.askOnStartup(ctx)
	e.prepared.Store(true)
}

// shutdown reports not ready, keeps serving until the load balancer has noticed, and
// waits for the requests in progress.
func (e *Edge) shutdown(clients *frontend.Server) {
	began := time.Now()
	e.log.Info().Msg("graceful shutdown started; reporting not ready")
	e.stopping.Store(true)
	closeAt := began.Add(e.settings.GracePeriod - shutdownMargin)
	e.gateway.StopAt(closeAt.Add(-answerTime), began.Add(min(lateRequestDelay, e.settings.GracePeriod/2)))
	go e.duties.release()
	time.Sleep(min(drainDelay, e.settings.GracePeriod/2))
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	if err := clients.Drain(ctx); err != nil {
		e.log.Warn().Err(err).Msg("grace period ended with requests still in progress")
	}
	// The process must end by itself even if the store or a peer does not answer.
	ctx, cancel = context.WithDeadline(context.Background(), began.Add(e.settings.GracePeriod-exitMargin))
	defer cancel()
	var calls sync.WaitGroup
	calls.Go(func() { e.duties.usage.lastReport(ctx) })
	calls.Go(func() { e.controller.deregister(ctx) })
	calls.Wait()
	e.log.Info().Dur("took_ms", time.Since(began)).Msg("edge stopped")
}

// readyHandler serves the readiness probe of the load balancer, and the metrics.
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
	return v != nil && v.Config != nil && e.prepared.Load() && !e.stopping.Load()
}
