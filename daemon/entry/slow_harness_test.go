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

// smallHostMemoryBytes is the memory of the smallest hosts.
const smallHostMemoryBytes = 112 << 20

// pipeNetwork is a listener and dialer of unbuffered connections in virtual time: a write blocks
// until the other side reads.
type pipeNetwork struct {
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
	// target serves one connection to the only target.
	target func(net.Conn)
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go p.target(far)
	return near, nil
}

// slowHost is a host in virtual time, for tests with slow callers and targets. Its only target serves
// the routes /plain/ (idempotent), /once/ (at most once) and /quick/ (a resumable stream).
type slowHost struct {
	*Host
	t       *testing.T
	network *pipeNetwork
	meter   *meter.Meter
}

// slowRouteTimeout is the timeout of all routes.
const slowRouteTimeout = 20 * time.Second

// newSlowHost starts a slowHost; target serves each connection to its target.
func newSlowHost(t *testing.T, target func(net.Conn)) *slowHost {
	p := &pipeNetwork{accepted: make(chan net.Conn), closed: make(chan struct{}), target: target}
	m := meter.New()
	h := New(Options{Headers: ownheaders.Headers{}, History: quorum.New(p, "dc1", discardLog(), nil), Dialer: p, DataCentre: "dc1",
		Log: discardLog(), MemoryBytes: smallHostMemoryBytes, Meter: m})
	route := func(prefix string, r routing.Route) *routing.Route {
		r.Host, r.Prefix, r.Services = "example", prefix, []routing.WeightedService{{Service: "s", Weight: 1}}
		r.MaxAttempts, r.Timeout = 2, slowRouteTimeout
		return &r
	}
	h.SetTable(routing.NewTable(1, routing.Limits{}, []*routing.Service{{Name: "s", Engine: &routing.Engine{Capacity: 4}}}, []*routing.Route{
		route("/plain/", routing.Route{}),
		route("/once/", routing.Route{Kind: routing.AtMostOnce}),
		route("/quick/", routing.Route{Kind: routing.Streaming, Resumable: true}),
	}))
	h.registry.SetTarget(balance.TargetInfo{ID: "t1", Service: "s", Address: "t1", DataCentre: "dc1", Capacity: 4000})
	h.Serve(p)
	return &slowHost{Host: h, t: t, network: p, meter: m}
}

// stop ends the host with all its goroutines.
func (h *slowHost) stop() {
	h.Close()
	_ = h.network.Close()
	h.end()
	h.pool.Close()
	// http.Server waits for a short time between closing the two directions of a connection.
	time.Sleep(time.Second)
}

// connect opens a caller's connection.
func (h *slowHost) connect() net.Conn {
	near, far := net.Pipe()
	h.network.accepted <- far
	return near
}

// sendRequest sends a request without a body on a new connection.
func (h *slowHost) sendRequest(path string) net.Conn {
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

func (h *slowHost) chargedBytes() int64 {
	return h.memory.state().ChargedBytes
}

// readStatus reads one answer and returns its status.
func readStatus(t *testing.T, c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// answerWith returns a target that reads whole requests and answers each with raw.
func answerWith(raw string) func(net.Conn) {
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

// endlessStream returns a target that streams events until its connection ends, and stores that time
// in ended, in ns since 1970.
func endlessStream(ended *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		defer func() { ended.Store(time.Now().UnixNano()) }()
		_, err := io.WriteString(c, streamHead("1"))
		for i := 0; err == nil; i++ {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, eventChunks(i, strings.Repeat("x", 100)))
		}
	}
}
