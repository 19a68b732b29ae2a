package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

type declarationFile struct {
	File string `positional-arg-name:"FILE" required:"true" description:"declaration (INI)"`
}

type validateCommand struct {
	app  *app
	Args declarationFile `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	_, set, err := c.app.readDeclaration(c.Args.File)
	if err != nil {
		return err
	}
	return c.app.print(map[string]int{
		"services": len(set.Services), "targets": len(set.Targets), "callers": len(set.Callers), "rules": len(set.Rules),
	}, "SERVICES\tTARGETS\tCALLERS\tRULES", []string{row(len(set.Services), len(set.Targets), len(set.Callers), len(set.Rules))})
}

// readDeclaration reads and checks a declaration file and prints its errors, one per line.
func (a *app) readDeclaration(file string) (string, *decl.Set, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", nil, failure.Wrap(err, failure.Usage, "declaration")
	}
	set, err := decl.Parse(file, text)
	var faults decl.Faults
	if errors.As(err, &faults) {
		for _, f := range faults {
			fmt.Fprintln(a.errw, f)
		}
		return "", nil, outcomeMissed("declaration has %d errors", len(faults))
	}
	return string(text), set, err
}
