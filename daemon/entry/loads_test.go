package entry

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// fleet is entry hosts and the history hosts of their data centre.
type fleet struct {
	t       *testing.T
	members map[string]*member
	listens map[string]net.Listener
	hosts   []*Host
}

// boardPatience is how long a silent board is waited for.
const boardPatience = 500 * time.Millisecond

// newFleet starts entry hosts that all list the target "x", and history hosts.
func newFleet(t *testing.T, entries, members int) *fleet {
	f := &fleet{t: t, members: map[string]*member{}, listens: map[string]net.Listener{}}
	m := placement.New(1)
	for range members {
		server, err := history.OpenServer(history.Options{Dir: t.TempDir(), Logger: quietLog()})
		require.NoError(t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		x := &member{server: server}
		go func() { _ = rpc.Serve(l, x.handle) }()
		f.members[server.MemberID()], f.listens[server.MemberID()] = x, l
		m.Admit(placement.Member{ID: server.MemberID(), Host: server.MemberID(), Address: l.Addr().String(), DataCentre: "dc1"})
	}
	m.Assign()
	text, err := json.Marshal(m)
	require.NoError(t, err)
	for range entries {
		past := quorum.New(&net.Dialer{}, "dc1", quietLog(), nil)
		past.Patient(boardPatience)
		past.Replaced(objects.Snapshot{Items: []objects.Object{{Name: history.MapName, Spec: text}}})
		h := New(Options{Headers: ownheaders.Headers{}, History: past, Dialer: &net.Dialer{}, DataCentre: "dc1", Log: quietLog()})
		h.registry.SetTarget(balance.TargetInfo{ID: "x", Service: "s", DataCentre: "dc1", Capacity: 4, StartedAtMs: 1})
		f.hosts = append(f.hosts, h)
	}
	return f
}

// exchange lets all hosts exchange a few times: enough for a board to be told everything
// anew, and to tell it.
func (f *fleet) exchange() {
	const rounds = 4
	for range rounds {
		for _, h := range f.hosts {
			h.teller.exchange(f.t.Context())
		}
	}
}

func (f *fleet) sent(host int) {
	h := f.hosts[host]
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.registry.Target("x")
	require.True(f.t, ok)
	x.RecordSend(nil, h.now())
}

// others is what a host was told of others' requests at the target.
func (f *fleet) others(host int) int { return f.hosts[host].State().Targets[0].OthersInFlight }

// board is the member that the hosts report to.
func (f *fleet) board() string {
	m, ok := f.hosts[0].History.Board()
	require.True(f.t, ok)
	return m.ID
}

func TestHostsAreToldOfEachOther(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.sent(0)
	f.sent(1)
	f.exchange()
	require.Equal(t, 1, f.others(0))
	require.Equal(t, 2, f.others(2))
	s := f.hosts[2].State().Loads
	require.Equal(t, 2, s.Hosts)
	require.NotZero(t, s.Board)
	require.GreaterOrEqual(t, s.ToldMs, int64(0))
}

// While the board is frozen or dead the next member of the data centre takes over; hosts say
// everything again.
func TestAnotherMemberTakesTheBoardOver(t *testing.T) {
	faults := map[string]func(f *fleet, id string){
		"frozen": func(f *fleet, id string) { f.members[id].silent.Store(true) },
		"dead": func(f *fleet, id string) {
			_ = f.listens[id].Close()
			f.members[id].silent.Store(true)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 2)
			f.sent(0)
			f.exchange()
			first := f.board()
			fault(f, first)
			f.sent(0)
			f.exchange()
			require.NotEqual(t, first, f.board())
			require.Equal(t, 2, f.others(1))
		})
	}
}

// Without any history host in the data centre nothing is told, and what was fades.
func TestHostsGoOnWithoutABoard(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.sent(0)
	f.exchange()
	require.Equal(t, 1, f.others(1))
	f.members[f.board()].silent.Store(true)
	f.exchange()
	_, ok := f.hosts[1].History.Board()
	require.False(t, ok)
	h := f.hosts[1]
	h.mu.Lock()
	defer h.mu.Unlock()
	x, _ := h.registry.Target("x")
	require.Zero(t, x.Load(h.now()+time.Minute))
	require.True(t, h.teller.broken)
}

// A board that started anew under the same address is told everything again.
func TestABoardThatStartsAgainIsToldEverything(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.sent(0)
	f.exchange()
	before := f.hosts[1].State().Loads.Board
	id := f.board()
	server, err := history.OpenServer(history.Options{Dir: t.TempDir(), Logger: quietLog()})
	require.NoError(t, err)
	again := server.MemberID()
	f.members[id].setHandler(func(req *historypb.Request, answer func(*historypb.Reply)) {
		req.Member = again // the disk is the same
		server.Handle(req, answer)
	})
	f.exchange()
	require.NotEqual(t, before, f.hosts[1].State().Loads.Board)
	require.Equal(t, 1, f.others(1))
}

// What is told of one start of a target is not taken for the next.
func TestATargetBornAgainIsToldOfAnew(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.sent(0)
	f.exchange()
	require.Equal(t, 1, f.others(1))
	for _, h := range f.hosts {
		h.mu.Lock()
		h.registry.SetTarget(balance.TargetInfo{ID: "x", Service: "s", DataCentre: "dc1", Capacity: 4, StartedAtMs: 2})
		h.mu.Unlock()
	}
	f.exchange()
	require.Zero(t, f.others(1))
}

// Only a host that hears too little by itself exchanges.
func TestHostsThatHearEnoughKeepSilent(t *testing.T) {
	f := newFleet(t, 1, 1)
	h := f.hosts[0]
	h.teller.step(t.Context())
	require.EqualValues(t, -1, h.State().Loads.ToldMs)
	require.False(t, h.State().Loads.On)
	h.mu.Lock()
	x, _ := h.registry.Target("x")
	for range 10 {
		x.RecordLoadReport(request.Load{Running: 1, Capacity: 4, Slowdown: 1.5}, h.now())
	}
	h.mu.Unlock()
	h.teller.step(t.Context())
	require.True(t, h.State().Loads.On, "targets tell a slowdown")
	require.GreaterOrEqual(t, h.State().Loads.ToldMs, int64(0))
}
