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

// lookEvery is how often the settings file is looked at: it may change without a
// signal.
const lookEvery = 5 * time.Second

// reloader keeps a role's settings as its file says.
type reloader struct {
	path   string
	set    *settings.Role
	logger *log.Logger
}

// apply puts in force what the process itself holds of the settings.
func (r *reloader) apply() {
	if r.set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(r.set.MemoryBytes)))
	}
	if level, err := log.ParseLevel(r.set.LogLevel); err == nil {
		r.logger.SetLevel(level)
	}
}

// run reads the settings anew at each SIGHUP and when the file has changed.
func (r *reloader) run(ctx context.Context) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	defer signal.Stop(asked)
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	seen := r.modified()
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			seen = r.modified()
			r.reload("signal")
		case <-tick.C:
			if now := r.modified(); !now.Equal(seen) {
				seen = now
				r.reload("file changed")
			}
		}
	}
}

// modified is when the file was written last; zero if it cannot be told.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes what can change. Settings with faults change nothing.
func (r *reloader) reload(cause string) {
	next, err := settings.LoadRole(r.path)
	if err != nil {
		r.logger.Error("settings not reloaded", "cause", cause, "error", err.Error())
		return
	}
	got := r.set.Reload(next)
	r.apply()
	r.logger.Info("settings reloaded", "cause", cause, "changed", got.Changed, "need_restart", got.NeedRestart)
}
