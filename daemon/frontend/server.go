// Package frontend is the HTTP server for callers, and for other processes. It differs from
// http.Server in three ways: its timeouts may change while it runs, a planned stop closes no connection
// whose request it has just read and resets none in the backlog, and what clients make the process
// hold is bounded: connections, the heads of requests, and what is received and not read.
package frontend

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cactusknot.example/daemon/httplimit"
	"cactusknot.example/daemon/topology"
)

const (
	// maxHeaderBytes limits the request headers that are read. The configured limit is
	// lower and is checked afterwards.
	maxHeaderBytes = 256 << 10
	// drainPoll is the interval at which the end of all connections is awaited.
	drainPoll = 10 * time.Millisecond
	// connMemoryShare is the share of the memory of the process that connections may take, at
	// connMemory bytes each, two buffers and two goroutines, and the kernel's receive buffer.
	connMemoryShare = 0.4
	connMemory      = 24 << 10
)

// Server is an HTTP server for one listener.
type Server struct {
	server   *http.Server
	limits   func() topology.Limits
	bounds   Bounds
	draining atomic.Bool
	listener atomic.Pointer[listener]
}

// Bounds bounds what clients make the process hold. The zero value bounds nothing.
type Bounds struct {
	// Intake bounds the memory of requests, of which the server takes that of their heads; nil for no
	// bound.
	Intake *httplimit.Intake
	// MaxConns bounds the open connections; 0 for no bound.
	MaxConns int
	// Memory is what the process may take in bytes. It bounds the open connections too; 0 for no
	// bound.
	Memory int64
	// ReadBuffer is the size in bytes of the kernel's receive buffer of a connection; 0 for that of the
	// system. That grows to megabytes, which count as memory of the machine, while a client sends
	// what nobody reads.
	ReadBuffer int
}

// maxConns returns the bound on the open connections; 0 for none.
func (b Bounds) maxConns() int {
	if b.Memory <= 0 {
		return b.MaxConns
	}
	fit := max(1, int(connMemoryShare*float64(b.Memory))/(connMemory+b.ReadBuffer))
	if b.MaxConns > 0 {
		return min(b.MaxConns, fit)
	}
	return fit
}

// DescriptorLimit returns the limit of open files of this process; 0 if there is none.
func DescriptorLimit() int {
	var files unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &files) != nil || files.Cur > math.MaxInt32 {
		return 0
	}
	return int(files.Cur)
}

// New returns a server that applies the limits' timeouts to its connections.
func New(handler http.Handler, limits func() topology.Limits, bounds Bounds) *Server {
	bounds.MaxConns = bounds.maxConns()
	s := &Server{limits: limits, bounds: bounds}
	s.server = &http.Server{
		Handler: s.announceEnd(handler), ReadHeaderTimeout: headerTimeoutSentinel, IdleTimeout: idleTimeoutSentinel,
		MaxHeaderBytes: maxHeaderBytes, ConnState: trackIdle,
	}
	return s
}

// announceEnd tells clients in the responses during the shutdown that the connection ends.
func (s *Server) announceEnd(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Serve serves the connections of a TCP listener until the server is stopped. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	return s.end(s.server.Serve(s.wrap(l)))
}

// ServeTLS is Serve over TLS.
func (s *Server) ServeTLS(l net.Listener, config *tls.Config) error {
	s.server.TLSConfig = config
	return s.end(s.server.ServeTLS(s.wrap(l), "", ""))
}

func (s *Server) wrap(l net.Listener) net.Listener {
	wrapped := &listener{TCPListener: l.(*net.TCPListener), draining: &s.draining, open: make(map[*conn]bool), bounds: s.bounds}
	s.listener.Store(wrapped)
	return timeoutListener{wrapped, s.limits}
}

// end returns the error of a server that has ended.
func (s *Server) end(err error) error {
	if s.draining.Load() {
		return http.ErrServerClosed
	}
	return err
}

// Drain accepts no further connections once clients have stopped opening them, ends idle
// connections, and waits until all requests are answered and all connections have ended, or
// ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	defer s.server.Close()
	l := s.listener.Load()
	if l == nil {
		return nil
	}
	if err := l.awaitQuiet(); err != nil {
		return err
	}
	for {
		if l.endIdle() == 0 && l.closed.Load() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// Shutdown closes the listener at once and waits until all requests are answered, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close ends the server and its connections.
func (s *Server) Close() error { return s.server.Close() }

// Stats counts the connections of a server.
type Stats struct {
	// Open is the number of open connections.
	Open int
	// Evicted counts those that were closed in favour of others, Refused those that were closed at
	// once.
	Evicted, Refused uint64
}

// Stats returns the present counts.
func (s *Server) Stats() Stats {
	l := s.listener.Load()
	if l == nil {
		return Stats{}
	}
	return Stats{Open: l.connections(), Evicted: l.evicted.Load(), Refused: l.refused.Load()}
}
