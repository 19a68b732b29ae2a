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

// Pacing of a replay.
const (
	tickEvery     = 50 * time.Millisecond
	reportEvery   = time.Second
	platformDelay = 2 * time.Millisecond
	nearDelay     = 100 * time.Microsecond // inside a data centre
	settleBefore  = 6 * time.Second        // the hosts join before the trace begins
)

// world is everything around the decisions of one replay.
type world struct {
	simclock.Clock
	trace    *Trace
	policy   string
	seed     uint64
	platform *objects
	hosts    []*entry
	byName   map[string]*entry
	engines  map[string]*engine
	cut      map[string]bool // data centres that are cut off
	leaving  map[string]bool
	config   uint64 // version of the declaration
	settings host.Config

	callers *callers
	result  *Result
	audit   *audit
}

// entry is one entry host.
type entry struct {
	w       *world
	name    string
	dc      string
	alive   bool
	life    int
	machine *host.Host
	waiters map[uint64]func(host.Outcome)
	next    uint64
	steps   uint64
}

func newWorld(t *Trace, policy string, seed uint64, settings host.Config) (*world, error) {
	w := &world{
		trace: t, policy: policy, seed: seed, platform: newObjects(), byName: map[string]*entry{}, engines: map[string]*engine{},
		cut: map[string]bool{}, leaving: map[string]bool{}, settings: settings,
	}
	w.result = &Result{Trace: t.Header.Trace, Policy: policy}
	w.audit = newAudit(w)
	for _, x := range t.Header.Targets {
		w.engines[x.Name] = newEngine(w, x)
	}
	if err := w.declare(); err != nil {
		return nil, err
	}
	for _, h := range t.Header.Hosts {
		e := &entry{w: w, name: h.Name, dc: h.DataCentre}
		w.hosts = append(w.hosts, e)
		w.byName[h.Name] = e
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	w.callers = newCallers(w)
	w.After(reportEvery, w.report)
	return w, nil
}

// declare puts the header's services and targets in force.
func (w *world) declare() error {
	var b strings.Builder
	for _, s := range w.trace.Header.Services {
		objective := s.Objective
		if objective == "" {
			objective = "latency"
		}
		fmt.Fprintf(&b, "[service %q]\nobjective = %s\nqueue_limit = 100000\nretry_ratio = 0.5\ntimeout = 60s\nhistory_tokens = 100000000\nrepeat_limit = 0\nturn_limit = 100000\n", s.Name, objective)
	}
	for _, t := range w.trace.Header.Targets {
		fmt.Fprintf(&b, "[target %q]\nservice = %s\ndata_centre = %s\nurl = http://%s\nbatch = %d\ncache_tokens = %d\nprefill = %s\ndecode = %s\nleaving = %v\n",
			t.Name, t.Service, t.DataCentre, t.Name, t.Batch, t.CacheTokens, simclock.Milliseconds(t.PrefillMS), simclock.Milliseconds(t.DecodeMS), w.leaving[t.Name])
	}
	w.config++
	body, err := json.Marshal(host.ConfigObject{Version: w.config, Nonce: "replay", Text: b.String()})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "declaration")
	}
	status := host.OpOK
	w.platform.do(host.PlatformOp{Kind: host.OpPut, Key: host.ConfigKey, IfVersion: w.config - 1, Body: body},
		func(r *host.PlatformReply) { status = r.Status })
	if status != host.OpOK { // the platform is down: the operator tries again
		w.config--
		w.After(time.Second, func() { _ = w.declare() }) // the text was encoded once
	}
	return nil
}

func (e *entry) address() string { return e.name }

// start begins a new incarnation.
func (e *entry) start() error {
	cfg := e.w.settings
	cfg.Host, cfg.DataCentre, cfg.Address = e.name, e.dc, e.address()
	e.life++
	cfg.Incarnation = fmt.Sprintf("i%d", e.life)
	cfg.Seed = e.w.seed
	cfg.Policy = e.w.policy
	m, err := host.New(cfg)
	if err != nil {
		return err
	}
	e.machine, e.alive, e.waiters = m, true, map[uint64]func(host.Outcome){}
	e.step(&host.Start{Seeds: e.seeds()})
	e.tick(e.life)
	return nil
}

func (e *entry) seeds() []string {
	var all []string
	for _, h := range e.w.trace.Header.Hosts {
		if h.Name != e.name {
			all = append(all, h.Name)
		}
	}
	return all
}

func (e *entry) tick(life int) {
	if !e.alive || life != e.life {
		return
	}
	e.step(&host.Tick{})
	e.w.After(tickEvery, func() { e.tick(life) })
}

// later runs f after a delay if this incarnation still lives.
func (e *entry) later(d time.Duration, f func()) {
	life := e.life
	e.w.After(d, func() {
		if e.alive && life == e.life {
			f()
		}
	})
}

func (e *entry) step(ev host.Event) {
	if !e.alive {
		return
	}
	e.steps++
	e.machine.Step(e.w.Now(), ev)
	rd := e.machine.Ready()
	lost := rd.Lost
	e.carryOut(rd)
	if lost && e.alive {
		e.restart()
	}
}

// restart begins again after another member took this one's place.
func (e *entry) restart() {
	e.alive = false
	e.w.After(nearDelay, func() { _ = e.start() }) // the settings were checked at the first start
}

func (e *entry) carryOut(rd *host.Ready) {
	w := e.w
	for _, op := range slices.Clone(rd.Ops) {
		e.operate(op)
	}
	for _, m := range rd.Messages {
		e.message(m)
	}
	for _, id := range rd.Cancels {
		for _, t := range w.engines {
			t.cancel(id)
		}
	}
	for _, s := range rd.Sends {
		e.send(s)
	}
	for _, r := range rd.Releases {
		e.release(r)
	}
	for _, r := range rd.Replies {
		if done := e.waiters[r.Waiter]; done != nil {
			delete(e.waiters, r.Waiter)
			done(r.Outcome)
		}
	}
	for _, n := range rd.Notes {
		w.audit.note(e, n)
	}
}

func (e *entry) operate(op host.PlatformOp) {
	e.later(platformDelay/2, func() {
		if e.w.cut[e.dc] {
			if op.Kind != host.OpWatch {
				e.step(&host.PlatformReply{ID: op.ID, Status: host.OpUnavailable})
			}
			return // a watch hangs
		}
		e.w.platform.do(op, func(r *host.PlatformReply) {
			e.later(platformDelay/2, func() { e.step(r) })
		})
	})
}

func (e *entry) message(m host.PeerMessage) {
	to := e.w.byName[m.Address]
	if to == nil || e.w.apart(e.dc, to.dc) {
		return
	}
	if !to.alive {
		e.later(nearDelay, func() { e.step(&host.PeerRefused{Address: m.Address}) })
		return
	}
	to.later(e.w.link(e.dc, to.dc), func() { to.step(&host.PeerFrame{Frame: m.Frame}) })
}

// apart reports whether two data centres are cut off from each other.
func (w *world) apart(a, b string) bool { return a != b && (w.cut[a] || w.cut[b]) }

func (w *world) link(a, b string) time.Duration {
	if a == b {
		return nearDelay
	}
	return simclock.Milliseconds(w.trace.Header.LinkMS)
}

func (e *entry) send(s host.Send) {
	w := e.w
	t := w.engines[s.Target.Name]
	delay := w.link(e.dc, t.header.DataCentre)
	c := &engineCall{send: s, from: e, done: func(d *host.TargetDone) {
		if w.apart(e.dc, t.header.DataCentre) && d.Outcome == host.TargetAnswered {
			return // the answer does not get through
		}
		e.later(delay, func() { e.step(d) })
	}}
	c.prompt, c.output = w.callers.tokens(s.Call)
	e.later(delay, func() {
		if w.apart(e.dc, t.header.DataCentre) {
			c.finish(host.TargetRefused, host.Usage{})
			return
		}
		t.submit(c)
	})
}

func (e *entry) release(r host.Release) {
	w := e.w
	t := w.engines[r.Target.Name]
	e.later(w.link(e.dc, t.header.DataCentre), func() {
		ok := t.alive && !t.frozen && !w.apart(e.dc, t.header.DataCentre)
		if ok {
			t.drop(r.Program)
		}
		e.step(&host.ReleaseDone{Target: r.Target.Name, Program: r.Program, OK: ok || !t.alive})
	})
}

// report gives every host the lagging loads and the lists of what is kept.
func (w *world) report() {
	for _, name := range w.engineNames() {
		t := w.engines[name]
		for _, e := range w.hosts {
			if t.alive && !t.frozen && !w.apart(e.dc, t.header.DataCentre) {
				e.step(&host.TargetReport{Target: name, Queued: t.report(), CachedPrograms: slices.Clone(t.used)})
			}
		}
	}
	w.After(reportEvery, w.report)
}

func (w *world) engineNames() []string {
	names := make([]string, 0, len(w.trace.Header.Targets))
	for _, t := range w.trace.Header.Targets {
		names = append(names, t.Name)
	}
	return names
}

// fault brings one fault of the trace about.
func (w *world) fault(f Line) {
	switch f.Fault {
	case FaultTargetDies:
		w.engines[f.Target].die()
	case FaultTargetReturns:
		t := w.engines[f.Target]
		t.alive, t.frozen = true, false
		t.start()
	case FaultTargetFreezes:
		w.engines[f.Target].frozen = true
	case FaultTargetLeaves:
		w.leaving[f.Target] = true
		_ = w.declare() // the text was encoded once
	case FaultHostDies:
		w.hostDies(w.byName[f.Host])
	case FaultHostReturns:
		if e := w.byName[f.Host]; !e.alive {
			_ = e.start() // the settings were checked at the first start
		}
	case FaultCentreCut:
		w.cut[f.DataCentre] = true
	case FaultCentreHeals:
		delete(w.cut, f.DataCentre)
	case FaultPlatformDown:
		w.platform.down = true
	case FaultPlatformUp:
		w.platform.down = false
		w.platform.notify()
	}
}

// hostDies ends a host; those who wait for it notice.
func (w *world) hostDies(e *entry) {
	if !e.alive {
		return
	}
	e.alive = false
	for _, name := range w.engineNames() {
		w.engines[name].hangUp(e)
	}
	lost := e.waiters
	e.waiters = nil
	for _, id := range sortedIDs(lost) {
		lost[id](host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "the host died")})
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

func answerFor(p ident.Program, sequence uint32) []byte {
	return fmt.Appendf(nil, "%s/%d", p, sequence)
}
