package frontend

import (
	"net"
	"time"

	"cactusknot.example/daemon/topology"
)

// http.Server reads its timeouts only once, but the configuration may change them at
// run time. The server is therefore given these sentinel timeouts, which are longer
// than any other deadline of a connection. A timeoutConn recognizes a deadline set
// from a sentinel and replaces it by the configured timeout.
const (
	headerTimeoutSentinel = 1000 * time.Hour
	idleTimeoutSentinel   = 2000 * time.Hour
	// sentinelMargin is the tolerance when a deadline is matched to a sentinel. It is
	// smaller than the difference between the sentinels.
	sentinelMargin = time.Hour
)

// timeoutListener applies the configured timeouts to its connections.
type timeoutListener struct {
	*listener
	limits func() topology.Limits
}

// Accept implements net.Listener.
func (l timeoutListener) Accept() (net.Conn, error) {
	accepted, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	return timeoutConn{accepted.(*conn), l.limits}, nil
}

// timeoutConn is a client connection with the configured timeouts.
type timeoutConn struct {
	*conn
	limits func() topology.Limits
}

// SetReadDeadline implements net.Conn.
func (c timeoutConn) SetReadDeadline(t time.Time) error {
	switch remaining := time.Until(t); {
	case t.IsZero():
	case remaining > idleTimeoutSentinel-sentinelMargin:
		t = time.Now().Add(c.limits().IdleTimeout)
	case remaining > headerTimeoutSentinel-sentinelMargin:
		t = time.Now().Add(c.limits().HeaderTimeout)
	}
	return c.conn.SetReadDeadline(t)
}
