package history

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// fakeStore is an in-memory store. All Create calls fail while down is set; with loseFirst the
// first one creates the object but its reply is lost.
type fakeStore struct {
	objects.Store
	mu        sync.Mutex
	items     map[string][]byte
	creates   int
	down      bool
	loseFirst bool
}

func (s *fakeStore) Create(_ context.Context, _, name string, spec []byte) (objects.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.creates++
	if s.down {
		return objects.Object{}, failure.New(failure.PlatformUnavailable, "down")
	}
	if _, exists := s.items[name]; exists {
		return objects.Object{}, failure.New(failure.Conflict, "%s exists", name)
	}
	s.items[name] = spec
	if s.loseFirst && s.creates == 1 {
		return objects.Object{}, failure.New(failure.PlatformUnavailable, "reply lost")
	}
	return objects.Object{Name: name, Spec: spec}, nil
}

func (s *fakeStore) List(context.Context, string) (objects.Snapshot, error) {
	var list objects.Snapshot
	for name, spec := range s.items {
		list.Items = append(list.Items, objects.Object{Name: name, Spec: spec})
	}
	return list, nil
}

func (s *fakeStore) Delete(_ context.Context, _, name string) error {
	delete(s.items, name)
	return nil
}

// writeAll queues n writes at once and returns their errors.
func writeAll(w *platformCopyWriter, n int) []error {
	errs := make(chan error, n)
	for i := range n {
		w.write([]*historypb.Record{{Program: fmt.Sprint(i)}}, func(err error) { errs <- err })
	}
	list := make([]error, 0, n)
	for range n {
		list = append(list, <-errs)
	}
	return list
}

func newTestWriter(s *fakeStore, epoch *uint64) *platformCopyWriter {
	return newPlatformCopyWriter(s, "m", time.Unix(1, 0), func() uint64 { return *epoch }, log.New(io.Discard))
}

func TestPlatformCopiesAreLoadedAndDeletedByEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, epoch := &fakeStore{items: map[string][]byte{}}, uint64(8)
		w := newTestWriter(s, &epoch)
		for _, err := range writeAll(w, 20) {
			require.NoError(t, err)
		}
		require.Less(t, s.creates, 20, "several writes share an object")
		records, err := loadPlatformCopies(t.Context(), s, log.New(io.Discard))
		require.NoError(t, err)
		require.Len(t, records, 20)
		n, err := deletePlatformCopies(t.Context(), s, 7, log.New(io.Discard))
		require.NoError(t, err)
		require.Zero(t, n, "an old map must not delete copies of a newer epoch")
		n, err = deletePlatformCopies(t.Context(), s, 8, log.New(io.Discard))
		require.NoError(t, err)
		require.Equal(t, s.creates, n)
		require.Empty(t, s.items)
		time.Sleep(time.Second) // lets the flush end
	})
}

func TestLostReplyIsNotAWriteFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, epoch := &fakeStore{items: map[string][]byte{}, loseFirst: true}, uint64(1)
		require.Equal(t, []error{nil}, writeAll(newTestWriter(s, &epoch), 1))
		require.Len(t, s.items, 1)
		time.Sleep(time.Second)
	})
}

func TestFailedPlatformCopyIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, epoch := &fakeStore{items: map[string][]byte{}, down: true}, uint64(1)
		for _, err := range writeAll(newTestWriter(s, &epoch), 3) {
			require.True(t, failure.Is(err, failure.PlatformUnavailable))
		}
		time.Sleep(time.Second)
	})
}

func TestAfterBothFailsIfEitherFails(t *testing.T) {
	for name, c := range map[string]struct{ first, second error }{
		"both": {}, "the first fails": {first: io.EOF}, "the second fails": {second: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			calls, result := 0, error(nil)
			both := afterBoth(func(err error) { calls, result = calls+1, err })
			both(c.first)
			require.Zero(t, calls)
			both(c.second)
			require.Equal(t, 1, calls)
			require.Equal(t, c.first != nil || c.second != nil, result != nil)
		})
	}
}

// A member that has left the map must not stay silent forever: crowded slots would never become
// spanning again.
func TestSilentMembersThatLeftTheMapAreForgotten(t *testing.T) {
	p := newPeers(nil)
	p.recordProbe("gone", false)
	require.Contains(t, p.silenceDurations(), "gone")
	m := placement.New(1)
	m.Admit(placement.Member{ID: "self", Host: "self"})
	p.probe(t.Context(), m, nil)
	require.Empty(t, p.silenceDurations())
}
