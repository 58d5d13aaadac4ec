package edge

import (
	"net"
	"time"

	"cactusknot.example/daemon/topology"
)

// The server library takes its times once, at the start, while the configuration
// changes them later. The server is given these two marks instead, far beyond any
// other deadline of a connection, and a connection replaces a deadline that lies at
// a mark by the time that is in force.
const (
	headerMark = 1000 * time.Hour
	idleMark   = 2000 * time.Hour
	// markSlack is below the difference of the marks.
	markSlack = time.Hour
)

// limitedListener gives its connections the limits in force.
type limitedListener struct {
	net.Listener
	limits func() topology.Limits
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return limitedConn{conn, l.limits}, nil
}

// limitedConn is a caller's connection.
type limitedConn struct {
	net.Conn
	limits func() topology.Limits
}

// SetReadDeadline implements net.Conn.
func (c limitedConn) SetReadDeadline(t time.Time) error {
	switch left := time.Until(t); {
	case t.IsZero():
	case left > idleMark-markSlack:
		t = time.Now().Add(c.limits().IdleTimeout)
	case left > headerMark-markSlack:
		t = time.Now().Add(c.limits().HeaderTimeout)
	}
	return c.Conn.SetReadDeadline(t)
}
