package history

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// turnWrite returns a request to store a turn of a program with the chain before it.
func turnWrite(s *Server, program, turn string, expires int64, chain ...string) *historypb.Request {
	req := writeRequest(s, s.epoch(), program, turn, expires)
	w := req.GetWrite()
	w.Chain = chain
	if len(chain) > 0 {
		w.Records[0].GetTurn().Previous = chain[0]
	}
	return req
}

// chainOf returns the IDs of the chain that ends with a turn of a program, newest first.
func chainOf(s *Server, program, turn string) []string {
	var ids []string
	for _, t := range call(s, readRequest(s, s.epoch(), program, turn)).Chain {
		ids = append(ids, t.Turn)
	}
	return ids
}

// The turns before an acknowledged turn must outlive the programs that stored them, and a restart after
// the segment with their first copy was dropped.
func TestAcknowledgedTurnKeepsTurnsOfExpiredPrograms(t *testing.T) {
	dir := t.TempDir()
	s := openServer(t, dir)
	adoptSingleMemberMap(t, s)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, turnWrite(s, "first", "1", 1000)).Status)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, turnWrite(s, "second", "2", 2000, "1")).Status)
	filler := turnWrite(s, "filler", "0", 1000)
	filler.GetWrite().Records[0].GetTurn().Content = make([]byte, 5<<20) // fills the segment
	require.Equal(t, historypb.Status_STATUS_OK, call(s, filler).Status)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, turnWrite(s, "third", "3", 9000, "2", "1")).Status)
	s.sweep(3000)
	require.Equal(t, []string{"3", "2", "1"}, chainOf(s, "third", "3"))
	s.Close()
	s = openServer(t, dir)
	defer s.Close()
	require.Equal(t, []string{"3", "2", "1"}, chainOf(s, "third", "3"))
}

// A member that lacks turns before a turn must not acknowledge it until it has them.
func TestTurnIsNotAcknowledgedWithoutItsChain(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	adoptSingleMemberMap(t, s)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, turnWrite(s, "p", "2", 9000)).Status)
	req := turnWrite(s, "p", "3", 9000, "2", "1")
	reply := call(s, req)
	require.Equal(t, historypb.Status_STATUS_TURNS_MISSING, reply.Status)
	require.Equal(t, []string{"1"}, reply.MissingTurns)
	req.GetWrite().Records = append(req.GetWrite().Records, turnWrite(s, "p", "1", 9000).GetWrite().Records...)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, req).Status)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, turnWrite(s, "p", "4", 9000, "3", "2", "1")).Status)
}

// A write that names a chain but no records must not end the process.
func TestChainWithoutRecordsIsAcknowledged(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	m := adoptSingleMemberMap(t, s)
	req := &historypb.Request{Member: s.MemberID(), Epoch: m.Epoch, Call: &historypb.Request_Write{Write: &historypb.Write{Chain: []string{"1"}}}}
	require.Equal(t, historypb.Status_STATUS_OK, call(s, req).Status)
}

// Turns that a program of a guarded slot takes over must be stored at the platform too: this disk would
// hold their only copy.
func TestTurnsTakenOverInGuardedSlotAreStoredAtPlatform(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	m := guardedMap(t, s)
	require.NoError(t, s.Adopt(m))
	store := &fakeStore{items: map[string][]byte{}}
	s.setPlatformCopyWriter(newPlatformCopyWriter(store, s.MemberID(), time.Unix(1, 0), s.epoch, log.New(io.Discard)))
	s.ledger.Apply(&historypb.Record{Slot: placement.GlobalSlotOf("other"), Program: "other", ExpiresMs: 1000,
		Change: &historypb.Record_Turn{Turn: &historypb.Turn{Turn: "1"}}})
	require.Equal(t, historypb.Status_STATUS_OK, call(s, turnWrite(s, "p", "2", 9000, "1")).Status)
	records, err := loadPlatformCopies(t.Context(), store, log.New(io.Discard))
	require.NoError(t, err)
	stored := map[string]bool{}
	for _, r := range records {
		stored[r.Program+r.GetTurn().Turn] = true
	}
	require.Equal(t, map[string]bool{"p1": true, "p2": true}, stored)
}
