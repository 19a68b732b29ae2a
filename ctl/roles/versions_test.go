package roles

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

const (
	// resumableStreams is the number of callers that send one resumable stream after the other, each of
	// streamEvents events.
	resumableStreams, streamEvents = 16, 12
	// maxStreamAttempts bounds how often a caller begins or takes up a stream.
	maxStreamAttempts = 4
	// minTakenUpShare is the least part of taken-up streams that continue, relative to the part of new
	// streams that begin, while two targets of their version serve.
	minTakenUpShare = 0.5
)

// versionedStream is one resumable stream as its caller received it.
type versionedStream struct {
	program string
	// eventIDs are the IDs of the events, versions the software versions that made them.
	eventIDs []int
	versions map[string]bool
}

// versionsOutcome is the result of streams at targets of two software versions.
type versionsOutcome struct {
	streams []*versionedStream
	// begun and takenUp count the attempts that began a stream or took one up, those with an event
	// in begunServed and takenUpServed.
	begun, begunServed, takenUp, takenUpServed int
}

// eventPattern matches one whole event of a TurnEngine with a version.
var eventPattern = regexp.MustCompile(`id: (\d+)\ndata: [^@\n]*@(\S+)\n\n`)

// runStreamsOverVersions sends resumable streams while targets of a second software version are
// added, targets break streams off, and hosts are killed.
func runStreamsOverVersions(t *testing.T, seed uint64) *versionsOutcome {
	c := newCluster(t)
	defer c.close()
	for i := range c.engines {
		c.setVersion(i, "v1")
	}
	time.Sleep(time.Second)
	k := newCaller(c)
	defer k.client.CloseIdleConnections()
	o := &versionsOutcome{}
	stop := make(chan struct{})
	var work sync.WaitGroup
	for n := range resumableStreams {
		work.Go(func() { k.sendStreams(n, o, stop) })
	}
	time.Sleep(2 * time.Second)
	for i := range 3 {
		c.engines = append(c.engines, c.startTarget(engineService, 3+i))
		c.setVersion(3+i, "v2")
	}
	c.injectStreamFaults(rand.New(rand.NewPCG(seed, 3)))
	close(stop)
	work.Wait()
	return o
}

// setVersion sets the software version of an engine.
func (c *cluster) setVersion(i int, version string) {
	e := c.engines[i]
	e.SetEvents(version, streamEvents)
	c.putVersionedTarget(e.ID, engineService, engineIP(i), i%3, version)
}

func engineIP(i int) string { return fmt.Sprintf("10.3.%d.%d", len(engineService), i) }

// injectStreamFaults breaks connections of random engines, and kills and restarts random hosts.
func (c *cluster) injectStreamFaults(r *rand.Rand) {
	for range 60 {
		time.Sleep(time.Duration(100+r.IntN(300)) * time.Millisecond)
		switch r.IntN(8) {
		case 0:
			e := c.killEntryHost(r.IntN(len(c.entryHosts)))
			c.startEntryHost(&entryHost{name: e.name, ip: e.ip})
		case 1:
			c.restartHistoryHost(c.killHistoryHost(r.IntN(len(c.historyHosts))))
		default:
			c.net.Crash(engineIP(r.IntN(len(c.engines))))
		}
	}
}

// sendStreams sends streams until stop is closed, each of a program of its own.
func (k *caller) sendStreams(n int, o *versionsOutcome, stop <-chan struct{}) {
	for i := 0; !isClosed(stop); i++ {
		s := &versionedStream{program: fmt.Sprintf("s%d-%d", n, i), versions: map[string]bool{}}
		k.sendStream(s, n+i, o)
		k.mu.Lock()
		o.streams = append(o.streams, s)
		k.mu.Unlock()
	}
}

// sendStream sends a stream, and takes it up where it broke off, until it is complete.
func (k *caller) sendStream(s *versionedStream, entryIndex int, o *versionsOutcome) {
	began := ""
	for i := range maxStreamAttempts {
		headers := map[string]string{ownheaders.Budget: strconv.Itoa(budget), ownheaders.MaxTokens: strconv.Itoa(maxTokens)}
		if began != "" {
			headers[ownheaders.Resumes], headers[ownheaders.LastEvent] = began, strconv.Itoa(len(s.eventIDs))
		}
		a := k.send(s.program, "/stream/", "in", entryIndex+i, headers)
		served := s.receive(a.Answer)
		k.mu.Lock()
		o.count(began != "", served)
		k.mu.Unlock()
		if began == "" && served {
			began = a.ID
		}
		if len(s.eventIDs) >= streamEvents || a.Status == http.StatusPaymentRequired {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// receive records the whole events of an answer and reports whether there are any.
func (s *versionedStream) receive(answer string) bool {
	events := eventPattern.FindAllStringSubmatch(answer, -1)
	for _, e := range events {
		id, _ := strconv.Atoi(e[1])
		s.eventIDs = append(s.eventIDs, id)
		s.versions[e[2]] = true
	}
	return len(events) > 0
}

func (o *versionsOutcome) count(takenUp, served bool) {
	attempts, servedAttempts := &o.begun, &o.begunServed
	if takenUp {
		attempts, servedAttempts = &o.takenUp, &o.takenUpServed
	}
	*attempts++
	if served {
		*servedAttempts++
	}
}

// No stream may hold events of two software versions or miss one, whatever breaks it off and whoever
// continues it, and most streams that callers take up must continue.
func TestStreamsKeepTheirSoftwareVersion(t *testing.T) {
	runAllCases(t)
	if selectedCase != "" {
		t.Skip("ROLES_CASE selects a single case")
	}
	o := versionsResult
	versions := map[string]int{}
	for _, s := range o.streams {
		require.LessOrEqual(t, len(s.versions), 1, "stream of %s", s.program)
		for version := range s.versions {
			versions[version]++
		}
		for i, id := range s.eventIDs {
			require.Equal(t, i+1, id, "stream of %s: %s", s.program, strings.Trim(fmt.Sprint(s.eventIDs), "[]"))
		}
	}
	require.Len(t, versions, 2, "both versions must have served")
	require.Positive(t, o.takenUp)
	share := float64(o.takenUpServed) / float64(o.takenUp)
	begunShare := float64(o.begunServed) / float64(o.begun)
	require.GreaterOrEqual(t, share, minTakenUpShare*begunShare, "%+v", [4]int{o.begun, o.begunServed, o.takenUp, o.takenUpServed})
	t.Logf("streams %d, begun %d of %d, taken up %d of %d, by version %v", len(o.streams), o.begunServed, o.begun, o.takenUpServed, o.takenUp, versions)
}
