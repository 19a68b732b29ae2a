package relay

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

const (
	testKind     = "things"
	watchTimeout = 2 * time.Second
)

// fakePlatform is a store of one kind whose calls can fail and whose watches can hang.
type fakePlatform struct {
	mu       sync.Mutex
	items    map[string]objects.Object
	events   []objects.Event
	revision uint64
	// oldestRevision is the revision after which all changes are known to watches.
	oldestRevision uint64
	down           bool
	hangs          bool
	changed        chan struct{}
	calls          int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{items: map[string]objects.Object{}, revision: 10, changed: make(chan struct{})}
}

func (p *fakePlatform) set(name, spec string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	o := objects.Object{Name: name, Revision: p.revision, Spec: []byte(spec)}
	p.items[name] = o
	p.publish(objects.Event{Object: o})
}

// dropHistory makes watches from any revision so far fail with HistoryGone, also those that wait.
func (p *fakePlatform) dropHistory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.oldestRevision = p.revision
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	delete(p.items, name)
	p.publish(objects.Event{Object: objects.Object{Name: name, Revision: p.revision}, Removed: true})
}

// state returns the number of calls so far and the revision.
func (p *fakePlatform) state() (calls int, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.revision
}

func (p *fakePlatform) publish(e objects.Event) {
	p.events = append(p.events, e)
	close(p.changed)
	p.changed = make(chan struct{})
}

// setFailure sets whether all calls fail and whether watches hang.
func (p *fakePlatform) setFailure(down, hangs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.hangs = down, hangs
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) List(context.Context, string) (objects.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.down {
		return objects.Snapshot{}, failure.New(failure.PlatformUnavailable, "down")
	}
	s := objects.Snapshot{Revision: p.revision}
	for _, o := range p.items {
		s.Items = append(s.Items, o)
	}
	return s, nil
}

func (p *fakePlatform) Watch(ctx context.Context, _ string, revision uint64, wait time.Duration) (objects.Changes, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		p.mu.Lock()
		c, changed, down, hangs := objects.Changes{Revision: p.revision}, p.changed, p.down, p.hangs
		isGone := revision < p.oldestRevision
		for _, e := range p.events {
			if e.Object.Revision > revision {
				c.Events = append(c.Events, e)
			}
		}
		p.mu.Unlock()
		switch {
		case down:
			return objects.Changes{}, failure.New(failure.PlatformUnavailable, "down")
		case hangs:
			// This call gets no reply; the client gives it up.
			time.Sleep(wait + 300*time.Millisecond)
			return objects.Changes{}, failure.New(failure.PlatformUnavailable, "no answer")
		case isGone:
			return objects.Changes{}, failure.New(failure.HistoryGone, "history dropped")
		case len(c.Events) > 0:
			return c, nil
		}
		select {
		case <-changed:
		case <-end.C:
			return c, nil
		case <-ctx.Done():
			return objects.Changes{}, failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "watch")
		}
	}
}

// relayLink is the connection of relays to the platform; it can be partitioned.
type relayLink struct {
	*fakePlatform
	partitioned atomic.Bool
}

func (l *relayLink) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	if l.partitioned.Load() {
		return objects.Snapshot{}, failure.New(failure.PlatformUnavailable, "partitioned")
	}
	return l.fakePlatform.List(ctx, kind)
}

func (l *relayLink) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	if l.partitioned.Load() {
		return objects.Changes{}, failure.New(failure.PlatformUnavailable, "partitioned")
	}
	c, err := l.fakePlatform.Watch(ctx, kind, revision, wait)
	if l.partitioned.Load() {
		return objects.Changes{}, failure.New(failure.PlatformUnavailable, "partitioned")
	}
	return c, err
}

// sharedReader makes all views read from one reader.
func sharedReader(r objects.Reader) func() objects.Reader { return func() objects.Reader { return r } }

// fakePeers reaches servers by member ID without a network.
type fakePeers struct {
	mu      sync.Mutex
	relays  []string
	servers map[string]*Server
	// awaitingAssignment is the result of AwaitsSlotAssignment.
	awaitingAssignment bool
}

func (p *fakePeers) Relays() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.relays...)
}

func (p *fakePeers) IsRelay() bool { return false }

func (p *fakePeers) AwaitsSlotAssignment() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.awaitingAssignment
}

func (p *fakePeers) Call(ctx context.Context, member string, req *historypb.Request, _ time.Duration) (*historypb.Reply, error) {
	p.mu.Lock()
	server := p.servers[member]
	p.mu.Unlock()
	if server == nil {
		return nil, failure.New(failure.PeerUnavailable, "%s is unreachable", member)
	}
	replies := make(chan *historypb.Reply, 1)
	server.Handle(req, func(r *historypb.Reply) { replies <- r })
	select {
	case r := <-replies:
		return r, statusError(r.Status, member)
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnavailable, "call")
	}
}

// hangingPeers are relays that never answer.
type hangingPeers struct{}

func (hangingPeers) Relays() []string { return []string{"a", "b", "c"} }

func (hangingPeers) IsRelay() bool { return false }

func (hangingPeers) AwaitsSlotAssignment() bool { return false }

func (hangingPeers) Call(ctx context.Context, member string, _ *historypb.Request, _ time.Duration) (*historypb.Reply, error) {
	<-ctx.Done()
	return nil, failure.New(failure.PeerUnavailable, "%s does not answer", member)
}

// relayPeers are the peers of the relay with this ID, which follows only the relays before it.
type relayPeers struct {
	*fakePeers
	id string
}

func (p relayPeers) Relays() []string {
	relays := p.fakePeers.Relays()
	if i := slices.Index(relays, p.id); i >= 0 {
		return relays[:i]
	}
	return relays
}

func (p relayPeers) IsRelay() bool { return slices.Contains(p.fakePeers.Relays(), p.id) }

// mirror is a listener that keeps the current objects.
type mirror struct {
	mu    sync.Mutex
	items map[string]string
}

func (m *mirror) Replaced(s objects.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = map[string]string{}
	for _, o := range s.Items {
		m.items[o.Name] = string(o.Spec)
	}
}

func (m *mirror) Changed(c objects.Changes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range c.Events {
		if e.Removed {
			delete(m.items, e.Object.Name)
			continue
		}
		m.items[e.Object.Name] = string(e.Object.Spec)
	}
}

func (m *mirror) Lost(error) {}

func (m *mirror) contents() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := map[string]string{}
	for k, v := range m.items {
		copied[k] = v
	}
	return copied
}

// testSystem is a platform, two relays and some entry hosts that follow the platform through them.
type testSystem struct {
	platform *fakePlatform
	link     *relayLink // from the relays to the platform
	peers    *fakePeers
	mirrors  []*mirror
}

// runSystem runs a test in virtual time against a testSystem with the given number of entry hosts.
func runSystem(t *testing.T, hosts int, test func(sys *testSystem)) {
	synctest.Test(t, func(t *testing.T) {
		logger := log.New(io.Discard)
		ctx, stop := context.WithCancel(context.Background())
		p := newFakePlatform()
		sys := &testSystem{platform: p, link: &relayLink{fakePlatform: p}, peers: &fakePeers{relays: []string{"a", "b"}, servers: map[string]*Server{}}}
		for _, id := range sys.peers.relays {
			source := func() objects.Reader { return NewSource(id, sys.link, relayPeers{sys.peers, id}, logger) }
			sys.peers.servers[id] = NewServer(ctx, source, logger, Kind{Name: testKind, WatchTimeout: watchTimeout})
		}
		p.set("one", "1")
		for i := range hosts {
			m := &mirror{}
			sys.mirrors = append(sys.mirrors, m)
			go objects.Follow(ctx, NewSource(string(rune('a'+i)), p, sys.peers, logger), testKind, watchTimeout, m)
		}
		time.Sleep(2 * relayRetryDelay) // all hosts follow through a relay now
		test(sys)
		stop()
		time.Sleep(time.Minute)
	})
}

// requireItems waits for within and then requires that all hosts hold the items.
func (sys *testSystem) requireItems(t *testing.T, within time.Duration, want map[string]string) {
	time.Sleep(within)
	for i, m := range sys.mirrors {
		require.Equal(t, want, m.contents(), "host %d", i)
	}
}
