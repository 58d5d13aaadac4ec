// Package upstream manages HTTP connections to backend servers. It sends a request on one
// connection and never retries: the error tells the caller whether any byte may have been
// sent, and the caller decides on another attempt.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"cactusknot.example/daemon/progress"
)

const (
	// dialTimeout bounds a connection attempt. Round trips between VMs of a region take
	// milliseconds.
	dialTimeout = 700 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 8
	// defaultIdleTimeout is the assumed idle timeout of a server that states none.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the server's idle timeout, so that no request
	// is sent while the server closes the connection.
	idleTimeoutMargin = time.Second
	// readBuffer is the size in bytes of a connection's read buffer.
	readBuffer = 4 << 10
	// maxRequestsPerConn bounds the requests on one connection, and so the IDs that are
	// remembered for it.
	maxRequestsPerConn = 128
	// probeIdle, probeInterval and probeCount are the TCP keep-alive settings. They
	// detect within about three seconds a peer that has vanished without a reset.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// userTimeout is how long sent data may stay unacknowledged (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
)

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	// Now returns the current time. It must not change after the first call of Send.
	Now func() time.Time
	// MaxOpen bounds the open connections; 0 for no bound. Idle ones give way to new ones. It must not
	// change after the first call of Send.
	MaxOpen int

	dialer net.Dialer
	// open counts the connections that are open or being opened.
	open   atomic.Int64
	mu     sync.Mutex
	idle   map[Target][]*conn
	opened uint64
}

// Target identifies a backend server. It includes the server's ID because an address may
// later belong to another server.
type Target struct {
	ID      string
	Address string
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{Now: time.Now, idle: make(map[Target][]*conn)}
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
	pool   *Pool
	closed atomic.Bool
	target Target
	// input limits what arrives without progress; reader buffers it.
	input  *progress.Reader
	reader *bufio.Reader
	// carried holds the hashes of the IDs of the requests sent on the connection. A late
	// copy of a response has the ID of one of them.
	carried []uint64
	// expires is when an idle connection must no longer be used.
	expires time.Time
	// idleRead receives the result of the read that watches an idle connection.
	idleRead chan error
}

// get returns a connection to the target for the request with the ID. It has not carried
// that ID before. If fresh is set it is a new one: when that breaks before the first byte,
// the server's idle timeout can't be the cause.
func (p *Pool) get(ctx context.Context, target Target, id string, fresh bool) (c *conn, err error) {
	hash := xxhash.Sum64String(id)
	for !fresh {
		if c = p.takeIdle(target); c == nil {
			break
		}
		if c.reclaim() && !slices.Contains(c.carried, hash) {
			c.carried = append(c.carried, hash)
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dial(ctx, target.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c = p.newConn(NoticeResets(raw), target)
	c.carried = append(c.carried, hash)
	return c, nil
}

// dial opens a connection. Its error is ErrNoConnection if this process has no room for one.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.reserve() {
		return nil, ErrNoConnection
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.open.Add(-1)
	}
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return nil, errors.Join(ErrNoConnection, err)
	}
	return raw, err
}

// reserve makes room for one more connection, which takes the place of an idle one if there are too
// many. It returns false if all are in use.
func (p *Pool) reserve() bool {
	if open := p.open.Add(1); p.MaxOpen == 0 || open <= int64(p.MaxOpen) {
		return true
	}
	if c := p.takeAnyIdle(); c != nil {
		c.Close()
		return true
	}
	p.open.Add(-1)
	return false
}

// takeAnyIdle takes an idle connection to some server, or returns nil if there is none.
func (p *Pool) takeAnyIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		if n := len(list); n > 0 {
			p.idle[target] = list[:n-1]
			return list[n-1]
		}
	}
	return nil
}

func (p *Pool) newConn(raw net.Conn, target Target) *conn {
	input := progress.NewReader(raw, p.Now)
	return &conn{Conn: raw, pool: p, target: target, input: input, reader: bufio.NewReaderSize(input, readBuffer)}
}

// Close implements net.Conn. Further calls do nothing.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	defer c.pool.open.Add(-1)
	return c.Conn.Close()
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

// reclaim ends the read of watchIdle and tells whether the connection is still usable.
func (c *conn) reclaim() bool {
	if err := c.SetReadDeadline(time.Now()); err != nil {
		return false
	}
	err := <-c.idleRead
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() || time.Now().After(c.expires) {
		return false
	}
	return c.SetDeadline(time.Time{}) == nil
}

// watchIdle reads from an idle connection until data, an error or the deadline set by
// reclaim. Data or any other error make the connection unusable, since no request is
// waiting for a response.
func (c *conn) watchIdle() {
	_, err := c.reader.Peek(1)
	c.idleRead <- err
}

// put keeps the connection for a later request, or closes it if that is not safe. idle is
// the server's idle timeout, or 0 if it is not known.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdleTimeout
	}
	worn := len(c.carried) >= maxRequestsPerConn || c.reader.Buffered() > 0
	if idle -= idleTimeoutMargin; worn || idle <= 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.input.Begin(progress.Limits{})
	c.expires = time.Now().Add(idle)
	c.idleRead = make(chan error, 1)
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
	go c.watchIdle()
}

// Prune closes idle connections that have expired or whose server is not in use.
func (p *Pool) Prune(now time.Time, inUse map[Target]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && inUse[target] {
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
