package node

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/twitchtv/twirp"

	"cactusknot.example/daemon/auth"
	"cactusknot.example/daemon/frontend"
	"cactusknot.example/daemon/rpc"
	"cactusknot.example/daemon/topology"
)

// readiness holds the conditions of Ready.
type readiness struct {
	configured atomic.Bool
	draining   atomic.Bool
}

// SetConfigured records that a verified configuration is in force.
func (n *Node) SetConfigured() { n.ready.configured.Store(true) }

// SetDraining makes the process permanently unready.
func (n *Node) SetDraining() { n.ready.draining.Store(true) }

// Draining reports whether a graceful shutdown is in progress.
func (n *Node) Draining() bool { return n.ready.draining.Load() }

// Ready reports whether the process accepts new requests.
func (n *Node) Ready() bool { return n.ready.configured.Load() && !n.Draining() }

const (
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a connection may be kept without a request.
	idleTimeout = 90 * time.Second
	// connDescriptorShare is the share of the open files of the process that the connections of a
	// listener may take.
	connDescriptorShare = 1.0 / 4
)

// newServer returns a server that bounds its connections. Each listener has its own bound, so that
// callers do not take the place of other processes.
func newServer(handler http.Handler, bounds frontend.Bounds) *frontend.Server {
	bounds.MaxConns = int(connDescriptorShare * float64(frontend.DescriptorLimit()))
	limits := topology.DefaultLimits()
	limits.HeaderTimeout, limits.IdleTimeout = headerTimeout, idleTimeout
	return frontend.New(handler, func() topology.Limits { return limits }, bounds)
}

// NewEcho returns an Echo instance that prints no banner and no port.
func NewEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	return e
}

// AdminHandler serves liveness, readiness and metrics.
func (n *Node) AdminHandler() *echo.Echo {
	e := NewEcho()
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", n.serveReady)
	e.GET("/metrics", func(c echo.Context) error {
		n.Metrics.WritePrometheus(c.Response())
		metrics.WriteProcessMetrics(c.Response())
		return nil
	})
	return e
}

func (n *Node) serveReady(c echo.Context) error {
	if !n.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// PeerHandler serves the Peer service. The node in a Sync message must match the
// client certificate.
func (n *Node) PeerHandler() http.Handler {
	return auth.RequireIdentity(rpc.NewPeerServer(&peerServer{syncer: n.Syncer}))
}

type peerServer struct{ syncer rpc.Peer }

func (p *peerServer) Sync(ctx context.Context, in *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	id, ok := auth.IdentityFrom(ctx)
	if !ok || id.VM != in.GetNode() {
		return nil, twirp.NewError(twirp.PermissionDenied, "the message names another node than the certificate")
	}
	return p.syncer.Sync(ctx, in)
}

func (p *peerServer) FetchManifest(ctx context.Context, in *rpc.FetchManifestRequest) (*rpc.FetchManifestResponse, error) {
	return p.syncer.FetchManifest(ctx, in)
}

func (p *peerServer) FetchParts(ctx context.Context, in *rpc.FetchPartsRequest) (*rpc.FetchPartsResponse, error) {
	return p.syncer.FetchParts(ctx, in)
}

// ServeInternal serves handler to other processes over mutual TLS until the
// returned server is shut down.
func (n *Node) ServeInternal(handler http.Handler) (*frontend.Server, error) {
	server := newServer(handler, frontend.Bounds{})
	listener, err := net.Listen("tcp", n.Settings.InternalListen)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go n.serve("internal", func() error { return server.ServeTLS(listener, n.Credentials.ServerConfig()) })
	return server, nil
}

// ServePlain serves handler on address until the returned server is shut down, within the bounds on
// memory.
func (n *Node) ServePlain(name, address string, handler http.Handler, bounds frontend.Bounds) (*frontend.Server, error) {
	server := newServer(handler, bounds)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	go n.serve(name, func() error { return server.Serve(listener) })
	return server, nil
}

func (n *Node) serve(name string, run func() error) {
	if err := run(); err != nil && err != http.ErrServerClosed {
		n.Log.Error().Err(err).Str("listener", name).Msg("listener stopped")
	}
}
