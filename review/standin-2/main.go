// Command drill plays the scripts of the second review: it starts the project's roles as processes
// on loopback addresses, with stand-ins of the platform's store, engines and clients in itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: drill CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// play plays one case and reports whether the rule was broken.
type play func(c *cluster, trouble bool) (broken bool, err error)

var cases = map[string]play{}

func run(p play, recordPath string) int {
	record, err := openRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		record.say("%v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		record.say("folder %s", folder)
	}
	c := &cluster{folder: folder, record: record}
	defer c.stopAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		c.stopAll()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := p(c, trouble)
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		return exitNotRun
	case broken:
		record.say("RULE BROKEN (disruption: %t)", trouble)
		return exitBroken
	}
	record.say("rule held (disruption: %t)", trouble)
	return exitHeld
}
