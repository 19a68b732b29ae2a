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
	outboxFrames   = 1024
	dialTimeout    = time.Second
	reconnectAfter = 100 * time.Millisecond
	peerWrite      = 2 * time.Second
	peerKeepAlive  = 2 * time.Second
)

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = peerKeepAlive
	c.ConnectionWriteTimeout = peerWrite
	c.StreamOpenTimeout = 5 * time.Second
	c.LogOutput = io.Discard
	return c
}

// outbox carries the frames to one peer in order, over one yamux session that
// requests share. While the peer cannot be reached frames are dropped; the
// machine repeats what matters.
type outbox struct {
	n       *Node
	address string
	frames  chan *peerpb.Frame

	// turn is held by the one that looks at or replaces session. It is a
	// channel, so that waiting for a slow dial can be given up.
	turn    chan struct{}
	session *yamux.Session
}

// outbox returns the outbox of an address. Called under the node's mutex.
func (n *Node) outbox(address string) *outbox {
	o := n.outboxes[address]
	if o == nil {
		o = &outbox{n: n, address: address, frames: make(chan *peerpb.Frame, outboxFrames), turn: make(chan struct{}, 1)}
		n.outboxes[address] = o
		n.goDo(o.run)
	}
	return o
}

func (o *outbox) put(f *peerpb.Frame) {
	select {
	case o.frames <- f:
	default:
		o.n.counter("peer.frames_dropped").Inc(1)
	}
}

func (o *outbox) run() {
	var stream net.Conn
	defer func() { o.close() }()
	for {
		select {
		case <-o.n.ctx.Done():
			return
		case f := <-o.frames:
			if stream == nil {
				stream = o.open(frame.StreamFrames)
			}
			if stream == nil {
				o.discard()
				continue
			}
			if err := frame.Write(stream, f); err != nil {
				_ = stream.Close() // broken
				stream = nil
			}
		}
	}
}

// discard drops what waits for a peer out of reach, and waits a little.
func (o *outbox) discard() {
	select {
	case <-o.n.ctx.Done():
	case <-time.After(reconnectAfter):
	}
	for len(o.frames) > 0 {
		<-o.frames
	}
}

// open opens a stream of the kind, dialling if need be; nil when the peer
// cannot be reached.
func (o *outbox) open(kind byte) net.Conn {
	session, err := o.connect()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			o.n.step(&host.PeerRefused{Address: o.address})
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
	ctx, cancel := context.WithTimeout(o.n.ctx, dialTimeout)
	defer cancel()
	select {
	case o.turn <- struct{}{}:
		defer func() { <-o.turn }()
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnavailable, "dial %s", o.address)
	}
	if o.session != nil && !o.session.IsClosed() {
		return o.session, nil
	}
	conn, err := o.n.opt.Dialer.DialContext(ctx, "tcp", o.address)
	if err != nil {
		return nil, err
	}
	if cfg := o.n.opt.PeerTLS; cfg != nil {
		secure := tls.Client(conn, clientTLS(cfg, o.address))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close() // not a peer
			return nil, failure.Wrap(err, failure.PeerUnavailable, "TLS with %s", o.address)
		}
		conn = secure
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close() // not a peer
		return nil, failure.Wrap(err, failure.PeerUnavailable, "session with %s", o.address)
	}
	o.session = session
	return session, nil
}

func clientTLS(cfg *tls.Config, address string) *tls.Config {
	c := cfg.Clone()
	c.ServerName, _, _ = strings.Cut(address, ":")
	return c
}

func (o *outbox) close() {
	o.turn <- struct{}{} // a dial under way ends with the host
	defer func() { <-o.turn }()
	if o.session != nil {
		_ = o.session.Close() // at the end of the host
	}
}

// flushOutboxes gives the last frames of a stopping host a moment to leave.
func (n *Node) flushOutboxes(ctx context.Context) {
	n.mu.Lock()
	boxes := make([]*outbox, 0, len(n.outboxes))
	for _, o := range n.outboxes {
		boxes = append(boxes, o)
	}
	n.mu.Unlock()
	limit := time.Now().Add(time.Second)
	for _, o := range boxes {
		for len(o.frames) > 0 && time.Now().Before(limit) && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
}

// servePeers accepts the sessions of other hosts.
func (n *Node) servePeers() {
	for {
		conn, err := n.opt.Peers.Accept()
		if err != nil {
			return // closed
		}
		n.goDo(func() { n.servePeer(conn) })
	}
}

func (n *Node) servePeer(conn net.Conn) {
	if n.opt.PeerTLS != nil {
		conn = tls.Server(conn, n.opt.PeerTLS)
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		_ = conn.Close() // not a peer
		return
	}
	stop := context.AfterFunc(n.ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }() // broken, or the host ends
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		n.goDo(func() { n.serveStream(stream) })
	}
}

func (n *Node) serveStream(stream net.Conn) {
	defer func() { _ = stream.Close() }() // read to its end or broken
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
				n.log.Warn("bad frame", "peer", stream.RemoteAddr().String(), "error", err.Error())
			}
			return
		}
		n.step(&host.PeerFrame{Frame: f})
	}
}
