package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/daemon/settings"
)

const checkedRole = `
[host]
name = h1
data_centre = dc1
[listen]
address = 10.0.0.1
callers = 10.0.0.1:80
ready = 10.0.0.1:81
first_internal_port = 7380
[platform]
address = 10.9.0.1:80
`

// A process that stops is asked to reload and to dump its state: it goes on answering the
// requests that it has. Without anybody who holds the signals they end this test's process.
func TestSignalsDoNotEndAProcessThatStops(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(checkedRole), 0o600))
	require.Equal(t, exitOK, runRole(runEntry, []string{"--settings", path, "--check"}))

	ctx, stop := context.WithCancel(context.Background())
	r := &reloader{path: path, set: &settings.Role{}, logger: log.New(io.Discard)}
	left := make(chan struct{})
	go func() {
		r.run(ctx)
		close(left)
	}()
	stop()
	<-left

	after := make(chan os.Signal, 1)
	signal.Notify(after, syscall.SIGUSR2)
	defer signal.Stop(after)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2} {
		require.NoError(t, syscall.Kill(os.Getpid(), s))
	}
	<-after
}
