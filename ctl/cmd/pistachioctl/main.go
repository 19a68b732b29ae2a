// Command pistachioctl operates pistachioarch; package command has the details.
package main

import (
	"os"

	"github.com/pistachioarch/pistachioarch/ctl/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
