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

// host is a reporter and what it was told.
type host struct {
	r    *Reporter
	own  map[Key]*Observation
	told map[Key]TargetUpdate
	// failed is the failures of others that it was told of.
	failed map[Key]int
}

func newHost(id uint64) *host {
	return &host{r: NewReporter(id), own: map[Key]*Observation{}, told: map[Key]TargetUpdate{}, failed: map[Key]int{}}
}

func (h *host) report(now time.Duration) HostReport {
	all := make([]Observation, 0, len(h.own))
	for _, o := range h.own {
		all = append(all, *o)
	}
	h.r.Observe(all)
	return h.r.NextReport(now)
}

func (h *host) take(m Reply, now time.Duration) {
	l := h.r.HandleReply(m, now)
	if l.Reset {
		clear(h.told)
	}
	for _, t := range l.Targets {
		h.told[t.Key] = t
		h.failed[t.Key] += int(t.Failed)
	}
}

func (h *host) exchange(b *Board, now time.Duration) { h.take(b.Exchange(h.report(now), now), now) }

func (h *host) see(key Key, inFlight int) *Observation {
	o := h.own[key]
	if o == nil {
		o = &Observation{Key: key}
		h.own[key] = o
	}
	o.InFlight = inFlight
	return o
}

const ms = time.Millisecond

func TestHostsAreToldWhatOthersHaveInFlight(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	x.see(7, 3)
	y.see(7, 2)
	for i := range 3 {
		now := time.Duration(i) * 100 * ms
		x.exchange(b, now)
		y.exchange(b, now)
	}
	require.Equal(t, 2, x.told[7].OthersInFlight)
	require.Equal(t, 3, y.told[7].OthersInFlight)
	require.False(t, x.r.HasPending())
	require.Empty(t, b.Exchange(x.report(300*ms), 300*ms).Targets, "nothing has changed for it")
}

// A target that resets connections is known to all after one exchange each.
func TestFailuresOfOthersAreTold(t *testing.T) {
	b := NewBoard(1)
	hosts := []*host{newHost(1), newHost(2), newHost(3)}
	for _, h := range hosts {
		h.exchange(b, 0)
	}
	hosts[0].see(7, 0).Failed = 1
	hosts[1].see(7, 0).Failed = 1
	for i := range 4 {
		for _, h := range hosts {
			h.exchange(b, time.Duration(i+1)*100*ms)
		}
	}
	require.Equal(t, 2, hosts[2].failed[7])
	require.Equal(t, 1, hosts[0].failed[7], "its own are not told to it")
}

// A host that begins is not told all failures since the board began as if they were new.
func TestOldFailuresAreNotNews(t *testing.T) {
	b := NewBoard(1)
	x := newHost(1)
	x.see(7, 0).Failed = 50
	x.exchange(b, 0)
	y := newHost(2)
	y.exchange(b, 100*ms)
	require.Zero(t, y.failed[7])
	x.see(7, 0).Failed = 52
	x.exchange(b, 200*ms)
	y.exchange(b, 200*ms)
	require.Equal(t, 2, y.failed[7])
}

func TestTheNewestWordWins(t *testing.T) {
	b := NewBoard(1)
	x, y, z := newHost(1), newHost(2), newHost(3)
	x.see(7, 0).LoadReport, x.own[7].HasLoadReport = LoadReport{Load: request.Load{Running: 4}, ReceivedAt: 50 * ms}, true
	y.see(7, 0).LoadReport, y.own[7].HasLoadReport = LoadReport{Load: request.Load{Running: 9, Slowdown: 1.5}, ReceivedAt: 90 * ms}, true
	for _, h := range []*host{y, x, z} {
		h.exchange(b, 100*ms)
	}
	require.Equal(t, LoadReport{Load: request.Load{Running: 9, Slowdown: 1.5}, ReceivedAt: 90 * ms}, z.told[7].LoadReport)
}

// Requests of a host that dies, freezes or is cut off count for Expiry and no longer.
func TestASilentHostsRequestsExpire(t *testing.T) {
	b := NewBoard(1)
	dead, h := newHost(1), newHost(2)
	dead.see(7, 5)
	dead.exchange(b, 0)
	for now := time.Duration(0); now <= ReporterTimeout; now += 100 * ms {
		h.exchange(b, now)
		require.Equal(t, 5, h.told[7].OthersInFlight, "%s", now)
	}
	h.exchange(b, ReporterTimeout+ms)
	require.Zero(t, h.told[7].OthersInFlight)
	// One that was frozen, and goes on with its old session, says all again.
	dead.exchange(b, ReporterTimeout+10*ms)
	require.Empty(t, b.entries[7].inFlight)
	dead.exchange(b, ReporterTimeout+110*ms)
	h.exchange(b, ReporterTimeout+110*ms)
	require.Equal(t, 5, h.told[7].OthersInFlight)
}

// Another board, or the same one started anew, knows nothing: hosts say all again.
func TestANewBoardIsToldEverything(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	x.see(7, 3).Failed = 4
	y.see(8, 2)
	x.exchange(b, 0)
	y.exchange(b, 0)
	b = NewBoard(2)
	for i := range 3 {
		x.exchange(b, time.Duration(i+1)*100*ms)
		y.exchange(b, time.Duration(i+1)*100*ms)
	}
	require.Equal(t, 2, x.told[8].OthersInFlight)
	require.Equal(t, 3, y.told[7].OthersInFlight)
	require.Zero(t, y.failed[7], "told before")
	require.Equal(t, b.ID(), x.r.BoardID())
}

// A target that starts again under its id is another one: what was told of it stays behind.
func TestATargetBornAgainStartsFromNothing(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	old, renewed := KeyOf("t", 1), KeyOf("t", 2)
	require.NotEqual(t, old, renewed)
	x.see(old, 6)
	x.exchange(b, 0)
	y.exchange(b, 0)
	require.Equal(t, 6, y.told[old].OthersInFlight)
	delete(x.own, old)
	x.see(renewed, 1)
	x.exchange(b, 100*ms)
	y.exchange(b, 100*ms)
	require.Zero(t, y.told[old].OthersInFlight)
	require.Equal(t, 1, y.told[renewed].OthersInFlight)
}

// Lines beyond the bound of a message come with the next ones, none waits for ever.
func TestMessagesAreBounded(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	const targets = 5 * MaxTargetsPerMessage
	for now := time.Duration(0); now < 20*100*ms; now += 100 * ms {
		for k := range targets {
			x.see(Key(k), int(now/(100*ms))+1) // all change all the time
		}
		m := x.report(now)
		require.LessOrEqual(t, len(m.Targets), MaxTargetsPerMessage)
		x.take(b.Exchange(m, now), now)
		reply := b.Exchange(y.report(now), now)
		require.LessOrEqual(t, len(reply.Targets), MaxTargetsPerMessage)
		y.take(reply, now)
	}
	require.Len(t, y.told, targets)
}

// A target that the asker changes itself after others did is not left out where a message is
// full: what the others did is older than its own change.
func TestFullMessagesLeaveOutNoChange(t *testing.T) {
	b := NewBoard(1)
	x, y := newHost(1), newHost(2)
	x.exchange(b, 0)
	const shared = Key(1)
	y.see(shared, 3)
	y.exchange(b, 100*ms)
	for k := range 2 * MaxTargetsPerMessage {
		y.see(Key(1000+k), 1)
	}
	y.exchange(b, 200*ms)
	y.exchange(b, 300*ms)
	x.see(shared, 1)
	for now := 400 * ms; now < 900*ms; now += 100 * ms {
		x.exchange(b, now)
		y.exchange(b, now)
	}
	require.Len(t, x.told, 2*MaxTargetsPerMessage+1)
	require.Equal(t, 3, x.told[shared].OthersInFlight)
}

func TestMessagesSurviveTheWire(t *testing.T) {
	lines := []TargetStats{
		{Key: 1, InFlight: 3, HasLoad: true, LoadAge: 70 * ms, Load: request.Load{Running: 5, Waiting: 2, Slowdown: 1.25}},
		{Key: 1 << 31, Failed: 2, Served: 300},
	}
	report := HostReport{ReporterID: 9, Session: 2, Sequence: 8, BoardID: 7, KnownRevision: 55, AckedSequence: 6, Targets: lines}
	reply := Reply{BoardID: 7, Session: 2, Sequence: 8, Restart: true, KnownRevision: 56, More: true, OtherHosts: 16, Targets: lines}
	require.Equal(t, report, DecodeHostReport(EncodeHostReport(report)))
	require.Equal(t, reply, DecodeReply(EncodeReply(reply)))
	require.Empty(t, DecodeHostReport(nil).Targets)
	short := EncodeHostReport(report)
	short.Lines.InFlight = short.Lines.InFlight[:1]
	require.Zero(t, DecodeHostReport(short).Targets[1].InFlight, "a short column")
}

// Encoded messages of a host stay within its share of what control may cost.
func TestBytesOfAHost(t *testing.T) {
	for _, c := range []struct{ hosts, targets int }{{17, 138}, {29, 88}, {22, 3100}} {
		in, out, idle := bytesOf(c.hosts, c.targets, 4)
		t.Logf("%d hosts of a data centre, %d targets: %d bytes/s told by a host, %d to it; idle %d", c.hosts, c.targets, out, in, idle)
		require.Less(t, in+out, 6000)
		require.Less(t, idle, 600)
	}
}

// bytesOf plays a data centre in which each host changes some targets in each interval.
func bytesOf(hosts, targets, changes int) (in, out, idle int) {
	const every, seconds = 100 * ms, 10
	rng := rand.New(rand.NewPCG(1, 1))
	b := NewBoard(rng.Uint64())
	var all []*host
	for range hosts {
		all = append(all, newHost(rng.Uint64()))
	}
	first := all[0]
	now := time.Duration(0)
	for ; now < seconds*time.Second; now += every {
		for _, h := range all {
			for range changes {
				o := h.see(KeyOf(fmt.Sprint(rng.IntN(targets)), 1), rng.IntN(6))
				o.Served++
				o.LoadReport, o.HasLoadReport = LoadReport{Load: request.Load{Running: rng.IntN(12), Slowdown: 1 + 3*rng.Float64()}, ReceivedAt: now - time.Duration(rng.IntN(100))*ms}, true
			}
			m := h.report(now)
			reply := b.Exchange(m, now)
			h.take(reply, now)
			if h == first {
				out += proto.Size(EncodeHostReport(m))
				in += proto.Size(EncodeReply(reply))
			}
		}
	}
	for range 2 + targets/MaxTargetsPerMessage { // let what waits be told
		now += every
		for _, h := range all {
			h.exchange(b, now)
		}
	}
	const idleEvery = 500 * ms
	m := first.report(now)
	idle = (proto.Size(EncodeHostReport(m)) + proto.Size(EncodeReply(b.Exchange(m, now)))) * int(time.Second/idleEvery)
	return in / seconds, out / seconds, idle
}
