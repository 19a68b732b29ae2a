package history

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/loads"
)

func exchangeRequest(member string, m loads.HostReport) *historypb.Request {
	return &historypb.Request{Member: member, Call: &historypb.Request_ExchangeLoads{ExchangeLoads: loads.EncodeHostReport(m)}}
}

// Loads belong to no slot: they are exchanged without a slot map, and none of them are stored on
// disk.
func TestLoadsAreExchangedWithoutSlotMap(t *testing.T) {
	dir := t.TempDir()
	s := openServer(t, dir)
	r := loads.NewReporter(1)
	r.Observe([]loads.Observation{{Key: 7, InFlight: 3}})
	reply := call(s, exchangeRequest(s.MemberID(), r.NextReport(0)))
	require.Equal(t, historypb.Status_STATUS_OK, reply.Status)
	require.True(t, r.HandleReply(loads.DecodeReply(reply.Loads), 0).Accepted)
	require.Equal(t, 1, s.loadsState().ReporterCount)
	require.Equal(t, historypb.Status_STATUS_WRONG_MEMBER, call(s, exchangeRequest("other", r.NextReport(0))).Status)
	before := s.loadsState().BoardID
	s.Close()
	s = openServer(t, dir)
	defer s.Close()
	require.NotEqual(t, before, s.loadsState().BoardID)
	require.True(t, call(s, exchangeRequest(s.MemberID(), r.NextReport(0))).Loads.Restart)
}
