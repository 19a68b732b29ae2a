package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A service has a lone version only if no other one was listed, or can have been missed, for the whole time.
func TestVersionLogKnowsLoneVersion(t *testing.T) {
	const age = time.Minute
	l := &VersionLog{}
	_, ok := l.Lone("s", 0, 0)
	require.False(t, ok)
	l.Observe("s", []string{"v1"}, 0)
	l.Observe("s", []string{"v1"}, 50*time.Second)
	l.Observe("s", nil, 55*time.Second)
	for now, want := range map[time.Duration]bool{age - 1: false, age: true} {
		version, ok := l.Lone("s", age, now)
		require.Equal(t, want, ok)
		require.Equal(t, "v1", version)
	}
	l.Restart(2 * age)
	_, ok = l.Lone("s", age, 3*age-1)
	require.False(t, ok, "versions may have been missed")
	l.Observe("s", []string{"v1", "v2"}, 4*age)
	_, ok = l.Lone("s", 0, 9*age)
	require.False(t, ok, "several versions")
	l.Observe("s", []string{"v2"}, 10*age)
	_, ok = l.Lone("s", age, 11*age-1)
	require.False(t, ok, "the other version has just left")
	version, ok := l.Lone("s", age, 11*age)
	require.True(t, ok)
	require.Equal(t, "v2", version)
}
