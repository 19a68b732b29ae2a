package command

import "fmt"

type completionCommand struct{ app *app }

// completionScript runs the program with GO_FLAGS_COMPLETION set, which makes go-flags print the
// completions.
const completionScript = `_pistachioctl() {
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
}
complete -o default -F _pistachioctl pistachioctl
`

// Execute implements flags.Commander.
func (c *completionCommand) Execute([]string) error {
	fmt.Fprint(c.app.out, completionScript)
	return nil
}
