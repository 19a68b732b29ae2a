package targetpool

import "sync/atomic"

// ByteCounter counts the bytes sent to and received from targets. Safe for concurrent use.
// The bytes of a Request whose field Bytes is nil are not counted.
type ByteCounter struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes sent.
func (b *ByteCounter) Sent() int64 { return b.sent.Load() }

// Received returns the number of bytes received.
func (b *ByteCounter) Received() int64 { return b.received.Load() }

// Read implements net.Conn. It adds the bytes to the counter of the current exchange. It fails with
// TooLarge or BadAnswer if they belong to a head that exceeds its bounds or is none.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.stream.Read(p)
	if b := c.bytes; b != nil {
		b.received.Add(int64(n))
	}
	if headErr := c.checkHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// Write implements net.Conn. It adds the bytes to the counter of the current exchange.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.stream.Write(p)
	if b := c.bytes; b != nil {
		b.sent.Add(int64(n))
	}
	return n, err
}
