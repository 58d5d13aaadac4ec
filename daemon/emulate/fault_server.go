package emulate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"
)

// Errors of Host.
var (
	// ErrHostClosed: the host was closed and can't be reopened.
	ErrHostClosed = errors.New("emulate: host closed")
)

// reopenTries and reopenPause bound the attempts to listen again on the address
// of a crashed host: an outgoing connection may hold the port for a moment.
const (
	reopenTries = 100
	reopenPause = 20 * time.Millisecond
)

// readHeaderTimeout bounds how long an idle client may hold a connection open
// without sending a request header.
const readHeaderTimeout = 30 * time.Second

// Host runs an HTTP server whose listener and connections can be dropped and
// opened again on the same address, and whose input and output can be held back.
type Host struct {
	handler http.Handler
	log     zerolog.Logger
	addr    string
	// reading holds back input; frozen holds back input and output.
	reading gate
	frozen  gate

	mu     sync.Mutex
	server *http.Server
	closed bool
	timer  *time.Timer
	// onReopen is called before a crashed host accepts connections again.
	onReopen func()
}

// NewHost returns a host that serves handler once Start is called.
func NewHost(handler http.Handler, log zerolog.Logger) *Host {
	return &Host{handler: handler, log: log}
}

// Start listens on address, such as "127.0.0.1:0", and serves.
func (h *Host) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addr = l.Addr().String()
	h.serveLocked(l)
	return nil
}

// Addr returns the host and port that the server listens on.
func (h *Host) Addr() string { return h.addr }

// URL returns the base URL of the server without a trailing slash.
func (h *Host) URL() string { return "http://" + h.addr }

type connKey struct{}

func (h *Host) serveLocked(l net.Listener) {
	s := &http.Server{
		Handler:           h.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	h.server = s
	go func() {
		err := s.Serve(&heldListener{Listener: l, host: h})
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Error().Err(err).Str("listen", h.addr).Msg("emulator stopped serving")
		}
	}()
}

// Crash closes the listener and all connections, as a killed process does. The host accepts
// connections again after d, or only after Reopen when d is zero.
func (h *Host) Crash(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return
	}
	h.dropLocked()
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	if d > 0 {
		h.timer = time.AfterFunc(d, func() {
			if err := h.Reopen(); err != nil && !errors.Is(err, ErrHostClosed) {
				h.log.Error().Err(err).Str("listen", h.addr).Msg("emulator can't listen again")
			}
		})
	}
}

func (h *Host) dropLocked() {
	if h.server != nil {
		_ = h.server.Close()
		h.server = nil
	}
}

// Reopen listens again on the address of a crashed host. It does nothing when
// the host is serving.
func (h *Host) Reopen() error {
	for try := 1; ; try++ {
		err := h.reopenOnce()
		if err == nil || errors.Is(err, ErrHostClosed) || try == reopenTries {
			return err
		}
		time.Sleep(reopenPause)
	}
}

func (h *Host) reopenOnce() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return trace.Wrap(ErrHostClosed)
	}
	if h.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", h.addr)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if h.onReopen != nil {
		h.onReopen()
	}
	h.serveLocked(l)
	return nil
}

// Shutdown stops accepting connections, waits for running requests until ctx
// ends and then drops the rest.
func (h *Host) Shutdown(ctx context.Context) error {
	s := h.markClosed()
	h.reading.shut(0)
	h.frozen.shut(0)
	if s == nil {
		return nil
	}
	err := s.Shutdown(ctx)
	if err != nil {
		_ = s.Close()
	}
	return trace.Wrap(err)
}

// Close drops the listener and all connections for good.
func (h *Host) Close() {
	s := h.markClosed()
	if s != nil {
		_ = s.Close()
	}
	h.reading.shut(0)
	h.frozen.shut(0)
}

func (h *Host) markClosed() *http.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	if h.timer != nil {
		h.timer.Stop()
	}
	s := h.server
	h.server = nil
	return s
}

// StopReading holds back input of all connections for d; zero ends the fault.
func (h *Host) StopReading(d time.Duration) { h.reading.shut(d) }

// Freeze holds back input and output of all connections for d, as a paused
// process does; zero ends the fault.
func (h *Host) Freeze(d time.Duration) { h.frozen.shut(d) }

// resetConn closes the connection of the request with a reset.
func resetConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*heldConn); ok {
		c.reset()
	}
}

// heldListener wraps accepted connections so that the host can hold them back.
type heldListener struct {
	net.Listener
	host *Host
}

// Accept returns the next connection.
func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: c, host: l.host, done: make(chan struct{})}, nil
}

type heldConn struct {
	net.Conn
	host *Host
	once sync.Once
	done chan struct{}
}

// Read waits for both gates before and after reading, so that bytes that arrive
// during the fault stay in the socket or here.
func (c *heldConn) Read(p []byte) (int, error) {
	if !c.mayRead() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if !c.mayRead() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *heldConn) mayRead() bool {
	return c.host.reading.pass(c.done) && c.host.frozen.pass(c.done)
}

// Write waits until the host isn't frozen.
func (c *heldConn) Write(p []byte) (int, error) {
	if !c.host.frozen.pass(c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// CloseWrite ends the output; net/http uses it before it closes a connection
// whose request body it has not read.
func (c *heldConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// reset closes the connection so that the peer sees a reset instead of an end.
func (c *heldConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the connection.
func (c *heldConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
