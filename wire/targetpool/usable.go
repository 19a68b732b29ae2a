package targetpool

import (
	"syscall"
)

// usable reports whether an idle connection is open and has nothing to read. It detects a
// target that closed the connection or sent bytes that belong to no request.
func usable(c *conn) bool {
	if c.in.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, readErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
