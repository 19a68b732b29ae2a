package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/daemon/settings"
)

// fileCheckInterval is the interval between checks of the settings file, which may change without
// a signal.
const fileCheckInterval = 5 * time.Second

// reloader reloads a role's settings when their file changes.
type reloader struct {
	path   string
	set    *settings.Role
	logger *log.Logger
}

// apply applies the settings of the process: memory limit and log level.
func (r *reloader) apply() {
	if r.set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(r.set.MemoryBytes)))
	}
	if level, err := log.ParseLevel(r.set.LogLevel); err == nil {
		r.logger.SetLevel(level)
	}
}

// run reloads the settings on SIGHUP and when the file has changed, until ctx ends.
func (r *reloader) run(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	tick := time.NewTicker(fileCheckInterval)
	defer tick.Stop()
	lastModified := r.modifiedAt()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			lastModified = r.modifiedAt()
			r.reload("signal")
		case <-tick.C:
			if now := r.modifiedAt(); !now.Equal(lastModified) {
				lastModified = now
				r.reload("file changed")
			}
		}
	}
}

// modifiedAt returns the modification time of the file; zero if it is not known.
func (r *reloader) modifiedAt() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that can change at run time. Invalid settings change nothing.
func (r *reloader) reload(cause string) {
	next, err := settings.LoadRole(r.path)
	if err != nil {
		r.logger.Error("settings not reloaded", "cause", cause, "error", err.Error())
		return
	}
	result := r.set.Reload(next)
	r.apply()
	r.logger.Info("settings reloaded", "cause", cause, "changed", result.Changed, "need_restart", result.NeedRestart)
}
