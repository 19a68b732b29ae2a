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

// cluster holds history hosts in several data centres and the entry hosts that call them.
type cluster struct {
	t          *testing.T
	net        *vnet.Network
	slots      *placement.Map
	members    []*member
	entryHosts []*entryHost
}

// member is a history host.
type member struct {
	id, ip, dataCentre, dir string
	server                  *history.Server
	listener                *vnet.Listener
	// extraDelay is added to the round trip of each call, in nanoseconds.
	extraDelay atomic.Int64

	mu    sync.Mutex
	calls []*historypb.Request
}

// entryHost is the history client of an entry host.
type entryHost struct {
	*quorum.Client
	ip   string
	stop context.CancelFunc
	done chan struct{}
}

// roundTripTime is the time from a call to its reply between any two hosts, including the work
// of the member that answers.
const roundTripTime = 2 * time.Millisecond

// tenMembers are the data centres of a cluster of ten history hosts, for newCluster.
var tenMembers = []string{"a", "a", "a", "b", "b", "b", "c", "c", "d", "d"}

// newCluster starts one history host for each entry of dataCentres; maxFaults is the number of
// disks that may be lost at once.
func newCluster(t *testing.T, maxFaults int, dataCentres ...string) *cluster {
	c := &cluster{t: t, net: vnet.New(), slots: placement.New(maxFaults)}
	for i, dc := range dataCentres {
		m := &member{dataCentre: dc, ip: fmt.Sprintf("10.2.0.%d", i), dir: t.TempDir()}
		m.start(c)
		c.members = append(c.members, m)
		c.slots.Admit(m.placementMember(i))
	}
	c.slots.Assign()
	c.distributeMap()
	return c
}

func (m *member) placementMember(i int) placement.Member {
	return placement.Member{ID: m.id, Host: fmt.Sprintf("h%d", i), Address: m.ip + ":1", DataCentre: m.dataCentre}
}

func (m *member) start(c *cluster) {
	server, err := history.OpenServer(history.Options{Dir: m.dir, Logger: log.New(io.Discard)})
	require.NoError(c.t, err)
	m.id, m.server = server.MemberID(), server
	m.listener = c.net.Listen(m.ip + ":1")
	go func() { _ = rpc.Serve(m.listener, m.handle) }()
}

// distributeMap passes the slot map to all members and entry hosts.
func (c *cluster) distributeMap() {
	for _, m := range c.members {
		require.NoError(c.t, m.server.Adopt(c.slots.Clone()))
	}
	for _, e := range c.entryHosts {
		e.setMap(c)
	}
}

func (m *member) handle(req *historypb.Request, answer func(*historypb.Reply)) {
	m.mu.Lock()
	m.calls = append(m.calls, req)
	m.mu.Unlock()
	server := m.server
	time.AfterFunc(roundTripTime+time.Duration(m.extraDelay.Load()), func() { server.Handle(req, answer) })
}

// startEntryHost starts the history client of an entry host in a data centre.
func (c *cluster) startEntryHost(dataCentre string) *entryHost {
	ip := fmt.Sprintf("10.1.0.%d", len(c.entryHosts))
	ctx, stop := context.WithCancel(context.Background())
	e := &entryHost{
		Client: quorum.New(vnet.Dialer{Net: c.net, From: ip}, dataCentre, log.New(io.Discard), nil),
		ip:     ip, stop: stop, done: make(chan struct{}),
	}
	e.setMap(c)
	go func() {
		defer close(e.done)
		e.Run(ctx)
	}()
	c.entryHosts = append(c.entryHosts, e)
	time.Sleep(2 * time.Second) // lets its probes open connections
	return e
}

// setMap passes the cluster's slot map to the entry host.
func (e *entryHost) setMap(c *cluster) {
	text, err := json.Marshal(c.slots)
	require.NoError(c.t, err)
	e.Replaced(objects.Snapshot{Items: []objects.Object{{Name: history.MapName, Spec: text}}})
}

func (c *cluster) close() {
	c.net.Heal()
	for _, e := range c.entryHosts {
		e.stop()
		<-e.done
	}
	time.Sleep(5 * time.Second) // lets calls in flight end
	for _, m := range c.members {
		_ = m.listener.Close()
		c.net.Crash(m.ip)
		m.server.Close()
	}
	time.Sleep(5 * time.Second)
}

// memberByID returns the member with the given ID, or nil.
func (c *cluster) memberByID(id string) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// resetCalls clears the recorded calls of all members.
func (c *cluster) resetCalls() {
	for _, m := range c.members {
		m.mu.Lock()
		m.calls = nil
		m.mu.Unlock()
	}
}

// membersAsked returns the members that have received a matching call since the last resetCalls.
func (c *cluster) membersAsked(match func(*historypb.Request) bool) (list []*member) {
	for _, m := range c.members {
		m.mu.Lock()
		for _, call := range m.calls {
			if match(call) {
				list = append(list, m)
				break
			}
		}
		m.mu.Unlock()
	}
	return list
}
