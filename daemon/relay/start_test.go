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

// pagedPlatform is a platform whose lists take long, as those of many pages do.
type pagedPlatform struct {
	*platform
	takes time.Duration
	fails bool
}

func (p pagedPlatform) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	time.Sleep(p.takes)
	s, err := p.platform.List(ctx, kind)
	if p.fails {
		return objects.Snapshot{}, failure.New(failure.PlatformUnavailable, "a page is missing")
	}
	return s, err
}

// tree are relays each of which follows the one before it, the first of them the platform.
func tree(ctx context.Context, p objects.Reader, names ...string) *peers {
	all := &peers{servers: map[string]*Server{}}
	before := &peers{servers: all.servers}
	for _, name := range names {
		above := before
		source := func() objects.Reader { return NewSource(name, p, above, log.New(io.Discard)) }
		all.servers[name] = NewServer(ctx, source, log.New(io.Discard), Kind{Name: kind, WatchTimeout: waitTime, GroupOf: groupOf})
		before = &peers{order: []string{name}, servers: all.servers}
		all.order = []string{name}
	}
	return all
}

// starting plays hosts that start, and lets everything end.
func starting(t *testing.T, test func(ctx context.Context)) {
	synctest.Test(t, func(*testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		test(ctx)
		stop()
		time.Sleep(time.Minute)
	})
}

// startHost follows as a host does that has just started.
func startHost(ctx context.Context, name string, p objects.Reader, relays Peers) *collected {
	got := &collected{}
	source := NewSource(name, p, relays, log.New(io.Discard)).WithSubset(name, "dc0", groupOf).WithStartTimeout(MembersStartTimeout)
	go objects.Follow(ctx, source, kind, waitTime, got)
	return got
}

// Hosts and relays that start together wait for the first relay's list, however long that takes:
// each would else read all of the platform's pages by itself.
func TestAFleetThatStartsCostsOneList(t *testing.T) {
	for _, takes := range []time.Duration{100 * time.Millisecond, time.Second, 6 * time.Second} {
		starting(t, func(ctx context.Context) {
			p := fleetPlatform(6, 30)
			paged := pagedPlatform{platform: p, takes: takes}
			relays := tree(ctx, paged, "a", "b", "c")
			hosts := make([]*collected, 40)
			for i := range hosts {
				hosts[i] = startHost(ctx, fmt.Sprint("h", i), paged, relays)
			}
			settle(takes + time.Second)
			for i, host := range hosts {
				require.Equal(t, wanted(p, fmt.Sprint("h", i)), host.items, "host %d", i)
			}
			calls, _ := p.state()
			require.LessOrEqual(t, calls, 2, "a list, and the watch after it")
		})
	}
}

// However long members take to come together, hosts wait for them; they do not wait for members
// of which nobody knows.
func TestHostsWaitWhileMembersGather(t *testing.T) {
	for _, gathering := range []bool{true, false} {
		starting(t, func(ctx context.Context) {
			p := fleetPlatform(6, 30)
			relays := tree(ctx, p, "a")
			order := relays.order
			relays.order, relays.gathering = nil, gathering
			hosts := make([]*collected, 40)
			for i := range hosts {
				hosts[i] = startHost(ctx, fmt.Sprint("h", i), p, relays)
			}
			settle(3 * MembersStartTimeout)
			calls, _ := p.state()
			if !gathering {
				require.GreaterOrEqual(t, calls, len(hosts))
				return
			}
			require.Zero(t, calls)
			relays.mu.Lock()
			relays.order, relays.gathering = order, false
			relays.mu.Unlock()
			settle(time.Second)
			for i, host := range hosts {
				require.Equal(t, wanted(p, fmt.Sprint("h", i)), host.items, "host %d", i)
			}
		})
	}
}

// A relay whose list fails says so: hosts ask the platform themselves.
func TestHostsDoNotWaitForAListThatFails(t *testing.T) {
	starting(t, func(ctx context.Context) {
		p := fleetPlatform(6, 30)
		relays := tree(ctx, pagedPlatform{platform: p, takes: time.Second, fails: true}, "a", "b")
		got := startHost(ctx, "h", p, relays)
		settle(5 * time.Second)
		require.Equal(t, wanted(p, "h"), got.items)
	})
}

// A relay that starts anew while hosts follow it is no reason to wait: they have a list, and go on
// by another relay or the platform.
func TestHostsThatHaveAListDoNotWaitForARelayThatStarts(t *testing.T) {
	starting(t, func(ctx context.Context) {
		p := fleetPlatform(6, 30)
		relays := tree(ctx, p, "a")
		got := startHost(ctx, "h", p, relays)
		settle(time.Second)
		slow := tree(ctx, pagedPlatform{platform: p, takes: time.Minute}, "a")
		relays.mu.Lock()
		relays.servers = slow.servers
		relays.mu.Unlock()
		settle(waitTime)
		p.remove("t-0-3")
		settle(time.Second)
		require.Equal(t, wanted(p, "h"), got.items)
	})
}
