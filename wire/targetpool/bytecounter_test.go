package targetpool

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// The bytes on a reused connection must be added to the counter of the current request, not
// to that of the previous one.
func TestBytesAreCountedForTheCurrentRequest(t *testing.T) {
	s := serve(t, answer("1", "one"), answer("2", "three"))
	p := New(&net.Dialer{})
	defer p.Close()
	var first, second ByteCounter
	for _, x := range []struct {
		id    string
		bytes *ByteCounter
	}{{"1", &first}, {"2", &second}} {
		r := s.request(x.id)
		r.Bytes = x.bytes
		_, err := roundTrip(t, p, r)
		require.NoError(t, err)
	}
	require.Equal(t, 1, s.opened())
	require.EqualValues(t, len(answer("1", "one")), first.Received())
	require.EqualValues(t, len(answer("2", "three")), second.Received())
	require.Equal(t, first.Sent(), second.Sent())
	require.Positive(t, first.Sent())
}
