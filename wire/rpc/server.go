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

// Handler answers requests. It must not block for long: requests of one
// connection are handed over in order. answer may be called later, from any
// goroutine, exactly once.
type Handler func(req *historypb.Request, answer func(*historypb.Reply))

// sessionConfig is the same at both ends. Keep-alives are off: calls notice a
// silent peer sooner, and idle connections cost nothing.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = 2 * time.Second
	cfg.LogOutput = io.Discard
	return cfg
}

// Serve accepts connections until the listener is closed.
func Serve(listener net.Listener, handle Handler) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return failure.Wrap(err, failure.PeerUnavailable, "accept")
		}
		go serveConn(conn, handle)
	}
}

func serveConn(conn net.Conn, handle Handler) {
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
		go serveStream(stream, handle)
	}
}

// maxReplies bounds the replies that wait for a peer that does not read: a peer
// has fewer calls under way than that, unless it is cut off. A connection holds room for all
// of them, 8 KB: with room for 4,096 the busiest of 100 history hosts before 3,000 engines
// held 54 MB for its 1,682 connections, and went over its limit of 144 MB.
const maxReplies = 1024

func serveStream(stream net.Conn, handle Handler) {
	defer stream.Close()
	replies := make(chan *historypb.Reply, maxReplies)
	done := make(chan struct{})
	defer close(done)
	go writeReplies(stream, replies, done)
	in := bufio.NewReader(stream)
	for {
		req := &historypb.Request{}
		if err := frame.Read(in, req); err != nil {
			return
		}
		id := req.Id
		handle(req, func(reply *historypb.Reply) {
			reply.Id = id
			select {
			case replies <- reply:
			default:
				// The peer is cut off; it finds out and asks again elsewhere. Waiting
				// here would hold up the journal, and with it every other peer.
				_ = stream.Close()
			}
		})
	}
}

// writeReplies is the one writer of a stream.
func writeReplies(stream net.Conn, replies <-chan *historypb.Reply, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case reply := <-replies:
			if err := frame.Write(stream, reply); err != nil {
				_ = stream.Close()
				return
			}
		}
	}
}
