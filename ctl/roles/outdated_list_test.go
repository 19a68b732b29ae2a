package roles

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	// loneVersionTime is longer than any stream lasts, so that hosts take a version for the only one.
	loneVersionTime = 70 * time.Second
	// outOfStepTime is how long a host does not hear of the platform.
	outOfStepTime = 3 * time.Second
	// joinTime is how long targets of the second version are listed before the streams begin.
	joinTime = 100 * time.Millisecond
	// outdatedListStreams is the number of streams that are taken up there, longStream the number of events of each.
	outdatedListStreams, longStream = 24, 60
	// interruptAfter is when they are interrupted: after the time for which a first event waits for its version to be
	// stored.
	interruptAfter = 400 * time.Millisecond
)

// outdatedListCase is how an entry host is out of step while targets of a second version join.
type outdatedListCase struct {
	name string
	// begin starts the fault of the host, end ends it.
	begin, end func(c *cluster, host string)
	// historyLost makes all history hosts stand still, from long before the streams until after.
	historyLost bool
	// oneVersion leaves the second version out.
	oneVersion bool
}

var (
	silence   = func(c *cluster, host string) { c.store.SetSilent(host, true) }
	noSilence = func(c *cluster, host string) { c.store.SetSilent(host, false) }
	cut       = func(c *cluster, host string) { c.store.SetPartitioned(host, true) }
	noCut     = func(c *cluster, host string) { c.store.SetPartitioned(host, false) }
	freeze    = func(c *cluster, host string) { silence(c, host); c.net.SetFrozen(host, true) }
	thaw      = func(c *cluster, host string) { noSilence(c, host); c.net.SetFrozen(host, false) }
)

var outdatedListCases = []outdatedListCase{
	{"platform silent to a host, history hosts stand still", silence, noSilence, true, false},
	{"host cut off from the platform, history hosts stand still", cut, noCut, true, false},
	{"host stands still, history hosts stand still", freeze, thaw, true, false},
	{"platform silent to a host", silence, noSilence, false, false},
	{"host cut off from the platform", cut, noCut, false, false},
	{"one version, history hosts stand still", func(*cluster, string) {}, func(*cluster, string) {}, true, true},
	{"host stands still", freeze, thaw, false, false},
}

// runOutdatedList begins streams at one entry host, kills it, and takes them up at another one that does not know of the
// targets at which they began.
func runOutdatedList(t *testing.T, oc outdatedListCase) *versionsOutcome {
	c := newCluster(t)
	defer c.close()
	c.stopVersion(c.engines)
	c.startLongVersion(0)
	c.setHistoryFrozen(oc.historyLost)
	time.Sleep(loneVersionTime)
	k, o := newCaller(c), &versionsOutcome{}
	defer k.client.CloseIdleConnections()
	outOfStep := c.entryHostAt(0).ip
	oc.begin(c, outOfStep)
	if !oc.oneVersion {
		c.startLongVersion(1)
	}
	time.Sleep(joinTime)
	var streams sync.WaitGroup
	for n := range outdatedListStreams {
		s := &versionedStream{versions: map[string]bool{}}
		o.streams = append(o.streams, s)
		streams.Go(func() { k.sendInterrupted(s, n, o) })
	}
	time.Sleep(interruptAfter)
	c.killEntryHost(1)
	time.Sleep(outOfStepTime)
	oc.end(c, outOfStep)
	streams.Wait()
	c.setHistoryFrozen(false)
	c.startEntryHost(&entryHost{name: "e1", ip: "10.1.0.1"})
	return o
}

// startLongVersion starts targets of a software version whose streams are long.
func (c *cluster) startLongVersion(release int) {
	for _, e := range c.startVersion(release) {
		e.SetEvents(versionName(release), longStream)
	}
}

// setHistoryFrozen makes all history hosts stand still, or go on.
func (c *cluster) setHistoryFrozen(frozen bool) {
	for _, h := range c.historyHosts {
		c.net.SetFrozen(h.ip, frozen)
	}
}

// sendInterrupted sends a stream without a program through the entry host that is killed, and takes it up at the one
// that is out of step. Half of the callers name the attempt.
func (k *caller) sendInterrupted(s *versionedStream, n int, o *versionsOutcome) {
	body := fmt.Sprintf("outdated %d", n)
	headers := map[string]string{ownheaders.MaxTokens: strconv.Itoa(longStream * eventTokens)}
	first := k.send("", "/stream/", body, 1, headers)
	s.receive(first.Answer)
	for range 20 {
		if len(s.eventIDs) == longStream {
			return
		}
		headers[ownheaders.LastEvent] = strconv.Itoa(len(s.eventIDs))
		if n%2 == 0 {
			headers[ownheaders.Resumes] = first.ID
		}
		a := k.send("", "/stream/", body, 0, headers)
		served := s.receive(a.Answer)
		k.mu.Lock()
		o.count(true, served)
		k.mu.Unlock()
		time.Sleep(takeUpInterval)
	}
}

// A stream must not go on at another software version at a host that does not know of the one it began at. It must
// go on where its version is known, or is the only one.
func TestStreamsAreNotJoinedAtHostWithOutdatedList(t *testing.T) {
	runAllCases(t)
	for _, oc := range outdatedListCases {
		o := outdatedListOutcomes[oc.name]
		if o == nil {
			continue
		}
		t.Run(oc.name, func(t *testing.T) {
			versions := map[string]int{}
			joined := 0
			for _, s := range o.streams {
				for version := range s.versions {
					versions[version]++
				}
				if len(s.versions) > 1 {
					joined++
				}
			}
			t.Logf("streams by version %v, joined %d, taken up %d, served %d", versions, joined, o.takenUp, o.takenUpServed)
			require.Equal(t, oc.oneVersion, versions[versionName(1)] == 0)
			require.Positive(t, o.takenUp)
			require.Zero(t, joined)
			if oc.oneVersion || !oc.historyLost {
				require.Equal(t, outdatedListStreams, o.takenUpServed)
			}
		})
	}
}
