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
	kind     = "things"
	waitTime = 2 * time.Second
)

// platform is a store of one kind whose watches can hang or fail.
type platform struct {
	mu       sync.Mutex
	items    map[string]objects.Object
	events   []objects.Event
	revision uint64
	down     bool
	hang     bool
	changed  chan struct{}
	calls    int
}

func newPlatform() *platform {
	return &platform{items: map[string]objects.Object{}, revision: 10, changed: make(chan struct{})}
}

func (p *platform) set(name, spec string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	o := objects.Object{Name: name, Revision: p.revision, Spec: []byte(spec)}
	p.items[name] = o
	p.tell(objects.Event{Object: o})
}

func (p *platform) remove(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	delete(p.items, name)
	p.tell(objects.Event{Object: objects.Object{Name: name, Revision: p.revision}, Removed: true})
}

// state returns the number of calls so far and the revision.
func (p *platform) state() (calls int, revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.revision
}

func (p *platform) tell(e objects.Event) {
	p.events = append(p.events, e)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) fail(down, hang bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down, p.hang = down, hang
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) List(context.Context, string) (objects.Snapshot, error) {
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

func (p *platform) Watch(ctx context.Context, _ string, revision uint64, wait time.Duration) (objects.Changes, error) {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		p.mu.Lock()
		c, changed, down, hang := objects.Changes{Revision: p.revision}, p.changed, p.down, p.hang
		for _, e := range p.events {
			if e.Object.Revision > revision {
				c.Events = append(c.Events, e)
			}
		}
		p.mu.Unlock()
		switch {
		case down:
			return objects.Changes{}, failure.New(failure.PlatformUnavailable, "down")
		case hang:
			// Nothing comes any more on this call; the client gives it up.
			time.Sleep(wait + 300*time.Millisecond)
			return objects.Changes{}, failure.New(failure.PlatformUnavailable, "no answer")
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

// link is the way of the relays to the platform; it can be cut.
type link struct {
	*platform
	cut atomic.Bool
}

func (l *link) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	if l.cut.Load() {
		return objects.Snapshot{}, failure.New(failure.PlatformUnavailable, "cut")
	}
	return l.platform.List(ctx, kind)
}

func (l *link) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	if l.cut.Load() {
		return objects.Changes{}, failure.New(failure.PlatformUnavailable, "cut")
	}
	c, err := l.platform.Watch(ctx, kind, revision, wait)
	if l.cut.Load() {
		return objects.Changes{}, failure.New(failure.PlatformUnavailable, "cut")
	}
	return c, err
}

// read makes all views read from one reader.
func read(r objects.Reader) func() objects.Reader { return func() objects.Reader { return r } }

// peers reaches servers by member id without a network.
type peers struct {
	mu      sync.Mutex
	order   []string
	servers map[string]*Server
	// gathering peers will name relays later.
	gathering bool
}

func (p *peers) Relays() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.order...)
}

func (p *peers) IsRelay() bool { return false }

func (p *peers) AwaitsSlotAssignment() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gathering
}

func (p *peers) Call(ctx context.Context, member string, req *historypb.Request, _ time.Duration) (*historypb.Reply, error) {
	p.mu.Lock()
	server := p.servers[member]
	p.mu.Unlock()
	if server == nil {
		return nil, failure.New(failure.PeerUnavailable, "%s is gone", member)
	}
	answer := make(chan *historypb.Reply, 1)
	server.Handle(req, func(r *historypb.Reply) { answer <- r })
	select {
	case r := <-answer:
		return r, refused(r.Status, member)
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PeerUnavailable, "ask")
	}
}

// hanging are relays that never answer.
type hanging struct{}

func (hanging) Relays() []string { return []string{"a", "b", "c"} }

func (hanging) IsRelay() bool { return false }

func (hanging) AwaitsSlotAssignment() bool { return false }

func (hanging) Call(ctx context.Context, member string, _ *historypb.Request, _ time.Duration) (*historypb.Reply, error) {
	<-ctx.Done()
	return nil, failure.New(failure.PeerUnavailable, "%s does not answer", member)
}

// member is how the relay id reaches the relays before it.
type member struct {
	*peers
	id string
}

func (m member) Relays() []string {
	relays := m.peers.Relays()
	if i := slices.Index(relays, m.id); i >= 0 {
		return relays[:i]
	}
	return relays
}

func (m member) IsRelay() bool { return slices.Contains(m.peers.Relays(), m.id) }

// mirror keeps what a Follow tells it.
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

func (m *mirror) get() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := map[string]string{}
	for k, v := range m.items {
		copied[k] = v
	}
	return copied
}

// world is a platform, two relays and some entry hosts that follow through them.
type world struct {
	relayed *platform
	link    *link // of the relays to it
	peers   *peers
	mirrors []*mirror
}

func play(t *testing.T, hosts int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		logger := log.New(io.Discard)
		ctx, stop := context.WithCancel(context.Background())
		p := newPlatform()
		w := &world{relayed: p, link: &link{platform: p}, peers: &peers{order: []string{"a", "b"}, servers: map[string]*Server{}}}
		for _, id := range w.peers.order {
			source := func() objects.Reader { return NewSource(id, w.link, member{w.peers, id}, logger) }
			w.peers.servers[id] = NewServer(ctx, source, logger, Kind{Name: kind, WatchTimeout: waitTime})
		}
		p.set("one", "1")
		for i := range hosts {
			m := &mirror{}
			w.mirrors = append(w.mirrors, m)
			go objects.Follow(ctx, NewSource(string(rune('a'+i)), p, w.peers, logger), kind, waitTime, m)
		}
		time.Sleep(2 * avoidFor) // everybody follows through a relay now
		test(w)
		stop()
		time.Sleep(time.Minute)
	})
}

func (w *world) eventually(t *testing.T, within time.Duration, want map[string]string) {
	time.Sleep(within)
	for i, m := range w.mirrors {
		require.Equal(t, want, m.get(), "host %d", i)
	}
}
