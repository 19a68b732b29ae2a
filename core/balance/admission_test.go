package balance

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAdmissionFollowsFromTheLimits(t *testing.T) {
	require.Equal(t, 571, NewAdmission(134<<20, 4100).Limit())
	require.Equal(t, 100, NewAdmission(1<<30, 300).Limit(), "descriptors bind")
	require.Equal(t, leastRequests, NewAdmission(1<<20, 0).Limit())
	a := NewAdmission(0, 60)
	for range 20 {
		require.True(t, a.Enter())
	}
	require.False(t, a.Enter())
	a.Leave()
	require.True(t, a.Enter())
	require.Equal(t, 20, a.Active())
}
