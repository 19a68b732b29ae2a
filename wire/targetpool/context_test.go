package targetpool

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
)

// A request whose context has ended before it is sent must reach no target, and the failure
// must say that it did not run.
func TestRequestWithEndedContextIsNotSent(t *testing.T) {
	for range 20 {
		s := serve(t, answer("1", "one"), answer("2", "two"))
		p := New(&net.Dialer{})
		_, err := roundTrip(t, p, s.request("1"))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = p.Do(ctx, s.request("2"), decode)
		require.Equal(t, failure.CallerGone, failure.From(err).Kind)
		require.Equal(t, failure.RanNo, failure.From(err).Ran)
		p.Close()
	}
}
