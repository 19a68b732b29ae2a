// Command standin plays one case of the review: it starts the project's programs as separate processes on
// loopback addresses, with stand-ins of the platform's store, of engines and of clients. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseFunc plays a case. trouble is false for the run without the disruption.
type caseFunc func(c *cluster, rec *record, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{"chain": playChain, "unsigned": playUnsigned, "large": playLarge, "endless": playEndless, "replaced": playReplaced}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	c, err := newCluster(rec)
	if err != nil {
		rec.say("could not run: %v", err)
		return exitNotRun
	}
	defer c.close()
	c.store.put("config", "main", config())
	broken, err := cases[os.Args[1]](c, rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

// startSystem starts engines and processes and waits until the system serves.
func startSystem(c *cluster, engines []*engine) error {
	for i, e := range engines {
		if err := e.start(fmt.Sprintf("%s.%d", c.prefix, 120+i), c.store); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(time.Second)
	return nil
}
