package loads

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Reporter is a host's side of the exchange with a board. Not safe for concurrent use.
type Reporter struct {
	id       uint64
	session  uint32
	sequence uint64
	// ackedSequence is the last report of the session that was merged.
	ackedSequence uint64
	boardID       uint64
	knownRevision uint64
	targets       map[Key]*localTarget
	// lastQueued is the highest queue position assigned so far.
	lastQueued uint64
	// sentVersions holds the versions of the targets in the report in flight.
	sentVersions  map[Key]uint64
	awaitingReply bool
	// received holds the counts of other hosts as received in this session. synced reports
	// whether all of them were received once.
	received map[Key]outcomeCounts
	synced   bool
}

// outcomeCounts counts finished requests by outcome.
type outcomeCounts struct{ failed, served uint32 }

// localTarget is what the host knows of one target.
type localTarget struct {
	Observation
	// baseline holds the counts at the start of the session.
	baseline outcomeCounts
	// version changes with the observation. queued is the target's position in the order of
	// those to report, 0 if the current version was acknowledged.
	version, queued uint64
	// removed reports whether the target was missing from the last observations.
	removed bool
}

// NewReporter returns the reporter of a host. The ID must be drawn at random for each start of
// the host.
func NewReporter(id uint64) *Reporter {
	return &Reporter{id: id, session: 1, targets: map[Key]*localTarget{}, received: map[Key]outcomeCounts{}}
}

// BoardID returns the ID of the board instance that the host reports to, 0 if there is none
// yet.
func (r *Reporter) BoardID() uint64 { return r.boardID }

// Observe replaces the host's observations of all targets. Targets that are left out are
// reported to have no requests in flight.
func (r *Reporter) Observe(all []Observation) {
	listed := make(map[Key]bool, len(all))
	for i := range all {
		listed[all[i].Key] = true
		r.updateTarget(&all[i])
	}
	var removed []Key
	for key := range r.targets {
		if !listed[key] {
			removed = append(removed, key)
		}
	}
	slices.Sort(removed)
	for _, key := range removed {
		r.removeTarget(key, r.targets[key])
	}
}

func (r *Reporter) updateTarget(o *Observation) {
	t := r.targets[o.Key]
	if t == nil {
		if o.isEmpty() {
			return
		}
		t = &localTarget{}
		r.targets[o.Key] = t
	} else if t.Observation == *o && !t.removed {
		return
	}
	t.Observation, t.removed = *o, false
	r.markChanged(t)
}

// removeTarget marks a target that is no longer listed as without requests in flight, and
// deletes it once that was acknowledged.
func (r *Reporter) removeTarget(key Key, t *localTarget) {
	if !t.removed {
		t.removed, t.InFlight, t.HasLoadReport = true, 0, false
		r.markChanged(t)
	}
	if t.queued == 0 {
		delete(r.targets, key)
	}
}

// markChanged queues a target for the next reports. A target that is already queued keeps its
// position.
func (r *Reporter) markChanged(t *localTarget) {
	t.version++
	if t.queued == 0 {
		r.lastQueued++
		t.queued = r.lastQueued
	}
}

// HasPending reports whether there are changes that were not acknowledged.
func (r *Reporter) HasPending() bool {
	for _, t := range r.targets {
		if t.queued > 0 {
			return true
		}
	}
	return false
}

// NextReport returns the next message to the board. A later reply to the previous one is
// ignored.
func (r *Reporter) NextReport(now time.Duration) HostReport {
	var due []*localTarget
	for _, t := range r.targets {
		if t.queued > 0 {
			due = append(due, t)
		}
	}
	slices.SortFunc(due, func(a, b *localTarget) int { return cmp.Compare(a.queued, b.queued) })
	due = due[:min(len(due), MaxTargetsPerMessage)]
	r.sequence++
	r.awaitingReply, r.sentVersions = true, make(map[Key]uint64, len(due))
	report := HostReport{ReporterID: r.id, Session: r.session, Sequence: r.sequence, BoardID: r.boardID, KnownRevision: r.knownRevision, AckedSequence: r.ackedSequence}
	for _, t := range due {
		r.sentVersions[t.Key] = t.version
		report.Targets = append(report.Targets, t.stats(now))
	}
	return report
}

// stats returns the target's stats for a report, with counts since the start of the session.
func (t *localTarget) stats(now time.Duration) TargetStats {
	stats := TargetStats{
		Key: t.Key, InFlight: t.InFlight,
		Failed: increase(t.Failed, t.baseline.failed), Served: increase(t.Served, t.baseline.served),
	}
	if age := now - t.LoadReport.ReceivedAt; t.HasLoadReport && age < maxLoadReportAge {
		stats.HasLoad, stats.Load, stats.LoadAge = true, t.LoadReport.Load, max(0, age)
	}
	return stats
}

// increase returns by how much a count has grown, 0 if it was reset.
func increase(count, before uint32) uint32 {
	if count < before {
		return 0
	}
	return count - before
}

// TargetUpdate is what a host learns of one target from a reply. OthersInFlight counts the
// requests that other hosts have in flight; Failed and Served count those that ended there
// since the last update of the target. LoadReport is valid if HasLoadReport.
type TargetUpdate struct {
	Key            Key
	OthersInFlight int
	Failed, Served uint32
	LoadReport     LoadReport
	HasLoadReport  bool
}

// Update is the content of a reply.
type Update struct {
	// Accepted reports whether the reply is the expected one; the other fields are valid
	// only then.
	Accepted bool
	// Reset reports whether a new session starts, with another board or one that no longer
	// knows this host. Earlier updates of other hosts' requests are then void.
	Reset      bool
	OtherHosts int
	Targets    []TargetUpdate
}

// HandleReply applies a reply to the last report and returns its content.
func (r *Reporter) HandleReply(reply Reply, now time.Duration) Update {
	if !r.awaitingReply || reply.Session != r.session || reply.Sequence != r.sequence {
		return Update{}
	}
	r.awaitingReply = false
	if reply.Restart || r.boardID != 0 && reply.BoardID != r.boardID {
		r.startSession(reply.BoardID)
		return Update{Accepted: true, Reset: true}
	}
	r.boardID = reply.BoardID
	r.acknowledge()
	update := Update{Accepted: true, OtherHosts: reply.OtherHosts}
	for _, stats := range reply.Targets {
		update.Targets = append(update.Targets, r.targetUpdate(stats, now))
	}
	r.knownRevision = max(r.knownRevision, reply.KnownRevision)
	r.synced = r.synced || !reply.More
	return update
}

// acknowledge marks the targets of the last report as merged, except those that have changed
// since it was made.
func (r *Reporter) acknowledge() {
	r.ackedSequence = r.sequence
	for key, version := range r.sentVersions {
		if t := r.targets[key]; t != nil && t.version == version {
			t.queued = 0
		}
	}
}

// targetUpdate converts counts since the start of the board into increases since the last
// reply. The first stats of a target in a session give no increase before the reporter is
// synced, since it is not known which outcomes are new.
func (r *Reporter) targetUpdate(stats TargetStats, now time.Duration) TargetUpdate {
	u := TargetUpdate{Key: stats.Key, OthersInFlight: stats.InFlight}
	if stats.HasLoad {
		u.HasLoadReport, u.LoadReport = true, LoadReport{Load: stats.Load, ReceivedAt: now - stats.LoadAge}
	}
	before, known := r.received[stats.Key]
	if known || r.synced {
		u.Failed, u.Served = increase(stats.Failed, before.failed), increase(stats.Served, before.served)
	}
	r.received[stats.Key] = outcomeCounts{stats.Failed, stats.Served}
	return u
}

// startSession starts a session with a board instance, in which all targets are reported
// again.
func (r *Reporter) startSession(boardID uint64) {
	r.session++
	r.sequence, r.ackedSequence, r.knownRevision, r.boardID, r.synced = 0, 0, 0, boardID, false
	clear(r.received)
	for _, key := range slices.Sorted(maps.Keys(r.targets)) {
		t := r.targets[key]
		t.baseline = outcomeCounts{t.Failed, t.Served}
		r.markChanged(t)
	}
}
