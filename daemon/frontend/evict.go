package frontend

import (
	"maps"
	"slices"
	"time"
)

const (
	// idleGrace is how long a connection is spared after a request, if there are slow clients.
	idleGrace = 2 * time.Second
	// unreadTime is how long a client may keep a write waiting before its connection gives way to
	// new ones.
	unreadTime = 500 * time.Millisecond
)

// evictOne makes room for a new connection. It closes the one that has been without a request for
// longest if that is idleGrace or more, else the one whose client has not read its answer for longest,
// else one without a request, which its client may be about to use, else the new one.
func (l *listener) evictOne(latest *conn) {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	now := time.Now()
	var idlest, slowest *conn
	var idleSince, slowSince time.Time
	for _, c := range open {
		if since, idle := c.withoutRequest(); idle && c != latest && (idlest == nil || since.Before(idleSince)) {
			idlest, idleSince = c, since
		}
		if since, blocked := c.unread(now); blocked && (slowest == nil || since.Before(slowSince)) {
			slowest, slowSince = c, since
		}
	}
	idleLong := idlest != nil && now.Sub(idleSince) >= idleGrace
	if idleLong && idlest.evict(false) || slowest != nil && slowest.evict(true) || idlest != nil && idlest.evict(false) {
		l.evicted.Add(1)
		return
	}
	l.refused.Add(1)
	latest.evict(true)
}

// endIdle ends the connections without a request and returns the number of open ones.
func (l *listener) endIdle() int {
	l.mu.Lock()
	open := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, c := range open {
		if l.closed.Load() {
			c.endIfIdle()
		}
	}
	return len(open)
}

// withoutRequest reports whether the connection has no request whose head has arrived, and since
// when.
func (c *conn) withoutRequest() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, c.idle || c.closed
}

// unread reports whether the client has kept a write of its answer waiting for long, and since when.
func (c *conn) unread(now time.Time) (since time.Time, ok bool) {
	began := c.writeBegan.Load()
	if began == 0 {
		return time.Time{}, false
	}
	since = time.Unix(0, began)
	return since, now.Sub(since) >= unreadTime
}

// evict ends the connection at once, but only if no request has come in the meantime unless
// withRequest is set. What still arrives is answered by a reset.
func (c *conn) evict(withRequest bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle && !c.closed && !withRequest {
		return false
	}
	c.closed = true
	c.listener.remove(c)
	_ = c.TCPConn.Close()
	return true
}
