package loads

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// host is a reporter, its observations and the updates that it received.
type host struct {
	reporter *Reporter
	observed map[Key]*Observation
	updates  map[Key]TargetUpdate
	// othersFailed sums the failures of other hosts in all updates.
	othersFailed map[Key]int
}

func newHost(id uint64) *host {
	return &host{reporter: NewReporter(id), observed: map[Key]*Observation{}, updates: map[Key]TargetUpdate{}, othersFailed: map[Key]int{}}
}

func (h *host) report(now time.Duration) HostReport {
	all := make([]Observation, 0, len(h.observed))
	for _, o := range h.observed {
		all = append(all, *o)
	}
	h.reporter.Observe(all)
	return h.reporter.NextReport(now)
}

func (h *host) handleReply(reply Reply, now time.Duration) {
	update := h.reporter.HandleReply(reply, now)
	if update.Reset {
		clear(h.updates)
	}
	for _, u := range update.Targets {
		h.updates[u.Key] = u
		h.othersFailed[u.Key] += int(u.Failed)
	}
}

func (h *host) exchange(b *Board, now time.Duration) {
	h.handleReply(b.Exchange(h.report(now), now), now)
}

func (h *host) observe(key Key, inFlight int) *Observation {
	o := h.observed[key]
	if o == nil {
		o = &Observation{Key: key}
		h.observed[key] = o
	}
	o.InFlight = inFlight
	return o
}

const ms = time.Millisecond

func TestHostsLearnRequestsInFlightOfOthers(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	x.observe(7, 3)
	y.observe(7, 2)
	for i := range 3 {
		now := time.Duration(i) * 100 * ms
		x.exchange(b, now)
		y.exchange(b, now)
	}
	require.Equal(t, 2, x.updates[7].OthersInFlight)
	require.Equal(t, 3, y.updates[7].OthersInFlight)
	require.False(t, x.reporter.HasPending())
	require.Empty(t, b.Exchange(x.report(300*ms), 300*ms).Targets, "others have changed nothing")
}

// After one exchange of each host, all hosts know of a target that resets connections.
func TestHostsLearnFailuresOfOthers(t *testing.T) {
	b := NewBoard(1)
	hosts := []*host{newHost(1), newHost(2), newHost(3)}
	for _, h := range hosts {
		h.exchange(b, 0)
	}
	hosts[0].observe(7, 0).Failed = 1
	hosts[1].observe(7, 0).Failed = 1
	for i := range 4 {
		for _, h := range hosts {
			h.exchange(b, time.Duration(i+1)*100*ms)
		}
	}
	require.Equal(t, 2, hosts[2].othersFailed[7])
	require.Equal(t, 1, hosts[0].othersFailed[7], "a host's own failures are not returned to it")
}

// A host that starts must not take the failures since the start of the board for new ones.
func TestNewHostIgnoresEarlierFailures(t *testing.T) {
	b := NewBoard(1)
	x := newHost(1)
	x.observe(7, 0).Failed = 50
	x.exchange(b, 0)
	y := newHost(2)
	y.exchange(b, 100*ms)
	require.Zero(t, y.othersFailed[7])
	x.observe(7, 0).Failed = 52
	x.exchange(b, 200*ms)
	y.exchange(b, 200*ms)
	require.Equal(t, 2, y.othersFailed[7])
}

func TestLatestLoadReportIsKept(t *testing.T) {
	b := NewBoard(1)
	x, y, z := newHost(1), newHost(2), newHost(3)
	x.observe(7, 0).LoadReport, x.observed[7].HasLoadReport = LoadReport{Load: request.Load{Running: 4}, ReceivedAt: 50 * ms}, true
	y.observe(7, 0).LoadReport, y.observed[7].HasLoadReport = LoadReport{Load: request.Load{Running: 9, Slowdown: 1.5}, ReceivedAt: 90 * ms}, true
	for _, h := range []*host{y, x, z} {
		h.exchange(b, 100*ms)
	}
	require.Equal(t, LoadReport{Load: request.Load{Running: 9, Slowdown: 1.5}, ReceivedAt: 90 * ms}, z.updates[7].LoadReport)
}

// Requests of a host that dies, freezes or is cut off count for ReporterTimeout and no longer.
func TestRequestsOfSilentHostExpire(t *testing.T) {
	b := NewBoard(1)
	silent, h := newHost(1), newHost(2)
	silent.observe(7, 5)
	silent.exchange(b, 0)
	for now := time.Duration(0); now <= ReporterTimeout; now += 100 * ms {
		h.exchange(b, now)
		require.Equal(t, 5, h.updates[7].OthersInFlight, "%s", now)
	}
	h.exchange(b, ReporterTimeout+ms)
	require.Zero(t, h.updates[7].OthersInFlight)
	// A host that was frozen and continues its old session must report everything again.
	silent.exchange(b, ReporterTimeout+10*ms)
	require.Empty(t, b.targets[7].inFlight)
	silent.exchange(b, ReporterTimeout+110*ms)
	h.exchange(b, ReporterTimeout+110*ms)
	require.Equal(t, 5, h.updates[7].OthersInFlight)
}

// Another board, or the same one restarted, has no state: hosts report everything again.
func TestNewBoardReceivesFullReports(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	x.observe(7, 3).Failed = 4
	y.observe(8, 2)
	x.exchange(b, 0)
	y.exchange(b, 0)
	b = NewBoard(2)
	for i := range 3 {
		x.exchange(b, time.Duration(i+1)*100*ms)
		y.exchange(b, time.Duration(i+1)*100*ms)
	}
	require.Equal(t, 2, x.updates[8].OthersInFlight)
	require.Equal(t, 3, y.updates[7].OthersInFlight)
	require.Zero(t, y.othersFailed[7], "the failures precede the session")
	require.Equal(t, b.ID(), x.reporter.BoardID())
}

// A target that restarts under its ID is a new incarnation: nothing known of the previous one
// is attributed to it.
func TestNewIncarnationOfTargetStartsEmpty(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	before, after := KeyOf("t", 1), KeyOf("t", 2)
	require.NotEqual(t, before, after)
	x.observe(before, 6)
	x.exchange(b, 0)
	y.exchange(b, 0)
	require.Equal(t, 6, y.updates[before].OthersInFlight)
	delete(x.observed, before)
	x.observe(after, 1)
	x.exchange(b, 100*ms)
	y.exchange(b, 100*ms)
	require.Zero(t, y.updates[before].OthersInFlight)
	require.Equal(t, 1, y.updates[after].OthersInFlight)
}

// Targets beyond the bound of a message follow in the next ones, and none is deferred for ever.
func TestMessagesAreBounded(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	const targets = 5 * MaxTargetsPerMessage
	for now := time.Duration(0); now < 20*100*ms; now += 100 * ms {
		for k := range targets {
			x.observe(Key(k), int(now/(100*ms))+1) // all targets change in each interval
		}
		report := x.report(now)
		require.LessOrEqual(t, len(report.Targets), MaxTargetsPerMessage)
		x.handleReply(b.Exchange(report, now), now)
		reply := b.Exchange(y.report(now), now)
		require.LessOrEqual(t, len(reply.Targets), MaxTargetsPerMessage)
		y.handleReply(reply, now)
	}
	require.Len(t, y.updates, targets)
}

// A host that changes a target after others did still receives their earlier change when the
// reply is full.
func TestFullRepliesOmitNoChange(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	x.exchange(b, 0)
	const shared = Key(1)
	y.observe(shared, 3)
	y.exchange(b, 100*ms)
	for k := range 2 * MaxTargetsPerMessage {
		y.observe(Key(1000+k), 1)
	}
	y.exchange(b, 200*ms)
	y.exchange(b, 300*ms)
	x.observe(shared, 1)
	for now := 400 * ms; now < 900*ms; now += 100 * ms {
		x.exchange(b, now)
		y.exchange(b, now)
	}
	require.Len(t, x.updates, 2*MaxTargetsPerMessage+1)
	require.Equal(t, 3, x.updates[shared].OthersInFlight)
}

func TestMessagesRoundTrip(t *testing.T) {
	targets := []TargetStats{
		{Key: 1, InFlight: 3, HasLoad: true, LoadAge: 70 * ms, Load: request.Load{Running: 5, Waiting: 2, Slowdown: 1.25}},
		{Key: 1 << 31, Failed: 2, Served: 300},
	}
	report := HostReport{ReporterID: 9, Session: 2, Sequence: 8, BoardID: 7, KnownRevision: 55, AckedSequence: 6, Targets: targets}
	reply := Reply{BoardID: 7, Session: 2, Sequence: 8, Restart: true, KnownRevision: 56, More: true, OtherHosts: 16, Targets: targets}
	require.Equal(t, report, DecodeHostReport(EncodeHostReport(report)))
	require.Equal(t, reply, DecodeReply(EncodeReply(reply)))
	require.Empty(t, DecodeHostReport(nil).Targets)
	short := EncodeHostReport(report)
	short.Lines.InFlight = short.Lines.InFlight[:1]
	require.Zero(t, DecodeHostReport(short).Targets[1].InFlight, "a short column")
}

// The encoded messages of a host stay within its part of the control traffic budget.
func TestBytesPerHostAreBounded(t *testing.T) {
	for _, c := range []struct{ hosts, targets int }{{17, 138}, {29, 88}, {22, 3100}} {
		received, sent, idle := bytesPerSecond(c.hosts, c.targets, 4)
		t.Logf("%d hosts of a data centre, %d targets: %d bytes/s sent by a host, %d received; %d idle", c.hosts, c.targets, sent, received, idle)
		require.Less(t, received+sent, 6000)
		require.Less(t, idle, 600)
	}
}

// bytesPerSecond simulates a data centre in which each host changes some targets in each
// interval, and returns the bytes that one host receives and sends, and both when idle.
func bytesPerSecond(hosts, targets, changes int) (received, sent, idle int) {
	const interval, seconds = 100 * ms, 10
	rng := rand.New(rand.NewPCG(1, 1))
	b := NewBoard(rng.Uint64())
	var all []*host
	for range hosts {
		all = append(all, newHost(rng.Uint64()))
	}
	first := all[0]
	now := time.Duration(0)
	for ; now < seconds*time.Second; now += interval {
		for _, h := range all {
			for range changes {
				o := h.observe(KeyOf(fmt.Sprint(rng.IntN(targets)), 1), rng.IntN(6))
				o.Served++
				o.LoadReport, o.HasLoadReport = LoadReport{Load: request.Load{Running: rng.IntN(12), Slowdown: 1 + 3*rng.Float64()}, ReceivedAt: now - time.Duration(rng.IntN(100))*ms}, true
			}
			report := h.report(now)
			reply := b.Exchange(report, now)
			h.handleReply(reply, now)
			if h == first {
				sent += proto.Size(EncodeHostReport(report))
				received += proto.Size(EncodeReply(reply))
			}
		}
	}
	for range 2 + targets/MaxTargetsPerMessage { // send all pending changes
		now += interval
		for _, h := range all {
			h.exchange(b, now)
		}
	}
	const idleInterval = 500 * ms
	report := first.report(now)
	idle = (proto.Size(EncodeHostReport(report)) + proto.Size(EncodeReply(b.Exchange(report, now)))) * int(time.Second/idleInterval)
	return received / seconds, sent / seconds, idle
}
