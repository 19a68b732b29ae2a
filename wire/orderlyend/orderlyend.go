// Package orderlyend tells the orderly end of a connection from the end of one that has failed.
//
// The kernel reports the failure of a connection, such as a reset by the peer, to one system call only, the
// first that asks. If that is a write, a read after it returns the bytes that arrived before, and then io.EOF as
// if the peer had ended its side. Whoever takes the end of a connection for the end of a message would take a
// part of the message for all of it.
package orderlyend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side. If a write has failed
// before, Read returns the error of that write instead.
//
// The end of the reads is also the end of the writes: a write in progress is stopped, and later ones fail.
type Conn struct {
	net.Conn

	writing    sync.Mutex // held during a write
	writeError error      // of the first write that failed
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeError == nil {
		c.writeError = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.stopWriting(); failure != nil {
		return n, failure
	}
	return n, io.EOF
}

// stopWriting stops a write in progress, as its error may be known only when it returns, and returns the failure
// of the connection that a write has met, if any.
func (c *Conn) stopWriting() error {
	if err := c.Conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeError == nil || isAfterEnd(c.writeError) {
		return nil
	}
	return c.writeError
}

// isAfterEnd reports whether a write has failed although the peer had ended its side in an orderly way: the write
// was stopped by stopWriting, or the peer reset the connection after that. Linux reports a reset without an
// orderly end as ECONNRESET.
func isAfterEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}
