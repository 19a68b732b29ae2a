package entry

import (
	"context"
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

// fleet is a set of entry hosts and the history hosts of their data centre.
type fleet struct {
	t         *testing.T
	members   map[string]*member
	listeners map[string]net.Listener
	hosts     []*Host
}

const (
	// boardTimeout bounds the wait for a board that does not answer.
	boardTimeout = 500 * time.Millisecond
	// workingBoardTimeout is longer than a board that works takes on a busy machine.
	workingBoardTimeout = time.Minute
)

// noTimeoutDialer dials without a timeout: on a busy machine a dial over the loopback takes longer than the
// timeout of rpc.
type noTimeoutDialer struct{ net.Dialer }

// DialContext implements rpc.Dialer.
func (d *noTimeoutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.Dialer.DialContext(context.WithoutCancel(ctx), network, address)
}

// newFleet starts entry hosts that all list the target "x", and history hosts.
func newFleet(t *testing.T, entries, members int) *fleet {
	f := &fleet{t: t, members: map[string]*member{}, listeners: map[string]net.Listener{}}
	m := placement.New(1)
	for range members {
		server, err := history.OpenServer(history.Options{Dir: t.TempDir(), Logger: discardLog()})
		require.NoError(t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		x := &member{server: server}
		go func() { _ = rpc.Serve(l, x.handle) }()
		f.members[server.MemberID()], f.listeners[server.MemberID()] = x, l
		m.Admit(placement.Member{ID: server.MemberID(), Host: server.MemberID(), Address: l.Addr().String(), DataCentre: "dc1"})
	}
	m.Assign()
	text, err := json.Marshal(m)
	require.NoError(t, err)
	for range entries {
		client := quorum.New(&noTimeoutDialer{}, "dc1", discardLog(), nil)
		client.SetTimeouts(workingBoardTimeout)
		client.Replaced(objects.Snapshot{Items: []objects.Object{{Name: history.MapName, Spec: text}}})
		h := New(Options{Headers: ownheaders.Headers{}, History: client, Dialer: &net.Dialer{}, DataCentre: "dc1", Log: discardLog()})
		h.registry.SetTarget(balance.TargetInfo{ID: "x", Service: "s", DataCentre: "dc1", Capacity: 4, StartedAtMs: 1})
		f.hosts = append(f.hosts, h)
	}
	return f
}

// expectFailures makes hosts wait for boardTimeout only from now on.
func (f *fleet) expectFailures() {
	for _, h := range f.hosts {
		h.History.SetTimeouts(boardTimeout)
	}
}

// exchangeRounds lets all hosts exchange loads several times: enough for a new board to receive
// full reports and to pass them on.
func (f *fleet) exchangeRounds() {
	const rounds = 4
	for range rounds {
		for _, h := range f.hosts {
			h.loadExchanger.exchange(f.t.Context())
		}
	}
}

// recordSend records a request of a host at the target.
func (f *fleet) recordSend(host int) {
	h := f.hosts[host]
	h.mu.Lock()
	defer h.mu.Unlock()
	x, ok := h.registry.Target("x")
	require.True(f.t, ok)
	x.RecordSend(nil, h.now())
}

// othersInFlight returns the in-flight requests of other hosts at the target, as known to a
// host.
func (f *fleet) othersInFlight(host int) int { return f.hosts[host].State().Targets[0].OthersInFlight }

// boardMember returns the ID of the member that the hosts report to.
func (f *fleet) boardMember() string {
	board, ok := f.hosts[0].History.Board()
	require.True(f.t, ok)
	return board.ID
}

func TestHostsLearnInFlightRequestsOfOtherHosts(t *testing.T) {
	f := newFleet(t, 3, 2)
	f.recordSend(0)
	f.recordSend(1)
	f.exchangeRounds()
	require.Equal(t, 1, f.othersInFlight(0))
	require.Equal(t, 2, f.othersInFlight(2))
	s := f.hosts[2].State().LoadExchange
	require.Equal(t, 2, s.OtherHosts)
	require.NotZero(t, s.BoardID)
	require.GreaterOrEqual(t, s.UpdateAgeMs, int64(0))
}

// When the board is frozen or dead, the next member of the data centre must take over and
// receive full reports.
func TestAnotherMemberTakesOverBoard(t *testing.T) {
	faults := map[string]func(f *fleet, id string){
		"frozen": func(f *fleet, id string) { f.members[id].silent.Store(true) },
		"dead": func(f *fleet, id string) {
			_ = f.listeners[id].Close()
			f.members[id].silent.Store(true)
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 2, 2)
			f.recordSend(0)
			f.exchangeRounds()
			first := f.boardMember()
			f.expectFailures()
			fault(f, first)
			f.recordSend(0)
			f.exchangeRounds()
			require.NotEqual(t, first, f.boardMember())
			require.Equal(t, 2, f.othersInFlight(1))
		})
	}
}

// Without a history host in the data centre no loads are exchanged, and those received before
// must expire.
func TestHostsContinueWithoutBoard(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.recordSend(0)
	f.exchangeRounds()
	require.Equal(t, 1, f.othersInFlight(1))
	f.expectFailures()
	f.members[f.boardMember()].silent.Store(true)
	f.exchangeRounds()
	_, ok := f.hosts[1].History.Board()
	require.False(t, ok)
	h := f.hosts[1]
	h.mu.Lock()
	defer h.mu.Unlock()
	x, _ := h.registry.Target("x")
	require.Zero(t, x.Load(h.now()+time.Minute))
	require.True(t, h.loadExchanger.failing)
}

// A board that restarted under the same address must receive full reports again.
func TestRestartedBoardReceivesFullReports(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.recordSend(0)
	f.exchangeRounds()
	boardIDBefore := f.hosts[1].State().LoadExchange.BoardID
	id := f.boardMember()
	server, err := history.OpenServer(history.Options{Dir: t.TempDir(), Logger: discardLog()})
	require.NoError(t, err)
	newMember := server.MemberID()
	f.members[id].setHandler(func(req *historypb.Request, answer func(*historypb.Reply)) {
		req.Member = newMember // stands for a restart on the same disk
		server.Handle(req, answer)
	})
	f.exchangeRounds()
	require.NotEqual(t, boardIDBefore, f.hosts[1].State().LoadExchange.BoardID)
	require.Equal(t, 1, f.othersInFlight(1))
}

// Loads of an earlier incarnation of a target must not count for the next one.
func TestLoadOfEarlierIncarnationIsDropped(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.recordSend(0)
	f.exchangeRounds()
	require.Equal(t, 1, f.othersInFlight(1))
	for _, h := range f.hosts {
		h.mu.Lock()
		h.registry.SetTarget(balance.TargetInfo{ID: "x", Service: "s", DataCentre: "dc1", Capacity: 4, StartedAtMs: 2})
		h.mu.Unlock()
	}
	f.exchangeRounds()
	require.Zero(t, f.othersInFlight(1))
}

// Only a host that observes too little by itself exchanges loads.
func TestLoadExchangeRunsOnlyWhenNeeded(t *testing.T) {
	f := newFleet(t, 1, 1)
	h := f.hosts[0]
	h.loadExchanger.exchangeIfNeeded(t.Context())
	require.EqualValues(t, -1, h.State().LoadExchange.UpdateAgeMs)
	require.False(t, h.State().LoadExchange.Needed)
	h.mu.Lock()
	x, _ := h.registry.Target("x")
	for range 10 {
		x.RecordLoadReport(request.Load{Running: 1, Capacity: 4, Slowdown: 1.5}, h.now())
	}
	h.mu.Unlock()
	h.loadExchanger.exchangeIfNeeded(t.Context())
	require.True(t, h.State().LoadExchange.Needed, "targets report a slowdown")
	require.GreaterOrEqual(t, h.State().LoadExchange.UpdateAgeMs, int64(0))
}
