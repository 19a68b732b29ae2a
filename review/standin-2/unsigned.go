package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["unsigned"] = unsigned }

// garbleEvery is one answer in fifty, 0.02.
const garbleEvery = 50

// unsigned: one engine of four spoils a fiftieth of its answers by one wrong byte, for 5 s: they are
// successes without a signature.
func unsigned(c *cluster, trouble bool) (bool, error) {
	if err := c.startSmall(); err != nil {
		return false, err
	}
	if trouble {
		c.engines[0].garble.Store(garbleEvery)
		time.AfterFunc(5*time.Second, func() { c.engines[0].garble.Store(0) })
	}
	var mu sync.Mutex
	counts := map[string]int{}
	unsigned := 0
	var group sync.WaitGroup
	end := time.Now().Add(5 * time.Second)
	for range 16 {
		group.Go(func() {
			for time.Now().Before(end) {
				t := turn{
					id: newID(), program: fmt.Sprintf("%06x", rand.Uint32()>>8), input: "where do we dig?\n",
					budget: 2000, maxTokens: engineEvents * chunkTokens, deadline: 4 * time.Second,
				}
				r := t.send(c.entryAddress(rand.IntN(2)), routeHost, routePath, c.record)
				mu.Lock()
				counts[r.String()]++
				if r.status >= 200 && r.status < 300 && !r.signed {
					unsigned++
					c.record.printf("MIXED: turn %s got a success without the engine's signature: %s", t.id, r)
					if r.status == http.StatusOK && r.whole {
						counts["unsigned, and ended as whole"]++
					}
				}
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	c.record.say("answers: %v", counts)
	c.record.say("%d successes without a signature", unsigned)
	return unsigned > 0, nil
}
