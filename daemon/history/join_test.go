package history

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// members starts n history hosts on loopback; the last of them is joining all slots.
func members(t *testing.T, n int) ([]*Server, *placement.Map) {
	var servers []*Server
	m := placement.New(1)
	for i := range n {
		s := openServer(t, t.TempDir())
		t.Cleanup(s.Close)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() { _ = rpc.Serve(l, s.Handle) }()
		m.Admit(placement.Member{ID: s.MemberID(), Host: fmt.Sprint(i), Address: l.Addr().String(), DataCentre: fmt.Sprint(i)})
		servers = append(servers, s)
	}
	m.Assign()
	for i := range m.Slots {
		for j := range m.Slots[i].Replicas {
			r := &m.Slots[i].Replicas[j]
			r.Joining = r.Member == servers[n-1].MemberID()
		}
	}
	for _, s := range servers {
		require.NoError(t, s.Adopt(m))
	}
	return servers, m
}

// programsOf returns n names of one slot.
func programsOf(slot uint32, n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		if name := fmt.Sprintf("p%d", i); placement.GlobalSlotOf(name) == slot {
			names = append(names, name)
		}
	}
	return names
}

func TestACopyTakesFromEachSourceOnlyWhatIsMissing(t *testing.T) {
	servers, m := members(t, 3)
	const slot = 7
	names := programsOf(slot, 40)
	hold := func(s *Server, names []string) {
		for _, p := range names {
			req := writeOf(s, m.Epoch, p, "t"+p, 1<<60)
			require.Equal(t, historypb.Status_STATUS_OK, ask(s, req).Status)
		}
	}
	hold(servers[0], names[:30])
	hold(servers[1], names[10:]) // twenty in common, ten that the first lacks
	joiner := servers[2]
	hold(joiner, names[:5])
	self := m.Members[joiner.MemberID()]
	k := NewController(joiner, nil, self, 1, nil, &net.Dialer{}, log.New(io.Discard))
	records, err := k.copySlot(t.Context(), m, slot)
	require.NoError(t, err)
	require.Equal(t, 35, records, "forty less the five that it had")
	for _, p := range names {
		require.Len(t, ask(joiner, readOf(joiner, m.Epoch, p, "t"+p)).Chain, 1, p)
	}
	records, err = k.copySlot(t.Context(), m, slot)
	require.NoError(t, err)
	require.Zero(t, records, "a second try copies nothing again")
}

func TestACopyNeedsEnoughSources(t *testing.T) {
	servers, m := members(t, 3)
	joiner := servers[2]
	k := NewController(joiner, nil, m.Members[joiner.MemberID()], 1, nil, &net.Dialer{}, log.New(io.Discard))
	gone := m.Members[servers[1].MemberID()]
	gone.Address = "127.0.0.1:1"
	m.Members[gone.ID] = gone
	_, err := k.copySlot(t.Context(), m, 7)
	require.ErrorContains(t, err, "1 sources missing")
}
