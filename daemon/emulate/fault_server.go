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

// ErrServerClosed is returned when a closed FaultServer is reopened.
var ErrServerClosed = errors.New("emulate: server closed")

// maxReopenAttempts and reopenInterval bound the attempts to listen again on the
// address of a crashed server: an outgoing connection may briefly occupy the port.
const (
	maxReopenAttempts = 100
	reopenInterval    = 20 * time.Millisecond
)

// readHeaderTimeout bounds how long a client may keep a connection open without
// sending a request header.
const readHeaderTimeout = 30 * time.Second

// FaultServer is an HTTP server with connection faults: it can close its listener
// and all connections and listen again on the same address, and it can pause input
// and output.
type FaultServer struct {
	handler http.Handler
	log     zerolog.Logger
	addr    string
	// readGate pauses input; ioGate pauses input and output.
	readGate pauseGate
	ioGate   pauseGate

	mu     sync.Mutex
	server *http.Server
	closed bool
	timer  *time.Timer
	// onReopen is called before a crashed server accepts connections again.
	onReopen func()
}

// NewFaultServer returns a server that serves handler once Start is called.
func NewFaultServer(handler http.Handler, log zerolog.Logger) *FaultServer {
	return &FaultServer{handler: handler, log: log}
}

// Start listens on address, such as "127.0.0.1:0", and serves.
func (f *FaultServer) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addr = l.Addr().String()
	f.serveLocked(l)
	return nil
}

// Addr returns the host and port that the server listens on.
func (f *FaultServer) Addr() string { return f.addr }

// URL returns the base URL of the server without a trailing slash.
func (f *FaultServer) URL() string { return "http://" + f.addr }

type connKey struct{}

func (f *FaultServer) serveLocked(l net.Listener) {
	s := &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	f.server = s
	go func() {
		err := s.Serve(&pausableListener{Listener: l, server: f})
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			f.log.Error().Err(err).Str("listen", f.addr).Msg("emulator stopped serving")
		}
	}()
}

// Crash closes the listener and all connections, as happens when a process is
// killed. The server accepts connections again after d, or only after Reopen when d
// is zero.
func (f *FaultServer) Crash(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closeServerLocked()
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
	if d > 0 {
		f.timer = time.AfterFunc(d, func() {
			if err := f.Reopen(); err != nil && !errors.Is(err, ErrServerClosed) {
				f.log.Error().Err(err).Str("listen", f.addr).Msg("emulator could not reopen its listener")
			}
		})
	}
}

func (f *FaultServer) closeServerLocked() {
	if f.server != nil {
		_ = f.server.Close()
		f.server = nil
	}
}

// Reopen listens again on the address of a crashed server. It does nothing when
// the server is serving.
func (f *FaultServer) Reopen() error {
	for try := 1; ; try++ {
		err := f.tryReopen()
		if err == nil || errors.Is(err, ErrServerClosed) || try == maxReopenAttempts {
			return err
		}
		time.Sleep(reopenInterval)
	}
}

func (f *FaultServer) tryReopen() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return trace.Wrap(ErrServerClosed)
	}
	if f.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", f.addr)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if f.onReopen != nil {
		f.onReopen()
	}
	f.serveLocked(l)
	return nil
}

// Shutdown stops accepting connections, waits for running requests until ctx is
// done and then drops the remaining connections.
func (f *FaultServer) Shutdown(ctx context.Context) error {
	s := f.markClosed()
	f.readGate.pauseFor(0)
	f.ioGate.pauseFor(0)
	if s == nil {
		return nil
	}
	err := s.Shutdown(ctx)
	if err != nil {
		_ = s.Close()
	}
	return trace.Wrap(err)
}

// Close closes the listener and all connections permanently.
func (f *FaultServer) Close() {
	s := f.markClosed()
	if s != nil {
		_ = s.Close()
	}
	f.readGate.pauseFor(0)
	f.ioGate.pauseFor(0)
}

func (f *FaultServer) markClosed() *http.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	if f.timer != nil {
		f.timer.Stop()
	}
	s := f.server
	f.server = nil
	return s
}

// StopReading pauses input of all connections for d; zero ends the pause.
func (f *FaultServer) StopReading(d time.Duration) { f.readGate.pauseFor(d) }

// Freeze pauses input and output of all connections for d, like a stopped process;
// zero ends the pause.
func (f *FaultServer) Freeze(d time.Duration) { f.ioGate.pauseFor(d) }

// resetConn closes the connection of the request with a TCP reset.
func resetConn(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*pausableConn); ok {
		c.reset()
	}
}

// pausableListener wraps accepted connections so that the server can pause their
// input and output.
type pausableListener struct {
	net.Listener
	server *FaultServer
}

// Accept returns the next connection as a pausableConn.
func (l *pausableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausableConn{Conn: c, server: l.server, done: make(chan struct{})}, nil
}

type pausableConn struct {
	net.Conn
	server *FaultServer
	once   sync.Once
	done   chan struct{}
}

// Read waits for both gates before and after reading, so that bytes that arrive
// during a pause are delivered only after it.
func (c *pausableConn) Read(p []byte) (int, error) {
	if !c.waitForReads() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if !c.waitForReads() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *pausableConn) waitForReads() bool {
	return c.server.readGate.wait(c.done) && c.server.ioGate.wait(c.done)
}

// Write waits until the server is not frozen.
func (c *pausableConn) Write(p []byte) (int, error) {
	if !c.server.ioGate.wait(c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// CloseWrite closes the write side. net/http calls it before it closes a
// connection whose request body it has not read.
func (c *pausableConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// reset closes the connection so that the peer sees a reset instead of an EOF.
func (c *pausableConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Close closes the connection and unblocks paused reads and writes.
func (c *pausableConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
