package settings

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const roleText = `
[host]
name = h1
data_centre = dc1
data_folder = /data
[listen]
address = 10.0.0.1
callers = 10.0.0.1:80
ready = 10.0.0.1:81
first_internal_port = 7380
[platform]
address = 10.9.0.1:80
[limits]
memory_mb = 134
descriptors = 4100
[faults]
hosts = 2
[timing]
grace_s = 8.0
contact_ms = 4000
`

func TestRoleIsRead(t *testing.T) {
	r, err := ParseRole([]byte(roleText))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7380", r.HistoryListen())
	require.Equal(t, 8*time.Second, r.Grace)
	require.Equal(t, 3300*time.Millisecond, r.WatchFor())
	require.EqualValues(t, 134<<20, r.MemoryBytes)
	require.Equal(t, 2, r.FaultHosts)
}

func TestAllFaultsOfARoleAreReportedAtOnce(t *testing.T) {
	_, err := ParseRole([]byte(`
[host]
data_centre = dc1
[listen]
address = localhost
callers = 80
first_internal_port = 99999
[platform]
address = here
[limits]
memory_mb = none
[timing]
grace_s = -1
contact_ms = NaN
wait = 5
`))
	var faults Faults
	require.True(t, errors.As(err, &faults))
	var keys []string
	for _, f := range faults {
		require.NotEmpty(t, f.Reason)
		keys = append(keys, f.Section+"."+f.Key)
	}
	require.ElementsMatch(t, []string{
		"host.name", "listen.address", "listen.callers", "listen.first_internal_port", "platform.address",
		"limits.memory_mb", "timing.grace_s", "timing.contact_ms", "timing.wait",
	}, keys)
}
