package command

import "github.com/pistachioarch/pistachioarch/core/failure"

type replayCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	return failure.New(failure.Usage, "replay is not built yet")
}
