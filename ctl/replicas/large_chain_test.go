package replicas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

const (
	// largeTurnBytes is the content of one turn of a large chain, unreservedBytes the most that members
	// may send of such a chain, all together, before memory is reserved for it.
	largeTurnBytes  = 100 << 10
	unreservedBytes = 64 << 10
)

// writeLargeChain stores a chain of two large turns of a program and returns the ID of the last.
func (e *entryHost) writeLargeChain(t *testing.T, program string) string {
	var chain []*historypb.Turn
	for _, id := range []string{program + "1", program + "2"} {
		record := turnRecord(id, "")
		turn := record.GetTurn()
		turn.Content = make([]byte, largeTurnBytes)
		if len(chain) > 0 {
			turn.Previous = chain[0].Turn
		}
		require.NoError(t, e.WriteTurn(t.Context(), time.Hour, program, programRetention, quorum.Chain{Turns: chain}, record))
		chain = append([]*historypb.Turn{turn}, chain...)
	}
	return chain[0].Turn
}

// readBytes returns the bytes that the host has received in replies to reads.
func (e *entryHost) readBytes() int64 {
	for _, b := range e.State().Traffic {
		if b.Kind == "read" {
			return b.NearBytes + b.FarBytes
		}
	}
	return 0
}

// Members must not send a chain that is larger than what each request is charged before there is memory
// for it, whichever program and slot stored it.
func TestLargeChainIsSentOnceMemoryIsReserved(t *testing.T) {
	for name, reader := range map[string]string{"same program": "p", "another program": "q"} {
		for name, tc := range map[string]struct {
			maxFaults   int
			dataCentres []string
		}{name + ", one fault": {1, []string{"a", "b", "c", "d"}}, name + ", two faults": {2, tenMembers}} {
			t.Run(name, func(t *testing.T) {
				runInBubble(t, func(t *testing.T) {
					c := newCluster(t, tc.maxFaults, tc.dataCentres...)
					defer c.close()
					e := c.startEntryHost("a")
					turn := e.writeLargeChain(t, "p")
					before := e.readBytes()
					query := quorum.Query{Program: reader, Turn: turn, ReserveChain: func(int64) error {
						return failure.New(failure.Overloaded, "no memory")
					}}
					_, err := e.ReadQuery(t.Context(), query)
					require.True(t, failure.Is(err, failure.Overloaded), "%v", err)
					require.Less(t, e.readBytes()-before, int64(unreservedBytes))

					reserved := int64(0)
					query.ReserveChain = func(n int64) error { reserved = n; return nil }
					before = e.readBytes()
					history, err := e.ReadQuery(t.Context(), query)
					require.NoError(t, err)
					require.Len(t, history.Chain, 2)
					require.EqualValues(t, 2*largeTurnBytes, reserved)
					require.Greater(t, e.readBytes()-before, reserved)
					require.Less(t, e.readBytes()-before, reserved+unreservedBytes, "one member sends it")
				})
			})
		}
	}
}
