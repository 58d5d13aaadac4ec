package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds the time that sent bytes stay unacknowledged, so that a
// partition is noticed without waiting for the kernel's retransmissions.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
