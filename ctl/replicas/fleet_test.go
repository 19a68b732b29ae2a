package replicas

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/ctl/vnet"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// A fleet is history hosts in several data centres and entry hosts that reach them.
type fleet struct {
	t       *testing.T
	net     *vnet.Network
	slots   *placement.Map
	members []*member
	entries []*entry
}

// member is a history host.
type member struct {
	id, place, dataCentre, dir string
	server                     *history.Server
	listener                   *vnet.Listener
	// extra is what the member takes longer than others, in nanoseconds.
	extra atomic.Int64

	mu    sync.Mutex
	calls []*historypb.Request
}

// entry is an entry host's client.
type entry struct {
	*quorum.Client
	place string
	stop  context.CancelFunc
	ended chan struct{}
}

// roundTrip is between any two hosts, with the work of the one that answers.
const roundTrip = 2 * time.Millisecond

// grown is ten history hosts in four data centres.
var grown = []string{"a", "a", "a", "b", "b", "b", "c", "c", "d", "d"}

// newFleet starts a history host for each of the data centres named.
func newFleet(t *testing.T, faults int, dataCentres ...string) *fleet {
	f := &fleet{t: t, net: vnet.New(), slots: placement.New(faults)}
	for i, dc := range dataCentres {
		m := &member{dataCentre: dc, place: fmt.Sprintf("10.2.0.%d", i), dir: t.TempDir()}
		m.open(f)
		f.members = append(f.members, m)
		f.slots.Admit(m.listed(i))
	}
	f.slots.Assign()
	f.adopt()
	return f
}

func (m *member) listed(i int) placement.Member {
	return placement.Member{ID: m.id, Host: fmt.Sprintf("h%d", i), Address: m.place + ":1", DataCentre: m.dataCentre}
}

func (m *member) open(f *fleet) {
	server, err := history.OpenServer(history.Options{Dir: m.dir, Logger: log.New(io.Discard)})
	require.NoError(f.t, err)
	m.id, m.server = server.MemberID(), server
	m.listener = f.net.Listen(m.place + ":1")
	go func() { _ = rpc.Serve(m.listener, m.handle) }()
}

// adopt gives the map to all members and entry hosts.
func (f *fleet) adopt() {
	for _, m := range f.members {
		require.NoError(f.t, m.server.Adopt(f.slots.Clone()))
	}
	for _, e := range f.entries {
		e.take(f)
	}
}

func (m *member) handle(req *historypb.Request, answer func(*historypb.Reply)) {
	m.mu.Lock()
	m.calls = append(m.calls, req)
	m.mu.Unlock()
	server := m.server
	time.AfterFunc(roundTrip+time.Duration(m.extra.Load()), func() { server.Handle(req, answer) })
}

// entry starts the client of an entry host in a data centre.
func (f *fleet) entry(dataCentre string) *entry {
	place := fmt.Sprintf("10.1.0.%d", len(f.entries))
	ctx, stop := context.WithCancel(context.Background())
	e := &entry{
		Client: quorum.New(vnet.Dialer{Net: f.net, From: place}, dataCentre, log.New(io.Discard), nil),
		place:  place, stop: stop, ended: make(chan struct{}),
	}
	e.take(f)
	go func() {
		defer close(e.ended)
		e.Run(ctx)
	}()
	f.entries = append(f.entries, e)
	time.Sleep(2 * time.Second) // its probes open connections
	return e
}

// take gives the map of the fleet to an entry host.
func (e *entry) take(f *fleet) {
	text, err := json.Marshal(f.slots)
	require.NoError(f.t, err)
	e.Replaced(objects.Snapshot{Items: []objects.Object{{Name: history.MapName, Spec: text}}})
}

func (f *fleet) close() {
	f.net.Heal()
	for _, e := range f.entries {
		e.stop()
		<-e.ended
	}
	time.Sleep(5 * time.Second) // calls under way end
	for _, m := range f.members {
		_ = m.listener.Close()
		f.net.Crash(m.place)
		m.server.Close()
	}
	time.Sleep(5 * time.Second)
}

// by returns the member of an id.
func (f *fleet) by(id string) *member {
	for _, m := range f.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// forget forgets the calls of all members.
func (f *fleet) forget() {
	for _, m := range f.members {
		m.mu.Lock()
		m.calls = nil
		m.mu.Unlock()
	}
}

// asked returns the members that took a call of a kind since the last forget.
func (f *fleet) asked(is func(*historypb.Request) bool) (list []*member) {
	for _, m := range f.members {
		m.mu.Lock()
		for _, c := range m.calls {
			if is(c) {
				list = append(list, m)
				break
			}
		}
		m.mu.Unlock()
	}
	return list
}
