package player

import (
	"fmt"
	"math/rand/v2"
)

// RandomFleet draws a fleet: sizes, speeds, classes of programs and their latency objectives.
// At the usual load about half of the engines' capacity is in use. The same seed gives the
// same fleet.
func RandomFleet(seed uint64) *Fleet {
	const stream = 7
	rng := rand.New(rand.NewPCG(seed, stream))
	uniform := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	uniformInt := func(low, high int) int { return low + rng.IntN(high-low+1) }
	dataCentres := []string{"a", "b", "c", "d", "e"}[:uniformInt(2, 5)]
	fleet := &Fleet{
		DataCentres: dataCentres, Hosts: uniformInt(3, 20), LinkDelayMs: uniform(0.5, 4), ClientDelayMs: uniform(1, 5), HistoryReadMs: uniform(6, 15), RetainMs: uniform(4, 10),
		IdleTimeoutMs: uniform(3000, 15000),
		Engines: EngineSettings{
			Count: uniformInt(4, 24), Capacity: uniformInt(4, 48), StepMs: uniform(2, 8), StepGrowth: uniform(0.002, 0.08),
			PrefillChunkTokens: uniformInt(128, 1024), PrefillTokensPerMs: uniform(30, 120), SlowdownSpread: uniform(0, 0.3), TokensPerEvent: uniformInt(4, 16),
		},
		Plain: PlainSettings{Count: uniformInt(3, 16), Capacity: 6, MaxQueue: 24, SlowdownSpread: uniform(0, 0.2)},
		Tools: []*Tool{
			{Name: "short", MeanWorkMs: uniform(5, 20), MaxWorkMs: 100, DeadlineMs: 1500, Idempotent: true},
			{Name: "long", MeanWorkMs: uniform(20, 60), MaxWorkMs: 400, DeadlineMs: 2500},
		},
	}
	fleet.Engines.MaxQueue = 3 * fleet.Engines.Capacity
	for i := range uniformInt(1, 3) {
		fleet.Classes = append(fleet.Classes, &Class{
			Name: fmt.Sprintf("class-%d", i), MeanTurns: uniform(2, 8), SubAgentShare: uniform(0, 0.2), SubTurns: 2,
			SharedPrefixTokens: uniformInt(200, 3000), Subjects: uniformInt(2, 20), MeanInputTokens: uniform(200, 1200), MeanOutputTokens: uniform(30, 120), Retained: i > 0,
			ObjectiveFactor: uniform(1.4, 2.5), ObjectiveAllowanceMs: 250, DeadlineMs: 4000, MaxAttempts: 2, MaxRetries: 1,
		})
	}
	for _, c := range fleet.Classes {
		c.Share = 1 / float64(len(fleet.Classes))
	}
	fleet.Engines.CacheTokens = fleet.requiredCacheTokens(uniform(1.2, 2.5))
	fleet.ProgramsPerS = fleet.halfCapacityLoad()
	fleet.Plain.Count = max(fleet.Plain.Count, fleet.requiredPlainTargets())
	return fleet
}

// meanPromptTokens is the mean prompt of a class, in the middle of a program.
func (c *Class) meanPromptTokens() float64 {
	return float64(c.SharedPrefixTokens) + (c.MeanInputTokens+c.MeanOutputTokens)*(c.MeanTurns/2) + c.MeanInputTokens
}

// requiredCacheTokens is the cache size of an engine for a full batch of mean prompts, times
// factor.
func (fleet *Fleet) requiredCacheTokens(factor float64) int {
	meanTokens := 0.0
	for _, c := range fleet.Classes {
		meanTokens += c.Share * c.meanPromptTokens()
	}
	return int(factor * meanTokens * float64(fleet.Engines.Capacity))
}

// halfCapacityLoad is the rate, in programs per second, that uses half of the engines'
// capacity.
func (fleet *Fleet) halfCapacityLoad() float64 {
	stepMs := fleet.Engines.StepMs * (1 + fleet.Engines.StepGrowth*float64(fleet.Engines.Capacity)/2)
	slotMs := 0.0 // time in a batch of all turns of a mean program
	for _, c := range fleet.Classes {
		turns := c.MeanTurns * (1 + c.SubAgentShare*float64(c.SubTurns))
		slotMs += c.Share * turns * (c.MeanOutputTokens*stepMs + 2*c.MeanInputTokens/fleet.Engines.PrefillTokensPerMs)
	}
	const half = 0.5
	return half * float64(fleet.Engines.Count*fleet.Engines.Capacity) / slotMs * 1000
}

// requiredPlainTargets is the number of plain targets of which half the capacity is in use at
// three times the usual load.
func (fleet *Fleet) requiredPlainTargets() int {
	meanWorkMs := 0.0
	for _, t := range fleet.Tools {
		meanWorkMs += t.MeanWorkMs / float64(len(fleet.Tools))
	}
	callsPerProgram := 0.0
	for _, c := range fleet.Classes {
		callsPerProgram += c.Share * c.MeanTurns * (1 + maxParallelTools) / 2
	}
	const headroom = 6 // three times the load, at half the capacity
	return 1 + int(headroom*fleet.ProgramsPerS*callsPerProgram*meanWorkMs/1000/float64(fleet.Plain.Capacity))
}
