package replicas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host in an isolated data centre must detect that it can serve no turns before its caller
// has retried twice, even if that caller's request is its only one, so that the load balancer
// is notified.
func TestHostWithFewRequestsDetectsIsolation(t *testing.T) {
	const maxDetectionDelay = 800 * time.Millisecond
	runInBubble(t, func(t *testing.T) {
		c := newCluster(t, 2, tenMembers...)
		defer c.close()
		e := c.startEntryHost("d")
		c.warmUp(e)
		time.Sleep(500 * time.Millisecond)
		for _, m := range c.members {
			if m.dataCentre != "d" {
				c.net.SetPartitioned(e.ip, m.ip, true)
			}
		}
		isolatedAt := time.Now()
		readDone := make(chan struct{})
		go func() {
			defer close(readDone)
			_, _ = e.Read(t.Context(), "p", "") // fails, or the reachable replicas of the slot answer
		}()
		for e.IsolatedFor() == 0 && time.Since(isolatedAt) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(isolatedAt), maxDetectionDelay)
		c.net.Heal()
		<-readDone
	})
}
