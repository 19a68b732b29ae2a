package main

import (
	"context"
	"errors"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/daemon/logsink"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/platform"
	"github.com/pistachioarch/pistachioarch/wire/tcpopt"
)

// roleFunc runs a role until ctx ends, then stops it within the grace period. It sets the
// observer's state function before it serves requests.
type roleFunc func(ctx context.Context, set *settings.Role, o *observer) error

// roles maps the first command-line argument to its role.
var roles = map[string]roleFunc{"entry": runEntry, "history": runHistory}

// roleOptions are the command-line options of a role.
type roleOptions struct {
	Settings string `long:"settings" value-name:"FILE.ini" description:"settings file of this role; by default the one that the users' platform provides"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

const (
	// memoryLimitFraction is the fraction of the role's memory limit that is set as the limit of
	// the garbage collector; the rest is for stacks, sockets and the runtime.
	memoryLimitFraction = 0.75
	// gcPercent is the growth of the heap that starts a collection, in percent of the live heap.
	// It is small because peak memory costs more than the CPU time of additional collections.
	gcPercent = 50
)

// runRole runs a role with its command-line arguments and returns the exit code.
func runRole(role roleFunc, args []string) int {
	catchSignals()
	var opt roleOptions
	if _, err := flags.NewParser(&opt, flags.Default).ParseArgs(args); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	sink := logsink.New(os.Stdout)
	logger := log.NewWithOptions(sink, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	path := opt.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	set, err := settings.LoadRole(path)
	if err != nil {
		logSettingsError(logger, err)
		time.Sleep(logFlushDelay)
		return exitSettings
	}
	if opt.Check {
		logger.Info("settings are valid", "file", path)
		time.Sleep(logFlushDelay)
		return exitOK
	}
	reload := &reloader{path: path, set: set, logger: logger}
	reload.apply()
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload.run(ctx)
	o := &observer{meter: meter.New(), sink: sink, logger: logger, state: func() any { return nil }}
	o.registerGauges()
	go o.dumpOnSignal(ctx)
	logger.Info("started", "host", set.Host, "data_centre", set.DataCentre, "address", set.Address)
	if err := role(ctx, set, o); err != nil {
		logger.Error("cannot run", "type", string(failure.From(err).Kind), "error", err.Error())
		time.Sleep(logFlushDelay)
		return exitFailure
	}
	return exitOK
}

// catchSignals prevents SIGHUP and SIGUSR1 from terminating the process at any time. Their
// handlers start later and stop earlier than the process: without catchSignals, an entry host that
// received SIGHUP while it drained was terminated together with its streams.
func catchSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGUSR1)
}

// logFlushDelay is the time for the last log lines to be written before the process exits.
const logFlushDelay = 20 * time.Millisecond

// listen opens a TCP listener; its error is a Failure of kind InvalidSetting.
func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "listen on %s", address)
	}
	return l, nil
}

// peerDialer returns the dialer for other hosts of the system and for targets. Keep-alive probes
// and the TCP user timeout close a connection across a partition within about a second.
func peerDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		Control:         tcpopt.UserTimeout(userTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
	}
}

const (
	// connectTimeout bounds a dial: a round trip between data centres takes some milliseconds,
	// and a lost SYN is retransmitted after a second, too late for a caller.
	connectTimeout = 250 * time.Millisecond
	// userTimeout closes a connection on which sent data stays unacknowledged for this long, so
	// that a silent peer is detected within a second of a request.
	userTimeout = 900 * time.Millisecond
)
