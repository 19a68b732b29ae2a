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

// startMembers starts n history hosts on loopback; the replicas of the last one are all joining.
func startMembers(t *testing.T, n int) ([]*Server, *placement.Map) {
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

// programsInSlot returns n names of programs in one slot.
func programsInSlot(slot uint32, n int) []string {
	var names []string
	for i := 0; len(names) < n; i++ {
		if name := fmt.Sprintf("p%d", i); placement.GlobalSlotOf(name) == slot {
			names = append(names, name)
		}
	}
	return names
}

func TestCopyTransfersOnlyMissingRecords(t *testing.T) {
	servers, m := startMembers(t, 3)
	const slot = 7
	names := programsInSlot(slot, 40)
	store := func(s *Server, names []string) {
		for _, p := range names {
			req := writeRequest(s, m.Epoch, p, "t"+p, 1<<60)
			require.Equal(t, historypb.Status_STATUS_OK, call(s, req).Status)
		}
	}
	store(servers[0], names[:30])
	store(servers[1], names[10:]) // 20 shared with the first source, 10 that it lacks
	joiner := servers[2]
	store(joiner, names[:5])
	self := m.Members[joiner.MemberID()]
	c := NewController(joiner, nil, self, 1, nil, &net.Dialer{}, log.New(io.Discard))
	records, err := c.copySlot(t.Context(), m, slot)
	require.NoError(t, err)
	require.Equal(t, 35, records, "40 programs less the 5 that the joiner has")
	for _, p := range names {
		require.Len(t, call(joiner, readRequest(joiner, m.Epoch, p, "t"+p)).Chain, 1, p)
	}
	records, err = c.copySlot(t.Context(), m, slot)
	require.NoError(t, err)
	require.Zero(t, records, "a second copy transfers nothing")
}

func TestCopyFailsWithTooFewSources(t *testing.T) {
	servers, m := startMembers(t, 3)
	joiner := servers[2]
	c := NewController(joiner, nil, m.Members[joiner.MemberID()], 1, nil, &net.Dialer{}, log.New(io.Discard))
	unreachable := m.Members[servers[1].MemberID()]
	unreachable.Address = "127.0.0.1:1"
	m.Members[unreachable.ID] = unreachable
	_, err := c.copySlot(t.Context(), m, 7)
	require.ErrorContains(t, err, "copy lacks 1 sources")
}
