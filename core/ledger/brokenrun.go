package ledger

import "github.com/pistachioarch/pistachioarch/core/historypb"

// MaxCrashes is the number of targets that may crash while they run one request. The request is
// then taken for the cause and is not sent again.
const MaxCrashes = 3

// incarnation identifies one start of a target.
type incarnation struct {
	target      string
	startedAtMs int64
}

// runState is what is known of the runs of a request at one incarnation of a target.
type runState struct {
	end     historypb.RunEnd
	endedMs int64
}

// certainty orders the ends of runs: of two records of a run the more certain one holds.
var certainty = map[historypb.RunEnd]int{
	historypb.RunEnd_RUN_END_UNKNOWN:  0,
	historypb.RunEnd_RUN_END_NOT_RUN:  1,
	historypb.RunEnd_RUN_END_BROKEN:   2,
	historypb.RunEnd_RUN_END_OUTLIVED: 3,
	historypb.RunEnd_RUN_END_CRASHED:  4,
}

// merge returns the state after another record of the run.
func (s runState) merge(other runState) runState {
	if certainty[other.end] > certainty[s.end] {
		s.end = other.end
	}
	s.endedMs = max(s.endedMs, other.endedMs)
	return s
}

// BrokenRuns are the runs of one request that ended without an answer, or may have, over all its attempts and
// merged from several replicas. The zero value is ready to use.
type BrokenRuns struct {
	runs map[incarnation]runState
}

// Merge adds broken runs. What is known of the end of a run supersedes what is less certain.
func (b *BrokenRuns) Merge(runs []*historypb.BrokenRun) {
	if b.runs == nil && len(runs) > 0 {
		b.runs = make(map[incarnation]runState, len(runs))
	}
	for _, r := range runs {
		key := incarnation{r.Target, r.Born}
		b.runs[key] = b.runs[key].merge(runState{r.End, r.EndedMs})
	}
}

// Known reports whether there is any broken run.
func (b *BrokenRuns) Known() bool { return len(b.runs) > 0 }

// Confirmed returns the number of targets that were found to have crashed.
func (b *BrokenRuns) Confirmed() int {
	count := 0
	for _, run := range b.runs {
		if run.end == historypb.RunEnd_RUN_END_CRASHED {
			count++
		}
	}
	return count
}

// Judgement is what is known by now of a run whose record does not tell what became of its target.
type Judgement int

// The judgements of a run.
const (
	// NotCrashed means that the target has not crashed under the run.
	NotCrashed Judgement = iota
	// MayCrash means that the target serves, but that the run has ended only now.
	MayCrash
	// Crashed means that the target has crashed under the run.
	Crashed
)

// Count returns how many targets crashed under the request, and how many more may turn out to have. judge
// says what is known by now of a run that is RUN_END_UNKNOWN or RUN_END_BROKEN; it is only called if these
// runs decide whether there are MaxCrashes.
func (b *BrokenRuns) Count(judge func(*historypb.BrokenRun) Judgement) (crashed, open int) {
	crashed = b.Confirmed()
	undecided := b.undecided()
	if crashed >= MaxCrashes || crashed+len(undecided) < MaxCrashes {
		return crashed, 0
	}
	for _, run := range undecided {
		switch judge(run) {
		case Crashed:
			crashed++
		case MayCrash:
			open++
		}
	}
	return crashed, open
}

// undecided returns the runs of which it is not known what became of their targets, in no order.
func (b *BrokenRuns) undecided() []*historypb.BrokenRun {
	var list []*historypb.BrokenRun
	for key, run := range b.runs {
		if run.end == historypb.RunEnd_RUN_END_UNKNOWN || run.end == historypb.RunEnd_RUN_END_BROKEN {
			list = append(list, key.record("", run))
		}
	}
	return list
}

// record returns the record of a request's runs at the incarnation.
func (i incarnation) record(request string, s runState) *historypb.BrokenRun {
	return &historypb.BrokenRun{Request: request, Target: i.target, Born: i.startedAtMs, End: s.end, EndedMs: s.endedMs}
}

// records returns the broken runs as records of a request, in no order.
func (b *BrokenRuns) records(request string) []*historypb.BrokenRun {
	list := make([]*historypb.BrokenRun, 0, len(b.runs))
	for key, run := range b.runs {
		list = append(list, key.record(request, run))
	}
	return list
}

// digest returns a hash of the broken runs of a request that does not depend on their order.
func (b *BrokenRuns) digest(request string) uint64 {
	sum := uint64(0)
	for key, run := range b.runs {
		sum += mix(hashString(request) ^ mix(hashString(key.target)+uint64(run.end)) ^ uint64(key.startedAtMs))
	}
	return sum
}

// addBrokenRun merges the record of a broken run into a program.
func (p *program) addBrokenRun(r *historypb.BrokenRun) {
	if p.brokenRuns == nil {
		p.brokenRuns = map[string]*BrokenRuns{}
	}
	runs := p.brokenRuns[r.Request]
	if runs == nil {
		runs = &BrokenRuns{}
		p.brokenRuns[r.Request] = runs
	}
	runs.Merge([]*historypb.BrokenRun{r})
}

// BrokenRuns returns the broken runs of a program's request, in no order.
func (l *Ledger) BrokenRuns(name, request string) []*historypb.BrokenRun {
	p := l.programs[name]
	if p == nil || p.brokenRuns[request] == nil {
		return nil
	}
	return p.brokenRuns[request].records(request)
}

// brokenRunRecords returns the records of all broken runs of a program, in no order.
func (p *program) brokenRunRecords(name string) []*historypb.Record {
	var list []*historypb.Record
	for request, runs := range p.brokenRuns {
		for _, r := range runs.records(request) {
			list = append(list, &historypb.Record{
				Slot: p.slot, Program: name, ExpiresMs: p.expiresMs,
				Change: &historypb.Record_BrokenRun{BrokenRun: r},
			})
		}
	}
	return list
}
