package player

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of one run.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	// Programs that began, and how they ended. Programs without end are not counted.
	Programs, InTime, Late, Failed int
	// TurnedAway counts refusals by the host, Connections the connections opened.
	TurnedAway, Connections int
	// Read is the prompt tokens that engines read, ReadAgain those of shared parts that
	// some engine had read before.
	Read, ReadAgain int64
	// First is the time to the first event of a turn, Stretch a program's time over
	// its aim, in percent.
	First, Stretch Quantiles
	// Calls is the time of a call to a plain target. EngineSends and PlainSends are by
	// where they went.
	Calls                   Quantiles
	EngineSends, PlainSends Sends
	// EngineWindows is EngineSends by two seconds.
	EngineWindows []Sends
	// SecondSends counts calls sent a second time while the first send was under way, and
	// Moves the turns that ran in another data centre than the one before of their line.
	SecondSends, Moves int
	// Windows is by two seconds of the programs' begin.
	Windows  []Window
	Classes  map[string]*Window
	Centres  map[string]*Window
	Subjects map[string]*Window

	calmAt            time.Duration // end of the last phase
	firsts, stretches *hdrhistogram.Histogram
	calls             *hdrhistogram.Histogram
	known             map[string]bool
}

// Quantiles of a distribution.
type Quantiles struct{ P50, P95, P99 int64 }

// Window counts programs.
type Window struct{ Programs, InTime, Late, Failed int }

// Worth is the share of the programs in time, late ones counted half.
func (x Window) Score() float64 {
	if x.Programs == 0 {
		return 1
	}
	return (float64(x.InTime) + float64(x.Late)/2) / float64(x.Programs)
}

const windowLength = 2 * time.Second

func newResult(p *Pattern, policy string, seed uint64) *Result {
	calm := 0.0
	for _, ph := range p.Phases {
		calm = max(calm, ph.To)
	}
	return &Result{
		calmAt: seconds(calm), Pattern: p.Name, Policy: policy, Seed: seed, Windows: make([]Window, int(p.ArrivalSeconds)/2+1), EngineWindows: make([]Sends, int(p.ArrivalSeconds)/2+1), Classes: map[string]*Window{}, Centres: map[string]*Window{}, Subjects: map[string]*Window{},
		firsts: hdrhistogram.New(1, 60_000, 3), stretches: hdrhistogram.New(1, 100_000, 3), calls: hdrhistogram.New(1, 60_000, 3), known: map[string]bool{},
	}
}

// of returns the counters that a program counts in.
func (r *Result) of(p *program) []*Window {
	at := min(len(r.Windows)-1, int(p.begun/windowLength))
	return []*Window{
		&r.Windows[at], counter(r.Classes, p.class.Name), counter(r.Centres, p.centre),
		counter(r.Subjects, fmt.Sprintf("%s/%d", p.class.Name, p.subject)),
	}
}

// counter returns the counters of a group.
func counter(groups map[string]*Window, name string) *Window {
	if groups[name] == nil {
		groups[name] = &Window{}
	}
	return groups[name]
}

// counts reports whether a program counts: it ends, and its caller stays.
func (p *program) counts() bool { return !p.endless && p.leaves == 0 }

func (r *Result) began(p *program) {
	if !p.counts() {
		return
	}
	r.Programs++
	for _, x := range r.of(p) {
		x.Programs++
	}
}

func (r *Result) ended(p *program, ok bool) {
	if !p.counts() {
		return
	}
	took := p.c.w.Now() - p.begun
	count := func(x *Window) *int { return &x.Failed }
	switch {
	case ok && took <= p.aim:
		r.InTime++
		count = func(x *Window) *int { return &x.InTime }
	case ok && took <= lateFactor*p.aim:
		r.Late++
		count = func(x *Window) *int { return &x.Late }
	default:
		r.Failed++
	}
	for _, x := range r.of(p) {
		*count(x)++
	}
	if ok {
		_ = r.stretches.RecordValue(max(1, int64(100*took/p.aim))) // values over its range count nowhere
	}
}

func (r *Result) first(d time.Duration) {
	_ = r.firsts.RecordValue(max(1, d.Milliseconds())) // values over its range count nowhere
}

// readShared counts the shared part of a run that an engine reads although another
// one had it.
func (r *Result) readShared(e *engine, x *run) {
	shared := x.parts[0]
	if r.known[shared.ID] && e.memory.covered(x.parts[:1]) < shared.Tokens {
		r.ReadAgain += int64(shared.Tokens)
	}
	r.known[shared.ID] = true
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99)}
}

// close works out the quantiles.
func (r *Result) close() {
	r.First, r.Stretch, r.Calls = quantiles(r.firsts), quantiles(r.stretches), quantiles(r.calls)
}

// Worth is the share of all programs in time, late ones counted half.
func (r *Result) Score() float64 {
	return Window{Programs: r.Programs, InTime: r.InTime, Late: r.Late}.Score()
}

// LeastSubject is the lowest worth of a subject over the mean.
func (r *Result) LowestSubjectScore() float64 {
	least := 1.0
	for _, x := range r.Subjects {
		if x.Programs >= somePrograms {
			least = min(least, x.Score())
		}
	}
	return least / max(r.Score(), 0.01)
}

// wellAgain is the worth of a window that counts as usual.
const wellAgain = 0.9

// Recovery is the time from the end of the last phase to the first of the windows
// that are all well.
func (r *Result) RecoveryTime() time.Duration {
	last := len(r.Windows) - 2 // the last one is cut short
	for last >= 0 && (r.Windows[last].Score() >= wellAgain || r.Windows[last].Programs < somePrograms) {
		last--
	}
	return max(0, time.Duration(last+1)*windowLength-r.calmAt)
}

// somePrograms is what a group needs to be judged.
const somePrograms = 5

// Worst is the worth of the worst two windows with some programs.
func (r *Result) WorstScore() float64 {
	a, b := 1.0, 1.0
	for _, x := range r.Windows {
		if x.Programs < somePrograms {
			continue
		}
		switch v := x.Score(); {
		case v < a:
			a, b = v, a
		case v < b:
			b = v
		}
	}
	return (a + b) / 2
}
