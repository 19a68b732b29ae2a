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

// roleFunc runs a role until the context ends, then stops it within the grace time.
// It sets the observer's state before it serves.
type roleFunc func(ctx context.Context, set *settings.Role, o *observer) error

var roles = map[string]roleFunc{"entry": runEntry, "history": runHistory}

type roleOptions struct {
	Settings string `long:"settings" value-name:"FILE.ini" description:"settings of this role; on the users' platform it says where they are"`
	Check    bool   `long:"check" description:"check the settings and stop"`
}

const (
	// memoryShare is the part of the memory limit that the collector keeps to; the
	// rest is for stacks, sockets and the runtime.
	memoryShare = 0.75
	// gcPercent keeps the heap close to what lives in it: memory at its peak is
	// dearer than the processor time of more collections.
	gcPercent = 50
)

func runRole(role roleFunc, args []string) int {
	holdSignals()
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
		reportFaults(logger, err)
		time.Sleep(logFlush)
		return exitSettings
	}
	if opt.Check {
		logger.Info("settings are sound", "file", path)
		time.Sleep(logFlush)
		return exitOK
	}
	reload := &reloader{path: path, set: set, logger: logger}
	reload.apply()
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload.run(ctx)
	o := &observer{meter: meter.New(), sink: sink, logger: logger, state: func() any { return nil }}
	o.gauges()
	go o.dumpOnSignal(ctx)
	logger.Info("started", "host", set.Host, "data_centre", set.DataCentre, "address", set.Address)
	if err := role(ctx, set, o); err != nil {
		logger.Error("cannot run", "type", string(failure.From(err).Kind), "error", err.Error())
		time.Sleep(logFlush)
		return exitFailure
	}
	return exitOK
}

// holdSignals keeps the signals that ask a process for something from ending it, from its
// start to its end. Those who act on them begin later and leave earlier: an entry host that
// was told to reload while it drained was ended with its streams.
func holdSignals() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP, syscall.SIGUSR1)
}

// logFlush gives the last log lines time to be written before the process ends.
const logFlush = 20 * time.Millisecond

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "listen on %s", address)
	}
	return l, nil
}

// peerDialer connects to other hosts of the system and to targets. Probes and the
// user timeout end a connection through a partition in about a second.
func peerDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		Control:         tcpopt.UserTimeout(unackedLimit),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
	}
}

const (
	// connectTimeout bounds a dial: a round trip between data centres takes some
	// milliseconds; a lost SYN is sent again after a second, too late for a caller.
	connectTimeout = 250 * time.Millisecond
	// unackedLimit closes a connection whose peer has acknowledged nothing for it, so that
	// one that fell silent is found within a second of a request on it.
	unackedLimit = 900 * time.Millisecond
)
