package replicas

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

// player plays turns as an entry host does, with ids and parts as long as a platform's.
type player struct {
	t       *testing.T
	clients []*entry
}

const playedInput = 2000 // bytes of a retained turn's new input

func (p *player) turn(program string, at int, retained bool) {
	p.t.Helper()
	c := p.clients[at%len(p.clients)]
	id := func(i int) string { return fmt.Sprintf("%s%04x", program[len(program)-12:], i) }
	part := func(i int) string { return fmt.Sprintf("%016x", i) }
	ctx := p.t.Context()
	require.NoError(p.t, c.Write(ctx, program, time.Minute, &historypb.Record{Change: &historypb.Record_Reserve{
		Reserve: &historypb.Reserve{Turn: id(at), Tokens: 300}}}))
	previous, parts := "", []string{part(1)}
	if at > 0 {
		parts = append(parts, part(at), part(at+1))
		if retained {
			previous = id(at - 1)
		}
	}
	past, err := c.Read(ctx, program, previous, parts...)
	require.NoError(p.t, err)
	if retained {
		require.Len(p.t, past.Chain, at)
	}
	if at > 0 {
		require.NotEmpty(p.t, past.Runs, "where the program ran is found")
	}
	records := []*historypb.Record{{Change: &historypb.Record_Settle{Settle: &historypb.Settle{
		Turn: id(at), Tokens: 30, Ran: &historypb.Ran{Target: "i-57ef422ba4", Born: 1_790_000_000_000, Part: part(at + 1), Prompt: 4000}}}}}
	if retained {
		records = append(records, &historypb.Record{Change: &historypb.Record_Turn{
			Turn: &historypb.Turn{Turn: id(at), Previous: previous, Content: make([]byte, playedInput)}}})
	}
	require.NoError(p.t, c.Write(ctx, program, time.Minute, records...))
	time.Sleep(50 * time.Millisecond)
}

// play plays programs of some turns from two entry hosts of one data centre and returns the
// bytes that a turn moved between data centres.
func play(t *testing.T, retained bool, dataCentres ...string) (far int64) {
	const programs, turns = 64, 5
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, dataCentres...)
		p := &player{t: t, clients: []*entry{f.entry("a"), f.entry("a")}}
		for i := range programs {
			for at := range turns {
				p.turn(fmt.Sprintf("customer/%016x", i), at, retained)
			}
		}
		time.Sleep(100 * time.Millisecond)
		sums := map[string]*quorum.CallTraffic{}
		for _, c := range p.clients {
			for _, b := range c.State().Traffic {
				if sums[b.Kind] == nil {
					sums[b.Kind] = &quorum.CallTraffic{Kind: b.Kind}
				}
				s := sums[b.Kind]
				s.NearCalls, s.NearBytes, s.FarCalls, s.FarBytes = s.NearCalls+b.NearCalls, s.NearBytes+b.NearBytes, s.FarCalls+b.FarCalls, s.FarBytes+b.FarBytes
				far += b.FarBytes
			}
		}
		const all = programs * turns
		for _, s := range sums {
			t.Logf("%-8s a turn: near %.2f calls, %5d bytes; far %.2f calls, %5d bytes", s.Kind,
				float64(s.NearCalls)/all, s.NearBytes/all, float64(s.FarCalls)/all, s.FarBytes/all)
		}
		far /= all
		t.Logf("retained %v: %d bytes a turn between data centres", retained, far)
		f.close()
	})
	return far
}

// Bytes between data centres are paid for. A turn costs a few records and the answers that
// its budget needs, and a turn that is kept its content once for each disk that needs it.
func TestATurnMovesLittleBetweenDataCentres(t *testing.T) {
	const (
		most         = 1125 // bytes of a turn that is not kept
		mostRetained = 5000
	)
	require.Less(t, play(t, false, grown...), int64(most))
	require.Less(t, play(t, true, grown...), int64(mostRetained))
}
