package upstream

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// NoticeResets returns a connection whose Read does not take a reset for an orderly end. The kernel
// reports a reset once: if a concurrent Write has got it, Read finds only an end, and what has
// arrived of a message without a length looks complete.
func NoticeResets(c net.Conn) net.Conn {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return c
	}
	return &resetConn{Conn: c, raw: raw}
}

type resetConn struct {
	net.Conn
	raw syscall.RawConn
}

// Read implements net.Conn.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.wasReset() {
		return n, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether the connection is closed in both directions, which only a reset does
// before this side closes it.
func (c *resetConn) wasReset() bool {
	var events int16
	err := c.raw.Control(func(fd uintptr) {
		polled := []unix.PollFd{{Fd: int32(fd)}}
		if _, err := unix.Poll(polled, 0); err == nil {
			events = polled[0].Revents
		}
	})
	return err != nil || events&unix.POLLHUP != 0
}
