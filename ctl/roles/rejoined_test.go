package roles

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	// releases is the number of releases of a run, releaseTargets the number of targets of each version.
	releases, releaseTargets = 4, 3
	// releaseSeeds is the number of seeds of each case, from rolesSeed on.
	releaseSeeds = 3
	// takeUpTime is how long a caller takes up its interrupted stream.
	takeUpTime = 4 * time.Second
	// takeUpInterval is the time between two attempts of a caller.
	takeUpInterval = 100 * time.Millisecond
	// leaveDelay is how long a target serves on after its entry is gone.
	leaveDelay = 2 * time.Second
)

// releaseCase is what becomes of the targets of the old version in a release.
type releaseCase struct {
	name string
	// oldLeave makes them leave about when all entry hosts are killed; else they leave before the next release.
	oldLeave bool
}

const oldVersionStays = "old version stays"

var releaseCases = []releaseCase{{oldVersionStays, false}, {"old version leaves", true}}

// startVersion starts targets of a software version.
func (c *cluster) startVersion(release int) []*standin.TurnEngine {
	var engines []*standin.TurnEngine
	for i := range releaseTargets {
		n := (release+1)*10 + i
		e := c.startTarget(engineService, n)
		e.SetEvents(versionName(release), streamEvents)
		c.putVersionedTarget(e.ID, engineService, engineIP(n), i, versionName(release))
		engines = append(engines, e)
	}
	return engines
}

func versionName(release int) string { return fmt.Sprintf("v%d", release+1) }

// stopVersion takes targets out of the platform's list. They serve on for leaveDelay.
func (c *cluster) stopVersion(engines []*standin.TurnEngine) {
	for _, e := range engines {
		c.store.Remove(targetKind, e.ID)
		c.stops.Go(func() {
			time.Sleep(leaveDelay)
			c.mu.Lock()
			server := c.targetServers[e.ID]
			c.mu.Unlock()
			_ = server.Close()
		})
	}
}

// killAllEntryHosts kills all entry hosts at once and starts them again after downTime.
func (c *cluster) killAllEntryHosts(downTime time.Duration) {
	var killed []*entryHost
	for i := range c.entryHosts {
		killed = append(killed, c.killEntryHost(i))
	}
	time.Sleep(downTime)
	for _, e := range killed {
		c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
	}
}

// cutOffHistory separates all entry hosts from all history hosts for a time.
func (c *cluster) cutOffHistory(cutFor time.Duration) {
	for _, cut := range []bool{true, false} {
		for _, e := range c.entryHosts {
			c.setCutOff(e, cut)
		}
		if cut {
			time.Sleep(cutFor)
		}
	}
}

// runReleaseCase plays a case with each of its seeds.
func runReleaseCase(t *testing.T, rc releaseCase) {
	for seed := rolesSeed; seed < rolesSeed+releaseSeeds; seed++ {
		releaseOutcomes[fmt.Sprintf("%s, seed %d", rc.name, seed)] = runReleases(t, rc, seed)
	}
}

// runReleases plays releases, in the middle of which all entry hosts are killed, at times after they were cut off
// from the history hosts, so that the version of a stream is not stored in time.
func runReleases(t *testing.T, rc releaseCase, seed uint64) *versionsOutcome {
	r := rand.New(rand.NewPCG(seed, 61))
	upTo := func(most time.Duration) time.Duration { return time.Duration(r.Int64N(int64(most))) }
	c := newCluster(t)
	defer c.close()
	c.stopVersion(c.engines)
	old := c.startVersion(0)
	time.Sleep(leaveDelay + time.Second)
	k, o, stop := newCaller(c), &versionsOutcome{}, make(chan struct{})
	defer k.client.CloseIdleConnections()
	var work sync.WaitGroup
	for n := range resumableStreams {
		work.Go(func() { k.sendNumberedStreams(n, o, stop) })
	}
	for release := 1; release <= releases; release++ {
		time.Sleep(time.Second + upTo(time.Second))
		next := c.startVersion(release)
		time.Sleep(upTo(600 * time.Millisecond))
		if r.IntN(2) == 0 {
			c.cutOffHistory(400*time.Millisecond + upTo(time.Second))
		}
		time.Sleep(upTo(300 * time.Millisecond))
		if rc.oldLeave {
			c.stopVersion(old)
			time.Sleep(upTo(400 * time.Millisecond))
		}
		c.killAllEntryHosts(200*time.Millisecond + upTo(time.Second))
		if !rc.oldLeave {
			time.Sleep(takeUpTime)
			c.stopVersion(old)
		}
		old = next
	}
	time.Sleep(time.Second)
	close(stop)
	work.Wait()
	c.stopVersion(old)
	return o
}

// sendNumberedStreams sends streams until stop is closed, every second one without a program.
func (k *caller) sendNumberedStreams(n int, o *versionsOutcome, stop <-chan struct{}) {
	for i := 0; !isClosed(stop); i++ {
		s := &versionedStream{versions: map[string]bool{}}
		if (n+i)%2 == 0 {
			s.program = fmt.Sprintf("s%d-%d", n, i)
		}
		k.sendUntilComplete(s, fmt.Sprintf("input %d-%d", n, i), n+i, o)
		k.mu.Lock()
		o.streams = append(o.streams, s)
		k.mu.Unlock()
	}
}

// sendUntilComplete sends a stream and takes it up until it is complete or takeUpTime has passed. It names the
// attempt that brought the last event, or the one that brought the first.
func (k *caller) sendUntilComplete(s *versionedStream, body string, entryIndex int, o *versionsOutcome) {
	first, last := "", ""
	for i, startedAt := 0, time.Now(); time.Since(startedAt) < takeUpTime && len(s.eventIDs) < streamEvents; i++ {
		headers := map[string]string{ownheaders.Budget: strconv.Itoa(10 * budget), ownheaders.MaxTokens: strconv.Itoa(streamEvents * eventTokens)}
		if first != "" {
			headers[ownheaders.Resumes], headers[ownheaders.LastEvent] = first, strconv.Itoa(len(s.eventIDs))
			if entryIndex%3 == 0 {
				headers[ownheaders.Resumes] = last
			}
		}
		a := k.send(s.program, "/stream/", body, entryIndex+i, headers)
		served := s.receive(a.Answer)
		if a.Status != 0 {
			k.mu.Lock()
			o.count(first != "", served)
			k.mu.Unlock()
		}
		if served {
			last = a.ID
			if first == "" {
				first = a.ID
			}
		}
		if len(s.eventIDs) < streamEvents {
			time.Sleep(takeUpInterval)
		}
	}
}

// No stream may hold events of two software versions when all entry hosts are killed in the middle of a release,
// whether its version was stored or not. Most streams must continue while their version serves.
func TestStreamsAreNotJoinedAfterAllEntryHostsAreKilled(t *testing.T) {
	runAllCases(t)
	for name, o := range releaseOutcomes {
		t.Run(name, func(t *testing.T) {
			taken := [4]int{o.begun, o.begunServed, o.takenUp, o.takenUpServed}
			t.Logf("streams %d, begun, served, taken up, served: %v", len(o.streams), taken)
			for _, s := range o.streams {
				require.LessOrEqual(t, len(s.versions), 1, "stream of program %q: %v", s.program, s.versions)
				for i, id := range s.eventIDs {
					require.Equal(t, i+1, id, "stream of program %q", s.program)
				}
			}
			require.Positive(t, o.takenUp)
			if strings.HasPrefix(name, oldVersionStays) {
				require.GreaterOrEqual(t, float64(o.takenUpServed)/float64(o.takenUp), minTakenUpShare*float64(o.begunServed)/float64(o.begun), "%v", taken)
			}
		})
	}
}
