package player

import (
	"fmt"
	"math/rand/v2"
)

// RandomFleet draws a deployment: sizes, speeds, kinds of programs and their aims. The
// load is such that engines are about half full at the usual load.
func RandomFleet(seed uint64) *Fleet {
	const stream = 7
	rng := rand.New(rand.NewPCG(seed, stream))
	between := func(low, high float64) float64 { return low + (high-low)*rng.Float64() }
	whole := func(low, high int) int { return low + rng.IntN(high-low+1) }
	centres := []string{"a", "b", "c", "d", "e"}[:whole(2, 5)]
	f := &Fleet{
		DataCentres: centres, Hosts: whole(3, 20), LinkDelayMs: between(0.5, 4), ClientDelayMs: between(1, 5), HistoryReadMs: between(6, 15), RetainMs: between(4, 10),
		IdleTimeoutMs: between(3000, 15000),
		Engines: EngineSettings{
			Count: whole(4, 24), Capacity: whole(4, 48), StepMs: between(2, 8), StepGrowth: between(0.002, 0.08),
			PrefillChunkTokens: whole(128, 1024), PrefillTokensPerMs: between(30, 120), SlowdownSpread: between(0, 0.3), TokensPerEvent: whole(4, 16),
		},
		Plain: PlainSettings{Count: whole(3, 16), Capacity: 6, MaxQueue: 24, SlowdownSpread: between(0, 0.2)},
		Tools: []*Tool{
			{Name: "short", MeanWorkMs: between(5, 20), MaxWorkMs: 100, DeadlineMs: 1500, Idempotent: true},
			{Name: "long", MeanWorkMs: between(20, 60), MaxWorkMs: 400, DeadlineMs: 2500},
		},
	}
	f.Engines.MaxQueue = 3 * f.Engines.Capacity
	for i := range whole(1, 3) {
		f.Classes = append(f.Classes, &Class{
			Name: fmt.Sprintf("class-%d", i), MeanTurns: between(2, 8), SubAgentShare: between(0, 0.2), SubTurns: 2,
			SharedPrefixTokens: whole(200, 3000), Subjects: whole(2, 20), MeanInputTokens: between(200, 1200), MeanOutputTokens: between(30, 120), Retained: i > 0,
			ObjectiveFactor: between(1.4, 2.5), ObjectiveAllowanceMs: 250, DeadlineMs: 4000, MaxAttempts: 2, MaxRetries: 1,
		})
	}
	for _, c := range f.Classes {
		c.Share = 1 / float64(len(f.Classes))
	}
	f.Engines.CacheTokens = f.memoryNeeded(between(1.2, 2.5))
	f.ProgramsPerS = f.halfLoad()
	f.Plain.Count = max(f.Plain.Count, f.plainNeeded())
	return f
}

// prompt is the mean prompt of a class, in the middle of a program.
func (c *Class) prompt() float64 {
	return float64(c.SharedPrefixTokens) + (c.MeanInputTokens+c.MeanOutputTokens)*(c.MeanTurns/2) + c.MeanInputTokens
}

// memoryNeeded is the memory for full batches of mean prompts, times spare.
func (f *Fleet) memoryNeeded(spare float64) int {
	mean := 0.0
	for _, c := range f.Classes {
		mean += c.Share * c.prompt()
	}
	return int(spare * mean * float64(f.Engines.Capacity))
}

// halfLoad is the programs a second that fill half of the places.
func (f *Fleet) halfLoad() float64 {
	step := f.Engines.StepMs * (1 + f.Engines.StepGrowth*float64(f.Engines.Capacity)/2)
	busy := 0.0 // place-milliseconds of a program
	for _, c := range f.Classes {
		turns := c.MeanTurns * (1 + c.SubAgentShare*float64(c.SubTurns))
		busy += c.Share * turns * (c.MeanOutputTokens*step + 2*c.MeanInputTokens/f.Engines.PrefillTokensPerMs)
	}
	const half = 0.5
	return half * float64(f.Engines.Count*f.Engines.Capacity) / busy * 1000
}

// plainNeeded is the plain targets that are half full at three times the usual load.
func (f *Fleet) plainNeeded() int {
	work := 0.0
	for _, t := range f.Tools {
		work += t.MeanWorkMs / float64(len(f.Tools))
	}
	calls := 0.0
	for _, c := range f.Classes {
		calls += c.Share * c.MeanTurns * (1 + toolsMost) / 2
	}
	const times = 6
	return 1 + int(times*f.ProgramsPerS*calls*work/1000/float64(f.Plain.Capacity))
}
