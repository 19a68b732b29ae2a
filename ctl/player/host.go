package player

import (
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/hedge"
	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// retryLater is when a caller may come back after a refusal by targets.
const retryLater = 100 * time.Millisecond

// host is one entry host: the decisions of the role, and a model of its connections.
type host struct {
	w          *world
	centre     string
	up         bool
	registry   *balance.Registry
	dispatcher *dispatch.Dispatcher
	hedger     *hedge.Hedger
	idle       map[string][]time.Duration // by target, when connections fell idle
	open       []*sending                 // in the order of sending, so that a run repeats
	teller     *loads.Reporter
}

// outcome is what a caller sees of one attempt.
type outcome struct {
	ok bool
	// notRun is true for a refusal; comeBack is then when to try again.
	notRun   bool
	comeBack time.Duration
}

// sending is one request at a target.
type sending struct {
	target  string
	load    float64       // of the target when it was sent, in places
	at      time.Duration // when it was sent
	missing int64
	heard   time.Duration // when its last event came
	cancel  func()
	fail    func()
}

func newHost(w *world, centre string) *host {
	h := &host{w: w, centre: centre}
	h.start()
	return h
}

func (h *host) start() {
	h.up = true
	h.registry = balance.NewRegistry(h.centre, h.w.policy.Weights)
	h.hedger = hedge.New()
	h.dispatcher = dispatch.New(h.registry, h.w.policy.Limits)
	h.idle, h.open = map[string][]time.Duration{}, nil
	for _, id := range h.w.order {
		h.registry.SetTarget(h.w.listed(id))
	}
	h.exchangeLater()
}

// stop takes the host away in good order: what it has sent goes on.
func (h *host) stop() { h.up = false }

// inRotation reports whether the balancer sends callers here.
func (h *host) inRotation() bool {
	if at, cut := h.w.cutAt[h.centre]; cut {
		return h.w.Now()-at < rotationAfter
	}
	if at, was := h.w.healed[h.centre]; was {
		return h.w.Now()-at > returnAfter
	}
	return true
}

// loseAcross ends the sendings that a cut goes through.
func (h *host) loseAcross() {
	for _, s := range h.open {
		if h.w.apart(h.centre, h.w.centreOf(s.target)) {
			h.w.After(unreachableAfter, s.fail)
		}
	}
}

// turn is one turn as the host serves it.
type turn struct {
	h        *host
	parts    []request.Part
	prompt   int
	tokens   int
	own      request.Part
	underWay bool
	draw     float64
	deadline time.Duration // of the caller
	began    time.Duration
	retained bool
	attempts int
	class    *Class
	program  *program
	tried    map[string]bool
	reply    func(outcome)
	over     bool
	sending  *sending
}

// serve begins a turn: history hosts first.
func (t *turn) serve() {
	w := t.h.w
	t.tried = map[string]bool{}
	if at, cut := w.cutAt[t.h.centre]; cut {
		t.end(outcome{notRun: true, comeBack: max(retryLater, rotationAfter-(w.Now()-at))})
		return
	}
	w.After(t.deadline-w.Now(), func() { t.abandon() })
	w.After(simclock.Milliseconds(w.fleet.HistoryReadMs), func() {
		t.learn()
		t.route()
	})
}

// learn takes from history hosts which targets have read the beginning of the prompt.
func (t *turn) learn() {
	if !t.h.w.policy.RunRecords {
		return
	}
	for i, p := range t.parts {
		if x, ok := t.h.registry.Target(t.program.ran[p.ID]); ok {
			x.MarkCached(t.parts[:i+1], t.h.w.Now())
		}
	}
}

// abandon ends the turn at its deadline.
func (t *turn) abandon() {
	if t.over {
		return
	}
	if t.sending != nil {
		t.sending.cancel()
		t.done(balance.Failed)
	}
	t.end(outcome{})
}

func (t *turn) end(o outcome) {
	if !t.over {
		t.over = true
		t.reply(o)
	}
}

func (t *turn) route() {
	if t.over {
		return
	}
	h, w := t.h, t.h.w
	v := h.dispatcher.Decide(dispatch.Request{
		Query:          balance.Query{Service: engineService, Parts: t.parts, PromptTokens: int64(t.prompt), Exclude: t.tried},
		ProgramStarted: t.underWay, Draw: t.draw,
	}, w.Now())
	switch v.Action {
	case dispatch.NoTarget:
		t.end(outcome{notRun: true, comeBack: retryLater})
	case dispatch.Reject:
		w.result.TurnedAway++
		t.end(outcome{notRun: true, comeBack: v.RetryDelay})
	default:
		t.send(v.Choice)
	}
}

func (t *turn) send(target balance.Choice) {
	h, w := t.h, t.h.w
	e := w.engines[target.ID]
	t.tried[target.ID] = true
	delay := w.link(h.centre, e.centre)
	way := delay + h.connect(target.ID, delay)
	r := &run{parts: t.parts, tokens: t.tokens, own: t.own}
	s := &sending{target: target.ID, load: float64(target.Load) / float64(max(1, target.Capacity)), at: w.Now(), missing: target.UncachedTokens}
	target.RecordSend(t.parts, w.Now())
	w.result.sentTurn(w.Now(), e.centre == h.centre)
	t.sending = s
	h.open = append(h.open, s)
	s.cancel = func() { w.After(delay, func() { e.cancel(r) }) }
	s.fail = func() {
		if t.sending == s && !t.over {
			t.done(balance.Failed)
			t.end(outcome{})
		}
	}
	r.first = func(l request.Load) { w.After(delay, func() { t.heard(s, l) }) }
	r.event = func() { w.After(delay, func() { t.event(s) }) }
	r.done = func() { w.After(delay, func() { t.whole(s) }) }
	w.After(way, func() {
		if w.apart(h.centre, e.centre) {
			return // found out by loseAcross or by the deadline
		}
		if !e.submit(r) {
			w.After(delay, func() { t.refused(s) })
		}
	})
}

// connect returns the time for a connection: none where one is idle.
func (h *host) connect(target string, delay time.Duration) time.Duration {
	list := h.idle[target]
	limit := simclock.Milliseconds(h.w.fleet.IdleTimeoutMs)
	for len(list) > 0 {
		last := list[len(list)-1]
		list = list[:len(list)-1]
		h.idle[target] = list
		if h.w.Now()-last < limit {
			return 0
		}
	}
	h.w.result.Connections++
	return 2*delay + time.Millisecond
}

func (h *host) release(target string) {
	const most = 8 // idle connections to one target
	if list := h.idle[target]; len(list) < most {
		h.idle[target] = append(list, h.w.Now())
	}
}

// done tells the registry how a sending ended.
func (t *turn) done(o balance.Outcome) {
	s := t.sending
	if s == nil {
		return
	}
	t.sending = nil
	t.h.open = slices.DeleteFunc(t.h.open, func(x *sending) bool { return x == s })
	if x, ok := t.h.registry.Target(s.target); ok {
		x.RecordOutcome(o, t.h.w.Now())
	}
}

func (t *turn) heard(s *sending, l request.Load) {
	if t.over || t.sending != s {
		return
	}
	if x, ok := t.h.registry.Target(s.target); ok {
		x.RecordLoadReport(l, t.h.w.Now())
	}
	t.h.registry.RecordFirstEvent(s.target, s.load, s.missing, t.h.w.Now()-s.at, t.h.w.Now())
	t.h.w.result.first(t.h.w.Now() - t.began)
	s.heard = t.h.w.Now()
}

// event notes an event after the first.
func (t *turn) event(s *sending) {
	if t.over || t.sending != s {
		return
	}
	now := t.h.w.Now()
	t.h.registry.RecordEvent(s.target, s.load, now-s.heard, now)
	s.heard = now
}

func (t *turn) refused(s *sending) {
	if t.over || t.sending != s {
		return
	}
	t.done(balance.Refused)
	t.h.release(s.target)
	if len(t.tried) >= t.attempts {
		t.end(outcome{notRun: true, comeBack: retryLater})
		return
	}
	t.route()
}

// whole ends a turn that was generated to its end.
func (t *turn) whole(s *sending) {
	if t.over || t.sending != s {
		return
	}
	t.h.w.result.moved(t, s.target)
	t.program.ran[t.own.ID] = s.target
	t.done(balance.Served)
	t.h.release(s.target)
	keep := time.Duration(0)
	if t.retained {
		keep = simclock.Milliseconds(t.h.w.fleet.RetainMs)
	}
	t.h.w.After(keep, func() { t.end(outcome{ok: true}) })
}

// call is one request to a plain target as the host serves it.
type call struct {
	h          *host
	tool       *Tool
	work       time.Duration
	deadline   time.Duration
	began      time.Duration
	idempotent bool
	sends      []*callSend
	tried      map[string]bool
	reply      func(outcome)
	over       bool
}

const plainAttempts = 2

func (c *call) serve() {
	w := c.h.w
	c.tried, c.began = map[string]bool{}, w.Now()
	w.After(c.deadline-w.Now(), func() { c.end(outcome{}) })
	c.route()
}

func (c *call) end(o outcome) {
	if !c.over {
		c.over = true
		c.reply(o)
	}
}

func (c *call) route() {
	v := c.decide()
	if v.Action != dispatch.Send {
		c.end(outcome{notRun: true, comeBack: retryLater})
		return
	}
	c.launch(v.Choice)
	c.planSecond()
}

func (c *call) decide() dispatch.Decision {
	return c.h.dispatcher.Decide(dispatch.Request{
		Query: balance.Query{Service: plainService, WorkKind: c.tool.Name, Exclude: c.tried}, ProgramStarted: true, Draw: c.draw(),
	}, c.h.w.Now())
}

func (c *call) launch(target balance.Choice) {
	h, w := c.h, c.h.w
	p := w.plains[target.ID]
	target.RecordSend(nil, w.Now())
	w.result.PlainSends.sent(p.centre == h.centre)
	c.tried[target.ID] = true
	delay := w.link(h.centre, p.centre)
	way := delay + h.connect(target.ID, delay)
	sent := w.Now()
	done := func(o balance.Outcome) {
		if x, ok := h.registry.Target(target.ID); ok {
			x.RecordOutcome(o, w.Now())
		}
	}
	s := &callSend{to: p, delay: delay, done: done}
	c.sends = append(c.sends, s)
	s.job = &job{work: c.work, done: func(l request.Load) {
		w.After(delay, func() {
			if !s.end() {
				return
			}
			c.dropOthers()
			if x, ok := h.registry.Target(target.ID); ok {
				x.RecordLoadReport(l, w.Now())
			}
			done(balance.Served)
			h.registry.RecordDuration(target.ID, c.tool.Name, w.Now()-sent, w.Now())
			h.release(target.ID)
			w.result.took(w.Now() - c.began)
			c.answered()
			c.end(outcome{ok: true})
		})
	}}
	w.After(way, func() {
		if w.apart(h.centre, p.centre) {
			w.After(unreachableAfter, func() { s.end(); done(balance.Failed); c.end(outcome{}) })
			return
		}
		if s.over || p.submit(s.job) {
			return
		}
		w.After(delay, func() {
			if !s.end() {
				return
			}
			done(balance.Refused)
			h.release(target.ID)
			if c.waits() {
				return
			}
			if len(c.tried) >= plainAttempts {
				c.end(outcome{notRun: true, comeBack: retryLater})
				return
			}
			c.route()
		})
	})
}
