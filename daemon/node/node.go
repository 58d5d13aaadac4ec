// Package node implements what routers and agents have in common: identity,
// connections to other processes and to the platform, configuration, health and
// metrics.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"cactusknot.example/coord/clock"
	"cactusknot.example/coord/invariant"
	"cactusknot.example/coord/kv"
	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/bundle"
	"cactusknot.example/daemon/config"
	"cactusknot.example/daemon/distribute"
	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/transfer"
)

// Limits of the store calls of one process per second.
const (
	// storeCalls covers the configuration, load permits and callers' keys.
	storeCalls = 10
	// LedgerStoreCalls covers the collectors of a router: three calls a second for
	// each of their shards. All 32 shards of the ledger together need 96, however
	// many routers share them.
	LedgerStoreCalls = 100
	storeCallsBurst  = 40
)

// Node is the common part of a router or an agent.
type Node struct {
	Settings    config.Node
	Role        auth.Role
	Log         zerolog.Logger
	Clock       clock.Clock
	Metrics     *metrics.Set
	Checker     *invariant.Checker
	Store       *kv.Client
	Credentials *auth.Credentials
	// Client calls other processes over mutual TLS and HTTP/2.
	Client *http.Client
	// RPC is Client for calls whose responses are read whole, which are bounded.
	RPC       *http.Client
	Directory *Directory
	Syncer    *distribute.Syncer
	// LocalLedger is the ledger service of this process if it is a router, else nil.
	LocalLedger rpc.Ledger

	ready readiness
	era   storeEra
}

// Hooks are called by the syncer after a change is visible. They must not block.
type Hooks struct {
	OnBundle  func(*distribute.Current)
	OnStop    func()
	OnCounter func(*rpc.QualityCounter)
}

// New returns the common part of a process. It opens no connections.
func New(settings config.Node, role auth.Role, log zerolog.Logger) (*Node, error) {
	credentials, err := auth.LoadCredentials(settings.TLS)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n := &Node{
		Settings:    settings,
		Role:        role,
		Log:         log.With().Str("vm", settings.VM).Str("role", string(role)).Logger(),
		Clock:       clock.System{},
		Metrics:     metrics.NewSet(),
		Credentials: credentials,
		Client:      newClient(credentials),
	}
	n.RPC = newRPCClient(n.Client)
	n.Checker = &invariant.Checker{OnViolation: n.reportViolation}
	n.Store = n.OpenStore(storeCalls)
	n.Metrics.NewGauge("cactusknot_store_era", func() float64 { return float64(n.StoreEra()) })
	n.Directory = NewDirectory(n)
	return n, nil
}

// InitSyncer creates the configuration syncer.
func (n *Node) InitSyncer(hooks Hooks) {
	anchor := bundle.TrustAnchor{SignOffs: max(n.Settings.RootSignOffs, 1)}
	for _, key := range n.Settings.RootKeys {
		anchor.Roots = append(anchor.Roots, bundle.OperatorKey{Name: key.Name, PublicKey: key.PublicKey})
	}
	n.Syncer = distribute.New(distribute.Config{
		Self:     n.self(),
		Anchor:   anchor,
		Store:    n.Store,
		Network:  n.Directory,
		Clock:    n.Clock,
		Rand:     NewRand(),
		Checker:  n.Checker,
		Log:      n.Log,
		Metrics:  n.Metrics,
		OnBundle: hooks.OnBundle,
		OnStop: func(*rpc.StopNotice) {
			if hooks.OnStop != nil {
				hooks.OnStop()
			}
		},
		OnCounter:       hooks.OnCounter,
		StoreEra:        n.StoreEra,
		ObserveStoreEra: func(era uint64) { n.ObserveStoreEra(era, EraFromPeer) },
	})
	n.OnStoreEra(func(uint64) { n.Syncer.WakeForEra() })
}

// Run keeps directory and configuration up to date until ctx ends.
func (n *Node) Run(ctx context.Context) {
	go n.Directory.run(ctx)
	go func() {
		if err := n.Syncer.Run(ctx); err != nil && ctx.Err() == nil {
			n.Log.Error().Err(err).Msg("configuration syncer stopped")
		}
	}()
}

func (n *Node) self() distribute.Member {
	return distribute.Member{
		Node:       n.Settings.VM,
		DataCentre: n.Settings.DataCentre,
		Region:     n.Settings.Region,
		Router:     n.Role == auth.RoleRouter,
		Live:       true,
	}
}

func (n *Node) reportViolation(name invariant.Name, detail string) {
	n.Metrics.GetOrCreateCounter(`cactusknot_invariant_violations_total{name="` + string(name) + `"}`).Inc()
	n.Log.Error().Str("invariant", string(name)).Str("detail", detail).Msg("invariant violated")
	if n.Settings.FatalInvariants {
		os.Exit(ExitCodeInvariant)
	}
}

// ExitCodeInvariant is the exit code of a process that ends because of a violated
// invariant.
const ExitCodeInvariant = 70

// NewRand returns a random source seeded by the operating system.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

const (
	// StreamBufferBytes limits the data that a paused stream buffers in this process.
	// It is the HTTP/2 receive window of one stream.
	StreamBufferBytes = 64 << 10
	// pingAfter and pingTimeout detect connections whose peer is dead or paused.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
	dialTimeout = 2 * time.Second
	// maxResponse bounds the size in bytes of a response that is read whole, maxResponses the sum
	// of all that are being read. The longest is a bundle, which is a fraction of it.
	maxResponse  = 8 << 20
	maxResponses = 16 << 20
)

// newRPCClient returns a client like another one whose responses are bounded, and whose progress
// the callers' limits see.
func newRPCClient(client *http.Client) *http.Client {
	bounded := httplimit.NewTransport(client.Transport, maxResponse, &httplimit.Budget{Max: maxResponses})
	return &http.Client{Transport: transfer.NewTransport(bounded, transfer.Limits{}, &transfer.Stats{}, func(transfer.Report) {})}
}

func newClient(credentials *auth.Credentials) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:        credentials.ClientConfig(),
		ForceAttemptHTTP2:      true,
		MaxResponseHeaderBytes: httplimit.MaxHeaderBytes,
		DialContext:            dialer().DialContext,
		TLSHandshakeTimeout:    dialTimeout,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: StreamBufferBytes,
			SendPingTimeout:           pingAfter,
			PingTimeout:               pingTimeout,
		},
	}}
}
