package replay

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// Intervals and delays of a replay, on virtual time.
const (
	tickInterval      = 50 * time.Millisecond // of hosts
	reportInterval    = time.Second           // of engines
	platformRoundTrip = 2 * time.Millisecond
	nearDelay         = 100 * time.Microsecond // one way inside a data centre
	startupTime       = 6 * time.Second        // before the trace starts, for the hosts to join
)

// simulation is the state of one replay: the hosts and everything they interact with.
type simulation struct {
	simclock.Clock
	trace         *Trace
	policy        string
	seed          uint64
	platform      *objectStore
	hosts         []*entryHost
	hostsByName   map[string]*entryHost
	engines       map[string]*engine
	partitioned   map[string]bool // data centres partitioned from all others and from the platform
	draining      map[string]bool // targets
	configVersion uint64          // of the declaration
	hostConfig    host.Config

	callers *callers
	result  *Result
	audit   *audit
}

// entryHost is one entry host.
type entryHost struct {
	sim         *simulation
	name        string
	dc          string
	alive       bool
	incarnation int // grows with each start
	host        *host.Host
	waiters     map[uint64]func(host.Outcome) // by id of the request
	lastWaiter  uint64
	stepCount   uint64 // events so far
}

func newSimulation(t *Trace, policy string, seed uint64, hostConfig host.Config) (*simulation, error) {
	sim := &simulation{
		trace: t, policy: policy, seed: seed, platform: newObjectStore(), hostsByName: map[string]*entryHost{}, engines: map[string]*engine{},
		partitioned: map[string]bool{}, draining: map[string]bool{}, hostConfig: hostConfig,
	}
	sim.result = &Result{Trace: t.Header.Trace, Policy: policy}
	sim.audit = newAudit(sim)
	for _, x := range t.Header.Targets {
		sim.engines[x.Name] = newEngine(sim, x)
	}
	if err := sim.applyDeclaration(); err != nil {
		return nil, err
	}
	for _, h := range t.Header.Hosts {
		e := &entryHost{sim: sim, name: h.Name, dc: h.DataCentre}
		sim.hosts = append(sim.hosts, e)
		sim.hostsByName[h.Name] = e
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	sim.callers = newCallers(sim)
	sim.After(reportInterval, sim.broadcastReports)
	return sim, nil
}

// applyDeclaration writes the declaration of the header's services and targets to the
// platform. While the platform is down, it tries again every second.
func (sim *simulation) applyDeclaration() error {
	var b strings.Builder
	for _, s := range sim.trace.Header.Services {
		objective := s.Objective
		if objective == "" {
			objective = "latency"
		}
		fmt.Fprintf(&b, "[service %q]\nobjective = %s\nqueue_limit = 100000\nretry_ratio = 0.5\ntimeout = 60s\nhistory_tokens = 100000000\nrepeat_limit = 0\nturn_limit = 100000\n", s.Name, objective)
	}
	for _, t := range sim.trace.Header.Targets {
		fmt.Fprintf(&b, "[target %q]\nservice = %s\ndata_centre = %s\nurl = http://%s\nbatch = %d\ncache_tokens = %d\nprefill = %s\ndecode = %s\nleaving = %v\n",
			t.Name, t.Service, t.DataCentre, t.Name, t.BatchSize, t.CacheTokens, simclock.Milliseconds(t.PrefillMS), simclock.Milliseconds(t.DecodeMS), sim.draining[t.Name])
	}
	sim.configVersion++
	body, err := json.Marshal(host.ConfigObject{Version: sim.configVersion, Nonce: "replay", Text: b.String()})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "declaration")
	}
	status := host.OpOK
	sim.platform.execute(host.PlatformOp{Kind: host.OpPut, Key: host.ConfigKey, IfVersion: sim.configVersion - 1, Body: body},
		func(r *host.PlatformReply) { status = r.Status })
	if status != host.OpOK { // the platform is down: the operator retries
		sim.configVersion--
		sim.After(time.Second, func() { _ = sim.applyDeclaration() }) // cannot fail: the same kind of text was encoded before
	}
	return nil
}

func (e *entryHost) address() string { return e.name }

// start starts a new incarnation of the host.
func (e *entryHost) start() error {
	cfg := e.sim.hostConfig
	cfg.Host, cfg.DataCentre, cfg.Address = e.name, e.dc, e.address()
	e.incarnation++
	cfg.Incarnation = fmt.Sprintf("i%d", e.incarnation)
	cfg.Seed = e.sim.seed
	cfg.Policy = e.sim.policy
	h, err := host.New(cfg)
	if err != nil {
		return err
	}
	e.host, e.alive, e.waiters = h, true, map[uint64]func(host.Outcome){}
	e.step(&host.Start{Seeds: e.seeds()})
	e.tick(e.incarnation)
	return nil
}

// seeds returns the addresses of the other hosts.
func (e *entryHost) seeds() []string {
	var all []string
	for _, h := range e.sim.trace.Header.Hosts {
		if h.Name != e.name {
			all = append(all, h.Name)
		}
	}
	return all
}

// tick sends ticks to the host until the incarnation ends.
func (e *entryHost) tick(incarnation int) {
	if !e.alive || incarnation != e.incarnation {
		return
	}
	e.step(&host.Tick{})
	e.sim.After(tickInterval, func() { e.tick(incarnation) })
}

// after runs f after a delay if the incarnation is still alive then.
func (e *entryHost) after(d time.Duration, f func()) {
	incarnation := e.incarnation
	e.sim.After(d, func() {
		if e.alive && incarnation == e.incarnation {
			f()
		}
	})
}

// step passes an event to the host, if it is alive, and executes the actions that result.
func (e *entryHost) step(ev host.Event) {
	if !e.alive {
		return
	}
	e.stepCount++
	e.host.Step(e.sim.Now(), ev)
	ready := e.host.Ready()
	replaced := ready.Lost
	e.execute(ready)
	if replaced && e.alive {
		e.restart()
	}
}

// restart starts a new incarnation after another member has replaced this one.
func (e *entryHost) restart() {
	e.alive = false
	e.sim.After(nearDelay, func() { _ = e.start() }) // cannot fail: the settings were checked at the first start
}

// execute executes the actions that the host has decided on.
func (e *entryHost) execute(ready *host.Ready) {
	sim := e.sim
	for _, op := range slices.Clone(ready.Ops) {
		e.sendPlatformOp(op)
	}
	for _, m := range ready.Messages {
		e.sendMessage(m)
	}
	for _, id := range ready.Cancels {
		for _, target := range sim.engines {
			target.cancel(id)
		}
	}
	for _, s := range ready.Sends {
		e.sendCall(s)
	}
	for _, r := range ready.Releases {
		e.sendRelease(r)
	}
	for _, r := range ready.Replies {
		if done := e.waiters[r.Waiter]; done != nil {
			delete(e.waiters, r.Waiter)
			done(r.Outcome)
		}
	}
	for _, n := range ready.Notes {
		sim.audit.recordNote(e, n)
	}
}

// sendPlatformOp sends an operation to the platform and its reply back.
func (e *entryHost) sendPlatformOp(op host.PlatformOp) {
	e.after(platformRoundTrip/2, func() {
		if e.sim.partitioned[e.dc] {
			if op.Kind != host.OpWatch {
				e.step(&host.PlatformReply{ID: op.ID, Status: host.OpUnavailable})
			}
			return // a watch gets no reply
		}
		e.sim.platform.execute(op, func(r *host.PlatformReply) {
			e.after(platformRoundTrip/2, func() { e.step(r) })
		})
	})
}

// sendMessage sends a message to another host; a dead one refuses it.
func (e *entryHost) sendMessage(m host.PeerMessage) {
	to := e.sim.hostsByName[m.Address]
	if to == nil || e.sim.isPartitioned(e.dc, to.dc) {
		return
	}
	if !to.alive {
		e.after(nearDelay, func() { e.step(&host.PeerRefused{Address: m.Address}) })
		return
	}
	to.after(e.sim.linkDelay(e.dc, to.dc), func() { to.step(&host.PeerFrame{Frame: m.Frame}) })
}

// isPartitioned reports whether two data centres are partitioned from each other.
func (sim *simulation) isPartitioned(a, b string) bool {
	return a != b && (sim.partitioned[a] || sim.partitioned[b])
}

// linkDelay returns the one-way delay between two data centres.
func (sim *simulation) linkDelay(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return simclock.Milliseconds(sim.trace.Header.LinkMS)
}

// sendCall sends a call to an engine and its outcome back.
func (e *entryHost) sendCall(s host.Send) {
	sim := e.sim
	target := sim.engines[s.Target.Name]
	delay := sim.linkDelay(e.dc, target.header.DataCentre)
	c := &engineCall{send: s, sender: e, done: func(d *host.TargetDone) {
		if sim.isPartitioned(e.dc, target.header.DataCentre) && d.Outcome == host.TargetAnswered {
			return // the partition drops the answer
		}
		e.after(delay, func() { e.step(d) })
	}}
	c.promptTokens, c.outputTokens = sim.callers.callTokens(s.Call)
	e.after(delay, func() {
		if sim.isPartitioned(e.dc, target.header.DataCentre) {
			c.finish(host.TargetRefused, host.Usage{})
			return
		}
		target.submit(c)
	})
}

// sendRelease sends the release of a program's cache to an engine; one that is dead
// counts as released.
func (e *entryHost) sendRelease(r host.Release) {
	sim := e.sim
	target := sim.engines[r.Target.Name]
	e.after(sim.linkDelay(e.dc, target.header.DataCentre), func() {
		ok := target.alive && !target.frozen && !sim.isPartitioned(e.dc, target.header.DataCentre)
		if ok {
			target.evict(r.Program)
		}
		e.step(&host.ReleaseDone{Target: r.Target.Name, Program: r.Program, OK: ok || !target.alive})
	})
}

// broadcastReports reports the delayed queue length and the cached programs of each
// reachable engine to every host.
func (sim *simulation) broadcastReports() {
	for _, name := range sim.engineNames() {
		target := sim.engines[name]
		for _, e := range sim.hosts {
			if target.alive && !target.frozen && !sim.isPartitioned(e.dc, target.header.DataCentre) {
				e.step(&host.TargetReport{Target: name, Queued: target.reportedQueue(), CachedPrograms: slices.Clone(target.recentPrograms)})
			}
		}
	}
	sim.After(reportInterval, sim.broadcastReports)
}

// engineNames returns the names of the engines in the order of the header.
func (sim *simulation) engineNames() []string {
	names := make([]string, 0, len(sim.trace.Header.Targets))
	for _, t := range sim.trace.Header.Targets {
		names = append(names, t.Name)
	}
	return names
}

// applyFault applies one fault of the trace.
func (sim *simulation) applyFault(f Line) {
	switch f.Fault {
	case FaultTargetDies:
		sim.engines[f.Target].die()
	case FaultTargetReturns:
		target := sim.engines[f.Target]
		target.alive, target.frozen = true, false
		target.fillBatch()
	case FaultTargetFreezes:
		sim.engines[f.Target].frozen = true
	case FaultTargetDrains:
		sim.draining[f.Target] = true
		_ = sim.applyDeclaration() // cannot fail: the same kind of text was encoded before
	case FaultHostDies:
		sim.killHost(sim.hostsByName[f.Host])
	case FaultHostReturns:
		if e := sim.hostsByName[f.Host]; !e.alive {
			_ = e.start() // cannot fail: the settings were checked at the first start
		}
	case FaultDataCentrePartitioned:
		sim.partitioned[f.DataCentre] = true
	case FaultDataCentreHeals:
		delete(sim.partitioned, f.DataCentre)
	case FaultPlatformDown:
		sim.platform.down = true
	case FaultPlatformUp:
		sim.platform.down = false
		sim.platform.notify()
	}
}

// killHost ends the process of a host: engines drop its calls, and the requests that wait
// for it fail with an unknown outcome.
func (sim *simulation) killHost(e *entryHost) {
	if !e.alive {
		return
	}
	e.alive = false
	for _, name := range sim.engineNames() {
		sim.engines[name].dropCallsFrom(e)
	}
	waiters := e.waiters
	e.waiters = nil
	for _, id := range sortedIDs(waiters) {
		waiters[id](host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "host died")})
	}
}

func sortedIDs(m map[uint64]func(host.Outcome)) []uint64 {
	ids := make([]uint64, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// answerFor returns the answer of a call. It is different for each call of each program.
func answerFor(p ident.Program, sequence uint32) []byte {
	return fmt.Appendf(nil, "%s/%d", p, sequence)
}
