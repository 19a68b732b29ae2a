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

// groupOf reads "service/data centre".
func groupOf(_ string, spec []byte) (subset.Group, bool) {
	service, dc, ok := strings.Cut(string(spec), "/")
	return subset.Group{Service: service, DataCentre: dc}, ok
}

// collected is what a host holds of a kind, by what it is told.
type collected struct {
	items  map[string]string
	told   int // objects told in lists and changes
	listed int // lists
}

func (c *collected) Replaced(s objects.Snapshot) {
	c.items = map[string]string{}
	c.listed++
	for _, o := range s.Items {
		c.told++
		c.items[o.Name] = string(o.Spec)
	}
}

func (c *collected) Changed(changes objects.Changes) {
	for _, e := range changes.Events {
		c.told++
		if e.Removed {
			delete(c.items, e.Object.Name)
			continue
		}
		c.items[e.Object.Name] = string(e.Object.Spec)
	}
}

func (c *collected) Lost(error) {}

// fleetPlatform is a store with so many targets in each of some data centres.
func fleetPlatform(centres, targets int) *platform {
	p := newPlatform()
	for c := range centres {
		for i := range targets {
			p.set(fmt.Sprintf("t-%d-%d", c, i), fmt.Sprintf("llm/dc%d", c))
		}
	}
	return p
}

// wanted is what a host of dc0 has to hold of the platform's objects.
func wanted(p *platform, host string) map[string]string {
	all := newParts(groupOf)
	s := objects.Snapshot{}
	for _, o := range p.items {
		s.Items = append(s.Items, o)
	}
	all.replace(s)
	held := map[string]string{}
	for _, o := range s.Items {
		if all.holds(newOwnPart(host, "dc0", groupOf).holder, o.Name) {
			held[o.Name] = string(o.Spec)
		}
	}
	return held
}

// partedRelays are relays of a kind of which hosts hold parts.
func partedRelays(t *testing.T, p *platform, names ...string) *peers {
	r := &peers{order: names, servers: map[string]*Server{}}
	for _, name := range names {
		r.servers[name] = NewServer(t.Context(), read(p), log.New(io.Discard), Kind{Name: kind, WatchTimeout: waitTime, MinWatchInterval: 150 * time.Millisecond, GroupOf: groupOf})
	}
	return r
}

// settle lets the hosts and relays go on for a while, and waits until they rest.
func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// lose ends a relay.
func (p *peers) lose(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, name)
}

func follow(t *testing.T, source *Source) *collected {
	got := &collected{}
	go objects.Follow(t.Context(), source, kind, waitTime, got)
	return got
}

// What a host is told of a fleet is its part, and of changes those that concern it.
func TestAHostIsToldItsPart(t *testing.T) {
	for _, targets := range []int{30, 300, 1200} {
		synctest.Test(t, func(t *testing.T) {
			p := fleetPlatform(6, targets)
			relays := partedRelays(t, p, "a")
			got := follow(t, NewSource("h", p, relays, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
			settle(time.Second)
			require.Equal(t, wanted(p, "h"), got.items)
			require.LessOrEqual(t, len(got.items), 400)
			before := got.told
			for i := range 60 { // a part of the targets is replaced
				p.remove(fmt.Sprintf("t-%d-%d", i%6, i/6))
				p.set(fmt.Sprintf("new-%d", i), fmt.Sprintf("llm/dc%d", i%6))
			}
			settle(2 * time.Second)
			require.Equal(t, wanted(p, "h"), got.items)
			if targets >= 300 {
				require.Less(t, got.told-before, 60, "of 120 changes")
			}
			require.Equal(t, 1, got.listed)
		})
	}
}

// A host whose relay is lost goes on with another one without a new list.
func TestALostRelayCostsNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetPlatform(6, 300)
		relays := partedRelays(t, p, "a", "b", "c")
		got := follow(t, NewSource("h", p, relays, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		for i := range 3 {
			relays.lose([]string{"a", "b", "c"}[i])
			p.remove(fmt.Sprintf("t-0-%d", i))
			settle(8 * time.Second)
			if i < 2 {
				require.Equal(t, 1, got.listed)
				require.Equal(t, wanted(p, "h"), got.items)
			}
		}
		require.Equal(t, wanted(p, "h"), got.items, "by the platform's own word")
	})
}

// Targets that become many, as where a fleet starts, cost a host no lists: it leaves out by
// itself what it does not hold any more.
func TestAGrowingFleetCostsNoLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetPlatform(6, 20)
		got := follow(t, NewSource("h", p, partedRelays(t, p, "a"), log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
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
		require.Equal(t, 1, got.listed)
		require.Equal(t, wanted(p, "h"), got.items)
	})
}

// Where half of the targets go, hosts hold a larger share of those that are left.
func TestPartsFollowTheNumberOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetPlatform(6, 300)
		got := follow(t, NewSource("h", p, partedRelays(t, p, "a"), log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
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
		require.Equal(t, 90, near, "all that are left at home")
		require.Greater(t, len(got.items)-near, subset.DefaultSizes().Far/2)
		require.Less(t, len(got.items)-near, 3*subset.DefaultSizes().Far)
	})
}

// Where no relay answers, the host leaves out of the platform's list what it does not hold.
func TestAHostHoldsItsPartOfThePlatformsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetPlatform(6, 300)
		got := follow(t, NewSource("h", p, &peers{}, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		require.Equal(t, wanted(p, "h"), got.items)
		for i := range 40 {
			p.remove(fmt.Sprintf("t-0-%d", i))
			p.set(fmt.Sprintf("new-%d", i), "llm/dc0")
		}
		settle(5 * time.Second)
		require.Equal(t, wanted(p, "h"), got.items)
	})
}

// An entry that names no target any more ends the one that was listed, at the hosts that hold it.
func TestAnObjectThatNamesNothingIsToldToItsHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetPlatform(1, 20)
		got := follow(t, NewSource("h", p, partedRelays(t, p, "a"), log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		p.set("t-0-3", "unreadable")
		p.set("foreign", "unreadable")
		settle(time.Second)
		require.Equal(t, "unreadable", got.items["t-0-3"])
		require.NotContains(t, got.items, "foreign")
	})
}

// forgetful is a platform whose next watch says that its history is gone.
type forgetful struct {
	*platform
	gone atomic.Bool
}

func (f *forgetful) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	c, err := f.platform.Watch(ctx, kind, revision, wait)
	if f.gone.Swap(false) {
		return objects.Changes{}, failure.New(failure.HistoryGone, "dropped")
	}
	return c, err
}

// A platform that drops its history costs one list, of the first relay: all others are told what
// has changed meanwhile.
func TestADroppedHistoryCostsOneList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetPlatform(6, 300)
		f := &forgetful{platform: p}
		first := &peers{order: []string{"a"}, servers: map[string]*Server{"a": NewServer(t.Context(), read(f), log.New(io.Discard), Kind{Name: kind, WatchTimeout: waitTime, GroupOf: groupOf})}}
		second := &peers{order: []string{"b"}, servers: map[string]*Server{"b": NewServer(t.Context(), func() objects.Reader {
			return NewSource("b", p, first, log.New(io.Discard))
		}, log.New(io.Discard), Kind{Name: kind, WatchTimeout: waitTime, GroupOf: groupOf})}}
		got := follow(t, NewSource("h", p, second, log.New(io.Discard)).WithSubset("h", "dc0", groupOf))
		settle(time.Second)
		before, _ := p.state()
		f.gone.Store(true)
		for i := range 20 {
			p.remove(fmt.Sprintf("t-0-%d", i))
			p.set(fmt.Sprintf("new-%d", i), "llm/dc0")
		}
		p.set("t-1-5", "llm/dc2")
		settle(5 * time.Second)
		require.Equal(t, wanted(p, "h"), got.items)
		require.Equal(t, 1, got.listed)
		calls, _ := p.state()
		require.LessOrEqual(t, calls-before, 8, "one list and some watches")
	})
}
