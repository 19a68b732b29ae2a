package entry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// smallMemory is that of the smallest hosts.
const smallMemory = 112 << 20

// pipes is a network of unbuffered connections in virtual time: what one side does not read,
// the other cannot write.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	// target serves one connection to the only target.
	target func(net.Conn)
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.target(far)
	return near, nil
}

// slowHost is a host in virtual time. Its one target serves what the routes /plain/
// (idempotent) and /quick/ (a stream) ask for.
type slowHost struct {
	*Host
	t     *testing.T
	pipes *pipes
	meter *meter.Meter
}

const slowTimeout = 20 * time.Second

func newSlowHost(t *testing.T, target func(net.Conn)) *slowHost {
	p := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{}), target: target}
	m := meter.New()
	h := New(Options{Headers: ownheaders.Headers{}, History: quorum.New(p, "dc1", quietLog(), nil), Dialer: p, DataCentre: "dc1",
		Log: quietLog(), MemoryBytes: smallMemory, Meter: m})
	route := func(prefix string, r routing.Route) *routing.Route {
		r.Host, r.Prefix, r.Services = "example", prefix, []routing.WeightedService{{Service: "s", Weight: 1}}
		r.MaxAttempts, r.Timeout = 2, slowTimeout
		return &r
	}
	h.SetTable(routing.NewTable(1, routing.Limits{}, []*routing.Service{{Name: "s", Engine: &routing.Engine{Capacity: 4}}}, []*routing.Route{
		route("/plain/", routing.Route{}),
		route("/once/", routing.Route{Kind: routing.AtMostOnce}),
		route("/quick/", routing.Route{Kind: routing.Streaming, Resumable: true}),
	}))
	h.registry.SetTarget(balance.TargetInfo{ID: "t1", Service: "s", Address: "t1", DataCentre: "dc1", Capacity: 4000})
	h.Serve(p)
	return &slowHost{Host: h, t: t, pipes: p, meter: m}
}

// stop ends the host, so that nothing of it goes on.
func (h *slowHost) stop() {
	h.Close()
	_ = h.pipes.Close()
	close(h.reachability.done)
	h.pool.Close()
	// http.Server waits a little between the two halves of closing a connection.
	time.Sleep(time.Second)
}

// connect opens a caller's connection.
func (h *slowHost) connect() net.Conn {
	near, far := net.Pipe()
	h.pipes.accepted <- far
	return near
}

// ask sends a request without a body on a connection of its own.
func (h *slowHost) ask(path string) net.Conn {
	c := h.connect()
	h.write(c, requestHead(path, 0))
	return c
}

func (h *slowHost) write(c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(h.t, err)
}

func requestHead(path string, length int) string {
	return "POST " + path + " HTTP/1.1\r\nHost: example\r\n" + ownheaders.ID + ": 1\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

func (h *slowHost) charged() int64 {
	return h.memory.state().ChargedBytes
}

func status(t *testing.T, c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// answerOf returns a target that reads requests whole and answers each with raw.
func answerOf(raw string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	}
}

// endless streams events until its connection ends, and says when that was.
func endless(ended *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		defer func() { ended.Store(time.Now().UnixNano()) }()
		_, err := io.WriteString(c, streamHead("1"))
		for i := 0; err == nil; i++ {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, chunks(i, strings.Repeat("x", 100)))
		}
	}
}
