package rpc

import (
	"context"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// serve starts a server that is closed at the end of the test and returns its address.
func serve(t *testing.T, handle Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = Serve(l, handle) }()
	return l.Addr().String()
}

func client(t *testing.T, address string) *Client {
	c := NewClient(address, &noTimeoutDialer{})
	t.Cleanup(c.Close)
	return c
}

// longTimeoutClient returns a client whose dial and calls do not fail because the machine is busy.
func longTimeoutClient(t *testing.T, address string) *Client {
	c := client(t, address)
	c.silenceTimeout = time.Minute
	return c
}

// noTimeoutDialer dials without a timeout: on a busy machine a dial over the loopback takes
// longer than dialTimeout.
type noTimeoutDialer struct{ net.Dialer }

func (d *noTimeoutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.Dialer.DialContext(context.WithoutCancel(ctx), network, address)
}

// longTimeoutPool returns a pool whose dials and calls do not fail because the machine is busy.
func longTimeoutPool(t *testing.T) *Pool {
	p := NewPool(&noTimeoutDialer{})
	p.SilenceTimeout = time.Minute
	t.Cleanup(p.Close)
	return p
}

// echo replies with the slot of the request as the revision.
func echo(req *historypb.Request, answer func(*historypb.Reply)) {
	answer(&historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: uint64(req.Slot)})
}

// Replies that arrive out of order must reach the calls they belong to.
func TestOutOfOrderRepliesReachTheirCalls(t *testing.T) {
	var mu sync.Mutex
	var held []func()
	// Each pair of replies is sent in reverse order.
	c := longTimeoutClient(t, serve(t, func(req *historypb.Request, answer func(*historypb.Reply)) {
		mu.Lock()
		defer mu.Unlock()
		if len(held) == 0 {
			held = append(held, func() { echo(req, answer) })
			return
		}
		echo(req, answer)
		held[0]()
		held = nil
	}))
	var all sync.WaitGroup
	for i := range uint32(50) {
		all.Go(func() {
			reply, err := c.Call(t.Context(), &historypb.Request{Slot: i})
			if err != nil || reply.Revision != uint64(i) {
				t.Errorf("call %d: %v %v", i, reply, err)
			}
		})
	}
	all.Wait()
}

// A call to a peer that does not reply must fail, and the next call must use a new
// connection.
func TestCallToSilentPeerFailsAndNextCallRedials(t *testing.T) {
	silent := true
	var mu sync.Mutex
	c := client(t, serve(t, func(req *historypb.Request, answer func(*historypb.Reply)) {
		mu.Lock()
		defer mu.Unlock()
		if !silent {
			echo(req, answer)
		}
	}))
	_, err := c.Call(t.Context(), &historypb.Request{})
	require.True(t, failure.Is(err, failure.PeerUnavailable), "%v", err)
	mu.Lock()
	silent = false
	mu.Unlock()
	_, err = c.Call(t.Context(), &historypb.Request{})
	require.NoError(t, err)
}

func TestCallWaitingExtendsSilenceTimeout(t *testing.T) {
	c := client(t, serve(t, func(req *historypb.Request, answer func(*historypb.Reply)) {
		time.AfterFunc(defaultSilenceTimeout+defaultSilenceTimeout/4, func() { echo(req, answer) })
	}))
	reply, err := c.CallWaiting(t.Context(), &historypb.Request{Slot: 3}, 5*defaultSilenceTimeout)
	require.NoError(t, err)
	require.EqualValues(t, 3, reply.Revision)
}

func TestCallFailsWhenContextIsCancelled(t *testing.T) {
	c := client(t, serve(t, func(*historypb.Request, func(*historypb.Reply)) {}))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(defaultSilenceTimeout/8, cancel)
	_, err := c.CallWaiting(ctx, &historypb.Request{}, time.Hour)
	require.True(t, failure.Is(err, failure.PeerUnavailable), "%v", err)
}

func TestCallFailsWhenConnectionIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = client(t, address).Call(t.Context(), &historypb.Request{})
	require.True(t, failure.Is(err, failure.PeerUnavailable), "%v", err)
}

// A frame that cannot be decoded must close its own connection and no other.
func TestBadFrameClosesOnlyItsConnection(t *testing.T) {
	address := serve(t, echo)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.Error(t, err, "closed by the server")
	_ = conn.Close()
	_, err = longTimeoutClient(t, address).Call(t.Context(), &historypb.Request{})
	require.NoError(t, err)
}

func TestPoolHoldsOneClientPerAddress(t *testing.T) {
	p := NewPool(&net.Dialer{})
	a, b := p.Client("a"), p.Client("b")
	require.Same(t, a, p.Client("a"))
	p.CloseExcept(map[string]bool{"b": true})
	require.NotSame(t, a, p.Client("a"))
	require.Same(t, b, p.Client("b"))
	p.Close()
	_, err := b.Call(t.Context(), &historypb.Request{})
	require.True(t, failure.Is(err, failure.PeerUnavailable), "closed: %v", err)
}

// A host that relays for many others must use little memory per connection. A queue of 4,096
// replies takes 24 KB more on both ends together.
func TestIdleConnectionMemoryIsBounded(t *testing.T) {
	const (
		connections = 200
		maxBytes    = 56 << 10 // heap of both ends: 48 KB, or 71 KB with queues of 4,096 replies
	)
	address := serve(t, echo)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	for range connections {
		_, err := longTimeoutClient(t, address).Call(t.Context(), &historypb.Request{})
		require.NoError(t, err)
	}
	each := (heap() - before) / connections
	t.Logf("%d bytes per connection", each)
	require.Less(t, each, int64(maxBytes))
}

// CloseIdle must close a connection without calls but not one with a call in flight, and the next
// call must dial again.
func TestIdleConnectionsAreClosed(t *testing.T) {
	release := make(chan struct{})
	p := longTimeoutPool(t)
	address := serve(t, func(req *historypb.Request, answer func(*historypb.Reply)) {
		go func() {
			if req.Slot == 1 {
				<-release
			}
			echo(req, answer)
		}()
	})
	c := p.Client(address)
	_, err := c.Call(t.Context(), &historypb.Request{})
	require.NoError(t, err)
	first := c.link
	p.CloseIdle(time.Hour)
	require.False(t, first.ended(), "used within the idle time")
	done := make(chan error, 1)
	go func() {
		_, err := c.CallWaiting(t.Context(), &historypb.Request{Slot: 1}, time.Minute)
		done <- err
	}()
	require.Eventually(t, func() bool { return c.inFlight() == 1 }, time.Minute, time.Millisecond)
	p.CloseIdle(0)
	require.False(t, first.ended(), "a call is in flight")
	close(release)
	require.NoError(t, <-done)
	p.CloseIdle(0)
	require.True(t, first.ended())
	_, err = c.Call(t.Context(), &historypb.Request{})
	require.NoError(t, err)
}

// inFlight returns the number of calls in flight.
func (c *Client) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callsInFlight
}
