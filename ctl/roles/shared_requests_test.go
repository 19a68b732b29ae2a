package roles

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
)

// sharedTargets is the number of targets of each service beside those of a small cluster.
const sharedTargets = 5

// sharedCase is a set of faults beside two requests that all callers send.
type sharedCase struct {
	name   string
	inject func(c *cluster, r *rand.Rand)
}

var sharedCases = []sharedCase{
	{"shared requests, targets crash one by one", func(c *cluster, r *rand.Rand) { c.crashTargets(30, 300*time.Millisecond, 1, r) }},
	{"shared requests, most targets crash at once", func(c *cluster, r *rand.Rand) { c.crashTargets(5, 2*time.Second, 5, r) }},
	{"shared requests, targets crash and entry hosts are killed", func(c *cluster, r *rand.Rand) {
		crashes, kills := rand.New(rand.NewPCG(r.Uint64(), 1)), rand.New(rand.NewPCG(r.Uint64(), 2))
		var faults sync.WaitGroup
		faults.Go(func() { c.crashTargets(30, 300*time.Millisecond, 1, crashes) })
		faults.Go(func() { killEntryHosts(c, kills) })
		faults.Wait()
	}},
}

// crashTargets crashes count targets of each service at once, whatever they run, a number of times.
func (c *cluster) crashTargets(times int, interval time.Duration, count int, r *rand.Rand) {
	for range times {
		time.Sleep(interval)
		for _, service := range []string{engineService, plainService} {
			serving := c.servingTargets(service)
			for _, i := range r.Perm(len(serving))[:min(count, len(serving))] {
				serving[i].Crash()
			}
		}
	}
}

// servingTargets returns the targets of a service that have not crashed.
func (c *cluster) servingTargets(service string) []*standin.TurnEngine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*standin.TurnEngine
	for _, e := range c.incarnations {
		if strings.HasPrefix(e.ID, service+"-") && !e.HasCrashed() {
			list = append(list, e)
		}
	}
	return list
}

func runSharedCase(t *testing.T, sc sharedCase, seed uint64) *crashOutcome {
	c := emptyCluster(t)
	c.crashMarker = crashMarker
	c.start(4)
	defer c.close()
	for i := range sharedTargets {
		c.startTarget(engineService, 3+i)
		c.startTarget(plainService, 3+i)
	}
	time.Sleep(time.Second)
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	o, stop := &crashOutcome{}, make(chan struct{})
	var callers sync.WaitGroup
	for n := range bystanders {
		r := rand.New(rand.NewPCG(seed, uint64(n)))
		callers.Go(func() { k.sendShared(n, o, stop, r) })
	}
	sc.inject(c, rand.New(rand.NewPCG(seed, 1<<32)))
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	o.addRuns(c)
	return o
}

// sendShared sends the same two requests as all other callers until stop is closed.
func (k *caller) sendShared(n int, o *crashOutcome, stop <-chan struct{}, r *rand.Rand) {
	for i := 0; !isClosed(stop); i++ {
		q := &repeatedRequest{path: sharedPaths[(n+i)%len(sharedPaths)], body: "in"}
		k.sendRepeatedly(q, n+i, r)
		k.mu.Lock()
		o.requests = append(o.requests, q)
		k.mu.Unlock()
	}
}

// A request that all callers send is at work wherever a target crashes. It must be served on while targets
// answer it in between.
func TestRequestThatAllCallersSendIsServed(t *testing.T) {
	runAllCases(t)
	for _, sc := range sharedCases {
		o := sharedOutcomes[sc.name]
		if o == nil {
			continue
		}
		t.Run(sc.name, func(t *testing.T) {
			hit, denied, unavailable := 0, 0, 0
			for _, q := range o.requests {
				if len(q.crashes) > 0 {
					hit++
				}
				for _, a := range q.attempts {
					if strings.Contains(a.Answer, deniedAnswer) {
						denied++
					}
					if a.Status == http.StatusServiceUnavailable {
						unavailable++
					}
				}
				assert.True(t, q.answered, "%s not answered in %d attempts", q.path, len(q.attempts))
			}
			t.Logf("requests %d, %d of them at a target that crashed; attempts denied %d, unavailable %d", len(o.requests), hit, denied, unavailable)
			require.NotZero(t, hit)
		})
	}
}
