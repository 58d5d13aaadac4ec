package frontend

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cactusknot.example/daemon/httplimit"
)

const (
	// lingerTime is how long a connection is read after its end was sent, so that a request
	// that crosses it does not cause a reset.
	lingerTime = time.Second
	// maxLingerBytes is how many bytes of it are read.
	maxLingerBytes = 4 << 20
	// uncountedHead is the size in bytes up to which the head of a request takes nothing from the
	// memory of all requests.
	uncountedHead = 16 << 10
	// headCopies is how many times the size of a head its reading takes: the buffer of a long line
	// grows by copies, which stay until they are collected.
	headCopies = 4
)

// conn is a connection that ends with a FIN.
type conn struct {
	*net.TCPConn
	listener *listener

	mu sync.Mutex
	// idle is set while http.Server waits for a request or reads its head, began once data has
	// arrived since then.
	idle, began bool
	closed      bool
	// idleSince is when it was last set idle.
	idleSince time.Time
	// headBytes counts what has arrived while it was idle, and head holds the memory for it; nil
	// for a short head.
	headBytes int
	head      *httplimit.Message
	// writeBegan is when the present write began in Unix nanoseconds; 0 if there is none.
	writeBegan atomic.Int64
}

// trackIdle is a http.Server's ConnState hook.
func trackIdle(accepted net.Conn, state http.ConnState) {
	if secure, ok := accepted.(*tls.Conn); ok {
		accepted = secure.NetConn()
	}
	c, ok := accepted.(timeoutConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = state == http.StateIdle || state == http.StateNew
	if c.idle {
		c.began, c.idleSince = false, time.Now()
	}
	c.releaseHead()
}

// releaseHead gives back the memory of the head of a request.
func (c *conn) releaseHead() {
	if c.head != nil {
		c.head.End()
	}
	c.head, c.headBytes = nil, 0
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writeBegan.Store(time.Now().UnixNano())
	defer c.writeBegan.Store(0)
	return c.TCPConn.Write(p)
}

// Read implements net.Conn. After Close it returns no data.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	closed := c.closed
	c.began = c.began || n > 0
	head := c.longHead(n)
	c.mu.Unlock()
	if closed {
		return 0, net.ErrClosed
	}
	if head == nil {
		return n, err
	}
	head.Received(n)
	// The mutex is free, as this may wait for room.
	if takeErr := head.Take(time.Now(), headCopies*int64(n)); takeErr != nil {
		return 0, takeErr
	}
	return n, err
}

// longHead counts bytes of the head of a request. It returns the message for whose bytes memory is to
// be taken, or nil for a short head or none.
func (c *conn) longHead(bytes int) *httplimit.Message {
	if c.closed || !c.idle || c.listener.bounds.Intake == nil {
		return nil
	}
	if c.headBytes += bytes; c.headBytes <= uncountedHead {
		return nil
	}
	if c.head == nil {
		// The interruption is of the connection alone, as it may come while its mutex is held.
		c.head = c.listener.bounds.Intake.Begin(time.Now(), func() { _ = c.TCPConn.SetReadDeadline(time.Now()) })
	}
	return c.head
}

// endIfIdle closes the connection unless a request has begun to arrive.
func (c *conn) endIfIdle() {
	c.mu.Lock()
	end := c.idle && !c.began && !c.closed
	c.closed = c.closed || end
	c.mu.Unlock()
	if end {
		_ = c.linger()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.releaseHead()
	c.mu.Unlock()
	if closed {
		return nil
	}
	return c.linger()
}

// linger sends the end of the connection and discards what still arrives.
func (c *conn) linger() error {
	// The error of CloseWrite means that the connection has ended already.
	if c.CloseWrite() != nil || c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		c.listener.remove(c)
		return c.TCPConn.Close()
	}
	go func() {
		defer c.listener.remove(c)
		_, _ = io.Copy(io.Discard, io.LimitReader(c.TCPConn, maxLingerBytes))
		_ = c.TCPConn.Close()
	}()
	return nil
}
