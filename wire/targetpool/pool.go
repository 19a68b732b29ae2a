// Package targetpool sends requests to targets over pooled HTTP/1.1 connections.
//
// Parsing is done by net/http. This package manages the connections itself because the
// way in which a connection breaks decides whether a request may be sent again:
//
//   - a request that failed before any byte was passed to the connection did not run;
//   - a request that failed later may have run, and this package never repeats it;
//   - an answer is matched to its request by the ID that it echoes: a late answer to an
//     earlier request is read and discarded;
//   - a connection with unread bytes, or whose request was not sent in full, is closed;
//   - the end of a connection ends an answer without a length only if the connection has not failed;
//   - the heads of answers, and late answers, are bounded: their bytes are read before a caller of
//     this package can account for them;
//   - the heads of answers are checked: net/http accepts heads that are none.
package targetpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/wire/answerhead"
	"github.com/pistachioarch/pistachioarch/wire/headlimit"
	"github.com/pistachioarch/pistachioarch/wire/orderlyend"
)

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
	// reapInterval is the interval at which expired idle connections are closed.
	reapInterval = time.Second
	// idleMargin is subtracted from a target's idle timeout, so that the target does not
	// close the connection while a request is on its way.
	idleMargin = time.Second
	// defaultIdleTimeout is assumed for targets that do not announce how long they keep idle
	// connections.
	defaultIdleTimeout = 500 * time.Millisecond
	// readBufferBytes is large enough for the head and body of a plain (not streamed) answer.
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 16 << 10
)

// Decode decodes the status and headers of a target's answer.
type Decode func(status int, header map[string][]string) request.Answer

// Pool holds idle connections by address. Safe for concurrent use.
type Pool struct {
	dialer Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns an empty pool.
func New(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, idle: map[string][]*conn{}}
}

// conn is a connection that serves one request at a time.
type conn struct {
	net.Conn
	// stream reads and writes Conn.
	stream      orderlyend.Conn
	address     string
	in          *bufio.Reader
	bytes       *ByteCounter // counts the bytes of the current exchange; may be nil
	headBounds  headlimit.Limiter
	headCheck   answerhead.Checker
	lastUsed    time.Time     // when the last answer was complete
	idleTimeout time.Duration // how long the connection may be idle
}

// takeIdle removes and returns an idle connection that was used within maxIdle and is still
// open, or returns nil.
func (p *Pool) takeIdle(address string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		idleFor := time.Since(c.lastUsed)
		if idleFor < min(c.idleTimeout, maxIdle) && usable(c) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerTarget {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	netConn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.TargetFailed, "dial %s", address)
	}
	c := &conn{Conn: netConn, stream: orderlyend.Conn{Conn: netConn}, address: address, idleTimeout: defaultIdleTimeout, headBounds: headlimit.Limiter{MaxBytes: maxHeadBytes}}
	c.in = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Reap closes expired idle connections once per second until the context ends.
func (p *Pool) Reap(ctx context.Context) {
	tick := time.NewTicker(reapInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.reap()
		}
	}
}

// CloseIdle closes the idle connections to an address, for example because another target
// listens there now.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}

func (p *Pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.lastUsed) < c.idleTimeout {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
