package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/daemon/entry"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/logsink"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/platform"
)

func newObserver(logger *log.Logger) *observer {
	o := &observer{meter: meter.New(), sink: logsink.New(io.Discard), logger: logger, state: func() any { return nil }}
	o.registerGauges()
	return o
}

func get(o *observer, path string) string {
	w := httptest.NewRecorder()
	o.handler().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
	return w.Body.String()
}

func TestEntryHostServesStateAndMetrics(t *testing.T) {
	logger := log.New(io.Discard)
	o := newObserver(logger)
	historyClient := quorum.New(&net.Dialer{}, "dc", logger, o.meter)
	host := entry.New(entry.Options{Headers: platform.Headers{}, History: historyClient, Dialer: &net.Dialer{}, DataCentre: "dc", Log: logger, Meter: o.meter})
	o.state = func() any { return host.State() }
	var state entry.State
	require.NoError(t, json.Unmarshal([]byte(get(o, statePath)), &state))
	require.False(t, state.Ready)
	require.Positive(t, state.MaxRequests)
	text := get(o, metricsPath)
	for _, name := range []string{"ready 0", "config_version 0", "slot_map_epoch 0", "log_lines_dropped 0", "requests_active 0"} {
		require.Contains(t, text, name+"\n")
	}
}

func TestHistoryHostServesMetrics(t *testing.T) {
	logger := log.New(io.Discard)
	o := newObserver(logger)
	server, err := history.OpenServer(history.Options{Dir: t.TempDir(), Logger: logger, Meter: o.meter})
	require.NoError(t, err)
	defer server.Close()
	text := get(o, metricsPath)
	for _, name := range []string{"programs 0", "turns_bytes 0", "slots_joining 0"} {
		require.Contains(t, text, name+"\n")
	}
}

const roleSettings = `[host]
name = h1
data_centre = dc
[listen]
address = 10.0.0.1
[platform]
address = 10.0.0.9:80
[limits]
memory_mb = 134
`

func TestReloadAppliesChangesAndIgnoresInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	write := func(text string) { require.NoError(t, os.WriteFile(path, []byte(text), 0o644)) }
	write(roleSettings)
	set, err := settings.LoadRole(path)
	require.NoError(t, err)
	var out bytes.Buffer
	r := &reloader{path: path, set: set, logger: log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter})}

	write(roleSettings + "[log]\nlevel = debug\n")
	r.reload("signal")
	require.Equal(t, log.DebugLevel, r.logger.GetLevel())
	require.Contains(t, out.String(), `"changed":["log.level"]`)

	out.Reset()
	write(strings.Replace(roleSettings, "h1", "h2", 1) + "[log]\nlevel = debug\n")
	r.reload("signal")
	require.Contains(t, out.String(), `"need_restart":["host.name"]`)

	out.Reset()
	write("[host]\nname =\n")
	r.reload("signal")
	require.Contains(t, out.String(), "settings not reloaded")
	require.Equal(t, "h1", r.set.Host)
	require.Equal(t, log.DebugLevel, r.logger.GetLevel())
}

func TestChangedFileIsDetectedByModificationTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	r := &reloader{path: path}
	require.True(t, r.modifiedAt().IsZero(), "file does not exist")
	require.NoError(t, os.WriteFile(path, nil, 0o644))
	before := r.modifiedAt()
	later := before.Add(time.Minute)
	require.NoError(t, os.Chtimes(path, later, later))
	require.False(t, r.modifiedAt().Equal(before))
}

// A watch that hangs must end within the contact window, after which its changes must be in force.
func TestWatchTimeoutsOfRelayedKindsAreWithinContactWindow(t *testing.T) {
	for _, contact := range []time.Duration{3 * time.Second, 6 * time.Second} {
		set := &settings.Role{ContactWindow: contact}
		for _, kind := range relayedKinds(set) {
			require.LessOrEqual(t, kind.WatchTimeout, contact, kind.Name)
		}
	}
}
