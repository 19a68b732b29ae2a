package ledger

import (
	"slices"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// MaxCrashes is the number of targets that may crash while they run one request. The request is
// then taken for the cause and is not sent again.
const MaxCrashes = 3

// incarnation identifies one start of a target.
type incarnation struct {
	target      string
	startedAtMs int64
}

// runRecord is the latest run of a request at an incarnation that ended in one way.
type runRecord struct {
	known      bool
	generation int32
	endedMs    int64
}

// later returns the later one of two records of runs that ended in the same way.
func (r runRecord) later(other runRecord) runRecord {
	switch {
	case !r.known:
		return other
	case other.generation > r.generation, other.generation == r.generation && other.endedMs > r.endedMs:
		return other
	}
	return r
}

// supersedes reports whether the record tells more of a run than one of a less certain end does.
func (r runRecord) supersedes(lessCertain runRecord) bool {
	return r.known && r.generation >= lessCertain.generation
}

// runEnds is the number of ends of runs.
const runEnds = historypb.RunEnd_RUN_END_CRASHED_AFTER_REFUSAL + 1

// runState is what is known of the runs of a request at one incarnation of a target, by their end.
type runState [runEnds]runRecord

// end returns the most certain end of a run that counts and its record; false if none counts: each run did not begin,
// was answered, or was outlived by the target.
func (s *runState) end() (historypb.RunEnd, runRecord, bool) {
	outlived, notRun := s[historypb.RunEnd_RUN_END_OUTLIVED], s[historypb.RunEnd_RUN_END_NOT_RUN]
	if crashed := s[historypb.RunEnd_RUN_END_CRASHED]; crashed.known {
		return historypb.RunEnd_RUN_END_CRASHED, crashed, true
	}
	if broken := s[historypb.RunEnd_RUN_END_BROKEN]; broken.known && !outlived.supersedes(broken) {
		return historypb.RunEnd_RUN_END_BROKEN, broken, true
	}
	if unknown := s[historypb.RunEnd_RUN_END_UNKNOWN]; unknown.known && !outlived.supersedes(unknown) && !notRun.supersedes(unknown) {
		return historypb.RunEnd_RUN_END_UNKNOWN, unknown, true
	}
	return 0, runRecord{}, false
}

// dropBefore forgets the runs of generations before one, and reports whether any run is left.
func (s *runState) dropBefore(generation int32) bool {
	left := false
	for end := range s {
		if s[end].generation < generation {
			s[end] = runRecord{}
		}
		left = left || s[end].known
	}
	return left
}

// BrokenRuns are the runs of one request that ended without an answer, or may have, over all its attempts and
// merged from several replicas. An answer takes back what is held against the runs of earlier generations, and says
// nothing of others. The zero value is ready to use.
type BrokenRuns struct {
	runs map[incarnation]*runState
	// answered is the latest generation in which a run was answered, 0 for none. Earlier ones are not in runs.
	answered int32
}

// Merge adds records of runs.
func (b *BrokenRuns) Merge(runs []*historypb.BrokenRun) {
	for _, r := range runs {
		switch {
		case r.End == historypb.RunEnd_RUN_END_ANSWERED:
			b.setAnswered(r.Generation)
		case r.End >= 0 && r.End < runEnds && r.Generation >= b.answered:
			b.add(incarnation{r.Target, r.Born}, r.End, runRecord{true, r.Generation, r.EndedMs})
		}
	}
}

// add adds the record of a run.
func (b *BrokenRuns) add(key incarnation, end historypb.RunEnd, r runRecord) {
	if b.runs == nil {
		b.runs = map[incarnation]*runState{}
	}
	if b.runs[key] == nil {
		b.runs[key] = &runState{}
	}
	state := b.runs[key]
	state[end] = state[end].later(r)
}

// setAnswered records that a run of the generation was answered.
func (b *BrokenRuns) setAnswered(generation int32) {
	if generation <= b.answered {
		return
	}
	b.answered = generation
	for key, state := range b.runs {
		if !state.dropBefore(generation) {
			delete(b.runs, key)
		}
	}
}

// has reports whether a run ended in one of the given ways, as far as is known.
func (b *BrokenRuns) has(ends ...historypb.RunEnd) bool {
	for _, state := range b.runs {
		end, _, counts := state.end()
		if counts && slices.Contains(ends, end) {
			return true
		}
	}
	return false
}

// HasUnanswered reports whether a run ended without an answer that may yet be held against the request.
func (b *BrokenRuns) HasUnanswered() bool {
	return b.has(historypb.RunEnd_RUN_END_BROKEN, historypb.RunEnd_RUN_END_CRASHED)
}

// HasRefusals reports whether a target refused the request that may yet be held against it.
func (b *BrokenRuns) HasRefusals() bool { return b.Refusals().HasUnanswered() }

// HasAnnounced reports whether a run was announced of which nothing else is known.
func (b *BrokenRuns) HasAnnounced() bool { return b.has(historypb.RunEnd_RUN_END_UNKNOWN) }

// NextGeneration returns the generation of a run that begins now.
func (b *BrokenRuns) NextGeneration() int32 {
	last := b.answered
	for _, state := range b.runs {
		last = max(last, state[historypb.RunEnd_RUN_END_BROKEN].generation, state[historypb.RunEnd_RUN_END_CRASHED].generation,
			state[historypb.RunEnd_RUN_END_REFUSED].generation, state[historypb.RunEnd_RUN_END_CRASHED_AFTER_REFUSAL].generation)
	}
	return last + 1
}

// Refusals returns the refusals of the request as if they were runs that ended without an answer, so that they are
// counted by themselves: a target that refuses a request may have crashed under one that it ran.
func (b *BrokenRuns) Refusals() *BrokenRuns {
	refusals := &BrokenRuns{answered: b.answered}
	for key, state := range b.runs {
		refused, crashed := state[historypb.RunEnd_RUN_END_REFUSED], state[historypb.RunEnd_RUN_END_CRASHED_AFTER_REFUSAL]
		if refused.known || crashed.known {
			refusals.add(key, historypb.RunEnd_RUN_END_BROKEN, refused)
			refusals.add(key, historypb.RunEnd_RUN_END_CRASHED, crashed)
			refusals.add(key, historypb.RunEnd_RUN_END_OUTLIVED, state[historypb.RunEnd_RUN_END_OUTLIVED])
		}
	}
	return refusals
}

// Confirmed returns the number of targets that were found to have crashed.
func (b *BrokenRuns) Confirmed() int {
	count := 0
	for _, state := range b.runs {
		if state[historypb.RunEnd_RUN_END_CRASHED].known {
			count++
		}
	}
	return count
}

// CrashGenerations returns the number of generations of the runs under which targets crashed: how many of these runs
// began one after the other, as opposed to runs of several callers at the same time.
func (b *BrokenRuns) CrashGenerations() int {
	generations := map[int32]bool{}
	for _, state := range b.runs {
		if crashed := state[historypb.RunEnd_RUN_END_CRASHED]; crashed.known {
			generations[crashed.generation] = true
		}
	}
	return len(generations)
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
	for key, state := range b.runs {
		if end, run, counts := state.end(); counts && end != historypb.RunEnd_RUN_END_CRASHED {
			list = append(list, key.record("", end, run))
		}
	}
	return list
}

// record returns the record of a request's run at the incarnation.
func (i incarnation) record(request string, end historypb.RunEnd, r runRecord) *historypb.BrokenRun {
	return &historypb.BrokenRun{Request: request, Target: i.target, Born: i.startedAtMs, End: end, EndedMs: r.endedMs, Generation: r.generation}
}

// records returns what is known of the runs as records of a request, in no order.
func (b *BrokenRuns) records(request string) []*historypb.BrokenRun {
	list := make([]*historypb.BrokenRun, 0, len(b.runs)+1)
	for key, state := range b.runs {
		for end, run := range state {
			if run.known {
				list = append(list, key.record(request, historypb.RunEnd(end), run))
			}
		}
	}
	if b.answered > 0 {
		list = append(list, &historypb.BrokenRun{Request: request, End: historypb.RunEnd_RUN_END_ANSWERED, Generation: b.answered})
	}
	return list
}

// digest returns a hash of the broken runs of a request that does not depend on their order.
func (b *BrokenRuns) digest(request string) uint64 {
	sum := uint64(0)
	for _, r := range b.records(request) {
		state := uint64(r.End) + uint64(r.Generation)<<8
		sum += mix(hashString(request) ^ mix(hashString(r.Target)+state) ^ uint64(r.Born))
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
