package replay

import (
	"fmt"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// Behaviour of callers and of the entry hosts' routing in a replay.
const (
	callerPatience  = 10 * time.Minute
	callerRetry     = 100 * time.Millisecond
	forwardPatience = 20 * time.Second
	forwardRetry    = 50 * time.Millisecond
	programBudget   = int64(1) << 40
)

// callers follow the trace: each submits its program's calls one after another.
type callers struct {
	w        *world
	programs map[string]*running
	byID     map[ident.Program]*running
	turn     map[string]int // which host of a data centre the balancer takes next
	left     int
}

// running is one program as its caller sees it.
type running struct {
	c      *callers
	p      *Program
	id     ident.Program
	at     int // next call
	begun  time.Duration
	paused time.Duration
	giveUp time.Duration
	over   bool
	onOpen []func()
}

func newCallers(w *world) *callers {
	c := &callers{w: w, programs: map[string]*running{}, byID: map[ident.Program]*running{}, turn: map[string]int{}, left: len(w.trace.Programs)}
	for _, p := range w.trace.Programs {
		r := &running{c: c, p: p}
		c.programs[p.Name] = r
		w.After(settleBefore+simclock.Milliseconds(p.AtMS), r.open)
	}
	for _, f := range w.trace.Faults {
		w.After(settleBefore+simclock.Milliseconds(f.AtMS), func() { w.fault(f) })
	}
	return c
}

// tokens tells the size of a call; the trace knows it before the engine does.
func (c *callers) tokens(id host.CallID) (prompt, output int64) {
	l := c.byID[id.Program].p.Calls[id.Sequence]
	return l.PromptTokens, l.OutputTokens
}

// balance picks a living host of the data centre, else any.
func (c *callers) balance(dc string) *entry {
	var near, any []*entry
	for _, e := range c.w.hosts {
		if !e.alive || c.w.apart(dc, e.dc) {
			continue
		}
		any = append(any, e)
		if e.dc == dc {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		near = any
	}
	if len(near) == 0 {
		return nil
	}
	c.turn[dc]++
	return near[c.turn[dc]%len(near)]
}

// open creates the program, a sub-agent after its parent.
func (r *running) open() {
	parent := ident.Program("")
	if r.p.Parent != "" {
		p := r.c.programs[r.p.Parent]
		if p == nil || p.over {
			r.end(failure.New(failure.ProgramEnded, "the parent has ended"))
			return
		}
		if p.id == "" {
			p.onOpen = append(p.onOpen, r.open)
			return
		}
		parent = p.id
	}
	if r.begun == 0 {
		r.begun = r.c.w.Now()
		r.giveUp = r.begun + callerPatience
	}
	first := r.p.Calls[0]
	r.ask(first.DataCentre, parent, func(waiter uint64) host.Event {
		return &host.CreateProgram{Waiter: waiter, Caller: first.Caller, Service: first.Service, Parent: parent, Budget: programBudget, Key: r.p.Name}
	}, func(out host.Outcome) {
		if out.Failure != nil {
			r.retry(out.Failure, r.open)
			return
		}
		r.id = out.Program
		r.c.byID[r.id] = r
		for _, f := range r.onOpen {
			f()
		}
		r.call()
	})
}

// call submits the next call of the program.
func (r *running) call() {
	l := r.p.Calls[r.at]
	idempotent := l.Idempotent == nil || *l.Idempotent
	r.ask(l.DataCentre, r.id, func(waiter uint64) host.Event {
		return &host.SubmitCall{
			Waiter: waiter, Caller: l.Caller, Program: r.id, Sequence: l.Sequence, Service: l.Service, Idempotent: idempotent,
			PromptTokens: l.PromptTokens, MaxTokens: l.OutputTokens, Prompt: fmt.Appendf(nil, "%s/%d", r.p.Name, l.Sequence),
		}
	}, func(out host.Outcome) {
		if out.Failure != nil {
			r.retry(out.Failure, r.call)
			return
		}
		r.answered(l, out)
	})
}

func (r *running) answered(l Line, out host.Outcome) {
	r.c.w.audit.answered(r, l, out)
	r.c.w.result.Answered++
	r.at++
	r.giveUp = r.c.w.Now() + callerPatience
	if l.Last || r.at == len(r.p.Calls) {
		r.finish()
		return
	}
	r.paused += simclock.Milliseconds(l.PauseMS)
	r.c.w.After(simclock.Milliseconds(l.PauseMS), r.call)
}

// retry tries a call again unless its failure is final.
func (r *running) retry(f *failure.Failure, again func()) {
	final := f.RetryAfter == 0 && f.Kind != failure.PeerUnavailable
	if final || r.c.w.Now() > r.giveUp {
		r.end(f)
		return
	}
	r.c.w.After(max(callerRetry, f.RetryAfter), again)
}

// finish counts a program that got all its answers.
func (r *running) finish() {
	w := r.c.w
	w.result.Completed++
	w.result.latencies = append(w.result.latencies, w.Now()-r.begun-r.paused)
	r.close()
}

// end counts a program whose call was given up.
func (r *running) end(f *failure.Failure) {
	w := r.c.w
	if f.Ran == failure.RanNo {
		w.result.NotRun++
	} else {
		w.result.Unknown++
	}
	w.audit.gaveUp(r, f)
	r.close()
}

// close ends the program at the hosts, which frees its cache.
func (r *running) close() {
	w := r.c.w
	r.over = true
	r.c.left--
	if r.id == "" {
		return
	}
	w.audit.ended(r.id)
	r.askEnd()
}

func (r *running) askEnd() {
	first := r.p.Calls[0]
	r.ask(first.DataCentre, r.id, func(waiter uint64) host.Event {
		return &host.EndProgram{Waiter: waiter, Caller: first.Caller, Program: r.id}
	}, func(out host.Outcome) {
		if out.Failure != nil && out.Failure.Kind != failure.UnknownProgram {
			r.c.w.After(time.Second, r.askEnd)
		}
	})
}

// ask brings a request from a caller through an entry host to its owner, and
// the outcome back.
func (r *running) ask(dc string, program ident.Program, make func(waiter uint64) host.Event, done func(host.Outcome)) {
	w := r.c.w
	client := simclock.Milliseconds(w.trace.Header.ClientMS)
	e := r.c.balance(dc)
	if e == nil {
		w.After(callerRetry, func() {
			done(host.Outcome{Failure: failure.Retry(failure.PeerUnavailable, callerRetry, "no host answers")})
		})
		return
	}
	w.After(client, func() {
		rt := &routing{w: w, entry: e, life: e.life, program: program, make: make, until: w.Now() + forwardPatience}
		rt.done = func(out host.Outcome) { w.After(client, func() { done(out) }) }
		rt.try()
	})
}

// routing is one request on its way to the owner of its slot.
type routing struct {
	w       *world
	entry   *entry
	life    int
	program ident.Program
	make    func(waiter uint64) host.Event
	until   time.Duration
	maybe   bool
	done    func(host.Outcome)
}

func (rt *routing) try() {
	e := rt.entry
	if !e.alive || e.life != rt.life {
		rt.done(host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "the entry host died")})
		return
	}
	to := rt.owner()
	if to == nil || !to.alive || rt.w.apart(e.dc, to.dc) {
		rt.again(failure.Retry(failure.PeerUnavailable, time.Second, "no owner can be reached"))
		return
	}
	delay := time.Duration(0)
	if to != e {
		delay = rt.w.link(e.dc, to.dc)
	}
	to.later(delay, func() {
		to.next++
		id := to.next
		to.waiters[id] = func(out host.Outcome) { rt.w.After(delay, func() { rt.outcome(out) }) }
		to.step(rt.make(id))
	})
}

func (rt *routing) owner() *entry {
	if rt.program == "" {
		if address := rt.entry.machine.NewProgramAddress(); address != "" {
			return rt.w.byName[address]
		}
		return rt.entry
	}
	slot, err := rt.program.Slot()
	if err != nil {
		return nil
	}
	address, _, found, _ := rt.entry.machine.Owner(slot)
	if !found {
		return nil
	}
	return rt.w.byName[address]
}

func (rt *routing) outcome(out host.Outcome) {
	if f := out.Failure; f != nil {
		rt.maybe = rt.maybe || f.Ran != failure.RanNo
		switch f.Kind {
		case failure.NotOwner, failure.Moving, failure.PeerUnavailable:
			rt.again(f)
			return
		}
	}
	rt.done(out)
}

func (rt *routing) again(f *failure.Failure) {
	if rt.w.Now() < rt.until {
		rt.w.After(forwardRetry, rt.try)
		return
	}
	g := *f
	g.RetryAfter = max(g.RetryAfter, time.Second)
	if rt.maybe {
		g.Ran = failure.RanUnknown
	}
	rt.done(host.Outcome{Failure: &g})
}
