package history

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

func openServer(t *testing.T, dir string) *Server {
	s, err := OpenServer(Options{Dir: dir, Logger: log.New(io.Discard)})
	require.NoError(t, err)
	return s
}

// adoptSingleMemberMap makes the server adopt a map in which it is the only member, and returns
// that map.
func adoptSingleMemberMap(t *testing.T, s *Server) *placement.Map {
	m := placement.New(1)
	m.Admit(placement.Member{ID: s.MemberID(), Host: "h", Address: "a", DataCentre: "dc"})
	m.Assign()
	require.NoError(t, s.Adopt(m))
	return m
}

// call passes a request to the server and waits for the reply.
func call(s *Server, req *historypb.Request) *historypb.Reply {
	answer := make(chan *historypb.Reply, 1)
	s.Handle(req, func(r *historypb.Reply) { answer <- r })
	return <-answer
}

func writeRequest(s *Server, epoch uint64, program, turn string, expires int64) *historypb.Request {
	slot := placement.GlobalSlotOf(program)
	return &historypb.Request{Member: s.MemberID(), Slot: slot, Epoch: epoch, Call: &historypb.Request_Write{Write: &historypb.Write{
		Records: []*historypb.Record{{Slot: slot, Program: program, ExpiresMs: expires, Change: &historypb.Record_Turn{
			Turn: &historypb.Turn{Turn: turn, Content: []byte("content of " + turn)},
		}}},
	}}}
}

func readRequest(s *Server, epoch uint64, program, turn string) *historypb.Request {
	return &historypb.Request{Member: s.MemberID(), Slot: placement.GlobalSlotOf(program), Epoch: epoch,
		Call: &historypb.Request_Read{Read: &historypb.Read{Program: program, Turn: turn}}}
}

func TestAcknowledgedRecordsSurviveRestart(t *testing.T) {
	dir := t.TempDir()
	s := openServer(t, dir)
	m := adoptSingleMemberMap(t, s)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, writeRequest(s, m.Epoch, "p", "1", 1<<60)).Status)
	member := s.MemberID()
	s.Close()
	s = openServer(t, dir)
	defer s.Close()
	require.Equal(t, member, s.MemberID())
	require.Equal(t, m.Epoch, s.Map().Epoch, "the map is read from disk, without the platform")
	reply := call(s, readRequest(s, m.Epoch, "p", "1"))
	require.Len(t, reply.Chain, 1)
	require.Equal(t, "content of 1", string(reply.Chain[0].Content))
}

func TestRequestsForOtherMembersOrWithOldMapsAreRejected(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	require.Equal(t, historypb.Status_STATUS_UNAVAILABLE, call(s, writeRequest(s, 9, "p", "1", 1)).Status, "no map yet")
	m := adoptSingleMemberMap(t, s)
	other := writeRequest(s, m.Epoch, "p", "1", 1)
	other.Member = "other"
	require.Equal(t, historypb.Status_STATUS_WRONG_MEMBER, call(s, other).Status)
	reply := call(s, writeRequest(s, m.Epoch-1, "p", "1", 1))
	require.Equal(t, historypb.Status_STATUS_STALE_EPOCH, reply.Status)
	require.NotEmpty(t, reply.SlotMap, "the reply contains the newer map")
	ahead := &historypb.Request{Member: s.MemberID(), Epoch: m.Epoch + 1, Call: &historypb.Request_Copy{Copy: &historypb.Copy{}}}
	require.Equal(t, historypb.Status_STATUS_UNAVAILABLE, call(s, ahead).Status, "a source of a copy must have the map by which it rejects writers")
}

// Many senders have a newer map while the platform answers slowly: the map must be read only once
// at a time.
func TestNewerMapIsReadOnceAtATime(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	m := adoptSingleMemberMap(t, s)
	var reads atomic.Int32
	answered := make(chan struct{})
	s.refresh = func() {
		reads.Add(1)
		<-answered
	}
	for range 20 {
		call(s, readRequest(s, m.Epoch+1, "p", ""))
	}
	close(answered)
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return !s.refreshing
	}, time.Second, time.Millisecond)
	require.EqualValues(t, 1, reads.Load())
	call(s, readRequest(s, m.Epoch+1, "p", ""))
	require.Eventually(t, func() bool { return reads.Load() == 2 }, time.Second, time.Millisecond, "the next request causes another read")
}

func TestCopyReturnsSlotInPages(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	m := adoptSingleMemberMap(t, s)
	slot, written := placement.GlobalSlotOf("p0"), 0
	for i := 0; written < 30; i++ {
		p := fmt.Sprintf("p%d", i)
		if placement.GlobalSlotOf(p) != slot {
			continue
		}
		req := writeRequest(s, m.Epoch, p, "t"+p, 1<<60)
		req.GetWrite().Records[0].GetTurn().Content = make([]byte, maxPageBytes/4)
		require.Equal(t, historypb.Status_STATUS_OK, call(s, req).Status)
		written++
	}
	copySlot := func(c *historypb.Copy) *historypb.Reply {
		reply := call(s, &historypb.Request{Member: s.MemberID(), Slot: slot, Epoch: m.Epoch, Call: &historypb.Request_Copy{Copy: c}})
		require.Equal(t, historypb.Status_STATUS_OK, reply.Status)
		return reply
	}
	var names []string
	for _, d := range copySlot(&historypb.Copy{}).Digests {
		names = append(names, d.Program)
	}
	require.Len(t, names, written)
	pages, records := 0, 0
	for more := true; more; pages++ {
		reply := copySlot(&historypb.Copy{Programs: names[records:]})
		records += len(reply.Records) // one per program
		more = reply.More
	}
	require.Equal(t, written, records)
	require.Greater(t, pages, 5)
}

func TestSweepRemovesExpiredAndKeepsLiveRecords(t *testing.T) {
	dir := t.TempDir()
	s := openServer(t, dir)
	m := adoptSingleMemberMap(t, s)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, writeRequest(s, m.Epoch, "old", "1", 1000)).Status)
	big := writeRequest(s, m.Epoch, "live", "2", 1000)
	big.GetWrite().Records[0].GetTurn().Content = make([]byte, 5<<20) // fills the segment
	require.Equal(t, historypb.Status_STATUS_OK, call(s, big).Status)
	require.Equal(t, historypb.Status_STATUS_OK, call(s, writeRequest(s, m.Epoch, "live", "3", 9000)).Status)
	s.sweep(2000)
	require.Empty(t, call(s, readRequest(s, m.Epoch, "old", "1")).Chain)
	s.Close()
	s = openServer(t, dir)
	defer s.Close()
	require.Empty(t, call(s, readRequest(s, m.Epoch, "old", "1")).Chain)
	require.Len(t, call(s, readRequest(s, m.Epoch, "live", "2")).Chain, 1, "appended to the new segment again")
	require.Len(t, call(s, readRequest(s, m.Epoch, "live", "3")).Chain, 1)
}

// The watch and the controller's own updates adopt maps concurrently: disk and memory must end
// with the newest one.
func TestConcurrentAdoptionLeavesNewestMapOnDisk(t *testing.T) {
	dir := t.TempDir()
	s := openServer(t, dir)
	defer s.Close()
	m := adoptSingleMemberMap(t, s)
	var all sync.WaitGroup
	for i := range 50 {
		next := m.Clone()
		next.Epoch += uint64(i)
		all.Go(func() { assert.NoError(t, s.Adopt(next)) })
	}
	all.Wait()
	require.Equal(t, m.Epoch+49, s.Map().Epoch)
	onDisk, err := loadMap(dir)
	require.NoError(t, err)
	require.Equal(t, m.Epoch+49, onDisk.Epoch)
}

// guardedMap returns a map with guarded slots in which the server's member serves alone. The server has
// the map before it.
func guardedMap(t *testing.T, s *Server) *placement.Map {
	m := placement.New(1)
	for id, dc := range map[string]string{"a1": "a", "a2": "a", s.MemberID(): "c"} {
		m.Admit(placement.Member{ID: id, Host: id, Address: id, DataCentre: dc})
	}
	m.Assign()
	require.True(t, m.SpanCrowdedSlots())
	copied := map[int]uint64{}
	for i, slot := range m.Slots {
		copied[i] = slot.ChangedEpoch
	}
	require.True(t, m.Activate(s.MemberID(), copied))
	require.NoError(t, s.Adopt(m.Clone()))
	require.True(t, m.Demote(map[string]bool{"a1": true, "a2": true}))
	return m
}

// A write to a guarded slot whose newest records only this disk would hold is stored at the
// platform as well before it is acknowledged.
func TestGuardedSlotIsStoredAtPlatformToo(t *testing.T) {
	s := openServer(t, t.TempDir())
	defer s.Close()
	m := guardedMap(t, s)
	require.Equal(t, historypb.Status_STATUS_UNAVAILABLE, call(s, writeRequest(s, m.Epoch, "p", "1", 1<<60)).Status, "the request was made with a map that the member does not have")
	require.NoError(t, s.Adopt(m))
	require.Equal(t, historypb.Status_STATUS_UNAVAILABLE, call(s, writeRequest(s, m.Epoch, "p", "1", 1<<60)).Status, "no platform copies yet")
	store := &fakeStore{items: map[string][]byte{}}
	s.setPlatformCopyWriter(newPlatformCopyWriter(store, s.MemberID(), time.Unix(1, 0), s.epoch, log.New(io.Discard)))
	require.Equal(t, historypb.Status_STATUS_OK, call(s, writeRequest(s, m.Epoch, "p", "1", 1<<60)).Status)
	require.Len(t, store.items, 1)
}
