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
		Centres: centres, Hosts: whole(3, 20), LinkMs: between(0.5, 4), ClientMs: between(1, 5), BeginMs: between(6, 15), KeepMs: between(4, 10),
		IdleMs: between(3000, 15000),
		Engines: EngineSettings{
			Count: whole(4, 24), Places: whole(4, 48), StepMs: between(2, 8), StepGrowth: between(0.002, 0.08),
			Chunk: whole(128, 1024), ReadPerMs: between(30, 120), SpeedSpread: between(0, 0.3), TokensPerEvent: whole(4, 16),
		},
		Plain: PlainSettings{Count: whole(3, 16), Places: 6, Queue: 24, SpeedSpread: between(0, 0.2)},
		Tools: []*Tool{
			{Name: "short", WorkMs: between(5, 20), MostMs: 100, DeadlineMs: 1500, Idempotent: true},
			{Name: "long", WorkMs: between(20, 60), MostMs: 400, DeadlineMs: 2500},
		},
	}
	f.Engines.Queue = 3 * f.Engines.Places
	for i := range whole(1, 3) {
		f.Classes = append(f.Classes, &Class{
			Name: fmt.Sprintf("class-%d", i), Turns: between(2, 8), SubAgents: between(0, 0.2), SubTurns: 2,
			SharedTokens: whole(200, 3000), Subjects: whole(2, 20), Input: between(200, 1200), Output: between(30, 120), Retained: i > 0,
			AimFactor: between(1.4, 2.5), ObjectiveMs: 250, DeadlineMs: 4000, Attempts: 2, Retries: 1,
		})
	}
	for _, c := range f.Classes {
		c.Share = 1 / float64(len(f.Classes))
	}
	f.Engines.Memory = f.memoryNeeded(between(1.2, 2.5))
	f.ProgramsPerS = f.halfLoad()
	f.Plain.Count = max(f.Plain.Count, f.plainNeeded())
	return f
}

// prompt is the mean prompt of a class, in the middle of a program.
func (c *Class) prompt() float64 {
	return float64(c.SharedTokens) + (c.Input+c.Output)*(c.Turns/2) + c.Input
}

// memoryNeeded is the memory for full batches of mean prompts, times spare.
func (f *Fleet) memoryNeeded(spare float64) int {
	mean := 0.0
	for _, c := range f.Classes {
		mean += c.Share * c.prompt()
	}
	return int(spare * mean * float64(f.Engines.Places))
}

// halfLoad is the programs a second that fill half of the places.
func (f *Fleet) halfLoad() float64 {
	step := f.Engines.StepMs * (1 + f.Engines.StepGrowth*float64(f.Engines.Places)/2)
	busy := 0.0 // place-milliseconds of a program
	for _, c := range f.Classes {
		turns := c.Turns * (1 + c.SubAgents*float64(c.SubTurns))
		busy += c.Share * turns * (c.Output*step + 2*c.Input/f.Engines.ReadPerMs)
	}
	const half = 0.5
	return half * float64(f.Engines.Count*f.Engines.Places) / busy * 1000
}

// plainNeeded is the plain targets that are half full at three times the usual load.
func (f *Fleet) plainNeeded() int {
	work := 0.0
	for _, t := range f.Tools {
		work += t.WorkMs / float64(len(f.Tools))
	}
	calls := 0.0
	for _, c := range f.Classes {
		calls += c.Share * c.Turns * (1 + toolsMost) / 2
	}
	const times = 6
	return 1 + int(times*f.ProgramsPerS*calls*work/1000/float64(f.Plain.Places))
}
