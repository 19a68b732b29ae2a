package node

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/wire/frame"
)

const (
	maxQueuedFrames       = 1024
	dialTimeout           = time.Second
	reconnectDelay        = 100 * time.Millisecond
	peerWriteTimeout      = 2 * time.Second
	peerKeepAliveInterval = 2 * time.Second
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = peerKeepAliveInterval
	c.ConnectionWriteTimeout = peerWriteTimeout
	c.StreamOpenTimeout = 5 * time.Second
	c.LogOutput = io.Discard
	return c
}

// outbox sends frames to one peer in order. Frames and requests to the peer share
// one yamux session. While the peer is unreachable, frames are dropped; the state
// machine resends those that it needs.
type outbox struct {
	node    *Node
	address string
	frames  chan *peerpb.Frame

	// sessionLock guards session; whoever sends to it holds the lock. It is a channel,
	// so that the wait for a slow dial of another goroutine can be abandoned.
	sessionLock chan struct{}
	session     *yamux.Session
}

// outbox returns the outbox of an address and creates it on first use. The caller
// holds n.mu.
func (n *Node) outbox(address string) *outbox {
	o := n.outboxes[address]
	if o == nil {
		o = &outbox{node: n, address: address, frames: make(chan *peerpb.Frame, maxQueuedFrames), sessionLock: make(chan struct{}, 1)}
		n.outboxes[address] = o
		n.spawn(o.run)
	}
	return o
}

func (o *outbox) enqueue(f *peerpb.Frame) {
	select {
	case o.frames <- f:
	default:
		o.node.counter("peer.frames_dropped").Inc(1)
	}
}

func (o *outbox) run() {
	var stream net.Conn
	defer func() { o.close() }()
	for {
		select {
		case <-o.node.ctx.Done():
			return
		case f := <-o.frames:
			if stream == nil {
				stream = o.openStream(frame.StreamFrames)
			}
			if stream == nil {
				o.dropQueuedFrames()
				continue
			}
			if err := frame.Write(stream, f); err != nil {
				_ = stream.Close() // broken
				stream = nil
			}
		}
	}
}

// dropQueuedFrames waits for reconnectDelay, then drops the frames queued for an
// unreachable peer.
func (o *outbox) dropQueuedFrames() {
	select {
	case <-o.node.ctx.Done():
	case <-time.After(reconnectDelay):
	}
	for len(o.frames) > 0 {
		<-o.frames
	}
}

// openStream opens a stream of a kind and connects to the peer if there is no
// session. It returns nil if the peer is unreachable.
func (o *outbox) openStream(kind byte) net.Conn {
	session, err := o.connect()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.node.step(&host.PeerRefused{Address: o.address})
		}
		return nil
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close() // broken
		return nil
	}
	if _, err := stream.Write([]byte{kind}); err != nil {
		_ = stream.Close() // broken
		return nil
	}
	return stream
}

func (o *outbox) connect() (*yamux.Session, error) {
	ctx, cancel := context.WithTimeout(o.node.ctx, dialTimeout)
	defer cancel()
	select {
	case o.sessionLock <- struct{}{}:
		defer func() { <-o.sessionLock }()
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnavailable, "dial %s", o.address)
	}
	if o.session != nil && !o.session.IsClosed() {
		return o.session, nil
	}
	conn, err := o.node.options.Dialer.DialContext(ctx, "tcp", o.address)
	if err != nil {
		return nil, err
	}
	if cfg := o.node.options.PeerTLS; cfg != nil {
		tlsConn := tls.Client(conn, clientTLSConfig(cfg, o.address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // not a peer
			return nil, failure.Wrap(err, failure.PeerUnavailable, "TLS with %s", o.address)
		}
		conn = tlsConn
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close() // not a peer
		return nil, failure.Wrap(err, failure.PeerUnavailable, "session with %s", o.address)
	}
	o.session = session
	return session, nil
}

func clientTLSConfig(cfg *tls.Config, address string) *tls.Config {
	c := cfg.Clone()
	c.ServerName, _, _ = strings.Cut(address, ":")
	return c
}

func (o *outbox) close() {
	o.sessionLock <- struct{}{} // a dial in progress is cancelled when the host stops
	defer func() { <-o.sessionLock }()
	if o.session != nil {
		_ = o.session.Close() // the host stops
	}
}

// flushOutboxes waits up to 1 s until a stopping host has sent its queued frames.
func (n *Node) flushOutboxes(ctx context.Context) {
	n.mu.Lock()
	outboxes := make([]*outbox, 0, len(n.outboxes))
	for _, o := range n.outboxes {
		outboxes = append(outboxes, o)
	}
	n.mu.Unlock()
	deadline := time.Now().Add(time.Second)
	for _, o := range outboxes {
		for len(o.frames) > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
}

// servePeers accepts the sessions of other hosts.
func (n *Node) servePeers() {
	for {
		conn, err := n.options.Peers.Accept()
		if err != nil {
			return // listener closed
		}
		n.spawn(func() { n.servePeer(conn) })
	}
}

func (n *Node) servePeer(conn net.Conn) {
	if n.options.PeerTLS != nil {
		conn = tls.Server(conn, n.options.PeerTLS)
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close() // not a peer
		return
	}
	stop := context.AfterFunc(n.ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }() // session broken, or the host stops
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		n.spawn(func() { n.serveStream(stream) })
	}
}

func (n *Node) serveStream(stream net.Conn) {
	defer func() { _ = stream.Close() }() // at its end or broken
	var kind [1]byte
	if _, err := io.ReadFull(stream, kind[:]); err != nil {
		return
	}
	switch kind[0] {
	case frame.StreamFrames:
		n.readFrames(stream)
	case frame.StreamRequest:
		n.serveForward(stream)
	default:
		n.counter("peer.bad_streams").Inc(1)
	}
}

func (n *Node) readFrames(stream net.Conn) {
	for {
		f := &peerpb.Frame{}
		if err := frame.Read(stream, f); err != nil {
			if !errors.Is(err, io.EOF) && n.ctx.Err() == nil && !failure.Is(err, failure.PeerUnavailable) {
				n.counter("peer.bad_frames").Inc(1)
				n.log.Warn("invalid frame", "peer", stream.RemoteAddr().String(), "error", err.Error())
			}
			return
		}
		n.step(&host.PeerFrame{Frame: f})
	}
}
