package player

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// Delays of the network, the load balancer and the hosts.
const (
	// nearDelay is the one-way delay within a data centre.
	nearDelay = 100 * time.Microsecond
	// unreachableTimeout is the time until a host notices that a partition separates it from
	// a target, or no longer does.
	unreachableTimeout = 500 * time.Millisecond
	// leaveRotationDelay is the time from the start of a partition until the load balancer
	// sends no more callers to the hosts of the partitioned data centre, and
	// rejoinRotationDelay the time from its end until it sends callers there again.
	leaveRotationDelay  = 2200 * time.Millisecond
	rejoinRotationDelay = 1500 * time.Millisecond
	// completionWindow is how long a run continues after the arrivals of programs end.
	completionWindow = time.Minute
	// restartDuration is how long a host is stopped during a restart.
	restartDuration = 1500 * time.Millisecond
)

// Names of the two services.
const (
	engineService = "engines"
	plainService  = "plain"
)

// simulation is the state of one run.
type simulation struct {
	simclock.Clock
	fleet         *Fleet
	pattern       *Pattern
	policy        Policy
	rng           *rand.Rand
	hosts         []*host
	engines       map[string]*engine
	plainTargets  map[string]*plainTarget
	targetIDs     []string                 // in a fixed order, so that runs are reproducible
	partitionedAt map[string]time.Duration // start of the current partition, by data centre
	healedAt      map[string]time.Duration // end of the last partition, by data centre
	result        *Result
	seed          uint64
	boards        boards // nil without load exchange
	reporterCount uint64 // boards and reporters that have an ID
}

func newSimulation(fleet *Fleet, pattern *Pattern, policy Policy, seed uint64) *simulation {
	sim := &simulation{
		fleet: fleet, pattern: pattern, policy: policy, rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, plainTargets: map[string]*plainTarget{},
		partitionedAt: map[string]time.Duration{}, healedAt: map[string]time.Duration{}, result: newResult(pattern, policy.Name, seed), seed: seed,
	}
	engineDataCentres := fleet.EngineDataCentres
	if len(engineDataCentres) == 0 {
		engineDataCentres = fleet.DataCentres
	}
	for i := range fleet.Engines.Count {
		id := fmt.Sprintf("engine-%d", i)
		sim.engines[id] = newEngine(sim, fleet.Engines, i, id, engineDataCentres[i%len(engineDataCentres)], sim.rng)
		sim.targetIDs = append(sim.targetIDs, id)
	}
	for i := range fleet.Plain.Count {
		id := fmt.Sprintf("plain-%d", i)
		sim.plainTargets[id] = newPlainTarget(sim, fleet.Plain, i, id, fleet.DataCentres[i%len(fleet.DataCentres)], sim.rng)
		sim.targetIDs = append(sim.targetIDs, id)
	}
	sim.boards = newBoards(sim)
	for i := range fleet.Hosts {
		sim.hosts = append(sim.hosts, newHost(sim, fleet.DataCentres[i%len(fleet.DataCentres)]))
	}
	for _, ph := range pattern.Phases {
		sim.schedulePhase(ph)
	}
	sim.broadcastLoadReports(1)
	return sim
}

// targetInfo returns what the platform lists of a target.
func (sim *simulation) targetInfo(id string) balance.TargetInfo {
	if e := sim.engines[id]; e != nil {
		return balance.TargetInfo{ID: id, Service: engineService, Address: id, DataCentre: e.dataCentre, Capacity: e.settings.Capacity}
	}
	target := sim.plainTargets[id]
	return balance.TargetInfo{ID: id, Service: plainService, Address: id, DataCentre: target.dataCentre, Capacity: target.settings.Capacity}
}

func (sim *simulation) dataCentreOf(targetID string) string {
	return sim.targetInfo(targetID).DataCentre
}

// isPartitioned reports whether two data centres are separated by a partition of either of them.
func (sim *simulation) isPartitioned(a, b string) bool {
	return a != b && (sim.isCutOff(a) || sim.isCutOff(b))
}

func (sim *simulation) isCutOff(dataCentre string) bool {
	_, cutOff := sim.partitionedAt[dataCentre]
	return cutOff
}

// linkDelay returns the one-way delay between two data centres.
func (sim *simulation) linkDelay(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return simclock.Milliseconds(sim.fleet.LinkDelayMs)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// schedulePhase schedules the effects of a phase on targets, hosts and the network. Its
// effects on the load are evaluated by callers when programs start.
func (sim *simulation) schedulePhase(phase Phase) {
	atStart := func(f func()) { sim.After(seconds(phase.From), f) }
	atEnd := func(f func()) { sim.After(seconds(phase.To), f) }
	switch phase.Kind {
	case PhaseSlowEngines:
		for i := range phase.Count {
			engine := sim.engines[fmt.Sprintf("engine-%d", i)]
			atStart(func() { engine.slowdown *= phase.Value })
			atEnd(func() { engine.slowdown /= phase.Value })
		}
	case PhaseSlowPlainTargets:
		for i := range phase.Count {
			target := sim.plainTargets[fmt.Sprintf("plain-%d", i)]
			atStart(func() { target.slowdown *= phase.Value })
			atEnd(func() { target.slowdown /= phase.Value })
		}
	case PhasePartition:
		atStart(func() { sim.partition(phase.DataCentre) })
		atEnd(func() { sim.heal(phase.DataCentre) })
	case PhaseDrainEngines:
		for i := range phase.Count + int(phase.Share*float64(sim.fleet.Engines.Count)) {
			id := fmt.Sprintf("engine-%d", i)
			atStart(func() { sim.setDraining(id, true) })
			atEnd(func() { sim.setDraining(id, false) })
		}
	case PhaseHostRestarts:
		for i, h := range sim.hosts {
			stopAt := seconds(phase.From) + time.Duration(i)*seconds(phase.Value)
			sim.After(stopAt, h.stop)
			sim.After(stopAt+restartDuration, h.start)
		}
	}
}

// partition separates a data centre from the others.
func (sim *simulation) partition(dataCentre string) {
	sim.partitionedAt[dataCentre] = sim.Now()
	for _, h := range sim.hosts {
		h.failPartitionedAttempts()
	}
	sim.After(unreachableTimeout, sim.updateReachability)
}

// heal ends the partition of a data centre.
func (sim *simulation) heal(dataCentre string) {
	delete(sim.partitionedAt, dataCentre)
	sim.healedAt[dataCentre] = sim.Now()
	sim.After(unreachableTimeout, sim.updateReachability)
}

// updateReachability sets in all registries which targets a host can reach.
func (sim *simulation) updateReachability() {
	for _, h := range sim.hosts {
		for _, id := range sim.targetIDs {
			if target, ok := h.registry.Target(id); ok {
				target.Unreachable = sim.isPartitioned(h.dataCentre, sim.dataCentreOf(id))
			}
		}
	}
}

// setDraining sets at all hosts whether a target is draining.
func (sim *simulation) setDraining(id string, draining bool) {
	for _, h := range sim.hosts {
		info := sim.targetInfo(id)
		info.Draining = draining
		h.registry.SetTarget(info)
	}
}

// selectHost picks a random host for a caller as the load balancer does: one of the caller's
// data centre, or of any if there is none in rotation there; nil if there is none at all.
func (sim *simulation) selectHost(dataCentre string) *host {
	for _, includeFar := range []bool{false, true} {
		var candidates []*host
		for _, h := range sim.hosts {
			if h.running && h.inRotation() && (includeFar || h.dataCentre == dataCentre) {
				candidates = append(candidates, h)
			}
		}
		if len(candidates) > 0 {
			return candidates[sim.rng.IntN(len(candidates))]
		}
	}
	return nil
}

// Run simulates a pattern on a fleet under a policy. It reads fleet and pattern only, so that
// runs may share them concurrently.
func Run(fleet *Fleet, pattern *Pattern, policy Policy, seed uint64) *Result {
	sim := newSimulation(fleet, pattern, policy, seed)
	newCallers(sim, seed)
	end := seconds(pattern.ArrivalSeconds) + completionWindow
	for sim.Now() < end && sim.RunNext() {
	}
	sim.result.computeQuantiles()
	return sim.result
}

// Policy configures the routing decisions of hosts.
type Policy struct {
	Name    string // as FindPolicy takes it
	Weights balance.Weights
	Limits  dispatch.Limits
	// RunRecords is set if hosts get from history hosts which targets ran the turns of a
	// program, also those of turns that other hosts sent.
	RunRecords bool
	// HedgeCalls is set if idempotent calls without an answer after the hedge delay are sent a
	// second time.
	HedgeCalls bool
	// ExchangeLoads is set if hosts exchange their observations of targets through boards.
	ExchangeLoads bool
}
