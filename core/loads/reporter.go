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
	// acknowledged is the last report of the session that was merged.
	acknowledged uint64
	board        uint64
	have         uint64
	own          map[Key]*ownLine
	// dirtied orders lines by when they began to wait to be told.
	dirtied uint64
	// sent is the versions of lines in the report under way.
	sent    map[Key]uint64
	waiting bool
	// told is the counts of others as told in this session; whole: all lines were told.
	told  map[Key]counts
	whole bool
}

// counts are ends of requests.
type counts struct{ failed, served uint32 }

// ownLine is what the host knows of one target.
type ownLine struct {
	Observation
	// base is the counts when the session began.
	base counts
	// version changes with the line; dirty is its place among those to be told, 0 if it was.
	version, dirty uint64
	// gone: the target is not listed any more.
	gone bool
}

// NewReporter returns a reporter of a host with an id drawn at random.
func NewReporter(id uint64) *Reporter {
	return &Reporter{id: id, session: 1, own: map[Key]*ownLine{}, told: map[Key]counts{}}
}

// BoardID is the start of the board that the host reports to, 0 if there is none yet.
func (r *Reporter) BoardID() uint64 { return r.board }

// Observe takes what the host sees now of all targets.
func (r *Reporter) Observe(all []Observation) {
	seen := make(map[Key]bool, len(all))
	for i := range all {
		seen[all[i].Key] = true
		r.note(&all[i])
	}
	var gone []Key
	for key := range r.own {
		if !seen[key] {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		r.lose(key, r.own[key])
	}
}

func (r *Reporter) note(o *Observation) {
	l := r.own[o.Key]
	if l == nil {
		if o.empty() {
			return
		}
		l = &ownLine{}
		r.own[o.Key] = l
	} else if l.Observation == *o && !l.gone {
		return
	}
	l.Observation, l.gone = *o, false
	r.changed(l)
}

// lose notes that a target is gone: nothing is in flight there.
func (r *Reporter) lose(key Key, l *ownLine) {
	if !l.gone {
		l.gone, l.InFlight, l.HasLoadReport = true, 0, false
		r.changed(l)
	}
	if l.dirty == 0 {
		delete(r.own, key)
	}
}

func (r *Reporter) changed(l *ownLine) {
	l.version++
	if l.dirty == 0 {
		r.dirtied++
		l.dirty = r.dirtied
	}
}

// HasPending reports whether there is anything to tell.
func (r *Reporter) HasPending() bool {
	for _, l := range r.own {
		if l.dirty > 0 {
			return true
		}
	}
	return false
}

// NextReport makes the next message. A reply to the one before it counts no more.
func (r *Reporter) NextReport(now time.Duration) HostReport {
	var due []*ownLine
	for _, l := range r.own {
		if l.dirty > 0 {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *ownLine) int { return cmp.Compare(a.dirty, b.dirty) })
	due = due[:min(len(due), MaxTargetsPerMessage)]
	r.sequence++
	r.waiting, r.sent = true, make(map[Key]uint64, len(due))
	m := HostReport{ReporterID: r.id, Session: r.session, Sequence: r.sequence, BoardID: r.board, KnownRevision: r.have, AckedSequence: r.acknowledged}
	for _, l := range due {
		r.sent[l.Key] = l.version
		m.Targets = append(m.Targets, l.line(now))
	}
	return m
}

func (l *ownLine) line(now time.Duration) TargetStats {
	m := TargetStats{
		Key: l.Key, InFlight: l.InFlight,
		Failed: since(l.Failed, l.base.failed), Served: since(l.Served, l.base.served),
	}
	if age := now - l.LoadReport.ReceivedAt; l.HasLoadReport && age < wordKept {
		m.HasLoad, m.Load, m.LoadAge = true, l.LoadReport.Load, max(0, age)
	}
	return m
}

// since is what a count grew by; nothing if it began anew.
func since(count, before uint32) uint32 {
	if count < before {
		return 0
	}
	return count - before
}

// TargetUpdate is what a host learns of one target. Failed and Served are those of others since it
// was last told.
type TargetUpdate struct {
	Key            Key
	OthersInFlight int
	Failed, Served uint32
	LoadReport     LoadReport
	HasLoadReport  bool
}

// Update is what a reply brings.
type Update struct {
	// Accepted: the reply is the one waited for; without it nothing else holds.
	Accepted bool
	// Reset: another board, or a board that knew this host no more. What it told of others'
	// requests is void.
	Reset      bool
	OtherHosts int
	Targets    []TargetUpdate
}

// HandleReply takes a reply.
func (r *Reporter) HandleReply(m Reply, now time.Duration) Update {
	if !r.waiting || m.Session != r.session || m.Sequence != r.sequence {
		return Update{}
	}
	r.waiting = false
	if m.Restart || r.board != 0 && m.BoardID != r.board {
		r.restart(m.BoardID)
		return Update{Accepted: true, Reset: true}
	}
	r.board = m.BoardID
	r.acknowledge()
	learned := Update{Accepted: true, OtherHosts: m.OtherHosts}
	for _, l := range m.Targets {
		learned.Targets = append(learned.Targets, r.learn(l, now))
	}
	r.have = max(r.have, m.KnownRevision)
	r.whole = r.whole || !m.More
	return learned
}

// acknowledge notes that the lines of the last report were merged.
func (r *Reporter) acknowledge() {
	r.acknowledged = r.sequence
	for key, version := range r.sent {
		if l := r.own[key]; l != nil && l.version == version {
			l.dirty = 0
		}
	}
}

// learn turns counts since the board began into what was added. Of the first lines of a
// session it is not known what is new.
func (r *Reporter) learn(l TargetStats, now time.Duration) TargetUpdate {
	t := TargetUpdate{Key: l.Key, OthersInFlight: l.InFlight}
	if l.HasLoad {
		t.HasLoadReport, t.LoadReport = true, LoadReport{Load: l.Load, ReceivedAt: now - l.LoadAge}
	}
	before, known := r.told[l.Key]
	if known || r.whole {
		t.Failed, t.Served = since(l.Failed, before.failed), since(l.Served, before.served)
	}
	r.told[l.Key] = counts{l.Failed, l.Served}
	return t
}

// restart begins a session with a start of a board.
func (r *Reporter) restart(board uint64) {
	r.session++
	r.sequence, r.acknowledged, r.have, r.board, r.whole = 0, 0, 0, board, false
	clear(r.told)
	for _, key := range slices.Sorted(maps.Keys(r.own)) {
		l := r.own[key]
		l.base = counts{l.Failed, l.Served}
		r.changed(l)
	}
}
