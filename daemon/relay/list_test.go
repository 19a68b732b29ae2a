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

// watched notes the longest reply and calls before for each list that is asked for.
type watched struct {
	*peers
	mu      sync.Mutex
	longest int
	before  func(list *historypb.ListObjects)
}

func (w *watched) Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	if list := req.GetListObjects(); list != nil && w.before != nil {
		w.mu.Lock()
		w.before(list)
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
	reply, err := w.peers.Call(ctx, member, req, wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, proto.Size(reply))
	return reply, err
}

// followAll follows all objects, as a relay does that asks another one.
func followAll(ctx context.Context, p objects.Reader, relays Peers) *collected {
	got := &collected{}
	go objects.Follow(ctx, NewSource("b", p, relays, log.New(io.Discard)), kind, waitTime, got)
	return got
}

func (p *platform) all() map[string]string {
	specs := map[string]string{}
	for name, o := range p.items {
		specs[name] = string(o.Spec)
	}
	return specs
}

// However many targets there are, a relay sends few of them at a time: one that sends them all at
// once is silent meanwhile for all that follow it.
func TestAListComesInPages(t *testing.T) {
	for _, targets := range []int{10, 300, 3000} {
		starting(t, func(ctx context.Context) {
			p := fleetPlatform(6, targets)
			relays := &watched{peers: tree(ctx, p, "a")}
			got := followAll(ctx, p, relays)
			settle(10 * time.Second)
			require.Equal(t, p.all(), got.items)
			require.Equal(t, 1, got.listed)
			require.Less(t, relays.longest, pageBytes+pageBytes/4)
		})
	}
}

// What changes while a list is read is told by the watch after it.
func TestChangesWhileAListIsReadAreNotMissed(t *testing.T) {
	for seed := range uint64(20) {
		starting(t, func(ctx context.Context) {
			rng := rand.New(rand.NewPCG(seed, 3))
			p := fleetPlatform(6, 1000)
			relays := &watched{peers: tree(ctx, p, "a", "b")}
			relays.before = func(list *historypb.ListObjects) {
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
			part := startHost(ctx, "h", p, relays)
			settle(20 * time.Second)
			require.Equal(t, p.all(), all.items, "seed %d", seed)
			require.Equal(t, wanted(p, "h"), part.items, "seed %d", seed)
		})
	}
}

// An old list in pages is not made of a relay's newer objects and of another's older ones.
func TestAPageIsNotOlderThanTheOneBefore(t *testing.T) {
	starting(t, func(ctx context.Context) {
		p := fleetPlatform(6, 30)
		relays := tree(ctx, p, "a")
		followAll(ctx, p, relays)
		settle(time.Second)
		_, revision := p.state()
		for _, anyAge := range []bool{false, true} {
			list := &historypb.ListObjects{Kind: kind, AnyAge: anyAge, After: "t-1-1", Revision: revision + 1}
			reply := ask(relays.servers["a"], &historypb.Request{Call: &historypb.Request_ListObjects{ListObjects: list}})
			require.Equal(t, historypb.Status_STATUS_UNAVAILABLE, reply.Status, "any age: %v", anyAge)
		}
	})
}
