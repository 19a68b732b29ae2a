// Package replicas tests the client of the history hosts together with real history hosts, over
// in-memory connections and in virtual time: which replicas a call asks, how long calls take
// when replicas fail, and how many bytes turns transfer between data centres.
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

// runInBubble runs a test in a synctest bubble, in virtual time. yamux keeps timers in a
// process-wide sync.Pool, and timers of one bubble are unusable in the next: two garbage
// collections empty the pool.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(t, test)
}
