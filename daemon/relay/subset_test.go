package relay

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// groupOf decodes a spec of the form "service/data centre".
func groupOf(_ string, spec []byte) (subset.Group, bool) {
	service, dc, ok := strings.Cut(string(spec), "/")
	return subset.Group{Service: service, DataCentre: dc}, ok
}

// recorder is a listener that keeps the objects of a kind that a host holds, and counts what the
// host receives.
type recorder struct {
	items    map[string]string
	received int // objects in lists and changes
	lists    int
}

func (c *recorder) Replaced(s objects.Snapshot) {
	c.items = map[string]string{}
	c.lists++
	for _, o := range s.Items {
		c.received++
		c.items[o.Name] = string(o.Spec)
	}
}

func (c *recorder) Changed(changes objects.Changes) {
	for _, e := range changes.Events {
		c.received++
		if e.Removed {
			delete(c.items, e.Object.Name)
			continue
		}
		c.items[e.Object.Name] = string(e.Object.Spec)
	}
}

func (c *recorder) Lost(error) {}

// newFleetPlatform returns a store with the given number of targets in each of the data centres.
func newFleetPlatform(dataCentres, targets int) *fakePlatform {
	p := newFakePlatform()
	for c := range dataCentres {
		for i := range targets {
			p.set(fmt.Sprintf("t-%d-%d", c, i), fmt.Sprintf("llm/dc%d", c))
		}
	}
	return p
}

// expectedSubset returns the platform's objects that a host of dc0 has to hold.
func expectedSubset(p *fakePlatform, host string) map[string]string {
	all := newSubsetIndex(groupOf)
	s := objects.Snapshot{}
	for _, o := range p.items {
		s.Items = append(s.Items, o)
	}
	all.replace(s)
	held := map[string]string{}
	for _, o := range s.Items {
		if all.holds(newHostSubset(host, "dc0", groupOf).holder, o.Name) {
			held[o.Name] = string(o.Spec)
		}
	}
	return held
}

// startSubsetRelays starts relays of a kind of which hosts hold subsets.
func startSubsetRelays(t *testing.T, p *fakePlatform, names ...string) *fakePeers {
	r := &fakePeers{relays: names, servers: map[string]*Server{}}
	for _, name := range names {
		r.servers[name] = NewServer(t.Context(), sharedReader(p), log.New(io.Discard), Kind{Name: testKind, WatchTimeout: watchTimeout, MinWatchInterval: 150 * time.Millisecond, GroupOf: groupOf})
	}
	return r
}

// settle runs the hosts and relays for d, and waits until all goroutines are blocked.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// stopRelay makes a relay unreachable.
func (p *fakePeers) stopRelay(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, name)
}

func follow(t *testing.T, source *Source) *recorder {
	got := &recorder{}
	go objects.Follow(t.Context(), source, testKind, watchTimeout, got)
	return got
}

// A host must get only its subset of the targets and the changes that affect it.
func TestHostReceivesOnlyItsSubset(t *testing.T) {
	for _, targets := range []int{30, 300, 1200} {
		synctest.Test(t, func(t *testing.T) {
			p := newFleetPlatform(6, targets)
			relays := startSubsetRelays(t, p, "a")
			got := follow(t, NewSource("h", p, relays, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
			settle(time.Second)
			require.Equal(t, expectedSubset(p, "h"), got.items)
			require.LessOrEqual(t, len(got.items), 400)
			before := got.received
			for i := range 60 { // replace some of the targets
				p.remove(fmt.Sprintf("t-%d-%d", i%6, i/6))
				p.set(fmt.Sprintf("new-%d", i), fmt.Sprintf("llm/dc%d", i%6))
			}
			settle(2 * time.Second)
			require.Equal(t, expectedSubset(p, "h"), got.items)
			if targets >= 300 {
				require.Less(t, got.received-before, 60, "of 120 changes")
			}
			require.Equal(t, 1, got.lists)
		})
	}
}

// A host whose relay is lost must continue with another one without a new list.
func TestLostRelayCausesNoNewList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleetPlatform(6, 300)
		relays := startSubsetRelays(t, p, "a", "b", "c")
		got := follow(t, NewSource("h", p, relays, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		for i := range 3 {
			relays.stopRelay([]string{"a", "b", "c"}[i])
			p.remove(fmt.Sprintf("t-0-%d", i))
			settle(8 * time.Second)
			if i < 2 {
				require.Equal(t, 1, got.lists)
				require.Equal(t, expectedSubset(p, "h"), got.items)
			}
		}
		require.Equal(t, expectedSubset(p, "h"), got.items, "read directly from the platform")
	})
}

// A growing number of targets, as when a fleet starts, must cause no new lists: the host itself
// removes the objects that are no longer in its subset.
func TestGrowingFleetCausesNoNewLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleetPlatform(6, 20)
		got := follow(t, NewSource("h", p, startSubsetRelays(t, p, "a"), log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		for i := range 900 {
			for c := range 6 {
				p.set(fmt.Sprintf("more-%d-%d", c, i), fmt.Sprintf("llm/dc%d", c))
			}
			if i%100 == 0 {
				settle(200 * time.Millisecond)
			}
		}
		settle(2 * time.Second)
		require.Equal(t, 1, got.lists)
		require.Equal(t, expectedSubset(p, "h"), got.items)
	})
}

// When most of the targets are removed, hosts must hold a larger share of the rest.
func TestSubsetGrowsWhenTargetsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleetPlatform(6, 300)
		got := follow(t, NewSource("h", p, startSubsetRelays(t, p, "a"), log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		for i := range 210 {
			for c := range 6 {
				p.remove(fmt.Sprintf("t-%d-%d", c, i))
			}
		}
		settle(5 * time.Second)
		near := 0
		for _, spec := range got.items {
			if spec == "llm/dc0" {
				near++
			}
		}
		require.Equal(t, 90, near, "all that are left in the host's data centre")
		require.Greater(t, len(got.items)-near, subset.DefaultSizes().Far/2)
		require.Less(t, len(got.items)-near, 3*subset.DefaultSizes().Far)
	})
}

// When no relay answers, the host must hold only its subset of the platform's list.
func TestHostFiltersPlatformListToItsSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleetPlatform(6, 300)
		got := follow(t, NewSource("h", p, &fakePeers{}, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		require.Equal(t, expectedSubset(p, "h"), got.items)
		for i := range 40 {
			p.remove(fmt.Sprintf("t-0-%d", i))
			p.set(fmt.Sprintf("new-%d", i), "llm/dc0")
		}
		settle(5 * time.Second)
		require.Equal(t, expectedSubset(p, "h"), got.items)
	})
}

// An object that no longer describes a target must be sent to the hosts that hold it, so that they
// stop using the target, and to no others.
func TestUndecodableObjectIsSentToItsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleetPlatform(1, 20)
		got := follow(t, NewSource("h", p, startSubsetRelays(t, p, "a"), log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		p.set("t-0-3", "unreadable")
		p.set("foreign", "unreadable")
		settle(time.Second)
		require.Equal(t, "unreadable", got.items["t-0-3"])
		require.NotContains(t, got.items, "foreign")
	})
}

// compactingPlatform is a platform of which one watch fails with HistoryGone after compacted is set.
type compactingPlatform struct {
	*fakePlatform
	compacted atomic.Bool
}

func (p *compactingPlatform) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	c, err := p.fakePlatform.Watch(ctx, kind, revision, wait)
	if p.compacted.Swap(false) {
		return objects.Changes{}, failure.New(failure.HistoryGone, "dropped")
	}
	return c, err
}

// When the platform drops its history, only the first relay may list again: all followers must get
// the changes since.
func TestDroppedHistoryCausesOneList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFleetPlatform(6, 300)
		compacting := &compactingPlatform{fakePlatform: p}
		first := &fakePeers{relays: []string{"a"}, servers: map[string]*Server{"a": NewServer(t.Context(), sharedReader(compacting), log.New(io.Discard), Kind{Name: testKind, WatchTimeout: watchTimeout, GroupOf: groupOf})}}
		second := &fakePeers{relays: []string{"b"}, servers: map[string]*Server{"b": NewServer(t.Context(), func() objects.Reader {
			return NewSource("b", p, first, log.New(io.Discard))
		}, log.New(io.Discard), Kind{Name: testKind, WatchTimeout: watchTimeout, GroupOf: groupOf})}}
		got := follow(t, NewSource("h", p, second, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		before, _ := p.state()
		compacting.compacted.Store(true)
		for i := range 20 {
			p.remove(fmt.Sprintf("t-0-%d", i))
			p.set(fmt.Sprintf("new-%d", i), "llm/dc0")
		}
		p.set("t-1-5", "llm/dc2")
		settle(5 * time.Second)
		require.Equal(t, expectedSubset(p, "h"), got.items)
		require.Equal(t, 1, got.lists)
		calls, _ := p.state()
		require.LessOrEqual(t, calls-before, 8, "one list and some watches")
	})
}
