package history

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// mapStore is a store of one slot map; updates of it conflict while busy is set, as others are
// faster.
type mapStore struct {
	objects.Store
	revision uint64
	spec     []byte
	busy     bool
	updates  int
}

func (s *mapStore) Get(context.Context, string, string) (objects.Object, error) {
	return objects.Object{Name: MapName, Revision: s.revision, Spec: s.spec}, nil
}

func (s *mapStore) Update(_ context.Context, _, _ string, revision uint64, spec []byte) (objects.Object, error) {
	s.updates++
	if s.busy || revision != s.revision {
		return objects.Object{}, failure.New(failure.Conflict, "another was faster")
	}
	s.revision++
	s.spec = spec
	return objects.Object{Name: MapName, Revision: s.revision, Spec: spec}, nil
}

// newMember returns the keeper of a member that knows the map in the store.
func newMember(t *testing.T, store *mapStore, host, address string) *Controller {
	server, err := OpenServer(Options{Dir: t.TempDir(), Logger: log.New(io.Discard)})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	self := placement.Member{ID: server.MemberID(), Host: host, Address: address, DataCentre: "dc"}
	k := NewController(server, store, self, 1, nil, &net.Dialer{}, log.New(io.Discard))
	if store.spec == nil {
		m := placement.New(1)
		m.Admit(self)
		text, err := json.Marshal(m)
		require.NoError(t, err)
		store.spec, store.revision = text, 1
	}
	k.take(objects.Object{Name: MapName, Revision: store.revision, Spec: store.spec})
	return k
}

// listen serves a member's requests and returns its address.
func listen(t *testing.T) (address string, serve func(*Server)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), func(s *Server) { go func() { _ = rpc.Serve(l, s.Handle) }() }
}

// Members that lose the race for the map ask the first one, which admits all of them by one
// change.
func TestMembersThatLoseTheRaceAreAdmittedTogether(t *testing.T) {
	store := &mapStore{}
	address, serve := listen(t)
	first := newMember(t, store, "h0", address)
	serve(first.server)
	var others []*Controller
	for _, host := range []string{"h1", "h2", "h3", "h4"} {
		others = append(others, newMember(t, store, host, host))
	}
	store.busy = true
	for _, k := range others {
		k.enter(t.Context(), k.server.Map())
		require.False(t, k.applied.IsZero())
	}
	store.busy, store.updates = false, 0
	first.admit(t.Context())
	require.Equal(t, 1, store.updates)
	require.Len(t, first.server.Map().Members, 5)
	first.admit(t.Context())
	require.Equal(t, 1, store.updates, "nobody asks any more")
}

// What a host asked with an earlier disk is late when its next disk is a member.
func TestALateApplicationDisplacesNobody(t *testing.T) {
	store := &mapStore{}
	k := newMember(t, store, "h0", "a0")
	later := newMember(t, store, "h1", "a1")
	require.False(t, later.changeWithin(t.Context(), 1, "member admitted", func(m *placement.Map) bool { return m.Admit(later.self) }))
	k.take(objects.Object{Name: MapName, Revision: store.revision, Spec: store.spec})
	k.server.Handle(&historypb.Request{Member: k.self.ID, Call: &historypb.Request_Admit{Admit: &historypb.Admit{
		Id: "earlier disk", Host: "h1", Address: "a1", DataCentre: "dc",
	}}}, func(*historypb.Reply) {})
	k.admit(t.Context())
	require.Contains(t, k.server.Map().Members, later.self.ID)
	require.NotContains(t, k.server.Map().Members, "earlier disk")
}

// A member that no other one helps goes on by itself.
func TestAMemberWithoutHelpTriesAgain(t *testing.T) {
	store := &mapStore{}
	address, _ := listen(t) // nobody answers there
	newMember(t, store, "h0", address)
	k := newMember(t, store, "h1", "a1")
	store.busy = true
	k.enter(t.Context(), k.server.Map())
	require.True(t, k.applied.IsZero())
	store.busy = false
	k.enter(t.Context(), k.server.Map())
	require.Contains(t, k.server.Map().Members, k.self.ID)
}
