package replicas

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host whose data centre is cut off and that has one request only must know that it can
// serve no turns before its caller has come back twice, so that the balancer is told.
func TestACutIsNoticedByAHostWithFewRequests(t *testing.T) {
	const noticed = 800 * time.Millisecond
	bubble(t, func(t *testing.T) {
		f := newFleet(t, 2, grown...)
		defer f.close()
		e := f.entry("d")
		f.warm(e)
		time.Sleep(500 * time.Millisecond)
		for _, m := range f.members {
			if m.dataCentre != "d" {
				f.net.Cut(e.place, m.place, true)
			}
		}
		cut := time.Now()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = e.Read(t.Context(), "p", "") // fails, or is answered by what is left of the slot
		}()
		for e.IsolatedFor() == 0 && time.Since(cut) < 5*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		require.Less(t, time.Since(cut), noticed)
		f.net.Heal()
		<-ended
	})
}
