package targetpool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// Request is one request to a target.
type Request struct {
	Address string
	Method  string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is what the answer must echo, where it echoes anything.
	ID string
	// MaxIdle bounds the idle time of a connection that may be reused; a request
	// that must not be repeated takes a fresher one.
	MaxIdle time.Duration
	// Bytes counts what the request and its answer take; it may be nil.
	Bytes *ByteCounter
}

// Response is the answer of a target. Body must be read to its end or closed.
type Response struct {
	Status int
	Header http.Header
	Answer request.Answer
	Body   io.ReadCloser
}

const (
	// inlineBody is the largest body that is written together with the head. A
	// larger one is written while the answer is awaited: a target may answer before
	// it has read all.
	inlineBody = 8 << 10
	// maxStray bounds the late answers that are skipped on one connection.
	maxStray = 3
	// maxStrayBody bounds the body of a late answer that is skipped.
	maxStrayBody = 64 << 10
)

// Do sends the request and returns the head of its answer. The error is a
// Failure: RanNo if no byte was handed over, RanUnknown otherwise. The
// connection is closed when the context ends.
func (p *Pool) Do(ctx context.Context, r *Request, decode Decode) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(ctx, failure.Wrap(err, failure.CallerGone, "request to %s", r.Address))
	}
	c := p.take(r.Address, r.MaxIdle)
	kept := c != nil
	if !kept {
		var err error
		if c, err = p.dial(ctx, r.Address); err != nil {
			return nil, err
		}
	}
	c.bytes = r.Bytes
	x := &exchange{pool: p, conn: c, sent: make(chan struct{})}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.send(r); err != nil {
		x.abort()
		return nil, contextError(ctx, err)
	}
	resp, err := x.receive(r, decode)
	if err != nil {
		x.abort()
		if kept && ctx.Err() == nil {
			// The target's process may have ended without a word on its idle connections: a
			// request on the next of them may have run, one whose dial is refused has not.
			p.CloseIdle(r.Address)
		}
		return nil, contextError(ctx, err)
	}
	return resp, nil
}

// contextError names the end of the context as the cause, where it is one: the
// cause's own kind if it is a Failure.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() == nil {
		return err
	}
	f := *failure.From(err)
	var cause *failure.Failure
	switch {
	case errors.As(context.Cause(ctx), &cause):
		f.Kind = cause.Kind
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.Kind = failure.Timeout
	default:
		f.Kind = failure.CallerGone
	}
	return &f
}

// exchange is one request on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	stop func() bool
	// sent is closed when the whole request was written; complete says so without
	// an error.
	sent     chan struct{}
	complete bool
}

func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

func (x *exchange) send(r *Request) error {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(&head); err != nil {
		return failure.Wrap(err, failure.Internal, "request head")
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n")
	if len(r.Body) <= inlineBody {
		head.Write(r.Body)
	}
	n, err := x.conn.Write(head.Bytes())
	if err != nil && n == 0 {
		return failure.Wrap(err, failure.TargetFailed, "write to %s", r.Address)
	}
	if err != nil {
		return unknown(err, "write to %s", r.Address)
	}
	if len(r.Body) <= inlineBody {
		x.complete = true
		close(x.sent)
		return nil
	}
	go func() {
		defer close(x.sent)
		_, err := x.conn.Write(r.Body)
		x.complete = err == nil
	}()
	return nil
}

func unknown(err error, format string, args ...any) error {
	return failure.Unknown(failure.TargetFailed, "%s: %v", fmt.Sprintf(format, args...), err)
}

// receive reads the head of the answer to r, skipping late answers to others.
func (x *exchange) receive(r *Request, decode Decode) (*Response, error) {
	for range maxStray {
		resp, err := http.ReadResponse(x.conn.in, &http.Request{Method: r.Method})
		if err != nil {
			return nil, unknown(err, "answer of %s", r.Address)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		answer := decode(resp.StatusCode, resp.Header)
		if answer.ID != "" && answer.ID != r.ID {
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody)); err != nil {
				return nil, unknown(err, "late answer of %s", r.Address)
			}
			continue
		}
		if answer.IdleTimeout > 0 {
			x.conn.keep = max(0, answer.IdleTimeout-idleMargin)
		}
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Answer: answer,
			Body: &body{x: x, from: resp.Body, last: resp.Close},
		}, nil
	}
	return nil, failure.Unknown(failure.BadAnswer, "only answers to other requests from %s", r.Address)
}

// body is the body of an answer; its end returns the connection to the pool.
type body struct {
	x     *exchange
	from  io.ReadCloser
	last  bool // the target closes the connection after this answer
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	if err == io.EOF {
		b.finish()
	}
	return n, err
}

func (b *body) finish() {
	if b.ended {
		return
	}
	b.ended = true
	alive := b.x.stop()
	select {
	case <-b.x.sent:
	default:
		alive = false
	}
	if !alive || b.last || !b.x.complete || b.x.conn.in.Buffered() > 0 {
		_ = b.x.conn.Close()
		return
	}
	b.x.conn.used = time.Now()
	b.x.pool.put(b.x.conn)
}

// Close ends the exchange; an answer that was not read to its end costs the
// connection.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.x.abort()
	return nil
}
