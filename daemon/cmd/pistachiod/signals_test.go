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

const minimalRoleSettings = `
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

// A stopping process that receives SIGHUP or SIGUSR1 must continue with its requests in flight.
// If the process does not catch the signals, they terminate the test process.
func TestSignalsDoNotTerminateStoppingProcess(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.ini")
	require.NoError(t, os.WriteFile(path, []byte(minimalRoleSettings), 0o600))
	require.Equal(t, exitOK, runRole(runEntry, []string{"--settings", path, "--check"}))

	ctx, stop := context.WithCancel(context.Background())
	r := &reloader{path: path, set: &settings.Role{}, logger: log.New(io.Discard)}
	stopped := make(chan struct{})
	go func() {
		r.run(ctx)
		close(stopped)
	}()
	stop()
	<-stopped

	delivered := make(chan os.Signal, 1)
	signal.Notify(delivered, syscall.SIGUSR2)
	defer signal.Stop(delivered)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2} {
		require.NoError(t, syscall.Kill(os.Getpid(), s))
	}
	<-delivered
}
