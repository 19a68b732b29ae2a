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

// BrokenRuns are the runs of one request that targets broke off, over all its attempts and merged
// from several replicas. The zero value is ready to use.
type BrokenRuns struct {
	// crashed tells for each target whether it was found to have crashed.
	crashed map[incarnation]bool
}

// Merge adds broken runs. A target that was found to have crashed once has crashed.
func (b *BrokenRuns) Merge(runs []*historypb.BrokenRun) {
	if b.crashed == nil && len(runs) > 0 {
		b.crashed = make(map[incarnation]bool, len(runs))
	}
	for _, r := range runs {
		key := incarnation{r.Target, r.Born}
		b.crashed[key] = b.crashed[key] || r.Crashed
	}
}

// Crashes returns the number of targets that crashed while they ran the request: those found to
// have crashed then, and those that are gone by now.
func (b *BrokenRuns) Crashes(isGone func(target string, startedAtMs int64) bool) int {
	count := 0
	for key, crashed := range b.crashed {
		if crashed || isGone(key.target, key.startedAtMs) {
			count++
		}
	}
	return count
}

// records returns the broken runs as records of a request, in no order.
func (b *BrokenRuns) records(request string) []*historypb.BrokenRun {
	list := make([]*historypb.BrokenRun, 0, len(b.crashed))
	for key, crashed := range b.crashed {
		list = append(list, &historypb.BrokenRun{Request: request, Target: key.target, Born: key.startedAtMs, Crashed: crashed})
	}
	return list
}

// digest returns a hash of the broken runs of a request that does not depend on their order.
func (b *BrokenRuns) digest(request string) uint64 {
	sum := uint64(0)
	for key, crashed := range b.crashed {
		state := uint64(1)
		if crashed {
			state = 2
		}
		sum += mix(hashString(request) ^ mix(hashString(key.target)+state) ^ uint64(key.startedAtMs))
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
