package replay

import (
	"fmt"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// Retries of callers, and of entry hosts that forward requests, in a replay.
const (
	callerTimeout     = 10 * time.Minute       // for the creation of a program, then for each call
	callerRetryDelay  = 100 * time.Millisecond // minimum
	forwardTimeout    = 20 * time.Second
	forwardRetryDelay = 50 * time.Millisecond
	programBudget     = int64(1) << 40 // tokens; no program of a trace exhausts it
)

// callers are the callers of the trace. Each submits its program's calls one after
// another.
type callers struct {
	sim        *simulation
	programs   map[string]*programRun // by name
	byID       map[ident.Program]*programRun
	nextHost   map[string]int // counter of the round robin over hosts, by data centre
	unfinished int            // programs
}

// programRun is the state of one program as its caller knows it.
type programRun struct {
	callers   *callers
	program   *Program
	id        ident.Program // empty until the program is created
	nextCall  int           // index of the next call
	startedAt time.Duration // first attempt to create the program
	pauses    time.Duration // sum of the pauses between calls
	giveUpAt  time.Duration // end of the retries
	ended     bool
	onCreated []func() // starts of sub-agents
}

// newCallers schedules the programs and the faults of the trace.
func newCallers(sim *simulation) *callers {
	c := &callers{sim: sim, programs: map[string]*programRun{}, byID: map[ident.Program]*programRun{}, nextHost: map[string]int{}, unfinished: len(sim.trace.Programs)}
	for _, p := range sim.trace.Programs {
		r := &programRun{callers: c, program: p}
		c.programs[p.Name] = r
		sim.After(startupTime+simclock.Milliseconds(p.AtMS), r.create)
	}
	for _, f := range sim.trace.Faults {
		sim.After(startupTime+simclock.Milliseconds(f.AtMS), func() { sim.applyFault(f) })
	}
	return c
}

// callTokens returns the size of a call in tokens, as the trace states it.
func (c *callers) callTokens(id host.CallID) (prompt, output int64) {
	call := c.byID[id.Program].program.Calls[id.Sequence]
	return call.PromptTokens, call.OutputTokens
}

// selectHost returns the next live host of the data centre; if it has none, of those of
// other data centres that it reaches; nil if there is none.
func (c *callers) selectHost(dc string) *entryHost {
	var near, reachable []*entryHost
	for _, e := range c.sim.hosts {
		if !e.alive || c.sim.isPartitioned(dc, e.dc) {
			continue
		}
		reachable = append(reachable, e)
		if e.dc == dc {
			near = append(near, e)
		}
	}
	if len(near) == 0 {
		near = reachable
	}
	if len(near) == 0 {
		return nil
	}
	c.nextHost[dc]++
	return near[c.nextHost[dc]%len(near)]
}

// create creates the program; that of a sub-agent waits for its parent.
func (r *programRun) create() {
	parent := ident.Program("")
	if r.program.Parent != "" {
		p := r.callers.programs[r.program.Parent]
		if p == nil || p.ended {
			r.fail(failure.New(failure.ProgramEnded, "parent program has ended"))
			return
		}
		if p.id == "" {
			p.onCreated = append(p.onCreated, r.create)
			return
		}
		parent = p.id
	}
	if r.startedAt == 0 {
		r.startedAt = r.callers.sim.Now()
		r.giveUpAt = r.startedAt + callerTimeout
	}
	first := r.program.Calls[0]
	r.send(first.DataCentre, parent, func(waiter uint64) host.Event {
		return &host.CreateProgram{Waiter: waiter, Caller: first.Caller, Service: first.Service, Parent: parent, Budget: programBudget, Key: r.program.Name}
	}, func(out host.Outcome) {
		if out.Failure != nil {
			r.retryOrFail(out.Failure, r.create)
			return
		}
		r.id = out.Program
		r.callers.byID[r.id] = r
		for _, f := range r.onCreated {
			f()
		}
		r.submitNextCall()
	})
}

// submitNextCall submits the next call of the program.
func (r *programRun) submitNextCall() {
	l := r.program.Calls[r.nextCall]
	idempotent := l.Idempotent == nil || *l.Idempotent
	r.send(l.DataCentre, r.id, func(waiter uint64) host.Event {
		return &host.SubmitCall{
			Waiter: waiter, Caller: l.Caller, Program: r.id, Sequence: l.Sequence, Service: l.Service, Idempotent: idempotent,
			PromptTokens: l.PromptTokens, MaxTokens: l.OutputTokens, Prompt: fmt.Appendf(nil, "%s/%d", r.program.Name, l.Sequence),
		}
	}, func(out host.Outcome) {
		if out.Failure != nil {
			r.retryOrFail(out.Failure, r.submitNextCall)
			return
		}
		r.handleAnswer(l, out)
	})
}

// handleAnswer checks an answer, then ends the program or schedules its next call.
func (r *programRun) handleAnswer(l Line, out host.Outcome) {
	r.callers.sim.audit.checkAnswer(r, l, out)
	r.callers.sim.result.Answered++
	r.nextCall++
	r.giveUpAt = r.callers.sim.Now() + callerTimeout
	if l.Last || r.nextCall == len(r.program.Calls) {
		r.complete()
		return
	}
	r.pauses += simclock.Milliseconds(l.PauseMS)
	r.callers.sim.After(simclock.Milliseconds(l.PauseMS), r.submitNextCall)
}

// retryOrFail retries a request unless its failure is final or the caller's timeout has
// passed.
func (r *programRun) retryOrFail(f *failure.Failure, again func()) {
	final := f.RetryAfter == 0 && f.Kind != failure.PeerUnavailable
	if final || r.callers.sim.Now() > r.giveUpAt {
		r.fail(f)
		return
	}
	r.callers.sim.After(max(callerRetryDelay, f.RetryAfter), again)
}

// complete counts a program whose calls were all answered.
func (r *programRun) complete() {
	sim := r.callers.sim
	sim.result.Completed++
	sim.result.latencies = append(sim.result.latencies, sim.Now()-r.startedAt-r.pauses)
	r.endProgram()
}

// fail counts a program whose request failed for good.
func (r *programRun) fail(f *failure.Failure) {
	sim := r.callers.sim
	if f.Ran == failure.RanNo {
		sim.result.NotRun++
	} else {
		sim.result.Unknown++
	}
	sim.audit.recordFailure(r, f)
	r.endProgram()
}

// endProgram ends the program at the hosts, which release its cache.
func (r *programRun) endProgram() {
	sim := r.callers.sim
	r.ended = true
	r.callers.unfinished--
	if r.id == "" {
		return
	}
	sim.audit.recordEnd(r.id)
	r.sendEnd()
}

// sendEnd sends the end of the program, every second until a host accepts it or no longer
// knows the program.
func (r *programRun) sendEnd() {
	first := r.program.Calls[0]
	r.send(first.DataCentre, r.id, func(waiter uint64) host.Event {
		return &host.EndProgram{Waiter: waiter, Caller: first.Caller, Program: r.id}
	}, func(out host.Outcome) {
		if out.Failure != nil && out.Failure.Kind != failure.UnknownProgram {
			r.callers.sim.After(time.Second, r.sendEnd)
		}
	})
}

// send sends a request from a caller through an entry host to the slot's owner, and
// passes its outcome to done.
func (r *programRun) send(dc string, program ident.Program, newEvent func(waiter uint64) host.Event, done func(host.Outcome)) {
	sim := r.callers.sim
	clientDelay := simclock.Milliseconds(sim.trace.Header.ClientMS)
	e := r.callers.selectHost(dc)
	if e == nil {
		sim.After(callerRetryDelay, func() {
			done(host.Outcome{Failure: failure.Retry(failure.PeerUnavailable, callerRetryDelay, "no entry host is reachable")})
		})
		return
	}
	sim.After(clientDelay, func() {
		req := &forwardedRequest{sim: sim, entry: e, incarnation: e.incarnation, program: program, newEvent: newEvent, deadline: sim.Now() + forwardTimeout}
		req.done = func(out host.Outcome) { sim.After(clientDelay, func() { done(out) }) }
		req.attempt()
	})
}

// forwardedRequest is one request that an entry host forwards to the owner of its slot.
type forwardedRequest struct {
	sim         *simulation
	entry       *entryHost
	incarnation int           // of the entry host at the start
	program     ident.Program // empty if the request creates one
	newEvent    func(waiter uint64) host.Event
	deadline    time.Duration // of retries
	mayHaveRun  bool          // an attempt may have run the call
	done        func(host.Outcome)
}

// attempt forwards the request once. Without a reachable owner it retries later.
func (req *forwardedRequest) attempt() {
	e := req.entry
	if !e.alive || e.incarnation != req.incarnation {
		req.done(host.Outcome{Failure: failure.Unknown(failure.PeerUnavailable, "entry host died")})
		return
	}
	owner := req.owner()
	if owner == nil || !owner.alive || req.sim.isPartitioned(e.dc, owner.dc) {
		req.retryOrFail(failure.Retry(failure.PeerUnavailable, time.Second, "owner of the slot is unreachable"))
		return
	}
	delay := time.Duration(0)
	if owner != e {
		delay = req.sim.linkDelay(e.dc, owner.dc)
	}
	owner.after(delay, func() {
		owner.lastWaiter++
		id := owner.lastWaiter
		owner.waiters[id] = func(out host.Outcome) { req.sim.After(delay, func() { req.handleOutcome(out) }) }
		owner.step(req.newEvent(id))
	})
}

// owner returns the host that owns the request's slot according to the entry host, or the
// one that creates new programs; nil if the owner is unknown.
func (req *forwardedRequest) owner() *entryHost {
	if req.program == "" {
		if address := req.entry.host.NewProgramAddress(); address != "" {
			return req.sim.hostsByName[address]
		}
		return req.entry
	}
	slot, err := req.program.Slot()
	if err != nil {
		return nil
	}
	address, _, found, _ := req.entry.host.Owner(slot)
	if !found {
		return nil
	}
	return req.sim.hostsByName[address]
}

// handleOutcome retries failures of routing and passes every other outcome to the
// caller.
func (req *forwardedRequest) handleOutcome(out host.Outcome) {
	if f := out.Failure; f != nil {
		req.mayHaveRun = req.mayHaveRun || f.Ran != failure.RanNo
		switch f.Kind {
		case failure.NotOwner, failure.Moving, failure.PeerUnavailable:
			req.retryOrFail(f)
			return
		}
	}
	req.done(out)
}

// retryOrFail attempts the request again until its deadline, then fails.
func (req *forwardedRequest) retryOrFail(f *failure.Failure) {
	if req.sim.Now() < req.deadline {
		req.sim.After(forwardRetryDelay, req.attempt)
		return
	}
	final := *f
	final.RetryAfter = max(final.RetryAfter, time.Second)
	if req.mayHaveRun {
		final.Ran = failure.RanUnknown
	}
	req.done(host.Outcome{Failure: &final})
}
