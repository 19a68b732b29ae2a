// Package vnet implements an in-memory network for tests on virtual time. Hosts, identified by
// their IP addresses, can be partitioned from each other, frozen or crashed.
package vnet

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network is an in-memory network of hosts that listen on addresses "IP:port". Its methods are safe
// for concurrent use.
type Network struct {
	mu          sync.Mutex
	listeners   map[string]*Listener
	conns       map[*conn]struct{}
	partitioned map[[2]string]bool // pairs of IP addresses without connectivity
	frozen      map[string]bool    // IP addresses whose traffic stalls
	changed     chan struct{}      // closed and replaced on each change
}

// New returns a network in which all hosts reach each other.
func New() *Network {
	return &Network{
		listeners: map[string]*Listener{}, conns: map[*conn]struct{}{}, partitioned: map[[2]string]bool{},
		frozen: map[string]bool{}, changed: make(chan struct{}),
	}
}

// update changes the state of the network and wakes stalled connections.
func (n *Network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetPartitioned starts or ends a partition between two IP addresses. Traffic between them stalls
// meanwhile; connections stay open.
func (n *Network) SetPartitioned(a, b string, partitioned bool) {
	n.update(func() { n.partitioned[[2]string{a, b}], n.partitioned[[2]string{b, a}] = partitioned, partitioned })
}

// Heal ends all partitions and freezes.
func (n *Network) Heal() {
	n.update(func() {
		clear(n.partitioned)
		clear(n.frozen)
	})
}

// SetFrozen stalls or resumes all traffic of an IP address.
func (n *Network) SetFrozen(ip string, frozen bool) { n.update(func() { n.frozen[ip] = frozen }) }

// Crash closes every connection of an IP address, as when its process dies.
func (n *Network) Crash(ip string) {
	n.mu.Lock()
	var crashed []*conn
	for c := range n.conns {
		if c.from == ip || c.to == ip {
			crashed = append(crashed, c)
		}
	}
	n.mu.Unlock()
	for _, c := range crashed {
		_ = c.Conn.Close()
	}
}

// isStalled reports whether traffic between two IP addresses stalls. The caller holds n.mu.
func (n *Network) isStalled(from, to string) bool {
	return n.partitioned[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
}

// awaitPassage waits until traffic passes and returns true, or returns false once done is closed.
func (n *Network) awaitPassage(from, to string, done <-chan struct{}) bool {
	for {
		n.mu.Lock()
		stalled, changed := n.isStalled(from, to), n.changed
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

// Dialer dials from one IP address.
type Dialer struct {
	Net  *Network
	From string
}

// DialContext connects to an address "IP:port". It waits while traffic to the host stalls, and
// fails with ECONNREFUSED if nothing listens there.
func (d Dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.Net.mu.Lock()
	l := d.Net.listeners[address]
	d.Net.mu.Unlock()
	to, _, _ := net.SplitHostPort(address)
	if !d.Net.awaitPassage(d.From, to, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil || l.isClosed() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	local, remote := net.Pipe()
	a, b := d.Net.wrap(local, d.From, to), d.Net.wrap(remote, to, d.From)
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

// wrap returns c as a connection of the network.
func (n *Network) wrap(c net.Conn, from, to string) *conn {
	w := &conn{Conn: c, n: n, from: from, to: to, done: make(chan struct{})}
	n.mu.Lock()
	n.conns[w] = struct{}{}
	n.mu.Unlock()
	return w
}

// conn is a connection that stalls while its hosts are partitioned or frozen. Data written at one
// instant arrives together, as through a socket buffer: a stall between the head and the body of a
// frame would block yamux in a read with a mutex held, and virtual time does not advance while a
// goroutine waits for a mutex.
type conn struct {
	net.Conn
	lastWrite, lastRead atomic.Int64 // end of the last call, in Unix nanoseconds
	n                   *Network
	from, to            string
	once                sync.Once
	done                chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if !c.awaitUnstalled(&c.lastRead) {
		return 0, net.ErrClosed
	}
	c.lastRead.Store(time.Now().UnixNano())
	return k, err
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.awaitUnstalled(&c.lastWrite) {
		return 0, net.ErrClosed
	}
	k, err := c.Conn.Write(b)
	c.lastWrite.Store(time.Now().UnixNano())
	return k, err
}

// awaitUnstalled waits while the connection stalls, unless the last call ended at this instant. It
// reports whether the connection is still open.
func (c *conn) awaitUnstalled(last *atomic.Int64) bool {
	if last.Load() == time.Now().UnixNano() {
		return true
	}
	return c.n.awaitPassage(c.from, c.to, c.done)
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

// address implements net.Addr.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

// RemoteAddr and LocalAddr return addresses of the network instead of the pipe's.
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

// Listen opens a listener on an address "IP:port". It replaces an earlier listener there.
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

func (l *Listener) isClosed() bool {
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

// IsListening reports whether the newest listener on an address is open.
func (n *Network) IsListening(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	return l != nil && !l.isClosed()
}
