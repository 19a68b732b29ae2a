package player

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run. Untagged fields are encoded as JSON under their
// own names.
type Result struct {
	Pattern string `json:"pattern"`
	Policy  string `json:"policy"`
	Seed    uint64 `json:"seed"`
	// Programs counts the programs that started. InTime counts those that met their latency
	// objective, Late those that met only twice the objective, and Failed all others that ended.
	// Endless programs and those whose caller leaves are not counted.
	Programs, InTime, Late, Failed int
	// TurnedAway counts turns rejected by a host without a send, Connections the connections
	// opened to targets.
	TurnedAway, Connections int
	// Read counts the prompt tokens that engines processed in prefill, ReadAgain those of
	// shared prefixes that some engine had processed before.
	Read, ReadAgain int64
	// First is the time to the first event of a turn in milliseconds, Stretch the duration of
	// a program as percentage of its latency objective.
	First, Stretch Quantiles
	// Calls is the duration of a successful call to the plain service in milliseconds.
	Calls Quantiles
	// EngineSends and PlainSends count the sends to the targets of the two services.
	EngineSends, PlainSends Sends
	// EngineWindows is EngineSends by windows of two seconds.
	EngineWindows []Sends
	// SecondSends counts hedges: calls sent a second time while the first send was in flight.
	// Moves counts turns that ran in another data centre than the turn before them in their
	// sequence.
	SecondSends, Moves int
	// Windows counts programs by start time, in windows of two seconds. Classes, Centres and
	// Subjects count them by class, data centre of the caller, and class and subject.
	Windows  []Window
	Classes  map[string]*Window
	Centres  map[string]*Window
	Subjects map[string]*Window

	phasesEndAt                  time.Duration // end of the last phase
	firstEventMs, stretchPercent *hdrhistogram.Histogram
	callMs                       *hdrhistogram.Histogram
	readPrefixes                 map[string]bool // IDs of shared prefixes that an engine has processed
}

// Quantiles are the 50th, 95th and 99th percentile of a distribution.
type Quantiles struct{ P50, P95, P99 int64 }

// Window counts programs of a group, as Result does.
type Window struct{ Programs, InTime, Late, Failed int }

// Score is the share of programs in time, with late ones counted half; 1 without programs.
func (w Window) Score() float64 {
	if w.Programs == 0 {
		return 1
	}
	return (float64(w.InTime) + float64(w.Late)/2) / float64(w.Programs)
}

// windowLength is the length of the windows in Result.
const windowLength = 2 * time.Second

func newResult(pattern *Pattern, policy string, seed uint64) *Result {
	lastPhaseEnd := 0.0
	for _, ph := range pattern.Phases {
		lastPhaseEnd = max(lastPhaseEnd, ph.To)
	}
	return &Result{
		phasesEndAt: seconds(lastPhaseEnd), Pattern: pattern.Name, Policy: policy, Seed: seed, Windows: make([]Window, int(pattern.ArrivalSeconds)/2+1), EngineWindows: make([]Sends, int(pattern.ArrivalSeconds)/2+1), Classes: map[string]*Window{}, Centres: map[string]*Window{}, Subjects: map[string]*Window{},
		firstEventMs: hdrhistogram.New(1, 60_000, 3), stretchPercent: hdrhistogram.New(1, 100_000, 3), callMs: hdrhistogram.New(1, 60_000, 3), readPrefixes: map[string]bool{},
	}
}

// windowsOf returns the groups that a program counts in.
func (r *Result) windowsOf(p *program) []*Window {
	index := min(len(r.Windows)-1, int(p.startedAt/windowLength))
	return []*Window{
		&r.Windows[index], windowFor(r.Classes, p.class.Name), windowFor(r.Centres, p.dataCentre),
		windowFor(r.Subjects, fmt.Sprintf("%s/%d", p.class.Name, p.subject)),
	}
}

// windowFor returns the group of a name, created on first use.
func windowFor(groups map[string]*Window, name string) *Window {
	if groups[name] == nil {
		groups[name] = &Window{}
	}
	return groups[name]
}

// isCounted reports whether a program counts in results: it ends, and its caller stays.
func (p *program) isCounted() bool { return !p.endless && p.leavesAt == 0 }

func (r *Result) recordStart(p *program) {
	if !p.isCounted() {
		return
	}
	r.Programs++
	for _, window := range r.windowsOf(p) {
		window.Programs++
	}
}

func (r *Result) recordEnd(p *program, ok bool) {
	if !p.isCounted() {
		return
	}
	duration := p.callers.sim.Now() - p.startedAt
	counter := func(window *Window) *int { return &window.Failed }
	switch {
	case ok && duration <= p.objective:
		r.InTime++
		counter = func(window *Window) *int { return &window.InTime }
	case ok && duration <= lateObjectiveFactor*p.objective:
		r.Late++
		counter = func(window *Window) *int { return &window.Late }
	default:
		r.Failed++
	}
	for _, window := range r.windowsOf(p) {
		*counter(window)++
	}
	if ok {
		_ = r.stretchPercent.RecordValue(max(1, int64(100*duration/p.objective))) // values above the range are not counted
	}
}

func (r *Result) recordFirstEvent(sinceStart time.Duration) {
	_ = r.firstEventMs.RecordValue(max(1, sinceStart.Milliseconds())) // values above the range are not counted
}

// recordPrefill counts the shared prefix of a request if its engine has to process it
// although some engine has done so before.
func (r *Result) recordPrefill(e *engine, request *engineRequest) {
	prefix := request.parts[0]
	if r.readPrefixes[prefix.ID] && e.cache.cachedTokens(request.parts[:1]) < prefix.Tokens {
		r.ReadAgain += int64(prefix.Tokens)
	}
	r.readPrefixes[prefix.ID] = true
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(95), h.ValueAtQuantile(99)}
}

// computeQuantiles sets the quantiles at the end of a run.
func (r *Result) computeQuantiles() {
	r.First, r.Stretch, r.Calls = quantiles(r.firstEventMs), quantiles(r.stretchPercent), quantiles(r.callMs)
}

// Score is the share of all programs in time, with late ones counted half.
func (r *Result) Score() float64 {
	return Window{Programs: r.Programs, InTime: r.InTime, Late: r.Late}.Score()
}

// LowestSubjectScore is the lowest score of a subject with at least minWindowPrograms, divided
// by the score of the run.
func (r *Result) LowestSubjectScore() float64 {
	lowest := 1.0
	for _, window := range r.Subjects {
		if window.Programs >= minWindowPrograms {
			lowest = min(lowest, window.Score())
		}
	}
	return lowest / max(r.Score(), 0.01)
}

// recoveredScore is the score from which a window counts as recovered.
const recoveredScore = 0.9

// RecoveryTime is the time from the end of the last phase to the first window from which on
// all windows have recovered; those with fewer than minWindowPrograms are ignored.
func (r *Result) RecoveryTime() time.Duration {
	lastLow := len(r.Windows) - 2 // the last window is shorter than the others
	for lastLow >= 0 && (r.Windows[lastLow].Score() >= recoveredScore || r.Windows[lastLow].Programs < minWindowPrograms) {
		lastLow--
	}
	return max(0, time.Duration(lastLow+1)*windowLength-r.phasesEndAt)
}

// minWindowPrograms is the number of programs from which on the score of a group is used.
const minWindowPrograms = 5

// WorstScore is the mean score of the two worst windows with at least minWindowPrograms.
func (r *Result) WorstScore() float64 {
	lowest, second := 1.0, 1.0
	for _, window := range r.Windows {
		if window.Programs < minWindowPrograms {
			continue
		}
		switch score := window.Score(); {
		case score < lowest:
			lowest, second = score, lowest
		case score < second:
			second = score
		}
	}
	return (lowest + second) / 2
}

// Sends counts the sends to targets of one service: Near to the data centre of the host, Far
// to other ones.
type Sends struct{ Near, Far int }

// record counts a send.
func (s *Sends) record(near bool) {
	if near {
		s.Near++
		return
	}
	s.Far++
}

// FarShare is the share of sends to other data centres; 0 without sends.
func (s Sends) FarShare() float64 { return float64(s.Far) / float64(max(1, s.Near+s.Far)) }

// recordCall records the duration of a successful call to the plain service.
func (r *Result) recordCall(duration time.Duration) {
	_ = r.callMs.RecordValue(max(1, duration.Milliseconds())) // values above the range are not counted
}

// recordMove counts a turn that ran in another data centre than the turn before it in its
// sequence, if there is one.
func (r *Result) recordMove(t *turn, target string) {
	previous := t.program.runRecords[t.parts[len(t.parts)-2].ID]
	if previous != "" && t.host.sim.dataCentreOf(previous) != t.host.sim.dataCentreOf(target) {
		r.Moves++
	}
}

// recordTurnSend counts the send of a turn to an engine.
func (r *Result) recordTurnSend(sentAt time.Duration, near bool) {
	r.EngineSends.record(near)
	r.EngineWindows[min(len(r.EngineWindows)-1, int(sentAt/windowLength))].record(near)
}
