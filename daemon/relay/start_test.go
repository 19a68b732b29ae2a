package relay

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// pagedPlatform is a platform whose lists take long, as lists of many pages do, or fail.
type pagedPlatform struct {
	*fakePlatform
	listDelay  time.Duration
	failsLists bool
}

func (p pagedPlatform) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	time.Sleep(p.listDelay)
	s, err := p.fakePlatform.List(ctx, kind)
	if p.failsLists {
		return objects.Snapshot{}, failure.New(failure.PlatformUnavailable, "read of a page failed")
	}
	return s, err
}

// startRelayChain starts relays, of which the first follows the platform and each other one the
// relay before it. The returned peers reach all of them and have the last one as their only relay.
func startRelayChain(ctx context.Context, p objects.Reader, names ...string) *fakePeers {
	all := &fakePeers{servers: map[string]*Server{}}
	previous := &fakePeers{servers: all.servers}
	for _, name := range names {
		upstream := previous
		source := func() objects.Reader { return NewSource(name, p, upstream, log.New(io.Discard)) }
		all.servers[name] = NewServer(ctx, source, log.New(io.Discard), Kind{Name: testKind, WatchTimeout: watchTimeout, GroupOf: groupOf})
		previous = &fakePeers{relays: []string{name}, servers: all.servers}
		all.relays = []string{name}
	}
	return all
}

// runInBubble runs a test in virtual time, then stops its system and waits until it has ended.
func runInBubble(t *testing.T, test func(ctx context.Context)) {
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		test(ctx)
		stop()
		time.Sleep(time.Minute)
	})
}

// startHost follows with a start timeout, as a host that has just started.
func startHost(ctx context.Context, name string, p objects.Reader, relays Peers) *recorder {
	got := &recorder{}
	source := NewSource(name, p, relays, log.New(io.Discard)).WithSubset(name, "dc0", groupOf).WithStartTimeout(MembersStartTimeout)
	go objects.Follow(ctx, source, testKind, watchTimeout, got)
	return got
}

// Hosts and relays that start together must wait for the first relay's list, however long it takes:
// otherwise each of them would read all of the platform's pages.
func TestStartingFleetListsPlatformOnce(t *testing.T) {
	for _, listDelay := range []time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second} {
		runInBubble(t, func(ctx context.Context) {
			p := newFleetPlatform(6, 30)
			paged := pagedPlatform{fakePlatform: p, listDelay: listDelay}
			relays := startRelayChain(ctx, paged, "a", "b", "c")
			hosts := make([]*recorder, 40)
			for i := range hosts {
				hosts[i] = startHost(ctx, fmt.Sprint("h", i), paged, relays)
			}
			settle(listDelay + time.Second)
			for i, host := range hosts {
				require.Equal(t, expectedSubset(p, fmt.Sprint("h", i)), host.items, "host %d", i)
			}
			calls, _ := p.state()
			require.LessOrEqual(t, calls, 2, "a list, and the watch after it")
		})
	}
}

// Hosts must wait without a bound while members await the assignment of slots. If no members are
// known, they must call the platform after the start timeout.
func TestHostsWaitForSlotAssignment(t *testing.T) {
	for _, awaitingAssignment := range []bool{true, false} {
		runInBubble(t, func(ctx context.Context) {
			p := newFleetPlatform(6, 30)
			relays := startRelayChain(ctx, p, "a")
			ids := relays.relays
			relays.relays, relays.awaitingAssignment = nil, awaitingAssignment
			hosts := make([]*recorder, 40)
			for i := range hosts {
				hosts[i] = startHost(ctx, fmt.Sprint("h", i), p, relays)
			}
			settle(3 * MembersStartTimeout)
			calls, _ := p.state()
			if !awaitingAssignment {
				require.GreaterOrEqual(t, calls, len(hosts))
				return
			}
			require.Zero(t, calls)
			relays.mu.Lock()
			relays.relays, relays.awaitingAssignment = ids, false
			relays.mu.Unlock()
			settle(time.Second)
			for i, host := range hosts {
				require.Equal(t, expectedSubset(p, fmt.Sprint("h", i)), host.items, "host %d", i)
			}
		})
	}
}

// A relay whose first list fails must refuse requests, so that hosts call the platform themselves.
func TestHostsDoNotWaitForFailedList(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		p := newFleetPlatform(6, 30)
		relays := startRelayChain(ctx, pagedPlatform{fakePlatform: p, listDelay: time.Second, failsLists: true}, "a", "b")
		got := startHost(ctx, "h", p, relays)
		settle(5 * time.Second)
		require.Equal(t, expectedSubset(p, "h"), got.items)
	})
}

// Hosts that have a list must not wait for a relay that restarts: they continue through another
// relay or the platform.
func TestHostsWithListDoNotWaitForRestartingRelay(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		p := newFleetPlatform(6, 30)
		relays := startRelayChain(ctx, p, "a")
		got := startHost(ctx, "h", p, relays)
		settle(time.Second)
		slow := startRelayChain(ctx, pagedPlatform{fakePlatform: p, listDelay: time.Minute}, "a")
		relays.mu.Lock()
		relays.servers = slow.servers
		relays.mu.Unlock()
		settle(watchTimeout)
		p.remove("t-0-3")
		settle(time.Second)
		require.Equal(t, expectedSubset(p, "h"), got.items)
	})
}
