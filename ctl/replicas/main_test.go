// Package replicas plays turns on the real client of the history hosts and on real history
// hosts, over connections in memory and on virtual time, and asks which replicas are asked,
// how long that takes when some of them fail, and what it moves between data centres.
package replicas

import (
	"os"
	"runtime"
	"testing"
	"testing/synctest"
)

// TestMain runs the tests on one processor. Timers of a testing/synctest bubble that have
// expired share one context of the race detector (runtime, unlockAndRun); two threads that
// run such timers at once corrupt it, and the detector ends the process.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// bubble runs a test on virtual time. yamux keeps timers in a pool of the process, and those
// of one bubble are of no use in the next: two collections empty the pool.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}
