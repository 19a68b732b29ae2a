// Package targetpool sends requests to targets over kept HTTP/1.1 connections.
//
// net/http parses; the connections are kept here because what a broken one means
// decides whether a request may be sent again:
//
//   - a failure before any byte was handed to the connection did not run;
//   - anything later may have run, and is never repeated by this package;
//   - an answer is matched by the id that it echoes: a late answer to an earlier
//     request is read and thrown away;
//   - a connection with bytes left over, or whose request was not fully sent, is
//     closed.
package targetpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
)

// Dialer opens connections; *net.Dialer is one.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 8
	// reapEvery is how often idle connections past their time are closed.
	reapEvery = time.Second
	// idleMargin is kept before the end of a target's idle time, so that the target
	// does not close the connection while a request is on its way.
	idleMargin = time.Second
	// idleDefault is assumed where a target does not say how long it keeps an idle
	// connection.
	idleDefault = 500 * time.Millisecond
	// readBuffer holds a head and a plain answer.
	readBuffer = 4 << 10
)

// Decode reads what a target's answer says about itself.
type Decode func(status int, header map[string][]string) request.Answer

// Pool keeps idle connections by address. Safe for concurrent use.
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
	address string
	in      *bufio.Reader
	bytes   *ByteCounter  // counts for the exchange under way
	used    time.Time     // when the last answer was complete
	keep    time.Duration // how long it may be idle
}

// take returns an idle connection that was used within maxIdle and still lives,
// or nil.
func (p *Pool) take(address string, maxIdle time.Duration) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		age := time.Since(c.used)
		if age < min(c.keep, maxIdle) && quiet(c) {
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
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.TargetFailed, "dial %s", address)
	}
	c := &conn{Conn: raw, address: address, keep: idleDefault}
	c.in = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// Reap closes idle connections past their time until the context ends.
func (p *Pool) Reap(ctx context.Context) {
	tick := time.NewTicker(reapEvery)
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

// CloseIdle closes the idle connections to an address at which another target listens now.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Close closes the idle connections.
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
			if time.Since(c.used) < c.keep {
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
