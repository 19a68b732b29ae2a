package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

// turnDriver runs turns as an entry host does, with IDs and prompt parts as long as those of a
// deployment.
type turnDriver struct {
	t          *testing.T
	entryHosts []*entryHost
}

const turnInputBytes = 2000 // bytes of a retained turn's new input

func (d *turnDriver) runTurn(program string, index int, retained bool) {
	d.t.Helper()
	e := d.entryHosts[index%len(d.entryHosts)]
	id := func(i int) string { return fmt.Sprintf("%s%04x", program[len(program)-12:], i) }
	part := func(i int) string { return fmt.Sprintf("%016x", i) }
	ctx := d.t.Context()
	require.NoError(d.t, e.Write(ctx, program, time.Minute, &historypb.Record{Change: &historypb.Record_Reserve{
		Reserve: &historypb.Reserve{Turn: id(index), Tokens: 300}}}))
	previous, parts := "", []string{part(1)}
	if index > 0 {
		parts = append(parts, part(index), part(index+1))
		if retained {
			previous = id(index - 1)
		}
	}
	history, err := e.Read(ctx, program, previous, parts...)
	require.NoError(d.t, err)
	if retained {
		require.Len(d.t, history.Chain, index)
	}
	if index > 0 {
		require.NotEmpty(d.t, history.Runs, "run records of the program")
	}
	records := []*historypb.Record{{Change: &historypb.Record_Settle{Settle: &historypb.Settle{
		Turn: id(index), Tokens: 30, Ran: &historypb.Ran{Target: "i-57ef422ba4", Born: 1_790_000_000_000, Part: part(index + 1), Prompt: 4000}}}}}
	if retained {
		records = append(records, &historypb.Record{Change: &historypb.Record_Turn{
			Turn: &historypb.Turn{Turn: id(index), Previous: previous, Program: program, Content: make([]byte, turnInputBytes)}}})
	}
	require.NoError(d.t, e.WriteTurn(ctx, time.Hour, program, time.Minute, quorum.Chain{Turns: history.Chain, Own: history.OwnChain}, records...))
	time.Sleep(50 * time.Millisecond)
}

// measureFarBytes runs programs of several turns through two entry hosts of one data centre and
// returns the mean number of bytes that a turn transfers between data centres.
func measureFarBytes(t *testing.T, retained bool, dataCentres ...string) (farBytes int64) {
	const programs, turns = 64, 5
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, dataCentres...)
		d := &turnDriver{t: t, entryHosts: []*entryHost{c.startEntryHost("a"), c.startEntryHost("a")}}
		for i := range programs {
			for index := range turns {
				d.runTurn(fmt.Sprintf("customer/%016x", i), index, retained)
			}
		}
		time.Sleep(100 * time.Millisecond)
		sums := map[string]*quorum.CallTraffic{}
		for _, e := range d.entryHosts {
			for _, b := range e.State().Traffic {
				if sums[b.Kind] == nil {
					sums[b.Kind] = &quorum.CallTraffic{Kind: b.Kind}
				}
				s := sums[b.Kind]
				s.NearCalls, s.NearBytes, s.FarCalls, s.FarBytes = s.NearCalls+b.NearCalls, s.NearBytes+b.NearBytes, s.FarCalls+b.FarCalls, s.FarBytes+b.FarBytes
				farBytes += b.FarBytes
			}
		}
		const turnCount = programs * turns
		for _, s := range sums {
			t.Logf("%-8s per turn: near %.2f calls, %5d bytes; far %.2f calls, %5d bytes", s.Kind,
				float64(s.NearCalls)/turnCount, s.NearBytes/turnCount, float64(s.FarCalls)/turnCount, s.FarBytes/turnCount)
		}
		farBytes /= turnCount
		t.Logf("retained %v: %d bytes per turn between data centres", retained, farBytes)
		c.close()
	})
	return farBytes
}

// Traffic between data centres is billed. A turn may transfer a few records and the replies
// that its budget needs; a retained turn also its content, once for each disk that stores it.
func TestTurnTrafficBetweenDataCentresIsBounded(t *testing.T) {
	const (
		maxBytes         = 1125 // bytes of a turn that is not retained
		maxRetainedBytes = 5000 // bytes of a retained turn
	)
	require.Less(t, measureFarBytes(t, false, tenMembers...), int64(maxBytes))
	require.Less(t, measureFarBytes(t, true, tenMembers...), int64(maxRetainedBytes))
}
