package loads

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// targetRetention is how long a target to which no reporter contributes is kept after its
	// last change.
	targetRetention = 30 * time.Second
	// maxTargets bounds the targets kept, including past incarnations. A board that exceeds it
	// becomes an empty board instance, to which all hosts report the existing targets again.
	maxTargets = 20_000
	// sweepInterval is the time between two searches for targets past their retention.
	sweepInterval = time.Second
)

// Board merges the reports of the hosts of a data centre. Not safe for concurrent use.
type Board struct {
	id        uint64
	revision  uint64
	reporters map[uint64]*reporterState
	targets   map[Key]*target
	// byLastChange holds the targets in order of their last change, the oldest first.
	byLastChange *list.List
	lastSweep    time.Duration
}

// reporterState is what one host has reported in its session.
type reporterState struct {
	id            uint64
	session       uint32
	sequence      uint64
	lastReportAt  time.Duration
	contributions map[Key]*contribution
}

// contribution is one reporter's part of a target's merged state: the counts of its last report,
// and, as merged, what it has added to the target's counts.
type contribution struct {
	inFlight int
	outcomeCounts
	merged outcomeCounts
}

// target is the merged state of one target.
type target struct {
	key      Key
	inFlight int
	outcomeCounts
	loadReport    LoadReport
	hasLoadReport bool
	contributors  int
	element       *list.Element
	changedAt     time.Duration
	// lastRevision is the revision of the last change, made by changedBy; otherRevision is
	// the revision of the last change by a different reporter.
	lastRevision, otherRevision uint64
	changedBy                   uint64
}

// noReporter is the ID of no reporter: IDs are never zero.
const noReporter = 0

// revisionFor returns the revision of the last change that was not made by the reporter.
func (t *target) revisionFor(reporter uint64) uint64 {
	if t.changedBy == reporter {
		return t.otherRevision
	}
	return t.lastRevision
}

// NewBoard returns an empty board. The ID identifies this board instance and must be drawn at
// random for each.
func NewBoard(id uint64) *Board {
	return &Board{id: id, reporters: map[uint64]*reporterState{}, targets: map[Key]*target{}, byLastChange: list.New()}
}

// ID returns the ID of the board instance.
func (b *Board) ID() uint64 { return b.id }

// ReporterCount returns the number of hosts that reported within ReporterTimeout.
func (b *Board) ReporterCount(now time.Duration) int {
	b.expire(now)
	return len(b.reporters)
}

// Exchange merges a report and returns the reply to it.
func (b *Board) Exchange(report HostReport, now time.Duration) Reply {
	b.expire(now)
	reply := Reply{BoardID: b.id, Session: report.Session, Sequence: report.Sequence}
	r, known := b.resolveSession(report)
	if !known {
		reply.Restart = true
		return reply
	}
	if report.Session == r.session && report.Sequence > r.sequence {
		r.sequence, r.lastReportAt = report.Sequence, now
		for _, stats := range report.Targets {
			b.merge(r, stats, now)
		}
	}
	b.addChanges(&reply, report, now)
	return reply
}

// resolveSession returns the state of the sender of a report, and starts the session if the
// report is the first of it. known is false if the sender must start a new session, since it
// takes as acknowledged what this board instance does not have.
func (b *Board) resolveSession(report HostReport) (r *reporterState, known bool) {
	if report.BoardID != 0 && report.BoardID != b.id {
		return nil, false
	}
	r = b.reporters[report.ReporterID]
	if r != nil && report.Session < r.session {
		return r, true
	}
	if r != nil && report.Session == r.session {
		return r, report.AckedSequence <= r.sequence
	}
	if report.AckedSequence > 0 {
		return nil, false
	}
	b.removeReporter(r)
	r = &reporterState{id: report.ReporterID, session: report.Session, contributions: map[Key]*contribution{}}
	b.reporters[report.ReporterID] = r
	return r, true
}

// expire removes reporters that are silent, because their hosts died, froze or were cut off,
// and targets past their retention.
func (b *Board) expire(now time.Duration) {
	var expired []uint64
	for id, r := range b.reporters {
		if now-r.lastReportAt > ReporterTimeout {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		b.removeReporter(b.reporters[id])
	}
	if now-b.lastSweep < sweepInterval {
		return
	}
	b.lastSweep = now
	if len(b.targets) > maxTargets {
		*b = *NewBoard(b.id + 1)
	}
	for key, t := range b.targets {
		if t.contributors == 0 && now-t.changedAt > targetRetention {
			b.byLastChange.Remove(t.element)
			delete(b.targets, key)
		}
	}
}

// removeReporter removes a reporter and its requests in flight; nil is allowed. The outcomes
// that it reported stay in the targets' counts, attributed to no reporter, so that the host
// receives all of them if it reports again.
func (b *Board) removeReporter(r *reporterState) {
	if r == nil {
		return
	}
	delete(b.reporters, r.id)
	for _, key := range slices.Sorted(maps.Keys(r.contributions)) {
		t, c := b.targets[key], r.contributions[key]
		t.contributors--
		t.inFlight -= c.inFlight
		if c.inFlight > 0 || c.merged.failed > 0 {
			b.markChanged(t, noReporter, t.changedAt)
		}
	}
}

// merge replaces a reporter's contribution to a target.
func (b *Board) merge(r *reporterState, stats TargetStats, now time.Duration) {
	t := b.targets[stats.Key]
	if t == nil {
		t = &target{key: stats.Key}
		t.element = b.byLastChange.PushFront(t) // no change yet
		b.targets[stats.Key] = t
	}
	c := r.contributions[stats.Key]
	if c == nil {
		c = &contribution{}
		r.contributions[stats.Key] = c
		t.contributors++
	}
	failed, served := increase(stats.Failed, c.failed), increase(stats.Served, c.served)
	if t.failed == 0 && failed == 0 {
		served = 0 // successes matter only after failures
	}
	changed := stats.InFlight != c.inFlight || failed > 0 || served > 0
	t.inFlight += stats.InFlight - c.inFlight
	t.failed, c.merged.failed = t.failed+failed, c.merged.failed+failed
	t.served, c.merged.served = t.served+served, c.merged.served+served
	c.inFlight, c.outcomeCounts = stats.InFlight, outcomeCounts{stats.Failed, stats.Served}
	if at := now - stats.LoadAge; stats.HasLoad && (!t.hasLoadReport || at > t.loadReport.ReceivedAt) {
		t.loadReport, t.hasLoadReport, changed = LoadReport{Load: stats.Load, ReceivedAt: at}, true, true
	}
	if changed {
		b.markChanged(t, r.id, now)
	}
}

// markChanged records a change of a target by a reporter under a new revision.
func (b *Board) markChanged(t *target, by uint64, now time.Duration) {
	b.revision++
	if t.changedBy != by {
		t.otherRevision, t.changedBy = t.lastRevision, by
	}
	t.lastRevision, t.changedAt = b.revision, now
	b.byLastChange.MoveToBack(t.element)
}

// addChanges adds the targets that others changed since the revision that the sender of the
// report knows. If they exceed the size of a message, those unchanged for longest come first,
// so that no change is deferred for ever. The cut follows revisionFor, not lastRevision: the
// sender's own later change of a target must not mark earlier changes by others as sent.
func (b *Board) addChanges(reply *Reply, report HostReport, now time.Duration) {
	sender := b.reporters[report.ReporterID]
	reply.OtherHosts = len(b.reporters) - 1
	reply.KnownRevision = b.revision
	var due []*target
	for element := b.byLastChange.Back(); element != nil; element = element.Prev() {
		t := element.Value.(*target)
		if t.lastRevision <= report.KnownRevision {
			break
		}
		if t.revisionFor(report.ReporterID) > report.KnownRevision {
			due = append(due, t)
		}
	}
	slices.Reverse(due)
	if len(due) > MaxTargetsPerMessage {
		slices.SortFunc(due, func(x, y *target) int {
			return cmp.Compare(x.revisionFor(report.ReporterID), y.revisionFor(report.ReporterID))
		})
		due = due[:MaxTargetsPerMessage]
		reply.KnownRevision, reply.More = due[MaxTargetsPerMessage-1].revisionFor(report.ReporterID), true
	}
	for _, t := range due {
		reply.Targets = append(reply.Targets, t.statsFor(sender, now))
	}
}

// statsFor returns the target's stats for a reply to a reporter, without the reporter's own
// contribution.
func (t *target) statsFor(r *reporterState, now time.Duration) TargetStats {
	stats := TargetStats{Key: t.key, InFlight: t.inFlight, Failed: t.failed, Served: t.served}
	if c := r.contributions[t.key]; c != nil {
		stats.InFlight -= c.inFlight
		stats.Failed, stats.Served = increase(stats.Failed, c.merged.failed), increase(stats.Served, c.merged.served)
	}
	if age := now - t.loadReport.ReceivedAt; t.hasLoadReport && age < maxLoadReportAge {
		stats.HasLoad, stats.Load, stats.LoadAge = true, t.loadReport.Load, max(0, age)
	}
	return stats
}
