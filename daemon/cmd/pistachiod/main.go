// Command pistachiod runs one host of the system.
//
//	pistachiod --settings FILE.ini     runs a host that owns programs
//	pistachiod entry|history [...]     runs one role on the users' platform
//
// Exit codes: 0 after a graceful stop, 1 on a runtime failure, 2 on invalid
// settings or an invalid command line.
package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/daemon/node"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
)

const (
	exitOK       = 0
	exitFailure  = 1
	exitSettings = 2
)

// options are the command-line options of a host that owns programs.
type options struct {
	Settings string `long:"settings" value-name:"FILE.ini" required:"true" description:"settings file of this host"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

// run runs a role, if the first argument names one, or else a host that owns programs. It returns
// the exit code.
func run(args []string) int {
	if len(args) > 0 {
		if role, ok := roles[args[0]]; ok {
			return runRole(role, args[1:])
		}
	}
	var opt options
	if _, err := flags.NewParser(&opt, flags.Default).ParseArgs(args); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return exitOK
		}
		return exitSettings
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	set, err := settings.Load(opt.Settings)
	if err != nil {
		logSettingsError(logger, err)
		return exitSettings
	}
	if opt.Check {
		logger.Info("settings are valid", "file", opt.Settings)
		return exitOK
	}
	if level, err := log.ParseLevel(set.LogLevel); err == nil {
		logger.SetLevel(level)
	}
	if err := serve(set, logger); err != nil {
		logger.Error("cannot run", "type", string(failure.From(err).Kind), "error", err.Error())
		return exitFailure
	}
	return exitOK
}

// logSettingsError logs each invalid setting, or the error itself if it is of another kind.
func logSettingsError(logger *log.Logger, err error) {
	var invalid settings.InvalidSettings
	if !errors.As(err, &invalid) {
		logger.Error("settings not loaded", "error", err.Error())
		return
	}
	for _, s := range invalid {
		logger.Error("invalid setting", "section", s.Section, "key", s.Key, "reason", s.Reason)
	}
}

// serve runs the host until it has drained after a signal or an operator's request.
func serve(set *settings.Settings, logger *log.Logger) error {
	opt := node.Options{Settings: set, Log: logger, Dialer: &net.Dialer{Timeout: 2 * time.Second}}
	var err error
	if opt.PeerTLS, err = peerTLS(set); err != nil {
		return err
	}
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{{&opt.Callers, set.CallerListen}, {&opt.Operators, set.OperatorListen}, {&opt.Peers, set.PeerListen}} {
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			return failure.Wrap(err, failure.InvalidSetting, "listen on %s", l.address)
		}
	}
	n, err := node.New(opt)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	n.Start()
	ended := make(chan error, 1)
	draining := false
	drain := func() {
		draining = true
		go func() { ended <- n.Drain(context.Background()) }()
	}
	drained := n.Drained()
	for {
		select {
		case err := <-ended:
			return err
		case <-drained:
			drained = nil
			if !draining {
				drain()
			}
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				dump(n, logger)
				continue
			}
			if draining {
				logger.Warn("already draining; requests are in flight", "status", n.Status())
				continue
			}
			drain()
		}
	}
}

// dump writes the state as one JSON line to standard output.
func dump(n *node.Node, logger *log.Logger) {
	if err := json.NewEncoder(os.Stdout).Encode(n.Dump()); err != nil {
		logger.Error("state not dumped", "error", err.Error())
	}
}

// peerTLS returns the configuration of mutual TLS between hosts; nil if no certificate is set.
func peerTLS(set *settings.Settings) (*tls.Config, error) {
	if set.PeerCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(set.PeerCert, set.PeerKey)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "peers.tls_cert")
	}
	ca, err := os.ReadFile(set.PeerCA)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSetting, "peers.tls_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, failure.New(failure.InvalidSetting, "peers.tls_ca holds no certificate")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
