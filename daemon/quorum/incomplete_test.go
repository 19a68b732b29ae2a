package quorum

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// noTimeoutDialer dials without a timeout: on a busy machine a dial over the loopback takes
// longer than the timeout of rpc.
type noTimeoutDialer struct{ net.Dialer }

func (d *noTimeoutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.Dialer.DialContext(context.WithoutCancel(ctx), network, address)
}

// If no replica of a slot is active, the answers of all replicas are too few: a write that all
// of them stored and a read for which none was asked must fail with HistoryUnavailable.
func TestReadAndWriteFailWithoutActiveReplicas(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		_ = rpc.Serve(listener, func(_ *historypb.Request, answer func(*historypb.Reply)) {
			answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
		})
	}()
	c := New(&noTimeoutDialer{}, "dc", log.New(io.Discard), nil)
	c.SetTimeouts(time.Minute)
	defer c.pool.Close()
	m := newMap(3)
	for id, member := range m.Members {
		member.Address = listener.Addr().String()
		m.Members[id] = member
	}
	c.slotMap = m
	record := &historypb.Record{Program: "p"}
	require.NoError(t, c.writeOnce(t.Context(), Chain{}, []*historypb.Record{record}))
	for i := range m.Slots {
		m.Slots[i].Guarded = true
		for j := range m.Slots[i].Replicas {
			m.Slots[i].Replicas[j].Joining = true
		}
	}
	require.True(t, failure.Is(c.writeOnce(t.Context(), Chain{}, []*historypb.Record{record}), failure.HistoryUnavailable))
	_, err = c.readOnce(t.Context(), Query{Program: "p", Turn: ""})
	require.True(t, failure.Is(err, failure.HistoryUnavailable), "%v", err)
}
