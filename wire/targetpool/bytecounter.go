package targetpool

import "sync/atomic"

// ByteCounter counts what goes to targets and comes from them. Safe for concurrent use; a nil
// *ByteCounter counts nothing.
type ByteCounter struct {
	sent, received atomic.Int64
}

// Sent is the bytes that went out.
func (b *ByteCounter) Sent() int64 { return b.sent.Load() }

// Received is the bytes that came in.
func (b *ByteCounter) Received() int64 { return b.received.Load() }

// Read implements net.Conn; it counts for the exchange under way.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if b := c.bytes; b != nil {
		b.received.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn; it counts for the exchange under way.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if b := c.bytes; b != nil {
		b.sent.Add(int64(n))
	}
	return n, err
}
