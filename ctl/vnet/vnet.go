// Package vnet is an in-memory network for tests on virtual time: hosts with
// addresses "IP:port", links that can be cut, places that freeze or crash.
package vnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network is an in-memory network of hosts with addresses "IP:port", which can
// be cut between places and frozen at one.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	conns     map[*conn]struct{}
	blocked   map[[2]string]bool // pairs of places that are cut off from each other
	frozen    map[string]bool    // places whose traffic stalls
	changed   chan struct{}      // closed and replaced at each change
}

// New returns a network where everything reaches everything.
func New() *Network {
	return &Network{
		listeners: map[string]*Listener{}, conns: map[*conn]struct{}{}, blocked: map[[2]string]bool{},
		frozen: map[string]bool{}, changed: make(chan struct{}),
	}
}

// update changes the state of the network and wakes what stalls.
func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetPartitioned cuts two places off from each other, or joins them again.
func (n *Network) SetPartitioned(a, b string, on bool) {
	n.update(func() { n.blocked[[2]string{a, b}], n.blocked[[2]string{b, a}] = on, on })
}

// Heal ends all cuts and freezes.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.blocked)
		clear(n.frozen)
	})
}

// SetFrozen stalls all traffic of a place, or lets it pass again.
func (n *Network) SetFrozen(place string, on bool) { n.update(func() { n.frozen[place] = on }) }

// Crash closes every connection of a place, as when its process
// dies.
func (n *Network) Crash(place string) {
	n.mu.Lock()
	var gone []*conn
	for c := range n.conns {
		if c.from == place || c.to == place {
			gone = append(gone, c)
		}
	}
	n.mu.Unlock()
	for _, c := range gone {
		_ = c.Conn.Close()
	}
}

// stalled reports whether traffic between two places does not pass now.
func (n *Network) stalled(from, to string) bool {
	return n.blocked[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
}

// await waits until traffic passes, or done is closed.
func (n *Network) await(from, to string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		stalled, changed := n.stalled(from, to), n.changed
		n.mu.Unlock()
		if !stalled {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Dialer dials from one place.
type Dialer struct {
	Net  *Network
	From string
}

// DialContext connects to an address.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.Net.mu.Lock()
	l := d.Net.listeners[address]
	d.Net.mu.Unlock()
	to, _, _ := net.SplitHostPort(address)
	if !d.Net.await(d.From, to, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil || l.closed() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	a, b := d.Net.wrap(near, d.From, to), d.Net.wrap(far, to, d.From)
	select {
	case l.accept <- b:
		return a, nil
	case <-l.done:
		_ = a.Close()
		_ = b.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		_ = a.Close()
		_ = b.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

func (n *Network) wrap(c net.Conn, from, to string) *conn {
	w := &conn{Conn: c, n: n, from: from, to: to, done: make(chan struct{})}
	n.mu.Lock()
	n.conns[w] = struct{}{}
	n.mu.Unlock()
	return w
}

// conn stalls while its places are cut off from each other. What is written at one instant
// arrives together, as through a socket's buffer: a stall between the head and the body of a
// frame would leave yamux reading with a mutex held, for which others wait, and virtual time
// stands still while anybody waits for a mutex.
type conn struct {
	net.Conn
	wrote, read atomic.Int64 // when the last call ended, in nanoseconds
	n           *Network
	from, to    string
	once        sync.Once
	done        chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if !c.pass(&c.read) {
		return 0, net.ErrClosed
	}
	c.read.Store(time.Now().UnixNano())
	return k, err
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.pass(&c.wrote) {
		return 0, net.ErrClosed
	}
	k, err := c.Conn.Write(b)
	c.wrote.Store(time.Now().UnixNano())
	return k, err
}

// pass waits until the places are not cut off, unless the last call ended at this instant;
// it reports whether the connection is still open.
func (c *conn) pass(last *atomic.Int64) bool {
	if last.Load() == time.Now().UnixNano() {
		return true
	}
	return c.n.await(c.from, c.to, c.done)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.done)
		c.n.mu.Lock()
		delete(c.n.conns, c)
		c.n.mu.Unlock()
	})
	return c.Conn.Close()
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// RemoteAddr and LocalAddr replace the pipe's.
func (c *conn) RemoteAddr() net.Addr { return address(c.to + ":0") }
func (c *conn) LocalAddr() net.Addr  { return address(c.from + ":0") }

// Listener accepts the connections to one address.
type Listener struct {
	n       *Network
	address string
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Listen opens a listener at an address.
func (n *Network) Listen(addr string) *Listener {
	l := &Listener{n: n, address: addr, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[addr] = l
	n.mu.Unlock()
	return l
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *Listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return address(l.address) }

// IsListening reports whether the newest listener at an address is open.
func (n *Network) IsListening(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	return l != nil && !l.closed()
}
