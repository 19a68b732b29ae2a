package rpc

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/frame"
)

// Handler answers requests. It must not block for long: the requests of one stream
// are passed to it one after the other. It must call respond exactly once, which it
// may do later and from any goroutine.
type Handler func(req *historypb.Request, respond func(*historypb.Reply))

// sessionConfig returns the yamux configuration of both ends. Keep-alives are off:
// calls detect a silent peer sooner, and idle connections cause no traffic.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = 2 * time.Second
	cfg.LogOutput = io.Discard
	return cfg
}

// Serve accepts connections and passes their requests to handle until the listener is
// closed, which is no error.
func Serve(listener net.Listener, handle Handler) error {
	return ServeCounted(listener, handle, nil)
}

// ServeCounted is Serve that counts the calls and bytes of all connections in traffic, which
// may be nil.
func ServeCounted(listener net.Listener, handle Handler, traffic *Traffic) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return failure.Wrap(err, failure.PeerUnavailable, "accept")
		}
		go serveConn(conn, handle, traffic)
	}
}

func serveConn(conn net.Conn, handle Handler, traffic *Traffic) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go serveStream(stream, handle, traffic)
	}
}

// maxQueuedReplies bounds the replies queued for a peer that does not read. A peer has fewer
// calls in flight unless it is partitioned. Each stream allocates the whole queue, and busy
// hosts have many connections and little memory.
const maxQueuedReplies = 1024

// queuedReply is a reply to be written, with the kind of its call.
type queuedReply struct {
	kind    Kind
	message *historypb.Reply
}

func serveStream(stream net.Conn, handle Handler, traffic *Traffic) {
	defer stream.Close()
	replies := make(chan *queuedReply, maxQueuedReplies)
	done := make(chan struct{})
	defer close(done)
	go writeReplies(stream, replies, done, traffic)
	in := bufio.NewReader(stream)
	for {
		req := &historypb.Request{}
		n, err := frame.ReadCounted(in, req)
		if err != nil {
			return
		}
		id, kind := req.Id, requestKind(req)
		traffic.addCall(kind)
		traffic.addReceived(kind, n)
		handle(req, func(r *historypb.Reply) {
			r.Id = id
			select {
			case replies <- &queuedReply{kind, r}:
			default:
				// The peer is partitioned; it detects this and retries at another member.
				// Waiting here would block the journal, and with it every other peer.
				_ = stream.Close()
			}
		})
	}
}

// writeReplies writes the replies of a stream until done is closed or a write fails. It is
// the only writer of the stream.
func writeReplies(stream net.Conn, replies <-chan *queuedReply, done <-chan struct{}, traffic *Traffic) {
	for {
		select {
		case <-done:
			return
		case r := <-replies:
			n, err := frame.WriteCounted(stream, r.message)
			if err != nil {
				_ = stream.Close()
				return
			}
			traffic.addSent(r.kind, n)
		}
	}
}
