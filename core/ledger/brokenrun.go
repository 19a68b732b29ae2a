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

// BrokenRuns are the runs of one request that targets broke off or may have broken off, over all its
// attempts and merged from several replicas. The zero value is ready to use.
type BrokenRuns struct {
	ends map[incarnation]historypb.RunEnd
}

// Merge adds broken runs. What is known of the end of a run supersedes what is less certain.
func (b *BrokenRuns) Merge(runs []*historypb.BrokenRun) {
	if b.ends == nil && len(runs) > 0 {
		b.ends = make(map[incarnation]historypb.RunEnd, len(runs))
	}
	for _, r := range runs {
		key := incarnation{r.Target, r.Born}
		b.ends[key] = max(b.ends[key], r.End)
	}
}

// Known reports whether there is any broken run.
func (b *BrokenRuns) Known() bool { return len(b.ends) > 0 }

// Confirmed returns the number of targets that were found to have crashed.
func (b *BrokenRuns) Confirmed() int {
	count := 0
	for _, end := range b.ends {
		if end == historypb.RunEnd_RUN_END_CRASHED {
			count++
		}
	}
	return count
}

// CrashLimitReached reports whether MaxCrashes targets crashed while they ran the request: those found to
// have crashed then, and those of runs whose end is unknown that are gone by now. isGone is only called
// if it decides.
func (b *BrokenRuns) CrashLimitReached(isGone func(target string, startedAtMs int64) bool) bool {
	count := b.Confirmed()
	if len(b.ends) < MaxCrashes {
		return false
	}
	for key, end := range b.ends {
		if count >= MaxCrashes {
			break
		}
		if end == historypb.RunEnd_RUN_END_UNKNOWN && isGone(key.target, key.startedAtMs) {
			count++
		}
	}
	return count >= MaxCrashes
}

// records returns the broken runs as records of a request, in no order.
func (b *BrokenRuns) records(request string) []*historypb.BrokenRun {
	list := make([]*historypb.BrokenRun, 0, len(b.ends))
	for key, end := range b.ends {
		list = append(list, &historypb.BrokenRun{Request: request, Target: key.target, Born: key.startedAtMs, End: end})
	}
	return list
}

// digest returns a hash of the broken runs of a request that does not depend on their order.
func (b *BrokenRuns) digest(request string) uint64 {
	sum := uint64(0)
	for key, end := range b.ends {
		sum += mix(hashString(request) ^ mix(hashString(key.target)+uint64(end)) ^ uint64(key.startedAtMs))
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
