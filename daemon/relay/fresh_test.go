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

// truth is the value that the platform held at each time.
type truth struct {
	mu      sync.Mutex
	changes []time.Time // the value is the number of changes
}

func (t *truth) change(p *platform) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.changes = append(t.changes, time.Now())
	p.set("value", strconv.Itoa(len(t.changes)))
}

// at is the value before an instant: a change at the very instant of virtual time at which a
// question is asked may be made after it.
func (t *truth) at(when time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for n < len(t.changes) && t.changes[n].Before(when) {
		n++
	}
	return n
}

// since is when the value became n.
func (t *truth) since(n int) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes[n-1]
}

// witness is a host that checks what it is told: no word claims to be the newest as of a
// time at which there was a newer one.
type witness struct {
	truth  *truth
	name   string
	mu     sync.Mutex
	value  int
	asOf   time.Time
	wrong  []string
	oldest time.Duration // of its word, since the last reset
	since  time.Time
}

func (w *witness) Replaced(s objects.Snapshot) { w.told(s.Items, s.AsOf) }

func (w *witness) Changed(c objects.Changes) {
	var items []objects.Object
	for _, e := range c.Events {
		items = append(items, e.Object)
	}
	w.told(items, c.AsOf)
}

func (w *witness) Lost(error) {}

// oldestWord is how old the word was at most since the last reset.
func (w *witness) oldestWord() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.oldest
}

func (w *witness) told(items []objects.Object, asOf time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range items {
		if n, err := strconv.Atoi(string(o.Spec)); err == nil && o.Name == "value" {
			w.value = max(w.value, n)
		}
	}
	if asOf.IsZero() {
		return
	}
	if newest := w.truth.at(asOf); newest > w.value {
		w.wrong = append(w.wrong, fmt.Sprintf("%s claims value %d as of %s, it was %d since %s",
			w.name, w.value, asOf, newest, w.truth.since(newest)))
	}
	if !w.since.IsZero() && w.asOf.After(w.since) {
		w.oldest = max(w.oldest, time.Since(w.asOf))
	}
	if asOf.After(w.asOf) {
		w.asOf = asOf
	}
}

// delays draws how long each message takes. Some take seconds: a process that is stopped
// with an answer in hand.
type delays struct {
	mu    sync.Mutex
	r     *rand.Rand
	stops bool
}

func (d *delays) pass() {
	d.mu.Lock()
	took := time.Duration(d.r.IntN(4)) * time.Millisecond
	if d.stops && d.r.IntN(60) == 0 {
		took = time.Duration(d.r.IntN(6000)) * time.Millisecond
	}
	d.mu.Unlock()
	time.Sleep(took)
}

// dated is the client of the platform, over a slow way; see platform.Store.
type dated struct {
	objects.Reader
	delays *delays
}

func (d dated) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	asked := time.Now()
	d.delays.pass()
	s, err := d.Reader.List(ctx, kind)
	d.delays.pass()
	s.AsOf = asked
	return s, err
}

func (d dated) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	asked := time.Now()
	d.delays.pass()
	c, err := d.Reader.Watch(ctx, kind, revision, wait)
	d.delays.pass()
	c.AsOf = asked
	return c, err
}

// slowPeers are peers over a slow way that loses some answers.
type slowPeers struct {
	Peers
	delays *delays
}

func (p slowPeers) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	p.delays.pass()
	reply, err := p.Peers.Call(ctx, member, req, wait)
	p.delays.pass()
	p.delays.mu.Lock()
	lost := p.delays.stops && p.delays.r.IntN(40) == 0
	p.delays.mu.Unlock()
	if lost {
		return nil, failure.New(failure.PeerUnavailable, "answer lost")
	}
	return reply, err
}

// The waits of a deployment that bounds the removal of keys to five seconds.
const (
	relayedWait  = 300 * time.Millisecond
	followedWait = 600 * time.Millisecond
)

// fresh is a platform, three relays in a row and some hosts, each of which is a witness.
type fresh struct {
	truth     truth
	platform  *platform
	link      *link // of the first relay to the platform
	peers     *peers
	witnesses []*witness
	delays    *delays
	stop      context.CancelFunc
}

func startFresh(seed uint64, hosts int, wrap func(objects.Reader) objects.Reader) *fresh {
	ctx, stop := context.WithCancel(context.Background())
	f := &fresh{platform: newPlatform(), peers: &peers{order: []string{"a", "b", "c"}, servers: map[string]*Server{}}, stop: stop}
	f.link = &link{platform: f.platform}
	f.delays = &delays{r: rand.New(rand.NewPCG(seed, 7))}
	f.truth.change(f.platform)
	logger := log.New(io.Discard)
	for _, id := range f.peers.order {
		var store objects.Reader = dated{f.platform, f.delays}
		if id == "a" {
			store = dated{f.link, f.delays}
		}
		source := func() objects.Reader {
			return wrap(NewSource(id, store, slowPeers{member{f.peers, id}, f.delays}, logger))
		}
		f.peers.servers[id] = NewServer(ctx, source, logger, Kind{Name: kind, WatchTimeout: relayedWait, ForwardConfirmations: true})
	}
	for i := range hosts {
		w := &witness{truth: &f.truth, name: string(rune('a' + i))}
		f.witnesses = append(f.witnesses, w)
		source := NewSource(w.name, dated{f.platform, f.delays}, slowPeers{f.peers, f.delays}, logger)
		go objects.Follow(ctx, wrap(source), kind, followedWait, w)
	}
	return f
}

// measure begins to note how old the words of the witnesses become.
func (f *fresh) measure() {
	for _, w := range f.witnesses {
		w.mu.Lock()
		w.since = time.Now()
		w.mu.Unlock()
	}
}

// close lets the followers end.
func (f *fresh) close() {
	f.stop()
	time.Sleep(time.Minute)
}

// faults lets things happen for a while: changes, a relay that is cut off from the
// platform, a platform that is down or whose watches hang, messages that take seconds.
func (f *fresh) faults(r *rand.Rand, steps int) {
	f.delays.mu.Lock()
	f.delays.stops = true
	f.delays.mu.Unlock()
	for range steps {
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
		switch r.IntN(8) {
		case 0:
			f.link.cut.Store(r.IntN(2) == 0)
		case 1:
			f.platform.fail(r.IntN(2) == 0, false)
		case 2:
			f.platform.fail(false, r.IntN(2) == 0)
		default:
			f.truth.change(f.platform)
		}
	}
	f.link.cut.Store(false)
	f.platform.fail(false, false)
	f.delays.mu.Lock()
	f.delays.stops = false
	f.delays.mu.Unlock()
}

func (f *fresh) wrong() []string {
	var all []string
	for _, w := range f.witnesses {
		w.mu.Lock()
		all = append(all, w.wrong...)
		w.mu.Unlock()
	}
	return all
}

func asIs(r objects.Reader) objects.Reader { return r }

// No host believes that its word is newer than it is, whatever is lost, late or stopped
// between it and the platform.
func TestNoWordClaimsToBeNewerThanItIs(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			f := startFresh(seed, 6, asIs)
			f.faults(rand.New(rand.NewPCG(seed, 8)), 150)
			f.close()
			require.Empty(t, f.wrong(), "seed %d", seed)
		})
	}
}

// renewing dates what it reads by the time of the answer.
type renewing struct{ objects.Reader }

func (r renewing) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	c, err := r.Reader.Watch(ctx, kind, revision, wait)
	c.AsOf = time.Now()
	return c, err
}

// The check above sees relays and hosts that count from the answer in place of the question.
func TestCheckSeesWordsThatAreRenewedOnTheWay(t *testing.T) {
	seen := 0
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			f := startFresh(seed, 6, func(r objects.Reader) objects.Reader { return renewing{r} })
			f.faults(rand.New(rand.NewPCG(seed, 8)), 150)
			f.close()
			seen += len(f.wrong())
		})
	}
	require.NotZero(t, seen)
}

// While nothing fails, no host's word is older than 0.7 s, over three relays in a row: a removed
// key must be out of use within five seconds.
func TestWordsAreNewWhileNothingFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFresh(1, 12, asIs)
		time.Sleep(10 * time.Second)
		f.measure()
		time.Sleep(30 * time.Second)
		f.close()
		for _, w := range f.witnesses {
			require.Positive(t, w.oldestWord())
			require.Less(t, w.oldestWord(), 700*time.Millisecond, w.name)
		}
	})
}

// A relay that the platform turns away is replaced before anybody's word is too old.
func TestWordsStayNewWhileTheFirstRelayIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFresh(2, 12, asIs)
		time.Sleep(10 * time.Second)
		f.measure()
		f.link.cut.Store(true)
		time.Sleep(9 * time.Second)
		f.link.cut.Store(false)
		time.Sleep(5 * time.Second)
		f.close()
		for _, w := range f.witnesses {
			require.Less(t, w.oldestWord(), 2*time.Second, w.name)
		}
	})
}
