package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/delta"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// countingPeers counts the bytes of the relays' replies.
type countingPeers struct {
	*fakePeers
	bytes atomic.Int64
}

func (p *countingPeers) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	reply, err := p.fakePeers.Call(ctx, member, req, wait)
	p.bytes.Add(int64(proto.Size(reply)))
	return reply, err
}

// memberList returns the spec of an object that lists the given number of members. The version of
// those at the indices in changed is increased.
func memberList(members int, changed ...int) string {
	versions := make([]int, members)
	for _, i := range changed {
		versions[i]++
	}
	var b strings.Builder
	for i, version := range versions {
		fmt.Fprintf(&b, `"host-%d":{"address":"10.0.%d.%d:7380","version":%d},`, i, i/250, i%250, version)
	}
	return b.String()
}

// A follower must not get the complete member list when one member changes: the size of each
// change sent would grow with the number of members.
func TestChangeOfLongObjectIsSentAsDelta(t *testing.T) {
	for _, members := range []int{100, 1000, 2000} {
		runInBubble(t, func(ctx context.Context) {
			p := newFakePlatform()
			p.set("roster", memberList(members))
			relays := &countingPeers{fakePeers: startRelayChain(ctx, p, "a", "b")}
			got := &mirror{}
			go objects.Follow(ctx, NewSource("h", p, relays, log.New(io.Discard)), testKind, watchTimeout, got)
			settle(time.Second)
			before := relays.bytes.Load()
			for i := range 20 {
				p.set("roster", memberList(members, i))
				settle(100 * time.Millisecond)
			}
			require.Equal(t, map[string]string{"roster": memberList(members, 19)}, got.contents())
			require.Less(t, relays.bytes.Load()-before, int64(20*400), "%d bytes for 20 changes of an object of %d bytes", relays.bytes.Load()-before, len(memberList(members)))
		})
	}
}

// After any sequence of deltas, removals, lost relays and dropped histories a host must hold the
// platform's objects. A delta applied to a wrong base would corrupt an object.
func TestDeltasConvergeToPlatformObjects(t *testing.T) {
	for seed := range uint64(20) {
		runInBubble(t, func(ctx context.Context) {
			rng := rand.New(rand.NewPCG(seed, 7))
			p := newFakePlatform()
			p.set("roster", memberList(200))
			compacting := &compactingPlatform{fakePlatform: p}
			first, second := startRelayChain(ctx, compacting, "a", "b"), startRelayChain(ctx, compacting, "c")
			both := &fakePeers{relays: []string{"b", "c"}, servers: map[string]*Server{"b": first.servers["b"], "c": second.servers["c"]}}
			got := &mirror{}
			go objects.Follow(ctx, NewSource("h", p, both, log.New(io.Discard)), testKind, watchTimeout, got)
			settle(time.Second)
			for i := range 80 {
				switch rng.IntN(8) {
				case 0:
					both.mu.Lock()
					both.servers = map[string]*Server{"b": first.servers["b"], "c": second.servers["c"]}
					delete(both.servers, both.relays[rng.IntN(2)])
					both.mu.Unlock()
				case 1:
					compacting.compacted.Store(true)
				case 2:
					p.remove("roster")
				case 3:
					p.set("roster", "short")
				default:
					p.set("roster", memberList(200, i, rng.IntN(200)))
				}
				settle(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
			last := memberList(200, 7)
			p.set("roster", last)
			settle(10 * time.Second)
			require.Equal(t, map[string]string{"roster": last}, got.contents(), "seed %d", seed)
		})
	}
}

func TestDeltaAgainstUnknownVersionRequiresNewList(t *testing.T) {
	base, next := []byte(memberList(100)), []byte(memberList(100, 3))
	d, err := delta.Make(base, next)
	require.NoError(t, err)
	list := objects.Snapshot{Items: []objects.Object{{Name: "roster", Revision: 5, Spec: base}}}
	for name, c := range map[string]struct {
		received *historypb.Object
		ok       bool
	}{
		"against the known version": {&historypb.Object{Name: "roster", Revision: 6, Base: 5, Delta: d}, true},
		"against another version":   {&historypb.Object{Name: "roster", Revision: 6, Base: 4, Delta: d}, false},
		"without a base version":    {&historypb.Object{Name: "roster", Revision: 6, Delta: d}, false},
		"of another object":         {&historypb.Object{Name: "other", Revision: 6, Base: 5, Delta: d}, false},
		"damaged":                   {&historypb.Object{Name: "roster", Revision: 6, Base: 5, Delta: d[:len(d)/2]}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newDeltaBases()
			b.replace(list)
			e, err := b.decodeChange(c.received)
			if !c.ok {
				require.True(t, failure.Is(err, failure.HistoryGone), "%v", err)
				require.Equal(t, base, b.byName["roster"].Spec)
				return
			}
			require.NoError(t, err)
			require.Equal(t, next, e.Object.Spec)
			require.Equal(t, uint64(6), b.byName["roster"].Revision)
		})
	}
}
