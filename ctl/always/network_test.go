package always

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// network is an in-memory network of hosts with addresses "IP:port", which can
// be cut between places and frozen at one.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	blocked   map[[2]string]bool // pairs of places that are cut off from each other
	frozen    map[string]bool    // places whose traffic stalls
	changed   chan struct{}      // closed and replaced at each change
}

func newNetwork() *network {
	return &network{
		listeners: map[string]*listener{}, conns: map[*conn]struct{}{}, blocked: map[[2]string]bool{},
		frozen: map[string]bool{}, changed: make(chan struct{}),
	}
}

// update changes the state of the network and wakes what stalls.
func (n *network) update(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) cut(a, b string, on bool) {
	n.update(func() { n.blocked[[2]string{a, b}], n.blocked[[2]string{b, a}] = on, on })
}

func (n *network) freeze(place string, on bool) { n.update(func() { n.frozen[place] = on }) }

// crash closes every listener and connection of a place, as when its process
// dies.
func (n *network) crash(place string) {
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
func (n *network) stalled(from, to string) bool {
	return n.blocked[[2]string{from, to}] || n.frozen[from] || n.frozen[to]
}

// await waits until traffic passes, or done is closed.
func (n *network) await(from, to string, done <-chan struct{}) bool {
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

// dialer dials from one place.
type dialer struct {
	n    *network
	from string
}

// DialContext implements node.Dialer.
func (d dialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.n.mu.Lock()
	l := d.n.listeners[address]
	d.n.mu.Unlock()
	to, _, _ := net.SplitHostPort(address)
	if !d.n.await(d.from, to, ctx.Done()) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil || l.closed() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	a, b := d.n.wrap(near, d.from, to), d.n.wrap(far, to, d.from)
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

func (n *network) wrap(c net.Conn, from, to string) *conn {
	w := &conn{Conn: c, n: n, from: from, to: to, done: make(chan struct{})}
	n.mu.Lock()
	n.conns[w] = struct{}{}
	n.mu.Unlock()
	return w
}

// conn stalls while its places are cut off from each other.
type conn struct {
	net.Conn
	n        *network
	from, to string
	once     sync.Once
	done     chan struct{}
}

func (c *conn) Read(b []byte) (int, error) {
	k, err := c.Conn.Read(b)
	if !c.n.await(c.from, c.to, c.done) {
		return 0, net.ErrClosed
	}
	return k, err
}

func (c *conn) Write(b []byte) (int, error) {
	if !c.n.await(c.from, c.to, c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
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

type listener struct {
	n       *network
	address string
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (n *network) listen(addr string) *listener {
	l := &listener{n: n, address: addr, accept: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	n.listeners[addr] = l
	n.mu.Unlock()
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }
