package entry

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleConnectionIsClosedByTheNewestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 15 * time.Second
		c := newIdleConns(func() time.Duration { return limit })
		near, far := net.Pipe()
		closed := make(chan time.Time, 1)
		go func() {
			_, _ = far.Read(make([]byte, 1))
			closed <- time.Now()
		}()
		c.state(near, http.StateNew)
		c.state(near, http.StateIdle)
		time.Sleep(14 * time.Second)
		c.state(near, http.StateActive)
		time.Sleep(time.Hour)
		require.Empty(t, closed, "an active connection stays")
		limit = 30 * time.Second
		began := time.Now()
		c.state(near, http.StateIdle)
		require.Equal(t, 30*time.Second, (<-closed).Sub(began))
		c.state(near, http.StateClosed)
		require.Empty(t, c.timers)
	})
}
