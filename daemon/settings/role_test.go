package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const roleText = `
[host]
name = h1
data_centre = dc1
data_folder = /data
[regions]
dc1 = north
dc2 = south
dc3 =
[listen]
address = 10.0.0.1
callers = 10.0.0.1:80
ready = 10.0.0.1:81
first_internal_port = 7380
[peers]
seeds = 10.0.0.7:8144, 10.0.1.7:8144
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
config_ms = 2500
drain_ms = 2200
[keys]
removal_strict = true
removal_ms = 5000
[quotas]
window_s = 5
overage = 0.1
slack = 20
[loads]
exchange = off
[evacuations]
bound_ms = 5000
`

func TestParseRole(t *testing.T) {
	r, err := ParseRole([]byte(roleText))
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7380", r.HistoryListen())
	require.Equal(t, map[string]string{"dc1": "north", "dc2": "south"}, r.Regions)
	require.Equal(t, 8*time.Second, r.GracePeriod)
	require.Equal(t, 3300*time.Millisecond, r.WatchTimeout())
	require.Equal(t, 800*time.Millisecond, r.RelayedWatchTimeout(), "the shorter of config_ms and drain_ms, less 0.3 s for each of three relays and 0.5 s")
	require.Equal(t, r.WatchTimeout(), r.RelayedEvacuationWatchTimeout(), "evacuations have more time")
	require.EqualValues(t, 134<<20, r.MemoryBytes)
	require.Equal(t, 2, r.ToleratedHostFaults)
	require.Equal(t, 4*time.Second, r.KeyMaxAge())
	require.Equal(t, 2*time.Second, r.UnknownMaxAge())
	require.Equal(t, 300*time.Millisecond, r.RelayedConfigWatchTimeout())
	require.Equal(t, 600*time.Millisecond, r.ConfigWatchTimeout())
	require.Equal(t, 5*time.Second, r.QuotaWindow)
	require.Equal(t, []float64{0.1, 20}, []float64{r.QuotaOverage, r.QuotaSlack})
	require.Equal(t, 5*time.Second, r.MaxEvacuationDelay)
	require.False(t, r.ExchangesLoads())
	require.Equal(t, []string{"10.0.0.7:7380", "10.0.1.7:7380"}, r.Seeds, "seeds get the port of history hosts")
}

// A relay's watch must leave time for a platform that does not reply to the relays, whatever the bound.
func TestRelayedWatchIsWithinBoundOfChanges(t *testing.T) {
	for bound, want := range map[string]time.Duration{"700": minWatchTimeout, "2000": 900 * time.Millisecond, "9000": 2300 * time.Millisecond} {
		text := strings.NewReplacer("hosts = 2", "hosts = 1", "contact_ms = 4000", "contact_ms = 3000", "config_ms = 2500", "config_ms = "+bound,
			"drain_ms = 2200", "drain_ms = "+bound, "bound_ms = 5000", "bound_ms = "+bound, "removal_strict = true", "removal_strict = false").Replace(roleText)
		r, err := ParseRole([]byte(text))
		require.NoError(t, err)
		require.Equal(t, want, r.RelayedWatchTimeout(), bound)
		require.Equal(t, want, r.RelayedConfigWatchTimeout(), bound)
		require.Equal(t, want, r.RelayedEvacuationWatchTimeout(), bound)
	}
}

func TestParseRoleReportsAllInvalidSettings(t *testing.T) {
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
[loads]
exchange = never
[timing]
grace_s = -1
contact_ms = NaN
config_ms = 0
drain_ms = soon
wait = 5
`))
	var invalid InvalidSettings
	require.True(t, errors.As(err, &invalid))
	var keys []string
	for _, f := range invalid {
		require.NotEmpty(t, f.Reason)
		keys = append(keys, f.Section+"."+f.Key)
	}
	require.ElementsMatch(t, []string{
		"host.name", "listen.address", "listen.callers", "listen.first_internal_port", "platform.address",
		"limits.memory_mb", "loads.exchange", "timing.grace_s", "timing.contact_ms", "timing.config_ms", "timing.drain_ms", "timing.wait",
	}, keys)
}

func TestReloadAppliesChangeableSettingsAndReportsTheOthers(t *testing.T) {
	r, err := ParseRole([]byte(roleText))
	require.NoError(t, err)
	same, err := ParseRole([]byte(roleText))
	require.NoError(t, err)
	require.Equal(t, Reloaded{}, r.Reload(same))

	text := strings.NewReplacer("grace_s = 8.0", "grace_s = 5", "memory_mb = 134", "memory_mb = 200", "hosts = 2", "hosts = 1", "10.9.0.1:80", "10.9.0.2:80").Replace(roleText)
	next, err := ParseRole([]byte(text + "[log]\nlevel = debug\n"))
	require.NoError(t, err)
	got := r.Reload(next)
	require.Equal(t, []string{"limits.memory_mb", "log.level"}, got.Changed)
	require.Equal(t, []string{"platform.address", "faults.hosts", "timing.grace_s"}, got.NeedRestart)
	require.Equal(t, 8*time.Second, r.GracePeriod)
	require.Equal(t, "debug", r.LogLevel)
	require.Equal(t, 2, r.ToleratedHostFaults)
	require.Equal(t, "10.9.0.1:80", r.PlatformAddress)
}

// Each setting must be either applied or reported as one that needs a restart.
func TestReloadHandlesEverySetting(t *testing.T) {
	fields := reflect.TypeOf(Role{})
	for i := range fields.NumField() {
		r, next := &Role{}, &Role{}
		v := reflect.ValueOf(next).Elem().Field(i)
		switch v.Kind() {
		case reflect.String:
			v.SetString("other")
		case reflect.Slice:
			v.Set(reflect.ValueOf([]string{"other"}))
		case reflect.Map:
			v.Set(reflect.ValueOf(map[string]string{"dc1": "other"}))
		case reflect.Float64:
			v.SetFloat(7)
		default:
			v.SetInt(7)
		}
		got := r.Reload(next)
		require.Equal(t, 1, len(got.Changed)+len(got.NeedRestart), fields.Field(i).Name)
	}
}

// The template renders optional values that a deployment does not define as empty settings.
func TestKeyAndQuotaSettingsMayBeEmpty(t *testing.T) {
	absent := strings.NewReplacer("removal_strict = true", "removal_strict = ", "removal_ms = 5000", "removal_ms =",
		"window_s = 5", "window_s =", "overage = 0.1", "overage =", "slack = 20", "slack =").Replace(roleText)
	for _, text := range []string{absent, strings.Replace(absent, "removal_strict = ", "removal_strict = false", 1)} {
		r, err := ParseRole([]byte(text))
		require.NoError(t, err)
		require.Zero(t, r.KeyMaxAge())
		require.Equal(t, r.WatchTimeout(), r.ConfigWatchTimeout())
		require.Equal(t, r.RelayedWatchTimeout(), r.RelayedConfigWatchTimeout())
		require.Zero(t, r.QuotaWindow)
	}
	for old, bad := range map[string]string{"removal_ms = 5000": "removal_ms =", "slack = 20": "slack = -1", "overage = 0.1": "overage = NaN"} {
		_, err := ParseRole([]byte(strings.Replace(roleText, old, bad, 1)))
		require.Error(t, err, bad)
	}
}
