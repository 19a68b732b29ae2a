package replay

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// engine models a model engine.
//
//   - It runs up to batch calls at once; the others wait, the highest priority
//     first, then in order of arrival.
//   - A call takes prefill time for each prompt token that is not in the cache,
//     then decode time for each output token; the batch size does not change
//     the speed of one call.
//   - The prefix cache keeps the tokens of whole programs. A call puts its
//     program in; when the cache is full the least recently used programs that
//     have no call running are evicted.
//   - Reports of load and cache are as old as report_lag_ms.
type engine struct {
	w       *world
	header  HeaderTarget
	alive   bool
	frozen  bool
	birth   int // grows when the engine dies, to void what was scheduled
	running []*engineCall
	waiting []*engineCall
	cache   map[ident.Program]int64
	used    []ident.Program // least recently used first
	tokens  int64           // in the cache
	queued  []queuedAt
	ended   map[ident.Program]time.Duration // programs that ended while cached
}

type engineCall struct {
	send   host.Send
	from   *entry
	prompt int64 // new tokens
	output int64
	done   func(*host.TargetDone)
}

type queuedAt struct {
	at time.Duration
	n  int
}

func newEngine(w *world, h HeaderTarget) *engine {
	return &engine{w: w, header: h, alive: true, cache: map[ident.Program]int64{}, ended: map[ident.Program]time.Duration{}}
}

// submit takes a call; done is called when it is over.
func (e *engine) submit(c *engineCall) {
	if !e.alive {
		c.finish(host.TargetRefused, host.Usage{})
		return
	}
	e.waiting = append(e.waiting, c)
	e.start()
	e.noteQueue()
}

func (c *engineCall) finish(o host.TargetOutcome, u host.Usage) {
	c.done(&host.TargetDone{
		Call: c.send.Call, Target: c.send.Target.Name, Outcome: o, Usage: u, Echo: c.send.Call.ID(),
		Answer: answerFor(c.send.Call.Program, c.send.Call.Sequence),
	})
}

// start fills the batch from those that wait.
func (e *engine) start() {
	for !e.frozen && len(e.running) < e.header.Batch && len(e.waiting) > 0 {
		best := 0
		for i, c := range e.waiting {
			if c.send.Priority > e.waiting[best].send.Priority {
				best = i
			}
		}
		c := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.run(c)
	}
}

func (e *engine) run(c *engineCall) {
	e.running = append(e.running, c)
	program := c.send.Call.Program
	history := e.w.started(e, c)
	total := history + c.prompt
	cached := min(e.cache[program], history)
	e.w.recomputed(history - cached)
	e.keep(program, total)
	took := simclock.Milliseconds(e.header.PrefillMS)*time.Duration(total-cached) + simclock.Milliseconds(e.header.DecodeMS)*time.Duration(c.output)
	birth := e.birth
	e.w.After(took, func() {
		if birth != e.birth || !slices.Contains(e.running, c) {
			return
		}
		e.complete(c, host.Usage{Prompt: total, Output: c.output, Cached: cached})
	})
}

// complete ends a call, or holds it while the engine is frozen.
func (e *engine) complete(c *engineCall, u host.Usage) {
	if e.frozen {
		birth := e.birth
		e.w.After(time.Second, func() {
			if birth == e.birth && slices.Contains(e.running, c) {
				e.complete(c, u)
			}
		})
		return
	}
	e.running = slices.DeleteFunc(e.running, func(x *engineCall) bool { return x == c })
	if _, kept := e.cache[c.send.Call.Program]; kept {
		e.keep(c.send.Call.Program, u.Prompt+u.Output)
	}
	c.finish(host.TargetAnswered, u)
	e.start()
	e.noteQueue()
}

// cancel drops a call whose sender has given it up.
func (e *engine) cancel(id host.CallID) {
	match := func(c *engineCall) bool { return c.send.Call == id }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	e.running = slices.DeleteFunc(e.running, match)
	e.start()
}

// hangUp drops the calls of a host that died: their connections are reset, and
// an engine does not start, or go on with, a call whose caller is gone.
func (e *engine) hangUp(from *entry) {
	match := func(c *engineCall) bool { return c.from == from }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	e.running = slices.DeleteFunc(e.running, match)
	e.start()
}

// keep puts a program's tokens in the cache and evicts others if need be.
func (e *engine) keep(program ident.Program, tokens int64) {
	e.tokens += tokens - e.cache[program]
	e.cache[program] = tokens
	e.used = slices.DeleteFunc(e.used, func(p ident.Program) bool { return p == program })
	e.used = append(e.used, program)
	for i := 0; e.tokens > e.header.CacheTokens && i < len(e.used)-1; {
		if victim := e.used[i]; e.busy(victim) {
			i++
		} else {
			e.drop(victim)
		}
	}
}

func (e *engine) busy(program ident.Program) bool {
	return slices.ContainsFunc(e.running, func(c *engineCall) bool { return c.send.Call.Program == program })
}

// drop frees a program's cache; what was held after the program's end is waste.
func (e *engine) drop(program ident.Program) {
	tokens, kept := e.cache[program]
	if !kept {
		return
	}
	if end, over := e.ended[program]; over {
		e.w.held(tokens, e.w.Now()-end)
		delete(e.ended, program)
	}
	e.tokens -= tokens
	delete(e.cache, program)
	e.used = slices.DeleteFunc(e.used, func(p ident.Program) bool { return p == program })
}

// programEnded starts the count of tokens held for nothing.
func (e *engine) programEnded(program ident.Program) {
	if _, kept := e.cache[program]; kept {
		e.ended[program] = e.w.Now()
	}
}

// die loses all calls and the cache.
func (e *engine) die() {
	e.alive, e.frozen = false, false
	e.birth++
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, p := range slices.Clone(e.used) {
		e.drop(p)
	}
	for _, c := range lost {
		c.finish(host.TargetLost, host.Usage{})
	}
}

func (e *engine) noteQueue() {
	e.queued = append(e.queued, queuedAt{e.w.Now(), len(e.waiting)})
}

// report is the queue as it was report_lag_ms ago.
func (e *engine) report() int {
	limit := e.w.Now() - simclock.Milliseconds(e.header.ReportLagMS)
	last, n := 0, 0
	for n < len(e.queued) && e.queued[n].at <= limit {
		last = e.queued[n].n
		n++
	}
	e.queued = e.queued[max(0, n-1):]
	return last
}
