package frontend

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// backlogQuiet is how long no connection must have been established before a listener
	// is closed. The kernel resets those that are in the backlog then.
	backlogQuiet = 100 * time.Millisecond
	// maxQuietLateness is how late the end of that time may be noticed. A process that did not
	// run in the meantime says nothing of the connections that were established since.
	maxQuietLateness = 5 * time.Millisecond
)

// listener closes itself during a shutdown once no connection arrives any more. Its
// connections end without a reset.
type listener struct {
	*net.TCPListener
	draining *atomic.Bool
	closed   atomic.Bool
	bounds   Bounds
	// evicted counts the connections that were closed in favour of others, refused those that
	// were closed at once.
	evicted, refused atomic.Uint64

	mu sync.Mutex
	// open holds the connections that have not ended.
	open map[*conn]bool
	// quietUntil is when the listener is closed if no connection is established before.
	quietUntil time.Time
}

// awaitQuiet lets Accept close the listener after backlogQuiet without a connection.
func (l *listener) awaitQuiet() error {
	until := time.Now().Add(backlogQuiet)
	l.mu.Lock()
	l.quietUntil = until
	l.mu.Unlock()
	return l.SetDeadline(until)
}

// wasQuiet reports whether no connection has been established up to now, as far as a deadline
// that has passed tells.
func (l *listener) wasQuiet(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.quietUntil) <= maxQuietLateness
}

// pending reports whether a connection has been established that was not accepted. The deadline
// of the listener does not tell: once it has passed, the backlog is not looked at.
func (l *listener) pending() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	for err != nil && l.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if l.wasQuiet(time.Now()) && !l.pending() {
			l.closed.Store(true)
			return nil, errors.Join(net.ErrClosed, l.TCPListener.Close())
		}
		if err := l.awaitQuiet(); err != nil {
			return nil, err
		}
		raw, err = l.AcceptTCP()
	}
	if err != nil {
		return nil, err
	}
	if l.draining.Load() {
		// An error means that the listener is closed, which the next call reports.
		_ = l.awaitQuiet()
	}
	// An error means that the connection has ended, which its first read reports.
	if l.bounds.ReadBuffer > 0 {
		_ = raw.SetReadBuffer(l.bounds.ReadBuffer)
	}
	c := &conn{TCPConn: raw, listener: l, idle: true, idleSince: time.Now()}
	l.mu.Lock()
	l.open[c] = true
	surplus := l.bounds.MaxConns > 0 && len(l.open) > l.bounds.MaxConns
	l.mu.Unlock()
	if surplus {
		l.evictOne(c)
	}
	return c, nil
}

// connections returns the number of open connections.
func (l *listener) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}
