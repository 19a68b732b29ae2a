package command

import (
	"fmt"
	"strings"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/pistachioarch/pistachioarch/core/host"
)

type diffCommand struct {
	app  *app
	Args declarationFile `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	text, _, err := c.app.readDeclaration(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.apply(text, c.Args.File, "", true, false)
}

// difference returns a unified diff from the declaration in force to text.
func difference(current host.ConfigObject, text, name string) string {
	d := difflib.UnifiedDiff{
		A: difflib.SplitLines(current.Text), FromFile: fmt.Sprintf("version %d", current.Version),
		B: difflib.SplitLines(text), ToFile: name, Context: 2,
	}
	if current.Text == "" {
		d.A = nil
	}
	out, err := difflib.GetUnifiedDiffString(d)
	if err != nil {
		return err.Error()
	}
	return strings.TrimLeft(out, "\n")
}

type historyCommand struct{ app *app }

// version is one entry of the history; Bytes is the length of the declaration.
type version struct {
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Bytes   int    `json:"bytes"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	ctx, cancel := c.app.withTimeout()
	defer cancel()
	s, err := c.app.store()
	if err != nil {
		return err
	}
	all, err := s.History(ctx)
	if err != nil {
		return err
	}
	var versions []version
	var rows []string
	for _, o := range all {
		versions = append(versions, version{o.Version, o.Author, len(o.Text)})
		rows = append(rows, row(o.Version, o.Author, len(o.Text)))
	}
	return c.app.print(versions, "VERSION\tAUTHOR\tBYTES", rows)
}
