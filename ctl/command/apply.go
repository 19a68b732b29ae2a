package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/daemon/node"
)

type applyCommand struct {
	app    *app
	DryRun bool            `long:"dry-run" description:"show the difference without applying it"`
	Wait   bool            `long:"wait" description:"wait until each --host has the change in force"`
	Author string          `long:"author" env:"USER" description:"who applies it"`
	Args   declarationFile `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	text, _, err := c.app.readDeclaration(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.apply(text, c.Args.File, c.Author, c.DryRun, c.Wait)
}

// apply puts a declaration in force and, if wait is set, waits until the hosts report it.
func (a *app) apply(text, name, author string, dryRun, wait bool) error {
	ctx, cancel := a.withTimeout()
	defer cancel()
	s, err := a.store()
	if err != nil {
		return err
	}
	current, objectVersion, err := s.Current(ctx)
	if err != nil {
		return err
	}
	if dryRun {
		fmt.Fprint(a.out, difference(current, text, name))
		return nil
	}
	applied, err := s.Apply(ctx, text, author, current, objectVersion)
	if failure.Is(err, failure.Conflict) {
		if now, _, readErr := s.Current(ctx); readErr == nil {
			fmt.Fprint(a.out, difference(now, text, name))
		}
		return err
	}
	if err != nil {
		return err
	}
	if wait {
		if err := a.waitForVersion(ctx, applied.Version); err != nil {
			return err
		}
	}
	return a.print(map[string]uint64{"version": applied.Version}, "VERSION", []string{row(applied.Version)})
}

// statusPollInterval is the interval between status requests to the hosts.
const statusPollInterval = 100 * time.Millisecond

// waitForVersion waits until all hosts report a version of the declaration, or a later one.
func (a *app) waitForVersion(ctx context.Context, version uint64) error {
	hosts, err := a.operatorHosts()
	if err != nil {
		return err
	}
	defer a.endProgress()
	for {
		pendingHost := ""
		ready := 0
		for _, h := range hosts {
			var st node.Status
			err := a.operatorClient(h).Operate(ctx, "GET", "v1/status", &st)
			if err == nil && st.ConfigVersion >= version {
				ready++
				continue
			}
			pendingHost = h
		}
		if pendingHost == "" {
			return nil
		}
		a.progress("version %d in force on %d of %d hosts", version, ready, len(hosts))
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return outcomeMissed("version %d is accepted, but %s does not report it yet", version, pendingHost)
		}
	}
}

type rollbackCommand struct {
	app  *app
	To   uint64 `long:"to" required:"true" description:"version whose text is applied again"`
	Wait bool   `long:"wait" description:"wait until each --host has the change in force"`
}

// Execute implements flags.Commander.
func (c *rollbackCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	s, err := c.app.store()
	if err != nil {
		return err
	}
	o, err := s.Version(ctx, c.To)
	if err != nil {
		return err
	}
	return c.app.apply(o.Text, fmt.Sprintf("version %d", c.To), os.Getenv("USER"), false, c.Wait)
}
