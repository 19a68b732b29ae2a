package rpc

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/frame"
)

// Dialer opens connections; *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

const (
	// dialTimeout bounds one dial. It is well above a round trip between data centres (a few
	// ms). A dial to a host without power hangs for the whole timeout, even if the host comes
	// back meanwhile: after a power failure of all hosts, a starting host waits for the last
	// of these dials.
	dialTimeout = 250 * time.Millisecond
	// redialDelay is the minimum time between a failed dial and the next one, so that not
	// every call dials a host that is down.
	redialDelay = 50 * time.Millisecond
	// defaultSilenceTimeout is the default for Client.silenceTimeout. A partition leaves
	// connections hanging, whereas the dial of a new one detects it. The timeout is above the
	// pauses of a host that has used up its CPU share (100 ms).
	defaultSilenceTimeout = 300 * time.Millisecond
	// pingDelay is how long nothing may arrive before a waiting call sends a ping. A call may
	// wait for a slow disk, whereas a ping is answered at once. The ping also covers the case
	// that this host itself was paused.
	pingDelay = 120 * time.Millisecond
	// maxQueuedRequests bounds the requests queued for writing on one link. Further calls
	// block until the queue has space.
	maxQueuedRequests = 64
)

// Client calls one member over one connection. Safe for concurrent use.
type Client struct {
	address string
	dialer  Dialer
	// silenceTimeout is how long nothing may arrive on a connection while calls wait before
	// the connection is closed.
	silenceTimeout time.Duration
	// traffic may be nil.
	traffic *Traffic

	mu        sync.Mutex
	link      *link
	dialDone  chan struct{} // closed when the current dial ends; nil while there is none
	dialError error
	nextDial  time.Time
	closed    bool
	// callsInFlight is the number of calls in flight, lastUsed the time at which a call last
	// started or ended.
	callsInFlight int
	lastUsed      time.Time
}

// NewClient returns a client of the member at address. It dials on first use.
func NewClient(address string, dialer Dialer) *Client {
	return &Client{address: address, dialer: dialer, silenceTimeout: defaultSilenceTimeout}
}

// Call sends a request and waits for its reply. After any error the member may or may not
// have executed the request. The failure is of kind PeerUnavailable, or that of the frame
// that could not be written.
func (c *Client) Call(ctx context.Context, req *historypb.Request) (*historypb.Reply, error) {
	return c.CallWaiting(ctx, req, 0)
}

// CallWaiting is Call for a request that the member may take up to wait to answer. The
// silence timeout is extended by wait.
func (c *Client) CallWaiting(ctx context.Context, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	c.trackCalls(1)
	defer c.trackCalls(-1)
	l, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	return l.call(ctx, req, wait+c.silenceTimeout)
}

// trackCalls records the start (delta 1) or end (delta -1) of a call.
func (c *Client) trackCalls(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callsInFlight += delta
	c.lastUsed = time.Now()
}

// CloseIdle closes the connection if there was no call for the duration idle. The next call dials
// again.
func (c *Client) CloseIdle(idle time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == nil || c.callsInFlight > 0 || time.Since(c.lastUsed) < idle {
		return
	}
	c.link.close(failure.New(failure.PeerUnavailable, "connection idle"))
	c.link = nil
}

// Close closes the connection. Later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.link != nil {
		c.link.close(failure.New(failure.PeerUnavailable, "client closed"))
	}
}

// connect returns the open link, or dials if there is none.
func (c *Client) connect(ctx context.Context) (*link, error) {
	for {
		c.mu.Lock()
		if c.closed {
			c.mu.Unlock()
			return nil, failure.New(failure.PeerUnavailable, "client of %s is closed", c.address)
		}
		if c.link != nil && !c.link.ended() {
			defer c.mu.Unlock()
			return c.link, nil
		}
		if c.dialDone == nil {
			if now := time.Now(); now.Before(c.nextDial) && c.dialError != nil {
				err := c.dialError
				c.mu.Unlock()
				return nil, err
			}
			c.dialDone = make(chan struct{})
			go c.dial(c.dialDone)
		}
		wait := c.dialDone
		c.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, failure.Wrap(ctx.Err(), failure.PeerUnavailable, "dial %s", c.address)
		}
	}
}

func (c *Client) dial(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l, err := openLink(ctx, c.dialer, c.address, c.silenceTimeout, c.traffic)
	c.mu.Lock()
	c.link, c.dialError = l, err
	if err != nil {
		c.nextDial = time.Now().Add(redialDelay)
	}
	c.dialDone = nil
	c.mu.Unlock()
	close(done)
}

// link is one connection and its calls in flight.
type link struct {
	session        *yamux.Session
	stream         net.Conn
	silenceTimeout time.Duration
	traffic        *Traffic

	// requests is the queue of a separate writer goroutine: a write to a partitioned peer
	// may hang for longer than its call may wait.
	requests chan *historypb.Request

	mu          sync.Mutex
	nextID      uint64
	pending     map[uint64]pendingCall
	lastReceipt time.Time
	err         error
	done        chan struct{}
}

// pendingCall is a call that waits for its reply.
type pendingCall struct {
	kind  Kind
	reply chan *historypb.Reply
}

func openLink(ctx context.Context, dialer Dialer, address string, silenceTimeout time.Duration, traffic *Traffic) (*link, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.PeerUnavailable, "dial %s", address)
	}
	session, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, failure.Wrap(err, failure.PeerUnavailable, "session with %s", address)
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close()
		return nil, failure.Wrap(err, failure.PeerUnavailable, "stream to %s", address)
	}
	l := &link{silenceTimeout: silenceTimeout, traffic: traffic, session: session, stream: stream, pending: map[uint64]pendingCall{}, lastReceipt: time.Now(), requests: make(chan *historypb.Request, maxQueuedRequests), done: make(chan struct{})}
	go l.read()
	go l.write()
	return l, nil
}

func (l *link) ended() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *link) close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return
	}
	l.err = err
	close(l.done)
	// Closing the session may block until the peer reacts.
	go func() { _ = l.session.Close() }()
}

func (l *link) read() {
	in := bufio.NewReader(l.stream)
	for {
		reply := &historypb.Reply{}
		n, err := frame.ReadCounted(in, reply)
		if err != nil {
			l.close(failure.Wrap(err, failure.PeerUnavailable, "connection ended"))
			return
		}
		l.mu.Lock()
		l.lastReceipt = time.Now()
		pending, known := l.pending[reply.Id]
		delete(l.pending, reply.Id)
		l.mu.Unlock()
		if !known {
			l.traffic.addReceived(KindOther, n)
			continue
		}
		l.traffic.addReceived(pending.kind, n)
		pending.reply <- reply
	}
}

// call sends a request and waits for the reply. It closes the link if nothing arrives on it
// within timeout.
func (l *link) call(ctx context.Context, req *historypb.Request, timeout time.Duration) (*historypb.Reply, error) {
	answer := make(chan *historypb.Reply, 1)
	sent := time.Now()
	l.mu.Lock()
	l.nextID++
	req.Id = l.nextID
	l.pending[req.Id] = pendingCall{requestKind(req), answer}
	l.mu.Unlock()
	silenceTimer := time.NewTimer(timeout)
	defer silenceTimer.Stop()
	pingTimer := time.NewTimer(timeout - l.silenceTimeout + pingDelay)
	defer pingTimer.Stop()
	requests := l.requests
	for {
		select {
		case requests <- req:
			requests = nil
		case <-pingTimer.C:
			l.ping(req.Member, sent)
		case reply := <-answer:
			return reply, nil
		case <-l.done:
			return nil, l.err
		case <-ctx.Done():
			l.removePending(req.Id)
			return nil, failure.Wrap(ctx.Err(), failure.PeerUnavailable, "call")
		case <-silenceTimer.C:
			if remaining := timeout - time.Since(l.lastActivity(sent)); remaining > 0 {
				silenceTimer.Reset(remaining)
				continue
			}
			l.close(failure.New(failure.PeerUnavailable, "no answer within %s", timeout))
		}
	}
}

// ping sends a ping if nothing was received within pingDelay. Its reply belongs to no call;
// it only updates lastReceipt.
func (l *link) ping(member string, sent time.Time) {
	if time.Since(l.lastActivity(sent)) < pingDelay {
		return
	}
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.mu.Unlock()
	select {
	case l.requests <- &historypb.Request{Id: id, Member: member, Call: &historypb.Request_Ping{Ping: &historypb.Ping{}}}:
	default: // the queue is full of calls, whose replies also show that the peer is alive
	}
}

// lastActivity returns the later of sent and the time of the last receipt.
func (l *link) lastActivity(sent time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastReceipt.After(sent) {
		return l.lastReceipt
	}
	return sent
}

func (l *link) removePending(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// write writes the queued requests until the link ends.
func (l *link) write() {
	for {
		select {
		case req := <-l.requests:
			if err := l.writeFrame(req); err != nil {
				l.close(err)
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) writeFrame(req *historypb.Request) error {
	if err := l.stream.SetWriteDeadline(time.Now().Add(l.silenceTimeout)); err != nil {
		return failure.Wrap(err, failure.PeerUnavailable, "write deadline")
	}
	kind := requestKind(req)
	l.traffic.addCall(kind) // before the reply can arrive
	n, err := frame.WriteCounted(l.stream, req)
	if err != nil {
		return err
	}
	l.traffic.addSent(kind, n)
	return nil
}
