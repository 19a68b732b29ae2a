package relay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// observedPeers records the size of the longest reply, and calls beforeList for each list request.
type observedPeers struct {
	*fakePeers
	mu            sync.Mutex
	maxReplyBytes int
	beforeList    func(list *historypb.ListObjects)
}

func (p *observedPeers) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	if list := req.GetListObjects(); list != nil && p.beforeList != nil {
		p.mu.Lock()
		p.beforeList(list)
		p.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	reply, err := p.fakePeers.Call(ctx, member, req, wait)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxReplyBytes = max(p.maxReplyBytes, proto.Size(reply))
	return reply, err
}

// followAll follows all objects, as a relay does that follows another one.
func followAll(ctx context.Context, p objects.Reader, relays Peers) *recorder {
	got := &recorder{}
	go objects.Follow(ctx, NewSource("b", p, relays, log.New(io.Discard)), testKind, watchTimeout, got)
	return got
}

func (p *fakePlatform) all() map[string]string {
	specs := map[string]string{}
	for name, o := range p.items {
		specs[name] = string(o.Spec)
	}
	return specs
}

// The size of a reply must not grow with the number of targets: a relay that sends all targets at
// once is silent meanwhile for all its followers.
func TestListIsSentInPages(t *testing.T) {
	for _, targets := range []int{10, 300, 3000} {
		runInBubble(t, func(ctx context.Context) {
			p := newFleetPlatform(6, targets)
			relays := &observedPeers{fakePeers: startRelayChain(ctx, p, "a")}
			got := followAll(ctx, p, relays)
			settle(10 * time.Second)
			require.Equal(t, p.all(), got.items)
			require.Equal(t, 1, got.lists)
			require.Less(t, relays.maxReplyBytes, maxPageBytes+maxPageBytes/4)
		})
	}
}

// Changes between two pages of a list must arrive with the watch after it.
func TestChangesBetweenPagesAreNotLost(t *testing.T) {
	for seed := range uint64(20) {
		runInBubble(t, func(ctx context.Context) {
			rng := rand.New(rand.NewPCG(seed, 3))
			p := newFleetPlatform(6, 1000)
			relays := &observedPeers{fakePeers: startRelayChain(ctx, p, "a", "b")}
			relays.beforeList = func(list *historypb.ListObjects) {
				for i := range rng.IntN(30) {
					name := fmt.Sprintf("t-%d-%d", rng.IntN(6), rng.IntN(1000))
					if rng.IntN(2) == 0 {
						p.remove(name)
					} else {
						p.set(name, fmt.Sprintf("llm/dc%d", rng.IntN(6)))
					}
					p.set(fmt.Sprintf("t-%d-new-%s-%d", rng.IntN(6), list.After, i), "llm/dc0")
				}
			}
			all := followAll(ctx, p, relays)
			hostSubset := startHost(ctx, "h", p, relays)
			settle(20 * time.Second)
			require.Equal(t, p.all(), all.items, "seed %d", seed)
			require.Equal(t, expectedSubset(p, "h"), hostSubset.items, "seed %d", seed)
		})
	}
}

// A page from a relay that is behind must be refused, also where a list of any age is accepted:
// the list would combine newer objects of one relay with older ones of another.
func TestPageOlderThanPreviousOneIsRefused(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		p := newFleetPlatform(6, 30)
		relays := startRelayChain(ctx, p, "a")
		followAll(ctx, p, relays)
		settle(time.Second)
		_, revision := p.state()
		for _, anyAge := range []bool{false, true} {
			list := &historypb.ListObjects{Kind: testKind, AnyAge: anyAge, After: "t-1-1", Revision: revision + 1}
			reply := call(relays.servers["a"], &historypb.Request{Call: &historypb.Request_ListObjects{ListObjects: list}})
			require.Equal(t, historypb.Status_STATUS_UNAVAILABLE, reply.Status, "any age: %v", anyAge)
		}
	})
}
