package player

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// engine models a model engine that batches continuously.
//
//   - It runs up to places requests; others wait, first come first served, and are
//     refused once queue of them wait.
//   - A step makes one token for each request whose prompt has been read. Its time grows
//     with the batch, with the tokens that the batch holds, and by the prompt tokens that
//     it reads beside, chunk at most.
//   - The memory keeps parts of prompts, the least recently used yield; parts of running
//     requests stay.
type engine struct {
	w       *world
	s       EngineSettings
	centre  string
	id      string
	speed   float64 // times slower than usual
	noise   *noise
	gone    bool
	running []*run
	waiting []*run
	memory  memory
	busy    bool
}

// run is one request at an engine.
type run struct {
	parts   []request.Part
	prompt  int // tokens of all parts
	toRead  int
	tokens  int // to make
	made    int
	own     request.Part // what the run adds to its last part
	first   func(request.Load)
	event   func() // each TokensPerEvent tokens after the first
	done    func()
	dropped bool
}

func newEngine(w *world, s EngineSettings, i int, id, centre string, rng *rand.Rand) *engine {
	speed := speedOf(s.Slowdowns, i) * (1 + s.SlowdownSpread*(2*rng.Float64()-1))
	return &engine{w: w, s: s, id: id, centre: centre, speed: speed, noise: newNoise(w, i), memory: newMemory(s.CacheTokens)}
}

// submit takes a run, or refuses it.
func (e *engine) submit(r *run) bool {
	if e.gone || len(e.waiting) >= e.s.MaxQueue {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.admit()
	e.step()
	return true
}

// admit fills the batch.
func (e *engine) admit() {
	for len(e.running) < e.s.Capacity && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.prompt = 0
		for _, p := range r.parts {
			r.prompt += p.Tokens
		}
		r.toRead = r.prompt - e.memory.covered(r.parts)
		e.w.result.readShared(e, r)
		e.w.result.Read += int64(r.toRead)
		e.memory.add(r.parts)
		e.running = append(e.running, r)
	}
}

// step runs one step and plans the next.
func (e *engine) step() {
	if e.busy || len(e.running) == 0 {
		return
	}
	e.busy = true
	took := e.s.StepMs * (1 + e.s.StepGrowth*float64(len(e.running)-1))
	budget := e.s.PrefillChunkTokens
	for _, r := range e.running {
		n := min(budget, r.toRead)
		r.toRead -= n
		budget -= n
		have := float64(r.prompt - r.toRead + r.made)
		took += float64(n)/e.s.PrefillTokensPerMs + e.s.AttentionMsPerMPairs*float64(n)*have/1e6 + e.s.ContextMsPerKTokens*have/1e3
	}
	e.w.After(simclock.Milliseconds(took*e.speed*e.noise.times()), e.stepped)
}

func (e *engine) stepped() {
	e.busy = false
	load := e.load()
	for _, r := range slices.Clone(e.running) {
		if r.toRead > 0 || r.dropped {
			continue
		}
		r.made++
		if r.made == 1 {
			r.first(load)
		}
		if r.made%e.s.TokensPerEvent == 0 {
			r.event()
		}
		if r.made >= r.tokens && !r.dropped {
			e.running = slices.DeleteFunc(e.running, func(x *run) bool { return x == r })
			e.memory.add([]request.Part{r.own})
			r.done()
		}
	}
	e.admit()
	e.step()
}

func (e *engine) load() request.Load {
	return e.noise.say(request.Load{Running: len(e.running), Waiting: len(e.waiting), Capacity: e.s.Capacity})
}

// cancel drops a run whose sender has left.
func (e *engine) cancel(r *run) {
	r.dropped = true
	match := func(x *run) bool { return x == r }
	e.running = slices.DeleteFunc(e.running, match)
	e.waiting = slices.DeleteFunc(e.waiting, match)
	e.admit()
	e.step()
}

// memory keeps parts of prompts, the least recently used yield.
type memory struct {
	most, held int
	tokens     map[string]int
	used       []string // least recently used first
}

func newMemory(most int) memory { return memory{most: most, tokens: map[string]int{}} }

func (m *memory) covered(parts []request.Part) int {
	n := 0
	for _, p := range parts {
		if m.tokens[p.ID] < p.Tokens {
			return n + min(m.tokens[p.ID], p.Tokens)
		}
		n += p.Tokens
	}
	return n
}

func (m *memory) add(parts []request.Part) {
	for _, p := range parts {
		if at := slices.Index(m.used, p.ID); at >= 0 {
			m.used = slices.Delete(m.used, at, at+1)
		}
		m.used = append(m.used, p.ID)
		if p.Tokens > m.tokens[p.ID] {
			m.held += p.Tokens - m.tokens[p.ID]
			m.tokens[p.ID] = p.Tokens
		}
	}
	for m.held > m.most && len(m.used) > len(parts) {
		m.held -= m.tokens[m.used[0]]
		delete(m.tokens, m.used[0])
		m.used = m.used[1:]
	}
}

// plain models a target of a plain service: places, a queue, and a time for each
// request.
type plain struct {
	w       *world
	s       PlainSettings
	centre  string
	id      string
	speed   float64
	noise   *noise
	running int
	waiting []*job
}

// job is one request at a plain target.
type job struct {
	work    time.Duration
	done    func(request.Load)
	dropped bool
	started bool
	ended   bool
}

func newPlain(w *world, s PlainSettings, i int, id, centre string, rng *rand.Rand) *plain {
	speed := speedOf(s.Slowdowns, i) * (1 + s.SlowdownSpread*(2*rng.Float64()-1))
	return &plain{w: w, s: s, id: id, centre: centre, speed: speed, noise: newNoise(w, w.fleet.Engines.Count+i)}
}

func (p *plain) load() request.Load {
	return p.noise.say(request.Load{Running: p.running, Waiting: len(p.waiting), Capacity: p.s.Capacity})
}

func (p *plain) submit(j *job) bool {
	if len(p.waiting) >= p.s.MaxQueue {
		return false
	}
	p.waiting = append(p.waiting, j)
	p.start()
	return true
}

func (p *plain) start() {
	for p.running < p.s.Capacity && len(p.waiting) > 0 {
		j := p.waiting[0]
		p.waiting = p.waiting[1:]
		if j.dropped {
			continue
		}
		p.running++
		j.started = true
		p.w.After(time.Duration(float64(j.work)*p.speed*p.noise.times()), func() {
			if j.dropped {
				return
			}
			j.ended = true
			load := p.load()
			p.running--
			j.done(load)
			p.start()
		})
	}
}
