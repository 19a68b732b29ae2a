// Package command implements the subcommands of pistachioctl.
//
// Exit codes: 0 success; 1 failure; 2 invalid command line; 3 an expected outcome was missed, or a
// declaration is invalid; 4 another operator was faster.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/mattn/go-isatty"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/ctl/store"
	"github.com/pistachioarch/pistachioarch/wire/api"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
	"github.com/pistachioarch/pistachioarch/wire/platform"
)

// Exit codes of pistachioctl.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitOutcome  = 3
	ExitConflict = 4
)

// Globals are the options common to all subcommands.
type Globals struct {
	Output        string        `long:"output" choice:"table" choice:"json" default:"table" description:"output format"`
	Platform      string        `long:"platform" env:"PISTACHIO_PLATFORM" value-name:"URL" description:"platform's object API"`
	PlatformToken string        `long:"platform-token" env:"PISTACHIO_PLATFORM_TOKEN" description:"bearer token for the platform"`
	Hosts         []string      `long:"host" env:"PISTACHIO_HOSTS" env-delim:"," value-name:"IP:PORT" description:"operators' address of a host; may be given several times"`
	Token         string        `long:"token" env:"PISTACHIO_TOKEN" description:"operators' bearer token"`
	Timeout       time.Duration `long:"timeout" default:"30s" description:"time limit of a command"`
}

// app holds the state shared by the subcommands.
type app struct {
	globals *Globals
	out     io.Writer
	errw    io.Writer
	ctx     context.Context
	http    *http.Client
}

// subcommand describes one subcommand.
type subcommand struct {
	name, short, long string
	data              any
}

// Main runs pistachioctl and returns its exit code.
func Main(args []string, out, errw io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	a := &app{globals: &Globals{}, out: out, errw: errw, ctx: ctx, http: httpclient.New(http.DefaultTransport.(*http.Transport).Clone())}
	p := flags.NewNamedParser("pistachioctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Operates pistachioarch: declarations, hosts, stand-ins, load and replay.\n" +
		"Exit codes: 0 success, 1 failure, 2 invalid command line, 3 an expected outcome was missed or a declaration is invalid, 4 another operator was faster."
	if _, err := p.AddGroup("Global options", "", a.globals); err != nil {
		return a.report(err)
	}
	for _, c := range a.subcommands() {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return a.report(err)
		}
	}
	if err := a.addStandins(p); err != nil {
		return a.report(err)
	}
	_, err := p.ParseArgs(args)
	return a.report(err)
}

func (a *app) subcommands() []subcommand {
	return []subcommand{
		{"validate", "Check a declaration", "Checks a declaration file and prints every error with file and line.\n\nExample: pistachioctl validate examples/both.ini", &validateCommand{app: a}},
		{"apply", "Put a declaration in force", "Checks a declaration and puts it in force by conditional update. If another operator was faster nothing is changed, the difference is shown and the exit code is 4.\n\nExample: pistachioctl apply --wait examples/both.ini", &applyCommand{app: a}},
		{"diff", "Compare a file with the declaration in force", "Prints what apply would change.\n\nExample: pistachioctl diff examples/both.ini", &diffCommand{app: a}},
		{"history", "List the declarations so far", "Lists all accepted declarations, newest first.\n\nExample: pistachioctl history --output json", &historyCommand{app: a}},
		{"rollback", "Put an earlier declaration in force again", "Applies the text of an earlier version as a new version.\n\nExample: pistachioctl rollback --to 4 --wait", &rollbackCommand{app: a}},
		{"status", "Show the hosts", "Prints a summary of the state of each --host.\n\nExample: pistachioctl --host 10.0.0.1:7001 status", &statusCommand{app: a}},
		{"dump", "Dump the state of the hosts", "Prints the whole state of each --host as JSON.\n\nExample: pistachioctl --host 10.0.0.1:7001 dump", &dumpCommand{app: a}},
		{"quotas", "Show remaining quotas", "Prints the parts of customers' quotas that each --host holds; hosts are history hosts, by metrics address.\n\nExample: pistachioctl --host 10.0.1.1:9464 quotas --customer crew-3", &quotasCommand{app: a}},
		{"inspect", "Show entry and history roles", "Prints the state or the metrics of each --host, by metrics address.\n\nExample: pistachioctl --host 10.0.0.1:9464 inspect", &inspectCommand{app: a}},
		{"drain", "Stop hosts gracefully", "Tells each --host to hand its programs over and stop, and waits until it has.\n\nExample: pistachioctl --host 10.0.0.1:7001 drain", &drainCommand{app: a}},
		{"load", "Run agent programs and check their answers", "Runs programs against entry hosts and checks answers, order, repeats and cache.\n\nExample: pistachioctl load --caller-host 10.0.0.1:7000 --plan examples/load.ini", &loadCommand{app: a}},
		{"replay", "Replay a recorded trace under scheduling policies", "Replays a trace on virtual time with the decision code of the daemon, and checks the expected outcome stored with it.\n\nExample: pistachioctl replay --trace traces/mizuchi-busy.jsonl --policy all", &replayCommand{app: a}},
		{"completion", "Print shell completion", "Prints a completion script for bash.\n\nExample: source <(pistachioctl completion)", &completionCommand{app: a}},
	}
}

// outcomeError marks an error that has its own exit code.
type outcomeError struct {
	code int
	err  error
}

// Error implements error.
func (o *outcomeError) Error() string { return o.err.Error() }

// outcomeMissed returns an error with exit code ExitOutcome.
func outcomeMissed(format string, args ...any) error {
	return &outcomeError{code: ExitOutcome, err: failure.New(failure.OutcomeMissed, format, args...)}
}

// report prints an error and returns the exit code.
func (a *app) report(err error) int {
	var fe *flags.Error
	var oe *outcomeError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(a.out, fe.Message)
		return ExitOK
	case errors.As(err, &fe):
		fmt.Fprintln(a.errw, fe.Message)
		return ExitUsage
	case errors.As(err, &oe):
		fmt.Fprintln(a.errw, oe.Error())
		return oe.code
	}
	fmt.Fprintln(a.errw, failure.From(err).Error())
	switch failure.From(err).Kind {
	case failure.Usage:
		return ExitUsage
	case failure.Conflict:
		return ExitConflict
	}
	return ExitFailure
}

// withTimeout returns a context that ends after the --timeout option.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.globals.Timeout)
}

func (a *app) store() (*store.Store, error) {
	if a.globals.Platform == "" {
		return nil, failure.New(failure.Usage, "--platform (or PISTACHIO_PLATFORM) is needed")
	}
	return store.New(platform.New(a.http, a.globals.Platform, a.globals.PlatformToken)), nil
}

func (a *app) operatorHosts() ([]string, error) {
	if len(a.globals.Hosts) == 0 {
		return nil, failure.New(failure.Usage, "at least one --host (or PISTACHIO_HOSTS) is needed")
	}
	return a.globals.Hosts, nil
}

func (a *app) operatorClient(host string) *api.Client {
	return api.NewClient(a.http, "http://"+host, a.globals.Token)
}

// print writes v as JSON or rows as a table, depending on the --output option.
func (a *app) print(v any, header string, rows []string) error {
	if a.globals.Output == "json" {
		e := json.NewEncoder(a.out)
		e.SetIndent("", "  ")
		return failure.Wrap(e.Encode(v), failure.Internal, "output")
	}
	t := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, header)
	for _, row := range rows {
		fmt.Fprintln(t, row)
	}
	return failure.Wrap(t.Flush(), failure.Internal, "output")
}

// row joins cells with tabs.
func row(cells ...any) string {
	s := make([]string, len(cells))
	for i, c := range cells {
		s[i] = fmt.Sprint(c)
	}
	return strings.Join(s, "\t")
}

// progress shows a progress line if standard error is a terminal.
func (a *app) progress(format string, args ...any) {
	f, ok := a.errw.(*os.File)
	if ok && isatty.IsTerminal(f.Fd()) {
		fmt.Fprintf(a.errw, "\r\033[K"+format, args...)
	}
}

func (a *app) endProgress() { a.progress("") }
