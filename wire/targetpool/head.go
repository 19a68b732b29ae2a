package targetpool

import (
	"bufio"
	"net/http"
)

// readHead reads the head of the next answer to a request with the given method. The error is a Failure if the
// head exceeds its bounds or is none; that is known from the bytes that have arrived, without waiting for more.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.headBounds.Start()
	c.headCheck.Start()
	// What was read together with the answer before is the start of this head.
	if err := c.checkHead(peekBuffered(c.in)); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.in, &http.Request{Method: method})
}

// peekBuffered returns the bytes in the buffer of r without reading them.
func peekBuffered(r *bufio.Reader) []byte {
	buffered, _ := r.Peek(r.Buffered()) // never fails: all of it is there
	return buffered
}

// checkHead checks bytes that have arrived, as far as they belong to the head that is being read.
func (c *conn) checkHead(p []byte) error {
	if err := c.headBounds.Count(p); err != nil {
		return err
	}
	return c.headCheck.Check(p)
}
