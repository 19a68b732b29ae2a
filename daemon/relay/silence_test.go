package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

const (
	// replyMargin is how long a client of the platform waits for a reply in addition to the wait
	// that it requests.
	replyMargin = 300 * time.Millisecond
	// maxChangeDelay is the time within which a change that the platform has acknowledged must be in force
	// on every host that the platform answers.
	maxChangeDelay = 2 * time.Second
	// deliveryTime is the part of maxChangeDelay that calls take on a network and busy hosts.
	deliveryTime = 250 * time.Millisecond
)

// silentLink is a host's connection to the platform. While silent, calls get no reply, not even
// those that were waiting when it became silent.
type silentLink struct {
	*fakePlatform
	silent atomic.Bool
}

// reply returns the result of a call after the link: an error once the client has given the call
// up if the link is silent.
func reply[T any](l *silentLink, timeout time.Duration, startedAt time.Time, result T, err error) (T, error) {
	if !l.silent.Load() {
		return result, err
	}
	time.Sleep(timeout - time.Since(startedAt))
	var none T
	return none, failure.New(failure.PlatformUnavailable, "no answer")
}

func (l *silentLink) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	startedAt := time.Now()
	s, err := l.fakePlatform.List(ctx, kind)
	return reply(l, 1500*time.Millisecond, startedAt, s, err)
}

func (l *silentLink) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	startedAt := time.Now()
	c, err := l.fakePlatform.Watch(ctx, kind, revision, wait)
	return reply(l, wait+replyMargin, startedAt, c, err)
}

// silenceSystem is a platform, some history hosts, of which the first are the relays of some entry hosts,
// and the links of the history hosts to the platform.
type silenceSystem struct {
	platform *fakePlatform
	links    map[string]*silentLink
	mirrors  []*mirror
	stop     context.CancelFunc
}

// startSilenceSystem starts a system with one more relay than the number of tolerated faults, and one
// more history host than relays.
func startSilenceSystem(t *testing.T, hosts, faults int) *silenceSystem {
	text := fmt.Sprintf("[host]\nname=h\ndata_centre=d\n[listen]\naddress=10.0.0.1\n[platform]\naddress=10.0.0.2:1\n[faults]\nhosts=%d\n", faults)
	set, err := settings.ParseRole([]byte(text))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	s := &silenceSystem{platform: newFakePlatform(), links: map[string]*silentLink{}, stop: stop}
	members := []string{"a", "b", "c", "d"}[:faults+2]
	peers := &fakePeers{relays: members[:faults+1], servers: map[string]*Server{}}
	for _, id := range members {
		link := &silentLink{fakePlatform: s.platform}
		s.links[id] = link
		source := func() objects.Reader { return NewSource(id, link, relayPeers{peers, id}, log.New(io.Discard)) }
		peers.servers[id] = NewServer(ctx, source, log.New(io.Discard), Kind{Name: testKind, WatchTimeout: set.RelayedConfigWatchTimeout()})
	}
	s.platform.set("value", "0")
	for i := range hosts {
		m := &mirror{}
		s.mirrors = append(s.mirrors, m)
		source := NewSource(fmt.Sprintf("entry-%d", i), s.platform, peers, log.New(io.Discard))
		go objects.Follow(ctx, source, testKind, set.ConfigWatchTimeout(), m)
	}
	return s
}

// lateHosts makes the platform silent to some history hosts, changes an object afterwards, and
// returns how many hosts do not have the change in time.
func (s *silenceSystem) lateHosts(silent []string, changeAfter time.Duration) int {
	for _, id := range silent {
		s.links[id].silent.Store(true)
	}
	time.Sleep(changeAfter)
	s.platform.set("value", "1")
	time.Sleep(maxChangeDelay - deliveryTime)
	late := 0
	for _, m := range s.mirrors {
		if m.contents()["value"] != "1" {
			late++
		}
	}
	return late
}

// A host that follows the platform itself, because it answers the host and not the relays, must list
// again at once when the platform has dropped its history: that is an answer and no failure.
func TestDroppedHistoryDoesNotDelayHostThatFollowsDirectly(t *testing.T) {
	runSystem(t, 6, func(sys *testSystem) {
		sys.link.partitioned.Store(true)
		time.Sleep(10 * time.Second)
		sys.platform.dropHistory()
		sys.platform.set("one", "2")
		sys.requireItems(t, maxChangeDelay, map[string]string{"one": "2"})
	})
}

// While the platform is silent to history hosts only, a change must be in force on the other hosts in
// time, at whatever moment of the relays' watches the silence begins.
func TestChangeIsInForceInTimeWhileRelaysGetNoReply(t *testing.T) {
	const seeds = 60
	for name, c := range map[string]struct {
		faults int
		silent []string
	}{
		"first relay":       {1, []string{"a"}},
		"second relay":      {1, []string{"b"}},
		"both relays":       {1, []string{"a", "b"}},
		"all history hosts": {1, []string{"a", "b", "c"}},
		"three relays":      {2, []string{"a", "b", "c"}},
	} {
		t.Run(name, func(t *testing.T) {
			late := map[uint64]int{} // hosts that are late, by seed
			for seed := range uint64(seeds) {
				synctest.Test(t, func(t *testing.T) {
					r := rand.New(rand.NewPCG(seed, 44))
					s := startSilenceSystem(t, 12, c.faults)
					time.Sleep(10*time.Second + time.Duration(r.IntN(5000))*time.Millisecond)
					if n := s.lateHosts(c.silent, time.Duration(r.IntN(1500))*time.Millisecond); n > 0 {
						late[seed] = n
					}
					s.stop()
					time.Sleep(time.Minute)
				})
			}
			require.Empty(t, late)
		})
	}
}
