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

// mapStore is a store of one slot map. While conflicting is set, updates conflict, as if other
// members updated the map first.
type mapStore struct {
	objects.Store
	revision    uint64
	spec        []byte
	conflicting bool
	updates     int
}

func (s *mapStore) Get(context.Context, string, string) (objects.Object, error) {
	return objects.Object{Name: MapName, Revision: s.revision, Spec: s.spec}, nil
}

func (s *mapStore) Update(_ context.Context, _, _ string, revision uint64, spec []byte) (objects.Object, error) {
	s.updates++
	if s.conflicting || revision != s.revision {
		return objects.Object{}, failure.New(failure.Conflict, "slot map was updated by another member")
	}
	s.revision++
	s.spec = spec
	return objects.Object{Name: MapName, Revision: s.revision, Spec: spec}, nil
}

// newMember returns the controller of a member that knows the map in the store. The first call
// creates that map.
func newMember(t *testing.T, store *mapStore, host, address string) *Controller {
	server, err := OpenServer(Options{Dir: t.TempDir(), Logger: log.New(io.Discard)})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	self := placement.Member{ID: server.MemberID(), Host: host, Address: address, DataCentre: "dc"}
	c := NewController(server, store, self, 1, nil, &net.Dialer{}, log.New(io.Discard))
	if store.spec == nil {
		m := placement.New(1)
		m.Admit(self)
		text, err := json.Marshal(m)
		require.NoError(t, err)
		store.spec, store.revision = text, 1
	}
	c.applyObject(objects.Object{Name: MapName, Revision: store.revision, Spec: store.spec})
	return c
}

// listen returns the address of a new listener, and a function that serves the requests of a
// member on it.
func listen(t *testing.T) (address string, serve func(*Server)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), func(s *Server) { go func() { _ = rpc.Serve(l, s.Handle) }() }
}

// Members whose map updates conflict ask the member with the lowest ID, which admits all of them
// in one update.
func TestMembersWithConflictingUpdatesAreAdmittedTogether(t *testing.T) {
	store := &mapStore{}
	address, serve := listen(t)
	first := newMember(t, store, "h0", address)
	serve(first.server)
	var others []*Controller
	for _, host := range []string{"h1", "h2", "h3", "h4"} {
		others = append(others, newMember(t, store, host, host))
	}
	store.conflicting = true
	for _, c := range others {
		c.admitSelf(t.Context(), c.server.Map())
		require.False(t, c.admissionRequestedAt.IsZero())
	}
	store.conflicting, store.updates = false, 0
	first.admitQueued(t.Context())
	require.Equal(t, 1, store.updates)
	require.Len(t, first.server.Map().Members, 5)
	first.admitQueued(t.Context())
	require.Equal(t, 1, store.updates, "the admission queue is empty")
}

// A delayed admission request of an earlier disk must not displace the member of a later disk of
// the same host.
func TestDelayedAdmissionRequestDisplacesNoMember(t *testing.T) {
	store := &mapStore{}
	c := newMember(t, store, "h0", "a0")
	later := newMember(t, store, "h1", "a1")
	require.False(t, later.updateMapWithin(t.Context(), 1, "member admitted", func(m *placement.Map) bool { return m.Admit(later.self) }))
	c.applyObject(objects.Object{Name: MapName, Revision: store.revision, Spec: store.spec})
	c.server.Handle(&historypb.Request{Member: c.self.ID, Call: &historypb.Request_Admit{Admit: &historypb.Admit{
		Id: "earlier disk", Host: "h1", Address: "a1", DataCentre: "dc",
	}}}, func(*historypb.Reply) {})
	c.admitQueued(t.Context())
	require.Contains(t, c.server.Map().Members, later.self.ID)
	require.NotContains(t, c.server.Map().Members, "earlier disk")
}

// A member that cannot reach the member with the lowest ID keeps trying to admit itself.
func TestMemberAdmitsItselfWhenLowestMemberIsUnreachable(t *testing.T) {
	store := &mapStore{}
	address, _ := listen(t) // not served
	newMember(t, store, "h0", address)
	c := newMember(t, store, "h1", "a1")
	store.conflicting = true
	c.admitSelf(t.Context(), c.server.Map())
	require.True(t, c.admissionRequestedAt.IsZero())
	store.conflicting = false
	c.admitSelf(t.Context(), c.server.Map())
	require.Contains(t, c.server.Map().Members, c.self.ID)
}
