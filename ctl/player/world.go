package player

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// Pacing of the fleet around the decisions.
const (
	nearDelay = 100 * time.Microsecond // inside a data centre
	// unreachableAfter is when a host finds out that a target is behind a cut.
	unreachableAfter = 500 * time.Millisecond
	// rotationAfter is when the balancer sends callers of a cut data centre elsewhere,
	// and returnAfter when it takes its hosts back.
	rotationAfter = 2200 * time.Millisecond
	returnAfter   = 1500 * time.Millisecond
	// drainAfterEnd is how long a run goes on after the last program has begun.
	drainAfterEnd = time.Minute
	// restartTime is how long a host is away for a restart.
	restartTime = 1500 * time.Millisecond
)

// names of the two services.
const (
	engineService = "engines"
	plainService  = "plain"
)

// world is everything around the decisions of one run.
type world struct {
	simclock.Clock
	fleet   *Fleet
	pattern *Pattern
	policy  Policy
	rng     *rand.Rand
	hosts   []*host
	engines map[string]*engine
	plains  map[string]*plain
	order   []string // ids of targets
	cutAt   map[string]time.Duration
	healed  map[string]time.Duration
	result  *Result
	seed    uint64
	boards  boards
	// reporters counts those that tell boards.
	reporters uint64
}

func newWorld(f *Fleet, p *Pattern, policy Policy, seed uint64) *world {
	w := &world{
		fleet: f, pattern: p, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, plains: map[string]*plain{},
		cutAt: map[string]time.Duration{}, healed: map[string]time.Duration{}, result: newResult(p, policy.Name, seed), seed: seed,
	}
	centres := f.EngineCentres
	if len(centres) == 0 {
		centres = f.Centres
	}
	for i := range f.Engines.Count {
		id := fmt.Sprintf("engine-%d", i)
		w.engines[id] = newEngine(w, f.Engines, i, id, centres[i%len(centres)], w.rng)
		w.order = append(w.order, id)
	}
	for i := range f.Plain.Count {
		id := fmt.Sprintf("plain-%d", i)
		w.plains[id] = newPlain(w, f.Plain, i, id, f.Centres[i%len(f.Centres)], w.rng)
		w.order = append(w.order, id)
	}
	w.boards = newBoards(w)
	for i := range f.Hosts {
		w.hosts = append(w.hosts, newHost(w, f.Centres[i%len(f.Centres)]))
	}
	for _, ph := range p.Phases {
		w.plan(ph)
	}
	w.spreadWords(1)
	return w
}

// listed is what the platform would list of a target.
func (w *world) listed(id string) balance.TargetInfo {
	if e := w.engines[id]; e != nil {
		return balance.TargetInfo{ID: id, Service: engineService, Address: id, DataCentre: e.centre, Capacity: e.s.Places}
	}
	p := w.plains[id]
	return balance.TargetInfo{ID: id, Service: plainService, Address: id, DataCentre: p.centre, Capacity: p.s.Places}
}

func (w *world) centreOf(target string) string { return w.listed(target).DataCentre }

// apart reports whether two data centres are cut off from each other.
func (w *world) apart(a, b string) bool {
	return a != b && (w.isCut(a) || w.isCut(b))
}

func (w *world) isCut(centre string) bool {
	_, cut := w.cutAt[centre]
	return cut
}

func (w *world) link(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return simclock.Milliseconds(w.fleet.LinkMs)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// plan schedules what a phase does to targets and hosts; what it does to the load is
// read when programs begin.
func (w *world) plan(ph Phase) {
	begin := func(f func()) { w.After(seconds(ph.From), f) }
	end := func(f func()) { w.After(seconds(ph.To), f) }
	switch ph.Kind {
	case PhaseSlowEngines:
		for i := range ph.Count {
			e := w.engines[fmt.Sprintf("engine-%d", i)]
			begin(func() { e.speed *= ph.X })
			end(func() { e.speed /= ph.X })
		}
	case PhaseSlowPlain:
		for i := range ph.Count {
			p := w.plains[fmt.Sprintf("plain-%d", i)]
			begin(func() { p.speed *= ph.X })
			end(func() { p.speed /= ph.X })
		}
	case PhaseCut:
		begin(func() { w.cut(ph.DataCentre) })
		end(func() { w.heal(ph.DataCentre) })
	case PhaseLeave:
		for i := range ph.Count + int(ph.Share*float64(w.fleet.Engines.Count)) {
			id := fmt.Sprintf("engine-%d", i)
			begin(func() { w.drain(id, true) })
			end(func() { w.drain(id, false) })
		}
	case PhaseRestarts:
		for i, h := range w.hosts {
			at := seconds(ph.From) + time.Duration(i)*seconds(ph.X)
			w.After(at, h.stop)
			w.After(at+restartTime, h.start)
		}
	}
}

func (w *world) cut(centre string) {
	w.cutAt[centre] = w.Now()
	for _, h := range w.hosts {
		h.loseAcross()
	}
	w.After(unreachableAfter, w.setReachable)
}

func (w *world) heal(centre string) {
	delete(w.cutAt, centre)
	w.healed[centre] = w.Now()
	w.After(unreachableAfter, w.setReachable)
}

// setReachable tells hosts which targets they can reach.
func (w *world) setReachable() {
	for _, h := range w.hosts {
		for _, id := range w.order {
			if t, ok := h.registry.Target(id); ok {
				t.Unreachable = w.apart(h.centre, w.centreOf(id))
			}
		}
	}
}

func (w *world) drain(id string, draining bool) {
	for _, h := range w.hosts {
		l := w.listed(id)
		l.Draining = draining
		h.registry.SetTarget(l)
	}
}

// balance returns a host for a caller of a data centre, as the balancer in front of
// the hosts picks one; nil if none is there.
func (w *world) balance(centre string) *host {
	for _, far := range []bool{false, true} {
		var list []*host
		for _, h := range w.hosts {
			if h.up && h.inRotation() && (far || h.centre == centre) {
				list = append(list, h)
			}
		}
		if len(list) > 0 {
			return list[w.rng.IntN(len(list))]
		}
	}
	return nil
}

// Run plays a pattern on a fleet under a policy.
func Run(f *Fleet, p *Pattern, policy Policy, seed uint64) *Result {
	w := newWorld(f, p, policy, seed)
	newCallers(w, seed)
	end := seconds(p.Seconds) + drainAfterEnd
	for w.Now() < end && w.RunNext() {
	}
	w.result.close()
	return w.result
}

// Policy is how the hosts decide.
type Policy struct {
	Name    string
	Weights balance.Weights
	Limits  dispatch.Limits
	// Ran: hosts are told where the turns of a program ran, also through other hosts.
	Ran bool
	// Second: idempotent calls that take long are sent a second time.
	Second bool
	// Loads: hosts tell each other what they see of the targets.
	Loads bool
}
