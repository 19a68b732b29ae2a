package loads

import (
	"cmp"
	"container/list"
	"maps"
	"slices"
	"time"
)

const (
	// entryKept is how long a target that no reporter tells of is remembered.
	entryKept = 30 * time.Second
	// entriesMost bounds the targets remembered, the starts of the past among them: beyond
	// it all hosts say anew what they see of those that there are.
	entriesMost = 20_000
	// sweepEvery paces the search for targets that can be forgotten.
	sweepEvery = time.Second
)

// Board merges what the hosts of a data centre see. Not safe for concurrent use.
type Board struct {
	id        uint64
	revision  uint64
	reporters map[uint64]*reporter
	entries   map[Key]*entry
	// order is the entries by their last change, the oldest first.
	order   *list.List
	sweptAt time.Duration
}

// reporter is what one host has told.
type reporter struct {
	id       uint64
	session  uint32
	sequence uint64
	heard    time.Duration
	shares   map[Key]*share
}

// share is one reporter's part of an entry: as it told last, and what of its counts went into
// the entry's.
type share struct {
	inFlight int
	counts
	merged counts
}

// entry is all that is known of one target.
type entry struct {
	key      Key
	inFlight int
	counts
	word    LoadReport
	hasWord bool
	shares  int
	at      *list.Element
	touched time.Duration
	// last is the revision of the last change, which by made; before is that of the last
	// change that somebody else made.
	last, before uint64
	by           uint64
}

// nobody is no reporter's id: drawn ids are not zero.
const nobody = 0

// changedFor is the revision of the last change that is news to a reporter.
func (e *entry) changedFor(reporter uint64) uint64 {
	if e.by == reporter {
		return e.before
	}
	return e.last
}

// NewBoard returns an empty board; id is drawn at random for each.
func NewBoard(id uint64) *Board {
	return &Board{id: id, reporters: map[uint64]*reporter{}, entries: map[Key]*entry{}, order: list.New()}
}

// ID is the start of the board.
func (b *Board) ID() uint64 { return b.id }

// ReporterCount is the number of hosts that were heard lately.
func (b *Board) ReporterCount(now time.Duration) int {
	b.expire(now)
	return len(b.reporters)
}

// Exchange merges a report and answers it.
func (b *Board) Exchange(m HostReport, now time.Duration) Reply {
	b.expire(now)
	reply := Reply{BoardID: b.id, Session: m.Session, Sequence: m.Sequence}
	r, known := b.session(m)
	if !known {
		reply.Restart = true
		return reply
	}
	if m.Session == r.session && m.Sequence > r.sequence {
		r.sequence, r.heard = m.Sequence, now
		for _, l := range m.Targets {
			b.merge(r, l, now)
		}
	}
	b.tell(&reply, m, now)
	return reply
}

// session returns what is known of the reporter, or begins a session; known is false if the
// reporter must begin one, since it counts as told what this board does not have.
func (b *Board) session(m HostReport) (r *reporter, known bool) {
	if m.BoardID != 0 && m.BoardID != b.id {
		return nil, false
	}
	r = b.reporters[m.ReporterID]
	if r != nil && m.Session < r.session {
		return r, true
	}
	if r != nil && m.Session == r.session {
		return r, m.AckedSequence <= r.sequence
	}
	if m.AckedSequence > 0 {
		return nil, false
	}
	b.drop(r)
	r = &reporter{id: m.ReporterID, session: m.Session, shares: map[Key]*share{}}
	b.reporters[m.ReporterID] = r
	return r, true
}

// expire drops reporters that are silent: their hosts died, froze or were cut off.
func (b *Board) expire(now time.Duration) {
	var silent []uint64
	for id, r := range b.reporters {
		if now-r.heard > ReporterTimeout {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	for _, id := range silent {
		b.drop(b.reporters[id])
	}
	if now-b.sweptAt < sweepEvery {
		return
	}
	b.sweptAt = now
	if len(b.entries) > entriesMost {
		*b = *NewBoard(b.id + 1)
	}
	for key, e := range b.entries {
		if e.shares == 0 && now-e.touched > entryKept {
			b.order.Remove(e.at)
			delete(b.entries, key)
		}
	}
}

// drop forgets a reporter and its requests. What it saw of failures stays; nobody's, so that
// the reporter is told all of it if it comes back.
func (b *Board) drop(r *reporter) {
	if r == nil {
		return
	}
	delete(b.reporters, r.id)
	for _, key := range slices.Sorted(maps.Keys(r.shares)) {
		e, s := b.entries[key], r.shares[key]
		e.shares--
		e.inFlight -= s.inFlight
		if s.inFlight > 0 || s.merged.failed > 0 {
			b.touch(e, nobody, e.touched)
		}
	}
}

func (b *Board) merge(r *reporter, l TargetStats, now time.Duration) {
	e := b.entries[l.Key]
	if e == nil {
		e = &entry{key: l.Key}
		e.at = b.order.PushFront(e) // not changed yet
		b.entries[l.Key] = e
	}
	s := r.shares[l.Key]
	if s == nil {
		s = &share{}
		r.shares[l.Key] = s
		e.shares++
	}
	failed, served := since(l.Failed, s.failed), since(l.Served, s.served)
	if e.failed == 0 && failed == 0 {
		served = 0 // successes matter only where there were failures
	}
	news := l.InFlight != s.inFlight || failed > 0 || served > 0
	e.inFlight += l.InFlight - s.inFlight
	e.failed, s.merged.failed = e.failed+failed, s.merged.failed+failed
	e.served, s.merged.served = e.served+served, s.merged.served+served
	s.inFlight, s.counts = l.InFlight, counts{l.Failed, l.Served}
	if at := now - l.LoadAge; l.HasLoad && (!e.hasWord || at > e.word.ReceivedAt) {
		e.word, e.hasWord, news = LoadReport{Load: l.Load, ReceivedAt: at}, true, true
	}
	if news {
		b.touch(e, r.id, now)
	}
}

// touch notes a change that a reporter made.
func (b *Board) touch(e *entry, by uint64, now time.Duration) {
	b.revision++
	if e.by != by {
		e.before, e.by = e.last, by
	}
	e.last, e.touched = b.revision, now
	b.order.MoveToBack(e.at)
}

// tell adds what changed for the asker since the revision that it has. The longest unchanged
// of these come first, so that none waits for ever where more changes than fits. Where the
// message is cut goes by what is news to the asker: its own later change of a target must not
// count as told what others changed there before.
func (b *Board) tell(reply *Reply, m HostReport, now time.Duration) {
	asker := b.reporters[m.ReporterID]
	reply.OtherHosts = len(b.reporters) - 1
	reply.KnownRevision = b.revision
	var due []*entry
	for at := b.order.Back(); at != nil; at = at.Prev() {
		e := at.Value.(*entry)
		if e.last <= m.KnownRevision {
			break
		}
		if e.changedFor(m.ReporterID) > m.KnownRevision {
			due = append(due, e)
		}
	}
	slices.Reverse(due)
	if len(due) > MaxTargetsPerMessage {
		slices.SortFunc(due, func(x, y *entry) int {
			return cmp.Compare(x.changedFor(m.ReporterID), y.changedFor(m.ReporterID))
		})
		due = due[:MaxTargetsPerMessage]
		reply.KnownRevision, reply.More = due[MaxTargetsPerMessage-1].changedFor(m.ReporterID), true
	}
	for _, e := range due {
		reply.Targets = append(reply.Targets, e.line(asker, now))
	}
}

// line is the entry as the asker is told it: without its own part.
func (e *entry) line(asker *reporter, now time.Duration) TargetStats {
	l := TargetStats{Key: e.key, InFlight: e.inFlight, Failed: e.failed, Served: e.served}
	if s := asker.shares[e.key]; s != nil {
		l.InFlight -= s.inFlight
		l.Failed, l.Served = since(l.Failed, s.merged.failed), since(l.Served, s.merged.served)
	}
	if age := now - e.word.ReceivedAt; e.hasWord && age < wordKept {
		l.HasLoad, l.Load, l.LoadAge = true, e.word.Load, max(0, age)
	}
	return l
}
