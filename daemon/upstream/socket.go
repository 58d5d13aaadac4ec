package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds the time for which sent data may stay unacknowledged, so that a
// network partition is detected before the kernel's retransmission limit.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
