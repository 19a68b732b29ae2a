package command

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/ctl/load"
	"github.com/pistachioarch/pistachioarch/wire/httpclient"
)

type loadCommand struct {
	app          *app
	Name         string        `long:"name" default:"load" description:"name at the start of the summary line"`
	CallerHosts  []string      `long:"caller-host" required:"true" value-name:"IP:PORT" description:"callers' address of an entry host; may be given several times"`
	Plan         string        `long:"plan" required:"true" value-name:"FILE.ini" description:"kinds of programs"`
	Declaration  string        `long:"declaration" value-name:"FILE.ini" description:"declaration whose stand-ins are checked at the end"`
	Programs     int           `long:"programs" default:"20" description:"programs to run"`
	Parallel     int           `long:"parallel" default:"10" description:"programs that run at the same time"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of all choices, and part of the program keys"`
	RetryTimeout time.Duration `long:"patience" default:"45s" description:"time limit for retries of one call"`
	Progress     string        `long:"progress-file" description:"file to which a line is written for each program"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	kinds, err := load.ReadKinds(c.Plan)
	if err != nil {
		return err
	}
	plan := load.Plan{
		Hosts: c.CallerHosts, Kinds: kinds, Programs: c.Programs, Parallel: c.Parallel, Seed: c.Seed, RetryTimeout: c.RetryTimeout,
		Client: httpclient.New(&http.Transport{MaxIdleConnsPerHost: c.Parallel}),
	}
	if err := c.addStandins(&plan); err != nil {
		return err
	}
	progress, err := c.openProgress()
	if err != nil {
		return err
	}
	defer func() { _ = progress.Close() }() // nothing to handle: the file only reports progress
	plan.Progress = func(done int, r load.ProgramResult) {
		line := fmt.Sprintf("program %s kind=%s calls=%d answered=%d not_run=%d unknown=%d ms=%d",
			r.Program, r.Kind, r.Calls, r.Answered, r.NotRun, r.Unknown, r.Duration.Milliseconds())
		fmt.Fprintln(progress, line)
		c.app.progress("%d of %d programs", done, c.Programs)
	}
	report, err := load.Run(c.app.ctx, plan)
	c.app.endProgress()
	if err != nil {
		return err
	}
	return c.print(report)
}

// openProgress opens the progress file, or standard output if none is given.
func (c *loadCommand) openProgress() (*os.File, error) {
	if c.Progress == "" {
		return os.NewFile(uintptr(1), "stdout"), nil
	}
	f, err := os.Create(c.Progress)
	return f, failure.Wrap(err, failure.Usage, "progress file")
}

func (c *loadCommand) print(r *load.Report) error {
	for _, v := range r.Violations {
		fmt.Fprintln(c.app.errw, "violation:", v)
	}
	if c.app.globals.Output == "json" {
		if err := c.app.print(r, "", nil); err != nil {
			return err
		}
	} else {
		fmt.Fprintln(c.app.out, r.Summary(c.Name))
	}
	if len(r.Violations) > 0 {
		return outcomeMissed("%d violations", len(r.Violations))
	}
	return nil
}

// addStandins adds the targets of the declaration to the stand-ins that the plan checks.
func (c *loadCommand) addStandins(plan *load.Plan) error {
	if c.Declaration == "" {
		return nil
	}
	_, set, err := c.app.readDeclaration(c.Declaration)
	if err != nil {
		return err
	}
	for _, t := range set.Targets {
		url := strings.TrimSuffix(t.URL, "/")
		if set.Services[t.Service].Kind == decl.Engine {
			plan.Engines = append(plan.Engines, url)
		} else {
			plan.OrderServices = append(plan.OrderServices, url)
		}
	}
	return nil
}
