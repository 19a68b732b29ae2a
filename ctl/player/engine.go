package player

import (
	"math/rand/v2"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/ctl/simclock"
)

// engine models an inference engine with continuous batching.
//
//   - It runs up to Capacity requests. Others wait in first-come, first-served order; once
//     MaxQueue of them wait, further ones are refused.
//   - A step generates one token for each request whose prefill is complete. Its duration
//     grows with the size of the batch, with the context tokens of the batch, and with the
//     prompt tokens processed in the same step, at most PrefillChunkTokens.
//   - The prefix cache holds parts of prompts and evicts the least recently used ones. It
//     keeps at least as many parts as the last added prompt has.
type engine struct {
	sim        *simulation
	settings   EngineSettings
	dataCentre string
	id         string
	slowdown   float64 // how many times slower than usual, without noise
	noise      *noise
	removed    bool // refuses all requests
	running    []*engineRequest
	waiting    []*engineRequest
	cache      prefixCache
	stepping   bool // a step is in progress
}

// engineRequest is one request at an engine.
type engineRequest struct {
	parts           []request.Part
	promptTokens    int // of all parts; set when the request joins the batch
	uncachedTokens  int // left to prefill
	outputTokens    int // to generate
	generatedTokens int
	turnPart        request.Part // last part of the prompt with the output
	onFirstToken    func(request.Load)
	onEvent         func() // every TokensPerEvent tokens
	onDone          func()
	cancelled       bool
}

func newEngine(sim *simulation, settings EngineSettings, index int, id, dataCentre string, rng *rand.Rand) *engine {
	slowdown := slowdownOf(settings.Slowdowns, index) * (1 + settings.SlowdownSpread*(2*rng.Float64()-1))
	return &engine{sim: sim, settings: settings, id: id, dataCentre: dataCentre, slowdown: slowdown, noise: newNoise(sim, index), cache: newPrefixCache(settings.CacheTokens)}
}

// submit queues a request and reports whether there was space in the queue. A removed engine
// refuses all requests.
func (e *engine) submit(r *engineRequest) bool {
	if e.removed || len(e.waiting) >= e.settings.MaxQueue {
		return false
	}
	e.waiting = append(e.waiting, r)
	e.fillBatch()
	e.startStep()
	return true
}

// fillBatch moves waiting requests into the batch.
func (e *engine) fillBatch() {
	for len(e.running) < e.settings.Capacity && len(e.waiting) > 0 {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.promptTokens = 0
		for _, p := range r.parts {
			r.promptTokens += p.Tokens
		}
		r.uncachedTokens = r.promptTokens - e.cache.cachedTokens(r.parts)
		e.sim.result.recordPrefill(e, r)
		e.sim.result.Read += int64(r.uncachedTokens)
		e.cache.add(r.parts)
		e.running = append(e.running, r)
	}
}

// startStep starts a step if there are requests to run and none is in progress.
func (e *engine) startStep() {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	durationMs := e.settings.StepMs * (1 + e.settings.StepGrowth*float64(len(e.running)-1))
	prefillBudget := e.settings.PrefillChunkTokens
	for _, r := range e.running {
		prefillTokens := min(prefillBudget, r.uncachedTokens)
		r.uncachedTokens -= prefillTokens
		prefillBudget -= prefillTokens
		contextTokens := float64(r.promptTokens - r.uncachedTokens + r.generatedTokens)
		durationMs += float64(prefillTokens)/e.settings.PrefillTokensPerMs + e.settings.AttentionMsPerMPairs*float64(prefillTokens)*contextTokens/1e6 + e.settings.ContextMsPerKTokens*contextTokens/1e3
	}
	e.sim.After(simclock.Milliseconds(durationMs*e.slowdown*e.noise.slowdown()), e.finishStep)
}

// finishStep generates a token for each request past its prefill, and starts the next step.
func (e *engine) finishStep() {
	e.stepping = false
	report := e.loadReport()
	for _, r := range slices.Clone(e.running) {
		if r.uncachedTokens > 0 || r.cancelled {
			continue
		}
		r.generatedTokens++
		if r.generatedTokens == 1 {
			r.onFirstToken(report)
		}
		if r.generatedTokens%e.settings.TokensPerEvent == 0 {
			r.onEvent()
		}
		if r.generatedTokens >= r.outputTokens && !r.cancelled {
			e.running = slices.DeleteFunc(e.running, func(other *engineRequest) bool { return other == r })
			e.cache.add([]request.Part{r.turnPart})
			r.onDone()
		}
	}
	e.fillBatch()
	e.startStep()
}

func (e *engine) loadReport() request.Load {
	return e.noise.annotate(request.Load{Running: len(e.running), Waiting: len(e.waiting), Capacity: e.settings.Capacity})
}

// cancel removes a request whose sender has closed the connection.
func (e *engine) cancel(r *engineRequest) {
	r.cancelled = true
	isSame := func(other *engineRequest) bool { return other == r }
	e.running = slices.DeleteFunc(e.running, isSame)
	e.waiting = slices.DeleteFunc(e.waiting, isSame)
	e.fillBatch()
	e.startStep()
}

// prefixCache holds parts of prompts, with LRU eviction.
type prefixCache struct {
	maxTokens, heldTokens int
	tokensOf              map[string]int // by ID of a part
	lru                   []string       // IDs of parts, least recently used first
}

func newPrefixCache(maxTokens int) prefixCache {
	return prefixCache{maxTokens: maxTokens, tokensOf: map[string]int{}}
}

// cachedTokens returns the length of the longest cached prefix of parts.
func (c *prefixCache) cachedTokens(parts []request.Part) int {
	tokens := 0
	for _, p := range parts {
		if c.tokensOf[p.ID] < p.Tokens {
			return tokens + min(c.tokensOf[p.ID], p.Tokens)
		}
		tokens += p.Tokens
	}
	return tokens
}

// add stores parts, and evicts others when the cache exceeds maxTokens.
func (c *prefixCache) add(parts []request.Part) {
	for _, p := range parts {
		if i := slices.Index(c.lru, p.ID); i >= 0 {
			c.lru = slices.Delete(c.lru, i, i+1)
		}
		c.lru = append(c.lru, p.ID)
		if p.Tokens > c.tokensOf[p.ID] {
			c.heldTokens += p.Tokens - c.tokensOf[p.ID]
			c.tokensOf[p.ID] = p.Tokens
		}
	}
	for c.heldTokens > c.maxTokens && len(c.lru) > len(parts) {
		c.heldTokens -= c.tokensOf[c.lru[0]]
		delete(c.tokensOf, c.lru[0])
		c.lru = c.lru[1:]
	}
}
