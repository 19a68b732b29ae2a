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

func learned(told ...loads.Told) loads.Learned {
	return loads.Learned{Fresh: true, Hosts: 16, Told: told}
}

func keyOf(id string) loads.Key { return loads.KeyOf(id, 0) }

func TestOthersRequestsCountUntilTheBoardIsSilent(t *testing.T) {
	r := registryOf(2)
	x := target(t, r, "t0")
	x.RecordSend(nil, 0)
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Others: 6}), 0)
	require.Equal(t, 7, x.estimate(toldTrust))
	require.Equal(t, 4, x.estimate(toldTrust+toldHalfLife))
	require.Equal(t, 1, x.estimate(10*time.Second), "its own")
	r.ApplyUpdate(loads.Learned{Fresh: true, Reset: true}, 10*time.Second)
	require.Equal(t, 1, x.estimate(10*time.Second), "another board has told nothing yet")
	r.ApplyUpdate(loads.Learned{Hosts: 16}, 20*time.Second)
	require.Equal(t, 10*time.Second, r.UpdateAge(20*time.Second), "no answer")
}

func TestANewerWordOfOthersReplacesTheOwn(t *testing.T) {
	r := registryOf(1)
	x := target(t, r, "t0")
	x.RecordLoadReport(request.Load{Running: 9, Places: 10}, time.Second)
	word := loads.Word{Load: request.Load{Running: 2, Slowdown: 3}, At: 900 * time.Millisecond}
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Word: word, HasWord: true}), 1100*time.Millisecond)
	require.Equal(t, 9, x.reported.Running, "an older one")
	word.At = 1050 * time.Millisecond
	x.RecordSend(nil, 1080*time.Millisecond)
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Word: word, HasWord: true}), 1100*time.Millisecond)
	require.Equal(t, request.Load{Running: 3, Slowdown: 3}, x.reported, "with what this host has sent since")
	require.Equal(t, word.At, x.reportedAt)
	require.Equal(t, 10, x.Capacity)
	require.Equal(t, 9, r.Observations()[0].Word.Load.Running, "its own word is what it tells")
}

func TestWhatIsToldOfAStartIsNotOfTheNext(t *testing.T) {
	r := NewRegistry("dc0", DefaultWeights())
	r.SetTarget(TargetInfo{ID: "t0", Service: "s", DataCentre: "dc0", Capacity: 10, StartedAtMs: 1})
	r.ApplyUpdate(learned(loads.Told{Key: loads.KeyOf("t0", 1), Others: 5, Failed: 9}), 0)
	require.Equal(t, 5, target(t, r, "t0").estimate(0))
	r.SetTarget(TargetInfo{ID: "t0", Service: "s", DataCentre: "dc0", Capacity: 10, StartedAtMs: 2})
	r.ApplyUpdate(learned(loads.Told{Key: loads.KeyOf("t0", 1), Others: 7, Failed: 9}), 0)
	require.Zero(t, target(t, r, "t0").estimate(0))
	require.Zero(t, target(t, r, "t0").faults)
}

// One failure that another host tells of weighs less than an own one, several count.
func TestFailuresOfOthersCount(t *testing.T) {
	r := registryOf(2)
	own, other := target(t, r, "t1"), target(t, r, "t0")
	own.RecordOutcome(Failed, 0)
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Failed: 1}), 0)
	require.Less(t, other.fade(0), own.fade(0))
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Failed: 6}), 0)
	require.Greater(t, other.fade(0), own.fade(0))
	require.Equal(t, "t1", pick(t, r, Query{Allowed: map[string]bool{"t0": true, "t1": true}}), "far, and failed once")
	for range 20 {
		r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Served: 5}), 0)
	}
	require.Less(t, other.fade(0), 0.1, "it works again")
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Failed: 1000}), 0)
	require.LessOrEqual(t, other.fade(0), float64(faultMost))
}

// Targets of which two have the same key are not told of.
func TestSharedKeysAreLeftOut(t *testing.T) {
	r := registryOf(3)
	require.Len(t, r.Observations(), 3)
	r.sharing.listed = nil
	x := target(t, r, "t0")
	r.targets["again"] = x // the same id and start
	require.Len(t, r.Observations(), 2)
	r.ApplyUpdate(learned(loads.Told{Key: keyOf("t0"), Others: 5}), 0)
	require.Zero(t, x.estimate(0))
}

func TestHushedWithHysteresis(t *testing.T) {
	r := registryOf(10)
	now := time.Duration(0)
	hear := func(perTarget float64, l request.Load) {
		for end := now + 10*time.Second; now < end; now += time.Duration(float64(time.Second) / (10 * perTarget)) {
			for id := range r.targets {
				target(t, r, id).RecordLoadReport(l, now)
				break
			}
			r.NeedsLoadExchange(now)
		}
	}
	require.False(t, r.NeedsLoadExchange(now))
	hear(0.3, request.Load{})
	require.True(t, r.NeedsLoadExchange(now))
	hear(0.6, request.Load{})
	require.True(t, r.NeedsLoadExchange(now), "not far enough above")
	hear(3, request.Load{})
	require.False(t, r.NeedsLoadExchange(now))
	hear(0.6, request.Load{})
	require.False(t, r.NeedsLoadExchange(now), "not far enough below")
	hear(3, request.Load{Slowdown: 1})
	require.True(t, r.NeedsLoadExchange(now), "targets tell a slowdown")
}

// dataCentre is hosts that send to the same targets, each by its own registry.
type dataCentre struct {
	scene
	rng     *rand.Rand
	hosts   []*Registry
	tellers []*loads.Reporter
	board   *loads.Board
	running map[string]int
	failed  int
	ends    []end
	now     time.Duration
}

// end is when a request ends.
type end struct {
	at      time.Duration
	host    int
	id      string
	outcome Outcome
}

const (
	simExchange = 100 * time.Millisecond
	simPlaces   = 6
	simReset    = 2 * time.Millisecond
)

// scene is a data centre whose targets are half full.
type scene struct {
	hosts, targets int
	// every is between two requests to the data centre, work how long one takes.
	every, work time.Duration
	// broken targets, the first ones, reset each connection.
	broken int
}

func newDataCentre(s scene) *dataCentre {
	const seed = 1
	d := &dataCentre{scene: s, rng: rand.New(rand.NewPCG(seed, 1)), board: loads.NewBoard(1), running: map[string]int{}}
	for i := range s.hosts {
		r := NewRegistry("dc", DefaultWeights())
		r.SetSalt(d.rng.Uint64())
		for k := range s.targets {
			r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", k), Service: "s", DataCentre: "dc", Capacity: simPlaces})
		}
		d.hosts = append(d.hosts, r)
		d.tellers = append(d.tellers, loads.NewReporter(uint64(i)+1))
	}
	return d
}

// play returns the mean over time of the busiest target's requests over the mean target's.
func (d *dataCentre) play(shared, spread bool) float64 {
	sum, samples := 0.0, 0
	for d.now = 0; d.now < 20*time.Second; d.now += d.every {
		d.finish()
		d.send()
		for i, r := range d.hosts {
			if shared && (d.now+time.Duration(i)*d.every)%simExchange < d.every {
				d.exchange(i, r, spread)
			}
		}
		if d.now > 2*time.Second {
			sum += d.unevenness()
			samples++
		}
	}
	return sum / float64(samples)
}

func (d *dataCentre) exchange(i int, r *Registry, spread bool) {
	d.tellers[i].Note(r.Observations())
	l := d.tellers[i].Take(d.board.Exchange(d.tellers[i].Report(d.now), d.now), d.now)
	if !spread {
		l.Hosts = 0
	}
	r.ApplyUpdate(l, d.now)
}

func (d *dataCentre) send() {
	i := d.rng.IntN(len(d.hosts))
	c, _ := d.hosts[i].Pick(Query{Service: "s"}, d.now)
	c.RecordSend(nil, d.now)
	d.running[c.ID]++
	e := end{d.now + time.Duration(d.rng.ExpFloat64()*float64(d.work)), i, c.ID, Served}
	for k := range d.broken {
		if c.ID == fmt.Sprintf("t%d", k) {
			e.at, e.outcome = d.now+simReset, Failed
			d.failed++
		}
	}
	d.ends = append(d.ends, e)
}

func (d *dataCentre) finish() {
	var left []end
	for _, e := range d.ends {
		if e.at > d.now {
			left = append(left, e)
			continue
		}
		t, _ := d.hosts[e.host].Target(e.id)
		d.running[e.id]--
		t.RecordOutcome(e.outcome, d.now)
		if e.outcome == Failed {
			continue
		}
		t.RecordLoadReport(request.Load{Running: d.running[e.id], Places: simPlaces}, d.now)
	}
	d.ends = left
}

func (d *dataCentre) unevenness() float64 {
	most, sum := 0, 0
	for _, n := range d.running {
		most, sum = max(most, n), sum+n
	}
	return float64(most) * float64(d.targets) / float64(max(1, sum))
}

// Hosts that know the same do not all choose the same target.
func TestSharingSpreadsLoad(t *testing.T) {
	for _, s := range []scene{
		{17, 27, 8 * time.Millisecond, 640 * time.Millisecond, 0},
		{40, 27, 8 * time.Millisecond, 640 * time.Millisecond, 0},
		{40, 40, 8 * time.Millisecond, 960 * time.Millisecond, 0},
	} {
		alone := newDataCentre(s).play(false, false)
		herd := newDataCentre(s).play(true, false)
		spread := newDataCentre(s).play(true, true)
		t.Logf("%d hosts, %d targets, busiest over mean: alone %.2f, told %.2f, told and spread %.2f", s.hosts, s.targets, alone, herd, spread)
		require.Less(t, spread, 0.85*alone)
		require.Less(t, spread, 0.85*herd)
	}
}

// Hosts find targets that reset connections together, not each by itself.
func TestBrokenTargetsAreFoundTogether(t *testing.T) {
	for _, s := range []scene{
		{17, 27, 4 * time.Millisecond, 320 * time.Millisecond, 3},
		{40, 27, 4 * time.Millisecond, 320 * time.Millisecond, 3},
	} {
		alone, told := newDataCentre(s), newDataCentre(s)
		alone.play(false, false)
		told.play(true, true)
		t.Logf("%d hosts: failed alone %d, told %d", s.hosts, alone.failed, told.failed)
		require.Less(t, told.failed, alone.failed/2)
	}
}
