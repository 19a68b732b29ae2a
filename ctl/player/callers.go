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
	// maxRetryDelayShare bounds a caller's retry delay, as a share of its time left.
	maxRetryDelayShare = 1.0 / 3
	// maxTurnResends is how often a failed turn is sent again, with a new deadline.
	maxTurnResends = 2
	// minResendDelay and maxResendDelay bound the random delay before a failed turn is sent
	// again.
	minResendDelay, maxResendDelay = 100 * time.Millisecond, 400 * time.Millisecond
	// lateObjectiveFactor times its latency objective is the longest that a program takes to
	// count as late; beyond that it counts as failed.
	lateObjectiveFactor = 2
	// turnDelayMs is the allowance in a program's latency objective for the path of each turn
	// to its engine and back.
	turnDelayMs = 29
	// maxParallelTools bounds the tools called at once between turns.
	maxParallelTools = 2
	// endlessTurns is the number of turns of a program that never ends; maxPlannedTurns of
	// them are drawn.
	endlessTurns = 1 << 20
)

// callers starts programs at the rates of the fleet and the pattern.
type callers struct {
	sim          *simulation
	programCount int
	// arrivals draws the start times of programs. It is used for nothing else, so that they
	// are the same under every policy.
	arrivals *rand.Rand
	seed     uint64
}

func newCallers(sim *simulation, seed uint64) *callers {
	const stream = 2
	c := &callers{sim: sim, arrivals: rand.New(rand.NewPCG(seed, stream)), seed: seed}
	c.scheduleNext()
	return c
}

// scheduleNext schedules the arrivals of programs, a Poisson process with varying rate, by
// thinning: candidates arrive at the maximum rate, and each is accepted with the ratio of
// the current rate to it.
func (c *callers) scheduleNext() {
	rates, maxRate := c.rates()
	gap := time.Duration(c.arrivals.ExpFloat64() / maxRate * float64(time.Second))
	c.sim.After(gap, func() {
		if c.sim.Now() > seconds(c.sim.pattern.ArrivalSeconds) {
			return
		}
		rates, _ = c.rates()
		total := 0.0
		for _, r := range rates {
			total += r
		}
		if draw := c.arrivals.Float64() * maxRate; draw < total {
			c.startProgram(c.classOf(rates, draw))
		}
		c.scheduleNext()
	})
}

// rates returns the current rate of each class, in programs per second, and an upper bound of
// their sum over the whole run.
func (c *callers) rates() (rates []float64, maxRate float64) {
	factor := 1.0
	now := c.sim.Now().Seconds()
	for _, class := range c.sim.fleet.Classes {
		rate := c.sim.fleet.ProgramsPerS * class.Share
		for _, ph := range c.sim.pattern.Phases {
			if ph.Kind != PhaseBurst || ph.Class != "" && ph.Class != class.Name {
				continue
			}
			if now >= ph.From && now < ph.To {
				rate *= ph.Value
			}
		}
		rates = append(rates, rate)
	}
	for _, ph := range c.sim.pattern.Phases {
		if ph.Kind == PhaseBurst {
			factor *= max(1, ph.Value)
		}
	}
	return rates, c.sim.fleet.ProgramsPerS * factor
}

// classOf returns the class that a random number in [0, sum of rates) selects, in proportion to
// the rates.
func (c *callers) classOf(rates []float64, draw float64) *Class {
	for i, rate := range rates {
		if draw -= rate; draw < 0 {
			return c.sim.fleet.Classes[i]
		}
	}
	return c.sim.fleet.Classes[len(rates)-1]
}

// activePhase returns the first phase of a kind that is active now, or nil.
func (c *callers) activePhase(kind string) *Phase {
	now := c.sim.Now().Seconds()
	for i := range c.sim.pattern.Phases {
		if ph := &c.sim.pattern.Phases[i]; ph.Kind == kind && now >= ph.From && now < ph.To {
			return ph
		}
	}
	return nil
}

// program is one program of a caller.
type program struct {
	callers       *callers
	id            int
	rng           *rand.Rand // used by this program only, so that its turns are the same under every policy
	class         *Class
	dataCentre    string
	subject       int // which shared prefix its prompts have
	startedAt     time.Duration
	objective     time.Duration // of latency, from start to end
	sequenceCount int           // of turns: its own and those of sub-agents
	endless       bool
	// runRecords maps the ID of a prompt part to the target that last ran a turn which ended
	// with that part.
	runRecords map[string]string
	leavesAt   time.Duration // when its caller leaves; 0 if it stays
	finished   bool
}

// startProgram draws a program of a class and starts it.
func (c *callers) startProgram(class *Class) {
	sim := c.sim
	c.programCount++
	rng := rand.New(rand.NewPCG(c.seed, uint64(c.programCount)<<32))
	p := &program{callers: c, id: c.programCount, rng: rng, class: class, dataCentre: sim.fleet.DataCentres[rng.IntN(len(sim.fleet.DataCentres))], startedAt: sim.Now(), runRecords: map[string]string{}}
	p.dataCentre = c.drawDataCentre(p, p.dataCentre)
	p.subject = c.drawSubject(class, rng)
	turns := 1 + int(rng.ExpFloat64()*(class.MeanTurns-1)+0.5)
	if ph := c.activePhase(PhaseEndlessPrograms); ph != nil && rng.Float64() < ph.Share {
		p.endless, turns = true, endlessTurns
	}
	if ph := c.activePhase(PhaseCallersLeave); ph != nil && rng.Float64() < ph.Share {
		p.leavesAt = sim.Now() + simclock.Milliseconds(ph.Value)
	}
	sequence := p.drawSequence(turns)
	p.objective = simclock.Milliseconds(class.ObjectiveFactor*sequence.idleMs(sim.fleet) + class.ObjectiveAllowanceMs)
	sim.result.recordStart(p)
	p.runSequence(sequence, nil, func(ok bool) { p.finish(ok) })
}

// drawSubject draws the subject of a program; lower numbers are more frequent.
func (c *callers) drawSubject(class *Class, rng *rand.Rand) int {
	if ph := c.activePhase(PhaseHotSubject); ph != nil && rng.Float64() < ph.Share {
		return 0
	}
	const skew = 1.5
	return int(float64(class.Subjects) * math.Pow(rng.Float64(), skew))
}

func (p *program) finish(ok bool) {
	if !p.finished {
		p.finished = true
		p.callers.sim.result.recordEnd(p, ok)
	}
}

// callerLeft reports whether the caller has left.
func (p *program) callerLeft() bool { return p.leavesAt > 0 && p.callers.sim.Now() >= p.leavesAt }

// plannedTurn is the size of one turn, with the tool calls and the sub-agent that run between it
// and the next one.
type plannedTurn struct {
	inputTokens, outputTokens int
	tools                     []toolCall
	subAgent                  *turnSequence // runs in parallel with the tools; may be nil
}

type toolCall struct {
	tool     *Tool
	workTime time.Duration // at the usual speed of a target
}

// turnSequence is the turns of a program or of a sub-agent, which run one after the other.
type turnSequence struct{ turns []plannedTurn }

// maxPlannedTurns bounds the turns drawn for a program; an endless one ends after them, or
// with the run.
const maxPlannedTurns = 60

// drawSequence draws the sizes, tools and sub-agents of the turns of a program.
func (p *program) drawSequence(turns int) *turnSequence {
	sim, class := p.callers.sim, p.class
	sequence := &turnSequence{}
	for i := range min(turns, maxPlannedTurns) {
		turn := plannedTurn{inputTokens: p.drawTokens(class.MeanInputTokens), outputTokens: p.drawTokens(class.MeanOutputTokens)}
		if i+1 < turns {
			for range 1 + p.rng.IntN(maxParallelTools) {
				tool := sim.fleet.Tools[p.rng.IntN(len(sim.fleet.Tools))]
				turn.tools = append(turn.tools, toolCall{tool, min(simclock.Milliseconds(tool.MeanWorkMs*p.rng.ExpFloat64()), simclock.Milliseconds(tool.MaxWorkMs))})
			}
			if p.rng.Float64() < class.SubAgentShare {
				turn.subAgent = &turnSequence{}
				for range class.SubTurns {
					turn.subAgent.turns = append(turn.subAgent.turns, plannedTurn{inputTokens: p.drawTokens(class.MeanInputTokens), outputTokens: p.drawTokens(class.MeanOutputTokens)})
				}
			}
		}
		sequence.turns = append(sequence.turns, turn)
	}
	return sequence
}

// drawTokens draws a token count: lognormal around the mean, within 0.3 and 3 times the mean.
func (p *program) drawTokens(mean float64) int {
	const minFactor, maxFactor = 0.3, 3
	return max(1, int(mean*min(maxFactor, max(minFactor, math.Exp(0.5*p.rng.NormFloat64()-0.125)))))
}

// idleMs returns the time that the sequence takes on idle targets, in milliseconds.
func (s *turnSequence) idleMs(fleet *Fleet) float64 {
	totalMs := 0.0
	for _, turn := range s.turns {
		totalMs += turnDelayMs + float64(turn.inputTokens)/fleet.Engines.PrefillTokensPerMs + float64(turn.outputTokens)*fleet.Engines.StepMs
		slowestMs := 0.0
		for _, t := range turn.tools {
			slowestMs = max(slowestMs, float64(t.workTime.Milliseconds()))
		}
		if turn.subAgent != nil {
			slowestMs = max(slowestMs, turn.subAgent.idleMs(fleet))
		}
		totalMs += slowestMs
	}
	return totalMs
}

// runSequence runs the turns of a sequence one after the other, each with history and the
// turns before it as prompt. The first failure ends the program.
func (p *program) runSequence(sequence *turnSequence, history []request.Part, done func(bool)) {
	p.sequenceCount++
	sequenceNumber := p.sequenceCount
	i := 0
	var next func()
	next = func() {
		if i == len(sequence.turns) || p.finished {
			done(!p.finished)
			return
		}
		turn := sequence.turns[i]
		i++
		part := request.Part{ID: fmt.Sprintf("%d.%d.%d", p.id, sequenceNumber, i), Tokens: turn.inputTokens}
		p.runTurn(turn, history, part, func(ok bool) {
			if !ok {
				p.finish(false)
				done(false)
				return
			}
			part.Tokens += turn.outputTokens
			history = append(history[:len(history):len(history)], part)
			p.runToolsAndSubAgent(turn, history, next)
		})
	}
	next()
}

// runToolsAndSubAgent runs the tool calls and the sub-agent that follow a turn, all at once,
// and calls next when all have succeeded.
func (p *program) runToolsAndSubAgent(turn plannedTurn, history []request.Part, next func()) {
	waiting := len(turn.tools)
	if turn.subAgent != nil {
		waiting++
	}
	if waiting == 0 {
		next()
		return
	}
	finishOne := func(ok bool) {
		if !ok {
			p.finish(false)
		}
		if waiting--; waiting == 0 && !p.finished {
			next()
		}
	}
	for _, call := range turn.tools {
		p.callTool(call, finishOne)
	}
	if turn.subAgent != nil {
		p.runSequence(turn.subAgent, history, finishOne)
	}
}

// runTurn sends one turn. After an answer with notRun it retries up to MaxRetries times within
// the deadline; after a failure it sends the turn again, up to maxTurnResends times.
func (p *program) runTurn(planned plannedTurn, history []request.Part, part request.Part, done func(bool)) {
	sim, class := p.callers.sim, p.class
	parts := append([]request.Part{{ID: fmt.Sprintf("%s/%d", class.Name, p.subject), Tokens: class.SharedPrefixTokens}}, history...)
	parts = append(parts, part)
	promptTokens := 0
	for _, promptPart := range parts {
		promptTokens += promptPart.Tokens
	}
	resends := 0
	startedAt := sim.Now()
	var send func()
	var attempt func(deadline time.Duration, retries int)
	resend := func() {
		if resends++; resends > maxTurnResends || p.finished {
			done(false)
			return
		}
		sim.After(minResendDelay+time.Duration(sim.rng.Float64()*float64(maxResendDelay-minResendDelay)), send)
	}
	attempt = func(deadline time.Duration, retries int) {
		if p.finished || p.callerLeft() {
			done(false)
			return
		}
		host := sim.selectHost(p.dataCentre)
		if host == nil {
			sim.After(defaultRetryDelay, resend)
			return
		}
		clientDelay := simclock.Milliseconds(sim.fleet.ClientDelayMs)
		turnPart := request.Part{ID: part.ID, Tokens: part.Tokens + planned.outputTokens}
		t := &turn{
			host: host, parts: parts, promptTokens: promptTokens, outputTokens: planned.outputTokens, turnPart: turnPart, programStarted: len(history) > 0,
			draw: sim.rng.Float64(), deadline: deadline, startedAt: startedAt, retained: class.Retained, maxAttempts: class.MaxAttempts, class: class,
			program: p,
		}
		t.onReply = func(o outcome) {
			sim.After(clientDelay, func() {
				timeLeft := deadline - sim.Now()
				switch {
				case o.ok:
					done(true)
				case o.notRun && retries > 0 && timeLeft > 0:
					sim.After(min(o.retryDelay, time.Duration(maxRetryDelayShare*float64(timeLeft))), func() { attempt(deadline, retries-1) })
				default:
					resend()
				}
			})
		}
		sim.After(clientDelay, t.serve)
	}
	send = func() { attempt(sim.Now()+simclock.Milliseconds(class.DeadlineMs), class.MaxRetries) }
	send()
}

// callTool calls a tool, and retries once within the deadline if the call has not run or is
// idempotent.
func (p *program) callTool(planned toolCall, done func(bool)) {
	sim := p.callers.sim
	deadline := sim.Now() + simclock.Milliseconds(planned.tool.DeadlineMs)
	clientDelay := simclock.Milliseconds(sim.fleet.ClientDelayMs)
	retries := 1
	var attempt func()
	attempt = func() {
		host := sim.selectHost(p.dataCentre)
		if host == nil {
			done(false)
			return
		}
		c := &call{host: host, tool: planned.tool, workTime: planned.workTime, deadline: deadline, idempotent: planned.tool.Idempotent}
		c.onReply = func(o outcome) {
			sim.After(clientDelay, func() {
				retry := (o.notRun || planned.tool.Idempotent) && retries > 0 && sim.Now() < deadline
				if o.ok || !retry {
					done(o.ok)
					return
				}
				retries--
				sim.After(o.retryDelay, attempt)
			})
		}
		sim.After(clientDelay, c.serve)
	}
	attempt()
}

// drawDataCentre returns the data centre of a program: nearest, or that of an active
// PhaseSkewedCallers for its share of programs.
func (c *callers) drawDataCentre(p *program, nearest string) string {
	ph := c.activePhase(PhaseSkewedCallers)
	if ph == nil || p.rng.Float64() >= ph.Share {
		return nearest
	}
	return ph.DataCentre
}
