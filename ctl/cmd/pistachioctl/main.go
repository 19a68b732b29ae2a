// Command pistachioctl operates pistachioarch; package command documents it.
package main

import (
	"os"

	"github.com/pistachioarch/pistachioarch/ctl/command"
)

func main() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) }
