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
//   - It runs at most batch calls at once. The others wait; the one with the highest
//     Priority number is started first, and among equals the earliest.
//   - A call takes the prefill time for each prompt token that is not cached, then the
//     decode time for each output token. The number of running calls does not change
//     the speed of a call.
//   - The prefix cache holds the tokens of whole programs. A call caches its program.
//     If the cache is then too large, the least recently used programs without a
//     running call are evicted.
//   - Reports of the queue are report_lag_ms old.
type engine struct {
	sim            *simulation
	header         HeaderTarget
	alive          bool
	frozen         bool
	incarnation    int // grows when the engine dies, which cancels its scheduled events
	running        []*engineCall
	waiting        []*engineCall
	cache          map[ident.Program]int64         // tokens
	recentPrograms []ident.Program                 // cached ones, least recently used first
	cachedTokens   int64                           // sum over the cache
	queueHistory   []queueSample                   // oldest first
	endedAt        map[ident.Program]time.Duration // end times of programs that ended while cached
}

// engineCall is one call that a host sent to an engine.
type engineCall struct {
	send         host.Send
	sender       *entryHost
	promptTokens int64 // without those of the history
	outputTokens int64
	done         func(*host.TargetDone)
}

// queueSample is the length of the queue from one instant on.
type queueSample struct {
	at     time.Duration
	length int
}

func newEngine(sim *simulation, h HeaderTarget) *engine {
	return &engine{sim: sim, header: h, alive: true, cache: map[ident.Program]int64{}, endedAt: map[ident.Program]time.Duration{}}
}

// submit runs or queues a call, whose done is called with its outcome; a dead engine
// refuses it.
func (e *engine) submit(c *engineCall) {
	if !e.alive {
		c.finish(host.TargetRefused, host.Usage{})
		return
	}
	e.waiting = append(e.waiting, c)
	e.fillBatch()
	e.recordQueue()
}

// finish reports the outcome of a call to its sender.
func (c *engineCall) finish(o host.TargetOutcome, u host.Usage) {
	c.done(&host.TargetDone{
		Call: c.send.Call, Target: c.send.Target.Name, Outcome: o, Usage: u, Echo: c.send.Call.ID(),
		Answer: answerFor(c.send.Call.Program, c.send.Call.Sequence),
	})
}

// fillBatch starts waiting calls until the batch is full. A frozen engine starts none.
func (e *engine) fillBatch() {
	for !e.frozen && len(e.running) < e.header.BatchSize && len(e.waiting) > 0 {
		best := 0
		for i, c := range e.waiting {
			if c.send.Priority > e.waiting[best].send.Priority {
				best = i
			}
		}
		c := e.waiting[best]
		e.waiting = slices.Delete(e.waiting, best, best+1)
		e.startCall(c)
	}
}

// startCall starts a call and schedules its completion.
func (e *engine) startCall(c *engineCall) {
	e.running = append(e.running, c)
	program := c.send.Call.Program
	history := e.sim.recordStart(e, c)
	total := history + c.promptTokens
	cached := min(e.cache[program], history)
	e.sim.recordRecomputedTokens(history - cached)
	e.cacheProgram(program, total)
	duration := simclock.Milliseconds(e.header.PrefillMS)*time.Duration(total-cached) + simclock.Milliseconds(e.header.DecodeMS)*time.Duration(c.outputTokens)
	incarnation := e.incarnation
	e.sim.After(duration, func() {
		if incarnation != e.incarnation || !slices.Contains(e.running, c) {
			return
		}
		e.completeCall(c, host.Usage{Prompt: total, Output: c.outputTokens, Cached: cached})
	})
}

// completeCall ends a call; on a frozen engine it tries again every second.
func (e *engine) completeCall(c *engineCall, u host.Usage) {
	if e.frozen {
		incarnation := e.incarnation
		e.sim.After(time.Second, func() {
			if incarnation == e.incarnation && slices.Contains(e.running, c) {
				e.completeCall(c, u)
			}
		})
		return
	}
	e.running = slices.DeleteFunc(e.running, func(x *engineCall) bool { return x == c })
	if _, cached := e.cache[c.send.Call.Program]; cached {
		e.cacheProgram(c.send.Call.Program, u.Prompt+u.Output)
	}
	c.finish(host.TargetAnswered, u)
	e.fillBatch()
	e.recordQueue()
}

// cancel drops a call that its sender has cancelled.
func (e *engine) cancel(id host.CallID) {
	match := func(c *engineCall) bool { return c.send.Call == id }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	e.running = slices.DeleteFunc(e.running, match)
	e.fillBatch()
}

// dropCallsFrom drops the calls of a host that died: their connections are reset, and
// an engine neither starts nor continues a call whose connection is closed.
func (e *engine) dropCallsFrom(sender *entryHost) {
	match := func(c *engineCall) bool { return c.sender == sender }
	e.waiting = slices.DeleteFunc(e.waiting, match)
	e.running = slices.DeleteFunc(e.running, match)
	e.fillBatch()
}

// cacheProgram sets a program's cached tokens, then evicts others while the cache is too
// large.
func (e *engine) cacheProgram(program ident.Program, tokens int64) {
	e.cachedTokens += tokens - e.cache[program]
	e.cache[program] = tokens
	e.recentPrograms = slices.DeleteFunc(e.recentPrograms, func(p ident.Program) bool { return p == program })
	e.recentPrograms = append(e.recentPrograms, program)
	for i := 0; e.cachedTokens > e.header.CacheTokens && i < len(e.recentPrograms)-1; {
		if victim := e.recentPrograms[i]; e.hasRunningCall(victim) {
			i++
		} else {
			e.evict(victim)
		}
	}
}

func (e *engine) hasRunningCall(program ident.Program) bool {
	return slices.ContainsFunc(e.running, func(c *engineCall) bool { return c.send.Call.Program == program })
}

// evict removes a program from the cache. The tokens it held since the program's end are
// counted as waste.
func (e *engine) evict(program ident.Program) {
	tokens, cached := e.cache[program]
	if !cached {
		return
	}
	if end, ended := e.endedAt[program]; ended {
		e.sim.recordHeldTokens(tokens, e.sim.Now()-end)
		delete(e.endedAt, program)
	}
	e.cachedTokens -= tokens
	delete(e.cache, program)
	e.recentPrograms = slices.DeleteFunc(e.recentPrograms, func(p ident.Program) bool { return p == program })
}

// recordProgramEnd starts the time for which the cache of an ended program counts as
// waste.
func (e *engine) recordProgramEnd(program ident.Program) {
	if _, cached := e.cache[program]; cached {
		e.endedAt[program] = e.sim.Now()
	}
}

// die ends the engine's process: all its calls break and its cache is lost.
func (e *engine) die() {
	e.alive, e.frozen = false, false
	e.incarnation++
	calls := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, p := range slices.Clone(e.recentPrograms) {
		e.evict(p)
	}
	for _, c := range calls {
		c.finish(host.TargetLost, host.Usage{})
	}
}

// recordQueue records the length of the queue.
func (e *engine) recordQueue() {
	e.queueHistory = append(e.queueHistory, queueSample{e.sim.Now(), len(e.waiting)})
}

// reportedQueue returns the length of the queue report_lag_ms ago and discards the older
// samples.
func (e *engine) reportedQueue() int {
	reportedAt := e.sim.Now() - simclock.Milliseconds(e.header.ReportLagMS)
	latest, n := 0, 0
	for n < len(e.queueHistory) && e.queueHistory[n].at <= reportedAt {
		latest = e.queueHistory[n].length
		n++
	}
	e.queueHistory = e.queueHistory[max(0, n-1):]
	return latest
}
