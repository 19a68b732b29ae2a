// Package tcpopt sets TCP socket options that the standard library does not offer.
package tcpopt

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
const tcpUserTimeout = 18

// UserTimeout returns a Control function for net.Dialer that sets TCP_USER_TIMEOUT, in whole
// milliseconds: the kernel closes a connection on which sent data has not been acknowledged
// for d. Keep-alive probes alone do not suffice: they detect a silent peer only while no data
// is in flight to it.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
		})
		return errors.Join(err, optErr)
	}
}
