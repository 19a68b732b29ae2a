package rpc

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

func writeOf(records ...*historypb.Record) *historypb.Request {
	return &historypb.Request{Call: &historypb.Request_Write{Write: &historypb.Write{Records: records}}}
}

func TestKindOfWriteIsThatOfItsLargestRecord(t *testing.T) {
	reserve := &historypb.Record{Change: &historypb.Record_Reserve{}}
	settle := &historypb.Record{Change: &historypb.Record_Settle{}}
	turn := &historypb.Record{Change: &historypb.Record_Turn{}}
	require.Equal(t, KindReserve, requestKind(writeOf(reserve)))
	require.Equal(t, KindSettle, requestKind(writeOf(reserve, settle)))
	require.Equal(t, KindTurn, requestKind(writeOf(settle, turn)))
	require.Equal(t, KindPing, requestKind(&historypb.Request{Call: &historypb.Request_Ping{}}))
	require.Equal(t, KindOther, requestKind(&historypb.Request{}))
}

// Client and server must count the same calls and bytes of each kind.
func TestBothEndsCountTheSameBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	served, called := &Traffic{}, &Traffic{}
	go func() { _ = ServeCounted(l, echo, served) }()
	p := longTimeoutPool(t)
	p.TrafficOf = func(address string) *Traffic {
		require.Equal(t, l.Addr().String(), address)
		return called
	}
	const calls = 20
	var slowCalls int64 // calls that lasted for at least pingDelay
	for range calls {
		for _, req := range []*historypb.Request{
			{Call: &historypb.Request_Read{Read: &historypb.Read{Program: "p"}}},
			writeOf(&historypb.Record{Change: &historypb.Record_Turn{Turn: &historypb.Turn{Content: make([]byte, 1000)}}}),
		} {
			startedAt := time.Now()
			_, err := p.Client(l.Addr().String()).Call(t.Context(), req)
			require.NoError(t, err)
			if time.Since(startedAt) >= pingDelay {
				slowCalls++
			}
		}
	}
	require.Eventually(t, func() bool {
		return served.Sent(KindRead) == called.Received(KindRead) && served.Sent(KindTurn) == called.Received(KindTurn) &&
			called.Sent(KindRead) == served.Received(KindRead) && called.Sent(KindTurn) == served.Received(KindTurn)
	}, 5*time.Second, time.Millisecond, "both sides count a message after it is written")
	for _, k := range []Kind{KindRead, KindTurn} {
		require.EqualValues(t, calls, called.Calls(k))
		require.EqualValues(t, calls, served.Calls(k))
		require.Equal(t, called.Sent(k), served.Received(k))
	}
	require.Greater(t, called.Sent(KindTurn), int64(calls*1000))
	require.LessOrEqual(t, called.Calls(KindPing), slowCalls, "a call sends at most one ping, and only after pingDelay")
	if slowCalls == 0 {
		require.Zero(t, called.Sent(KindPing))
	}
}
