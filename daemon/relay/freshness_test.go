package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// valueHistory records the platform's value over time.
type valueHistory struct {
	mu      sync.Mutex
	changes []time.Time // the value is the number of changes
}

func (h *valueHistory) change(p *fakePlatform) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, time.Now())
	p.set("value", strconv.Itoa(len(h.changes)))
}

// valueAt returns the value just before t. A change at the same instant of virtual time as a
// request may be made after the request.
func (h *valueHistory) valueAt(t time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for n < len(h.changes) && h.changes[n].Before(t) {
		n++
	}
	return n
}

// changedAt returns when the value became n.
func (h *valueHistory) changedAt(n int) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changes[n-1]
}

// freshnessChecker is a host that checks the AsOf time of what it receives: no state may claim
// to be the newest as of a time at which there was a newer one.
type freshnessChecker struct {
	history    *valueHistory
	name       string
	mu         sync.Mutex
	value      int
	asOf       time.Time
	violations []string
	maxAge     time.Duration // of the received state since startMeasuring
	since      time.Time
}

func (fc *freshnessChecker) Replaced(s objects.Snapshot) { fc.check(s.Items, s.AsOf) }

func (fc *freshnessChecker) Changed(c objects.Changes) {
	var items []objects.Object
	for _, e := range c.Events {
		items = append(items, e.Object)
	}
	fc.check(items, c.AsOf)
}

func (fc *freshnessChecker) Lost(error) {}

// observedMaxAge returns the maximum age of the received state since startMeasuring.
func (fc *freshnessChecker) observedMaxAge() time.Duration {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.maxAge
}

func (fc *freshnessChecker) check(items []objects.Object, asOf time.Time) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	for _, o := range items {
		if n, err := strconv.Atoi(string(o.Spec)); err == nil && o.Name == "value" {
			fc.value = max(fc.value, n)
		}
	}
	if asOf.IsZero() {
		return
	}
	if newest := fc.history.valueAt(asOf); newest > fc.value {
		fc.violations = append(fc.violations, fmt.Sprintf("%s claims value %d as of %s, it was %d since %s",
			fc.name, fc.value, asOf, newest, fc.history.changedAt(newest)))
	}
	if !fc.since.IsZero() && fc.asOf.After(fc.since) {
		fc.maxAge = max(fc.maxAge, time.Since(fc.asOf))
	}
	if asOf.After(fc.asOf) {
		fc.asOf = asOf
	}
}

// delays draws the random delay of each message. With stalls, some take seconds, as when a
// process is stopped before it sends or handles a message.
type delays struct {
	mu     sync.Mutex
	r      *rand.Rand
	stalls bool
}

func (d *delays) sleep() {
	d.mu.Lock()
	delay := time.Duration(d.r.IntN(4)) * time.Millisecond
	if d.stalls && d.r.IntN(60) == 0 {
		delay = time.Duration(d.r.IntN(6000)) * time.Millisecond
	}
	d.mu.Unlock()
	time.Sleep(delay)
}

// datedReader is a client of the platform over a slow connection. It sets AsOf to the time at
// which the request was sent; see platform.Store.
type datedReader struct {
	objects.Reader
	delays *delays
}

func (d datedReader) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	sentAt := time.Now()
	d.delays.sleep()
	s, err := d.Reader.List(ctx, kind)
	d.delays.sleep()
	s.AsOf = sentAt
	return s, err
}

func (d datedReader) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	sentAt := time.Now()
	d.delays.sleep()
	c, err := d.Reader.Watch(ctx, kind, revision, wait)
	d.delays.sleep()
	c.AsOf = sentAt
	return c, err
}

// lossyPeers are peers over a slow connection that loses some replies.
type lossyPeers struct {
	Peers
	delays *delays
}

func (p lossyPeers) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	p.delays.sleep()
	reply, err := p.Peers.Call(ctx, member, req, wait)
	p.delays.sleep()
	p.delays.mu.Lock()
	lost := p.delays.stalls && p.delays.r.IntN(40) == 0
	p.delays.mu.Unlock()
	if lost {
		return nil, failure.New(failure.PeerUnavailable, "answer lost")
	}
	return reply, err
}

// Watch timeouts of a deployment that bounds the removal of keys to five seconds.
const (
	relayWatchTimeout = 300 * time.Millisecond
	hostWatchTimeout  = 600 * time.Millisecond
)

// freshnessSystem is a platform, a chain of three relays and some hosts, each a freshnessChecker.
type freshnessSystem struct {
	history  valueHistory
	platform *fakePlatform
	link     *relayLink // from the first relay to the platform
	peers    *fakePeers
	checkers []*freshnessChecker
	delays   *delays
	stop     context.CancelFunc
}

func startFreshnessSystem(seed uint64, hosts int, wrap func(objects.Reader) objects.Reader) *freshnessSystem {
	ctx, stop := context.WithCancel(context.Background())
	f := &freshnessSystem{platform: newFakePlatform(), peers: &fakePeers{relays: []string{"a", "b", "c"}, servers: map[string]*Server{}}, stop: stop}
	f.link = &relayLink{fakePlatform: f.platform}
	f.delays = &delays{r: rand.New(rand.NewPCG(seed, 7))}
	f.history.change(f.platform)
	logger := log.New(io.Discard)
	for _, id := range f.peers.relays {
		var store objects.Reader = datedReader{f.platform, f.delays}
		if id == "a" {
			store = datedReader{f.link, f.delays}
		}
		source := func() objects.Reader {
			return wrap(NewSource(id, store, lossyPeers{relayPeers{f.peers, id}, f.delays}, logger))
		}
		f.peers.servers[id] = NewServer(ctx, source, logger, Kind{Name: testKind, WatchTimeout: relayWatchTimeout, ForwardConfirmations: true})
	}
	for i := range hosts {
		fc := &freshnessChecker{history: &f.history, name: string(rune('a' + i))}
		f.checkers = append(f.checkers, fc)
		source := NewSource(fc.name, datedReader{f.platform, f.delays}, lossyPeers{f.peers, f.delays}, logger)
		go objects.Follow(ctx, wrap(source), testKind, hostWatchTimeout, fc)
	}
	return f
}

// startMeasuring starts to record the maximum age of the hosts' states.
func (f *freshnessSystem) startMeasuring() {
	for _, fc := range f.checkers {
		fc.mu.Lock()
		fc.since = time.Now()
		fc.mu.Unlock()
	}
}

// close stops the system and waits until its goroutines have ended.
func (f *freshnessSystem) close() {
	f.stop()
	time.Sleep(time.Minute)
}

// injectFaults causes a random sequence of changes, a partition between the first relay and the
// platform, a platform that is down or whose watches hang, and messages that take seconds.
func (f *freshnessSystem) injectFaults(r *rand.Rand, steps int) {
	f.delays.mu.Lock()
	f.delays.stalls = true
	f.delays.mu.Unlock()
	for range steps {
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		switch r.IntN(8) {
		case 0:
			f.link.partitioned.Store(r.IntN(2) == 0)
		case 1:
			f.platform.setFailure(r.IntN(2) == 0, false)
		case 2:
			f.platform.setFailure(false, r.IntN(2) == 0)
		default:
			f.history.change(f.platform)
		}
	}
	f.link.partitioned.Store(false)
	f.platform.setFailure(false, false)
	f.delays.mu.Lock()
	f.delays.stalls = false
	f.delays.mu.Unlock()
}

func (f *freshnessSystem) violations() []string {
	var all []string
	for _, fc := range f.checkers {
		fc.mu.Lock()
		all = append(all, fc.violations...)
		fc.mu.Unlock()
	}
	return all
}

func identity(r objects.Reader) objects.Reader { return r }

// No host may take its state for newer than it is, whatever is lost, delayed or stopped between
// it and the platform: it would accept a removed key for too long.
func TestStateNeverClaimsToBeNewerThanItIs(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			f := startFreshnessSystem(seed, 6, identity)
			f.injectFaults(rand.New(rand.NewPCG(seed, 8)), 150)
			f.close()
			require.Empty(t, f.violations(), "seed %d", seed)
		})
	}
}

// replyTimeReader wrongly sets AsOf to the time at which the reply arrived.
type replyTimeReader struct{ objects.Reader }

func (r replyTimeReader) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	c, err := r.Reader.Watch(ctx, kind, revision, wait)
	c.AsOf = time.Now()
	return c, err
}

// The check of TestStateNeverClaimsToBeNewerThanItIs must detect relays and hosts that date a
// state by the arrival of the reply instead of the sending of the request.
func TestCheckDetectsStateDatedByReplyTime(t *testing.T) {
	seen := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := startFreshnessSystem(seed, 6, func(r objects.Reader) objects.Reader { return replyTimeReader{r} })
			f.injectFaults(rand.New(rand.NewPCG(seed, 8)), 150)
			f.close()
			seen += len(f.violations())
		})
	}
	require.NotZero(t, seen)
}

// Without failures no host's state is older than 0.7 s behind a chain of three relays: a removed
// key must be out of use within five seconds.
func TestStateIsFreshWithoutFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFreshnessSystem(1, 12, identity)
		time.Sleep(10 * time.Second)
		f.startMeasuring()
		time.Sleep(30 * time.Second)
		f.close()
		for _, fc := range f.checkers {
			require.Positive(t, fc.observedMaxAge())
			require.Less(t, fc.observedMaxAge(), 700*time.Millisecond, fc.name)
		}
	})
}

// When the first relay loses its connection to the platform, another one must replace it before any
// host's state is too old.
func TestStateStaysFreshWhileFirstRelayIsPartitioned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFreshnessSystem(2, 12, identity)
		time.Sleep(10 * time.Second)
		f.startMeasuring()
		f.link.partitioned.Store(true)
		time.Sleep(9 * time.Second)
		f.link.partitioned.Store(false)
		time.Sleep(5 * time.Second)
		f.close()
		for _, fc := range f.checkers {
			require.Less(t, fc.observedMaxAge(), 2*time.Second, fc.name)
		}
	})
}
