package rpc

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
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

func serveStream(stream net.Conn, handle Handler) {
	defer stream.Close()
	var mu sync.Mutex
	in := bufio.NewReader(stream)
	for {
		req := &historypb.Request{}
		if err := frame.Read(in, req); err != nil {
			return
		}
		id := req.Id
		handle(req, func(reply *historypb.Reply) {
			reply.Id = id
			mu.Lock()
			defer mu.Unlock()
			// A peer that is gone learns nothing; it asks again elsewhere.
			_ = frame.Write(stream, reply)
		})
	}
}
