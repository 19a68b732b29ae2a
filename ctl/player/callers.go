package player

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// Behaviour of callers.
const (
	// comeBackShare of the time left is the longest that a caller waits before it
	// comes back.
	comeBackShare = 1.0 / 3
	// turnResends is how often a turn that failed is sent again from its start.
	turnResends             = 2
	resendLeast, resendMost = 100 * time.Millisecond, 400 * time.Millisecond
	// lateFactor times its aim a program still counts as late, not as failed.
	lateFactor = 2
	// wayMs is the allowance of a program's aim for the way of each turn.
	wayMs = 29
	// toolsMost is the most tools called at once between turns.
	toolsMost = 2
	// endlessTurns stands for no end.
	endlessTurns = 1 << 20
)

// callers begin programs as the pattern says.
type callers struct {
	w *world
	n int
	// arrivals draws when programs begin: the same under every policy.
	arrivals *rand.Rand
	seed     uint64
}

func newCallers(w *world, seed uint64) *callers {
	const stream = 2
	c := &callers{w: w, arrivals: rand.New(rand.NewPCG(seed, stream)), seed: seed}
	c.next()
	return c
}

// next begins programs by thinning: gaps are drawn at the highest rate.
func (c *callers) next() {
	rate, most := c.rates()
	gap := time.Duration(c.arrivals.ExpFloat64() / most * float64(time.Second))
	c.w.After(gap, func() {
		if c.w.Now() > seconds(c.w.pattern.ArrivalSeconds) {
			return
		}
		rate, _ = c.rates()
		total := 0.0
		for _, r := range rate {
			total += r
		}
		if draw := c.arrivals.Float64() * most; draw < total {
			c.begin(c.class(rate, draw))
		}
		c.next()
	})
}

// rates are the programs a second of each class now, and a bound of their sum.
func (c *callers) rates() (rate []float64, most float64) {
	factor := 1.0
	now := c.w.Now().Seconds()
	for _, cl := range c.w.fleet.Classes {
		r := c.w.fleet.ProgramsPerS * cl.Share
		for _, ph := range c.w.pattern.Phases {
			if ph.Kind != PhaseBurst || ph.Class != "" && ph.Class != cl.Name {
				continue
			}
			if now >= ph.From && now < ph.To {
				r *= ph.Value
			}
		}
		rate = append(rate, r)
	}
	for _, ph := range c.w.pattern.Phases {
		if ph.Kind == PhaseBurst {
			factor *= max(1, ph.Value)
		}
	}
	return rate, c.w.fleet.ProgramsPerS * factor
}

func (c *callers) class(rate []float64, draw float64) *Class {
	for i, r := range rate {
		if draw -= r; draw < 0 {
			return c.w.fleet.Classes[i]
		}
	}
	return c.w.fleet.Classes[len(rate)-1]
}

// phase returns the phase of a kind that is on now, or nil.
func (c *callers) phase(kind string) *Phase {
	now := c.w.Now().Seconds()
	for i := range c.w.pattern.Phases {
		if ph := &c.w.pattern.Phases[i]; ph.Kind == kind && now >= ph.From && now < ph.To {
			return ph
		}
	}
	return nil
}

// program is one program of a caller.
type program struct {
	c       *callers
	id      int
	rng     *rand.Rand // of the program: its plan is the same under every policy
	class   *Class
	centre  string
	subject int
	begun   time.Duration
	aim     time.Duration
	lines   int
	endless bool
	// ran is the target that ran the last turn which ended with a part.
	ran    map[string]string
	leaves time.Duration // when its caller leaves; 0 if it stays
	over   bool
}

func (c *callers) begin(cl *Class) {
	w := c.w
	c.n++
	rng := rand.New(rand.NewPCG(c.seed, uint64(c.n)<<32))
	p := &program{c: c, id: c.n, rng: rng, class: cl, centre: w.fleet.DataCentres[rng.IntN(len(w.fleet.DataCentres))], begun: w.Now(), ran: map[string]string{}}
	p.centre = c.leaning(p, p.centre)
	p.subject = c.subject(cl, rng)
	turns := 1 + int(rng.ExpFloat64()*(cl.MeanTurns-1)+0.5)
	if ph := c.phase(PhaseEndlessPrograms); ph != nil && rng.Float64() < ph.Share {
		p.endless, turns = true, endlessTurns
	}
	if ph := c.phase(PhaseCallersLeave); ph != nil && rng.Float64() < ph.Share {
		p.leaves = w.Now() + simclock.Milliseconds(ph.Value)
	}
	plan := p.plan(turns)
	p.aim = simclock.Milliseconds(cl.ObjectiveFactor*plan.idleMs(w.fleet) + cl.ObjectiveAllowanceMs)
	w.result.began(p)
	p.line(plan, nil, func(ok bool) { p.end(ok) })
}

// subject draws what the program is about; low numbers are asked for more often.
func (c *callers) subject(cl *Class, rng *rand.Rand) int {
	if ph := c.phase(PhaseHotSubject); ph != nil && rng.Float64() < ph.Share {
		return 0
	}
	const skew = 1.5
	return int(float64(cl.Subjects) * math.Pow(rng.Float64(), skew))
}

func (p *program) end(ok bool) {
	if !p.over {
		p.over = true
		p.c.w.result.ended(p, ok)
	}
}

// left reports whether the caller has gone.
func (p *program) left() bool { return p.leaves > 0 && p.c.w.Now() >= p.leaves }

// step is one turn, what follows it, and what it is made of.
type step struct {
	input, output int
	tools         []toolCall
	beside        *plan
}

type toolCall struct {
	tool *Tool
	work time.Duration
}

// plan is a line of turns.
type plan struct{ steps []step }

// planned bounds the steps of a program without end.
const planned = 60

func (p *program) plan(turns int) *plan {
	w, cl := p.c.w, p.class
	pl := &plan{}
	for i := range min(turns, planned) {
		s := step{input: p.draw(cl.MeanInputTokens), output: p.draw(cl.MeanOutputTokens)}
		if i+1 < turns {
			for range 1 + p.rng.IntN(toolsMost) {
				t := w.fleet.Tools[p.rng.IntN(len(w.fleet.Tools))]
				s.tools = append(s.tools, toolCall{t, min(simclock.Milliseconds(t.MeanWorkMs*p.rng.ExpFloat64()), simclock.Milliseconds(t.MaxWorkMs))})
			}
			if p.rng.Float64() < cl.SubAgentShare {
				s.beside = &plan{}
				for range cl.SubTurns {
					s.beside.steps = append(s.beside.steps, step{input: p.draw(cl.MeanInputTokens), output: p.draw(cl.MeanOutputTokens)})
				}
			}
		}
		pl.steps = append(pl.steps, s)
	}
	return pl
}

// draw is a size around a mean.
func (p *program) draw(mean float64) int {
	const least, most = 0.3, 3
	return max(1, int(mean*min(most, max(least, math.Exp(0.5*p.rng.NormFloat64()-0.125)))))
}

// idleMs is the time of a line on idle targets.
func (pl *plan) idleMs(f *Fleet) float64 {
	total := 0.0
	for _, s := range pl.steps {
		total += wayMs + float64(s.input)/f.Engines.PrefillTokensPerMs + float64(s.output)*f.Engines.StepMs
		slowest := 0.0
		for _, t := range s.tools {
			slowest = max(slowest, float64(t.work.Milliseconds()))
		}
		if s.beside != nil {
			slowest = max(slowest, s.beside.idleMs(f))
		}
		total += slowest
	}
	return total
}

// line runs the turns of a plan one after the other, on what history says.
func (p *program) line(pl *plan, history []request.Part, done func(bool)) {
	p.lines++
	line := p.lines
	i := 0
	var next func()
	next = func() {
		if i == len(pl.steps) || p.over {
			done(!p.over)
			return
		}
		s := pl.steps[i]
		i++
		part := request.Part{ID: fmt.Sprintf("%d.%d.%d", p.id, line, i), Tokens: s.input}
		p.turn(s, history, part, func(ok bool) {
			if !ok {
				p.end(false)
				done(false)
				return
			}
			part.Tokens += s.output
			history = append(history[:len(history):len(history)], part)
			p.between(s, history, next)
		})
	}
	next()
}

// between runs what comes between two turns, and then next.
func (p *program) between(s step, history []request.Part, next func()) {
	waiting := len(s.tools)
	if s.beside != nil {
		waiting++
	}
	if waiting == 0 {
		next()
		return
	}
	one := func(ok bool) {
		if !ok {
			p.end(false)
		}
		if waiting--; waiting == 0 && !p.over {
			next()
		}
	}
	for _, t := range s.tools {
		p.tool(t, one)
	}
	if s.beside != nil {
		p.line(s.beside, history, one)
	}
}

// turn sends one turn, and again as a caller would.
func (p *program) turn(s step, history []request.Part, part request.Part, done func(bool)) {
	w, cl := p.c.w, p.class
	parts := append([]request.Part{{ID: fmt.Sprintf("%s/%d", cl.Name, p.subject), Tokens: cl.SharedPrefixTokens}}, history...)
	parts = append(parts, part)
	prompt := 0
	for _, x := range parts {
		prompt += x.Tokens
	}
	resends := 0
	began := w.Now()
	var send func()
	var attempt func(deadline time.Duration, retries int)
	failed := func() {
		if resends++; resends > turnResends || p.over {
			done(false)
			return
		}
		w.After(resendLeast+time.Duration(w.rng.Float64()*float64(resendMost-resendLeast)), send)
	}
	attempt = func(deadline time.Duration, retries int) {
		if p.over || p.left() {
			done(false)
			return
		}
		h := w.balance(p.centre)
		if h == nil {
			w.After(retryLater, failed)
			return
		}
		client := simclock.Milliseconds(w.fleet.ClientDelayMs)
		own := request.Part{ID: part.ID, Tokens: part.Tokens + s.output}
		t := &turn{
			h: h, parts: parts, prompt: prompt, tokens: s.output, own: own, underWay: len(history) > 0,
			draw: w.rng.Float64(), deadline: deadline, began: began, retained: cl.Retained, attempts: cl.MaxAttempts, class: cl,
			program: p,
		}
		t.reply = func(o outcome) {
			w.After(client, func() {
				left := deadline - w.Now()
				switch {
				case o.ok:
					done(true)
				case o.notRun && retries > 0 && left > 0:
					w.After(min(o.comeBack, time.Duration(comeBackShare*float64(left))), func() { attempt(deadline, retries-1) })
				default:
					failed()
				}
			})
		}
		w.After(client, t.serve)
	}
	send = func() { attempt(w.Now()+simclock.Milliseconds(cl.DeadlineMs), cl.MaxRetries) }
	send()
}

// tool calls a tool, and again as a caller would.
func (p *program) tool(tc toolCall, done func(bool)) {
	w := p.c.w
	deadline := w.Now() + simclock.Milliseconds(tc.tool.DeadlineMs)
	client := simclock.Milliseconds(w.fleet.ClientDelayMs)
	retries := 1
	var attempt func()
	attempt = func() {
		h := w.balance(p.centre)
		if h == nil {
			done(false)
			return
		}
		c := &call{h: h, tool: tc.tool, work: tc.work, deadline: deadline, idempotent: tc.tool.Idempotent}
		c.reply = func(o outcome) {
			w.After(client, func() {
				again := (o.notRun || tc.tool.Idempotent) && retries > 0 && w.Now() < deadline
				if o.ok || !again {
					done(o.ok)
					return
				}
				retries--
				w.After(o.comeBack, attempt)
			})
		}
		w.After(client, c.serve)
	}
	attempt()
}
