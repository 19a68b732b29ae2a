package replicas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host whose data centre is cut off and that has one request only must know that it can
// serve no turns before its caller has come back twice, so that the balancer is told.
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
				c.net.Cut(e.ip, m.ip, true)
			}
		}
		isolatedAt := time.Now()
		readDone := make(chan struct{})
		go func() {
			defer close(readDone)
			_, _ = e.Read(t.Context(), "p", "") // fails, or is answered by what is left of the slot
		}()
		for e.IsolatedFor() == 0 && time.Since(isolatedAt) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(isolatedAt), maxDetectionDelay)
		c.net.Heal()
		<-readDone
	})
}
