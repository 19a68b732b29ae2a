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
	"github.com/pistachioarch/pistachioarch/wire/answerhead"
)

// Request is one request to a target.
type Request struct {
	Address string
	Method  string
	// URI is the request URI exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the ID that the answer must echo if it echoes one.
	ID string
	// MaxIdle bounds the idle time of a reused connection. Requests that must not be
	// repeated set a smaller value.
	MaxIdle time.Duration
	// Bytes counts the bytes of the request and its answer; it may be nil.
	Bytes *ByteCounter
}

// Response is the answer of a target. Body must be read to its end or closed, else the
// connection is not released.
type Response struct {
	Status int
	Header http.Header
	Answer request.Answer
	Body   io.ReadCloser
}

const (
	// maxInlineBodyBytes is the largest body that is written together with the head. A
	// larger one is written while the client waits for the answer, as a target may answer
	// before it has read the whole body.
	maxInlineBodyBytes = 8 << 10
	// maxSkippedAnswers bounds the late answers and informational responses that are skipped
	// for one request.
	maxSkippedAnswers = 3
	// maxSkippedBodyBytes bounds the body of a late answer to be skipped.
	maxSkippedBodyBytes = 64 << 10
)

// Do sends the request and returns the head of its answer. The error is a Failure with
// RanNo if no byte was passed to the connection, and with RanUnknown otherwise. The
// connection is closed when the context ends.
func (p *Pool) Do(ctx context.Context, r *Request, decode Decode) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(ctx, failure.Wrap(err, failure.CallerGone, "request to %s", r.Address))
	}
	c := p.takeIdle(r.Address, r.MaxIdle)
	reused := c != nil
	if !reused {
		var err error
		if c, err = p.dial(ctx, r.Address); err != nil {
			return nil, err
		}
	}
	c.bytes = r.Bytes
	x := &exchange{pool: p, conn: c, reused: reused, sendDone: make(chan struct{})}
	x.stopWatching = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.send(r); err != nil {
		x.abort()
		return nil, contextError(ctx, err)
	}
	resp, err := x.receive(r, decode)
	if err != nil {
		x.abort()
		if reused && ctx.Err() == nil {
			// The target's process may have ended without closing its idle connections. A
			// request on another of them would be reported as possibly run, whereas one
			// whose dial is refused certainly did not run.
			p.CloseIdle(r.Address)
		}
		return nil, contextError(ctx, err)
	}
	return resp, nil
}

// contextError returns err with the kind that describes why the context ended: that of the
// cause if it is a Failure, else Timeout or CallerGone. It returns err unchanged if the
// context has not ended.
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

// exchange is one request and its answer on one connection.
type exchange struct {
	pool *Pool
	conn *conn
	// reused is set if the connection has served another request before.
	reused bool
	// stopWatching ends the watch of the context; it returns false if the context has ended
	// before.
	stopWatching func() bool
	// sendDone is closed when writing has ended; sentInFull is set before if the whole
	// request was written without an error.
	sendDone   chan struct{}
	sentInFull bool
}

func (x *exchange) abort() {
	x.stopWatching()
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
	if len(r.Body) <= maxInlineBodyBytes {
		head.Write(r.Body)
	}
	n, err := x.conn.Write(head.Bytes())
	if err != nil && n == 0 {
		return failure.Wrap(err, failure.TargetFailed, "write to %s", r.Address)
	}
	if err != nil {
		return unknownOutcome(err, "write to %s", r.Address)
	}
	if len(r.Body) <= maxInlineBodyBytes {
		x.sentInFull = true
		close(x.sendDone)
		return nil
	}
	go func() {
		defer close(x.sendDone)
		_, err := x.conn.Write(r.Body)
		x.sentInFull = err == nil
	}()
	return nil
}

func unknownOutcome(err error, format string, args ...any) error {
	return failure.Unknown(failure.TargetFailed, "%s: %v", fmt.Sprintf(format, args...), err)
}

// receive reads the head of the answer to r, skipping late answers to other requests.
func (x *exchange) receive(r *Request, decode Decode) (*Response, error) {
	for range maxSkippedAnswers {
		resp, err := x.readHead(r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		answer := decode(resp.StatusCode, resp.Header)
		switch {
		case answer.Contradictory:
			return nil, failure.Unknown(failure.BadAnswer, "answer of %s to several requests or with several signatures", r.Address)
		case answer.ID == "" && x.reused:
			return nil, failure.Unknown(failure.BadAnswer, "answer of %s without an ID, which may be to an earlier request", r.Address)
		}
		if answer.ID != "" && answer.ID != r.ID {
			if err := x.skipLateAnswer(resp, r); err != nil {
				return nil, err
			}
			continue
		}
		if answer.IdleTimeout > 0 {
			x.conn.idleTimeout = max(0, answer.IdleTimeout-idleMargin)
		}
		return &Response{
			Status: resp.StatusCode, Header: resp.Header, Answer: answer,
			Body: &body{x: x, resp: resp},
		}, nil
	}
	return nil, failure.Unknown(failure.BadAnswer, "only answers to other requests from %s", r.Address)
}

// readHead reads the head of the next answer on the connection, within its bounds.
func (x *exchange) readHead(r *Request) (*http.Response, error) {
	resp, err := x.conn.readHead(r.Method)
	var rejected *failure.Failure
	if errors.As(err, &rejected) {
		return nil, failure.Unknown(failure.BadAnswer, "answer of %s: %s", r.Address, rejected.Detail)
	}
	if err != nil {
		return nil, unknownOutcome(err, "answer of %s", r.Address)
	}
	return resp, nil
}

// skipLateAnswer reads the body of an answer to another request. It fails if no answer to this one can follow, or if
// it is not certain where it would begin: what follows would be taken for the next answer.
func (x *exchange) skipLateAnswer(resp *http.Response, r *Request) error {
	switch {
	case resp.Close:
		return failure.Unknown(failure.BadAnswer, "%s closes the connection after an answer to another request", r.Address)
	case r.Method == http.MethodHead:
		return failure.Unknown(failure.BadAnswer, "an answer of %s to another request, which may have a body", r.Address)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBodyBytes+1))
	if err != nil {
		return unknownOutcome(err, "late answer of %s", r.Address)
	}
	if n > maxSkippedBodyBytes {
		return failure.Unknown(failure.BadAnswer, "late answer of %s exceeds %d bytes", r.Address, maxSkippedBodyBytes)
	}
	if !x.reused && x.conn.in.Buffered() == 0 {
		// No earlier request can be meant: the target took this one for another.
		return failure.Unknown(failure.BadAnswer, "%s answers the first request of a connection as another one", r.Address)
	}
	return nil
}

// body is the body of an answer. Reading it to its end returns the connection to the pool.
type body struct {
	x     *exchange
	resp  *http.Response
	ended bool
}

// Read implements io.Reader. It returns io.EOF only if the body has ended well, with the fields that follow it.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err != io.EOF {
		return n, err
	}
	if trailerErr := answerhead.CheckNames(b.resp.Trailer); trailerErr != nil {
		return n, trailerErr
	}
	b.finish()
	return n, io.EOF
}

func (b *body) finish() {
	if b.ended {
		return
	}
	b.ended = true
	reusable := b.x.stopWatching()
	select {
	case <-b.x.sendDone:
	default:
		reusable = false
	}
	if !reusable || b.resp.Close || !b.x.sentInFull || b.x.conn.in.Buffered() > 0 {
		_ = b.x.conn.Close()
		return
	}
	b.x.conn.lastUsed = time.Now()
	b.x.pool.put(b.x.conn)
}

// Close ends the exchange. If the answer was not read to its end, the connection is closed.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.x.abort()
	return nil
}
