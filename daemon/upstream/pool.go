// Package upstream holds the connections to backend servers. A request is
// written to exactly one connection and never sent again by this package: the
// caller learns whether any byte may have left and decides.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// dialTimeout bounds a connection attempt; VMs of a region are milliseconds apart.
	dialTimeout = 700 * time.Millisecond
	// maxIdlePerServer bounds the idle connections kept to one backend server.
	maxIdlePerServer = 8
	// defaultIdle is how long a connection is kept when the server states no time.
	defaultIdle = 4 * time.Second
	// idleMargin is subtracted from the server's own time so that a request does
	// not cross the server's close.
	idleMargin = time.Second
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 4 << 10
	// probeIdle, probeInterval and probeCount detect a peer that is gone without a
	// reset in about three seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// unacknowledged is how long sent bytes may stay unacknowledged.
	unacknowledged = 2 * time.Second
)

// Pool keeps idle connections per backend server. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[Target][]*conn
	opened uint64
}

// Target names a backend server. The identity is part of it because an address
// may be given to another server later.
type Target struct {
	ID      string
	Address string
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: make(map[Target][]*conn)}
	p.dialer = net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
	return p
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	target Target
	reader *bufio.Reader
	// until is when an idle connection is given up.
	until time.Time
	// watch ends with the result of the read that guards an idle connection.
	watch chan error
}

// get returns a connection. fresh demands a new one, whose loss before the
// first byte cannot be confused with the server's idle timeout.
func (p *Pool) get(ctx context.Context, target Target, fresh bool) (c *conn, err error) {
	for !fresh {
		if c = p.takeIdle(target); c == nil {
			break
		}
		if c.revive() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &conn{Conn: raw, target: target, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func (p *Pool) takeIdle(target Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[target] = list[:len(list)-1]
	return c
}

// revive ends the guarding read and tells whether the connection is still usable.
func (c *conn) revive() bool {
	if err := c.SetReadDeadline(time.Now()); err != nil {
		return false
	}
	err := <-c.watch
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() || time.Now().After(c.until) {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// guard reads from an idle connection. Any byte or error makes it unusable: a
// response that nobody waits for belongs to no request.
func (c *conn) guard() {
	_, err := c.reader.Peek(1)
	c.watch <- err
}

// put keeps the connection for a later request.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle
	}
	if idle -= idleMargin; idle <= 0 || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.until = time.Now().Add(idle)
	c.watch = make(chan error, 1)
	p.mu.Lock()
	keep := len(p.idle[c.target]) < maxIdlePerServer
	if keep {
		p.idle[c.target] = append(p.idle[c.target], c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
		return
	}
	go c.guard()
}

// Prune closes connections whose time is over or whose server is not in use.
func (p *Pool) Prune(now time.Time, inUse map[Target]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) && inUse[target] {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, target)
		} else {
			p.idle[target] = kept
		}
	}
}
