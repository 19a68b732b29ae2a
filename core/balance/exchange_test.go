package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
)

func newUpdate(targets ...loads.TargetUpdate) loads.Update {
	return loads.Update{Accepted: true, OtherHosts: 16, Targets: targets}
}

func testKey(id string) loads.Key { return loads.KeyOf(id, 0) }

func TestOthersInFlightDecaysWhenBoardIsSilent(t *testing.T) {
	r := newTestRegistry(2)
	x := target(t, r, "t0")
	x.RecordSend(nil, 0)
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), OthersInFlight: 6}), 0)
	require.Equal(t, 7, x.estimate(peerTrustWindow))
	require.Equal(t, 4, x.estimate(peerTrustWindow+peerHalfLife))
	require.Equal(t, 1, x.estimate(10*time.Second), "this host's own request")
	r.ApplyUpdate(loads.Update{Accepted: true, Reset: true}, 10*time.Second)
	require.Equal(t, 1, x.estimate(10*time.Second), "a new board has reported no requests yet")
	r.ApplyUpdate(loads.Update{OtherHosts: 16}, 20*time.Second)
	require.Equal(t, 10*time.Second, r.UpdateAge(20*time.Second), "a reply that is not accepted is no update")
}

func TestNewerLoadReportFromOthersReplacesLocalReport(t *testing.T) {
	r := newTestRegistry(1)
	x := target(t, r, "t0")
	x.RecordLoadReport(request.Load{Running: 9, Capacity: 10}, time.Second)
	report := loads.LoadReport{Load: request.Load{Running: 2, Slowdown: 3}, ReceivedAt: 900 * time.Millisecond}
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), LoadReport: report, HasLoadReport: true}), 1100*time.Millisecond)
	require.Equal(t, 9, x.reported.Running, "an older report")
	report.ReceivedAt = 1050 * time.Millisecond
	x.RecordSend(nil, 1080*time.Millisecond)
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), LoadReport: report, HasLoadReport: true}), 1100*time.Millisecond)
	require.Equal(t, request.Load{Running: 3, Slowdown: 3}, x.reported, "includes what this host has sent since")
	require.Equal(t, report.ReceivedAt, x.reportedAt)
	require.Equal(t, 10, x.Capacity)
	require.Equal(t, 9, r.Observations()[0].LoadReport.Load.Running, "the host reports what it received itself")
}

func TestUpdateForAnEarlierIncarnationIsIgnored(t *testing.T) {
	r := NewRegistry("dc0", DefaultWeights())
	r.SetTarget(TargetInfo{ID: "t0", Service: "s", DataCentre: "dc0", Capacity: 10, StartedAtMs: 1})
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: loads.KeyOf("t0", 1), OthersInFlight: 5, Failed: 9}), 0)
	require.Equal(t, 5, target(t, r, "t0").estimate(0))
	r.SetTarget(TargetInfo{ID: "t0", Service: "s", DataCentre: "dc0", Capacity: 10, StartedAtMs: 2})
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: loads.KeyOf("t0", 1), OthersInFlight: 7, Failed: 9}), 0)
	require.Zero(t, target(t, r, "t0").estimate(0))
	require.Zero(t, target(t, r, "t0").failures)
}

// One failure seen by another host weighs less than one of this host's; several count more.
func TestFailuresSeenByOtherHostsCount(t *testing.T) {
	r := newTestRegistry(2)
	failedHere, failedElsewhere := target(t, r, "t1"), target(t, r, "t0")
	failedHere.RecordOutcome(Failed, 0)
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), Failed: 1}), 0)
	require.Less(t, failedElsewhere.decayedFailures(0), failedHere.decayedFailures(0))
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), Failed: 6}), 0)
	require.Greater(t, failedElsewhere.decayedFailures(0), failedHere.decayedFailures(0))
	require.Equal(t, "t1", pick(t, r, Query{Allowed: map[string]bool{"t0": true, "t1": true}}), "far target that failed once")
	for range 20 {
		r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), Served: 5}), 0)
	}
	require.Less(t, failedElsewhere.decayedFailures(0), 0.1, "the target works again")
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), Failed: 1000}), 0)
	require.LessOrEqual(t, failedElsewhere.decayedFailures(0), float64(maxFailures))
}

// Two targets with the same key cannot be distinguished, so neither is exchanged.
func TestTargetsWithCollidingKeysAreNotExchanged(t *testing.T) {
	r := newTestRegistry(3)
	require.Len(t, r.Observations(), 3)
	r.peers.targets = nil
	x := target(t, r, "t0")
	r.targets["again"] = x // same ID and start time, so the same key
	require.Len(t, r.Observations(), 2)
	r.ApplyUpdate(newUpdate(loads.TargetUpdate{Key: testKey("t0"), OthersInFlight: 5}), 0)
	require.Zero(t, x.estimate(0))
}

func TestNeedsLoadExchangeHasHysteresis(t *testing.T) {
	r := newTestRegistry(10)
	now := time.Duration(0)
	recordReports := func(perTarget float64, l request.Load) {
		for end := now + 10*time.Second; now < end; now += time.Duration(float64(time.Second) / (10 * perTarget)) {
			for id := range r.targets {
				target(t, r, id).RecordLoadReport(l, now)
				break
			}
			r.NeedsLoadExchange(now)
		}
	}
	require.False(t, r.NeedsLoadExchange(now))
	recordReports(0.3, request.Load{})
	require.True(t, r.NeedsLoadExchange(now))
	recordReports(0.6, request.Load{})
	require.True(t, r.NeedsLoadExchange(now), "below the stop ratio")
	recordReports(3, request.Load{})
	require.False(t, r.NeedsLoadExchange(now))
	recordReports(0.6, request.Load{})
	require.False(t, r.NeedsLoadExchange(now), "above the start ratio")
	recordReports(3, request.Load{Slowdown: 1})
	require.True(t, r.NeedsLoadExchange(now), "targets report a slowdown")
}

// simulation simulates hosts of a data centre that send to the same targets, each with its own
// registry.
type simulation struct {
	scenario
	rng       *rand.Rand
	hosts     []*Registry
	reporters []*loads.Reporter
	board     *loads.Board
	running   map[string]int
	failed    int
	pending   []pendingRequest
	now       time.Duration
}

// pendingRequest is a request in flight, with the time and the outcome of its end.
type pendingRequest struct {
	at      time.Duration
	host    int
	id      string
	outcome Outcome
}

const (
	simExchangeInterval = 100 * time.Millisecond
	simCapacity         = 6
	simResetDelay       = 2 * time.Millisecond
)

// scenario describes a data centre whose targets are half full.
type scenario struct {
	hosts, targets int
	// interval is the time between two requests to the data centre, workTime the mean time of
	// one.
	interval, workTime time.Duration
	// brokenTargets is the number of targets, the first ones, that reset each connection.
	brokenTargets int
}

func newSimulation(s scenario) *simulation {
	const seed = 1
	d := &simulation{scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), board: loads.NewBoard(1), running: map[string]int{}}
	for i := range s.hosts {
		r := NewRegistry("dc", DefaultWeights())
		r.SetSalt(d.rng.Uint64())
		for k := range s.targets {
			r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", k), Service: "s", DataCentre: "dc", Capacity: simCapacity})
		}
		d.hosts = append(d.hosts, r)
		d.reporters = append(d.reporters, loads.NewReporter(uint64(i)+1))
	}
	return d
}

// run returns the mean over time of the busiest target's requests divided by those of the mean
// target. With exchange, hosts exchange loads; with spread, they also know the number of other
// hosts, and so expect their sends.
func (d *simulation) run(exchange, spread bool) float64 {
	sum, samples := 0.0, 0
	for d.now = 0; d.now < 20*time.Second; d.now += d.interval {
		d.finishRequests()
		d.sendRequest()
		for i, r := range d.hosts {
			if exchange && (d.now+time.Duration(i)*d.interval)%simExchangeInterval < d.interval {
				d.exchangeLoads(i, r, spread)
			}
		}
		if d.now > 2*time.Second {
			sum += d.maxOverMean()
			samples++
		}
	}
	return sum / float64(samples)
}

func (d *simulation) exchangeLoads(i int, r *Registry, spread bool) {
	d.reporters[i].Observe(r.Observations())
	l := d.reporters[i].HandleReply(d.board.Exchange(d.reporters[i].NextReport(d.now), d.now), d.now)
	if !spread {
		l.OtherHosts = 0
	}
	r.ApplyUpdate(l, d.now)
}

func (d *simulation) sendRequest() {
	i := d.rng.IntN(len(d.hosts))
	c, _ := d.hosts[i].Pick(Query{Service: "s"}, d.now)
	c.RecordSend(nil, d.now)
	d.running[c.ID]++
	e := pendingRequest{d.now + time.Duration(d.rng.ExpFloat64()*float64(d.workTime)), i, c.ID, Served}
	for k := range d.brokenTargets {
		if c.ID == fmt.Sprintf("t%d", k) {
			e.at, e.outcome = d.now+simResetDelay, Failed
			d.failed++
		}
	}
	d.pending = append(d.pending, e)
}

func (d *simulation) finishRequests() {
	var remaining []pendingRequest
	for _, e := range d.pending {
		if e.at > d.now {
			remaining = append(remaining, e)
			continue
		}
		t, _ := d.hosts[e.host].Target(e.id)
		d.running[e.id]--
		t.RecordOutcome(e.outcome, d.now)
		if e.outcome == Failed {
			continue
		}
		t.RecordLoadReport(request.Load{Running: d.running[e.id], Capacity: simCapacity}, d.now)
	}
	d.pending = remaining
}

func (d *simulation) maxOverMean() float64 {
	most, sum := 0, 0
	for _, n := range d.running {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(d.targets) / float64(max(1, sum))
}

// Hosts with the same information must not all choose the same target.
func TestLoadExchangeSpreadsLoad(t *testing.T) {
	for _, s := range []scenario{
		{17, 27, 8 * time.Millisecond, 640 * time.Millisecond, 0},
		{40, 27, 8 * time.Millisecond, 640 * time.Millisecond, 0},
		{40, 40, 8 * time.Millisecond, 960 * time.Millisecond, 0},
	} {
		noExchange := newSimulation(s).run(false, false)
		exchange := newSimulation(s).run(true, false)
		spread := newSimulation(s).run(true, true)
		t.Logf("%d hosts, %d targets, busiest over mean: no exchange %.2f, exchange %.2f, exchange and spread %.2f", s.hosts, s.targets, noExchange, exchange, spread)
		require.Less(t, spread, 0.85*noExchange)
		require.Less(t, spread, 0.85*exchange)
	}
}

// Hosts that exchange loads learn from each other's failures which targets reset connections,
// instead of each from failed requests of its own.
func TestLoadExchangeHalvesFailuresAtBrokenTargets(t *testing.T) {
	for _, s := range []scenario{
		{17, 27, 4 * time.Millisecond, 320 * time.Millisecond, 3},
		{40, 27, 4 * time.Millisecond, 320 * time.Millisecond, 3},
	} {
		noExchange, exchange := newSimulation(s), newSimulation(s)
		noExchange.run(false, false)
		exchange.run(true, true)
		t.Logf("%d hosts: failures without exchange %d, with exchange %d", s.hosts, noExchange.failed, exchange.failed)
		require.Less(t, exchange.failed, noExchange.failed/2)
	}
}
