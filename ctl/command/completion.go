package command

import "fmt"

type completionCommand struct{ app *app }

// completionScript asks the program itself, which go-flags answers when
// GO_FLAGS_COMPLETION is set.
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
