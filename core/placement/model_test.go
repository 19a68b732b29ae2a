package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// model plays one slot's life: writers and readers with maps of any age, members
// that wipe, go silent and return, copies, and changes by conditional update.
// It asserts that every complete read meets every acknowledged write.
type model struct {
	t       *testing.T
	rng     *rand.Rand
	maps    []*Map // by change; the last one is at the platform
	disks   map[string]*disk
	acked   []int
	writes  int
	nextID  int
	silent  string // the one member that does not answer
	copying map[string]*copyJob
	log     []string
	// lean: a write of a steady slot goes to a quorum, and to others only where one fails.
	lean bool
	// formerless is a seeded fault: reads do without the replica that is being replaced.
	formerless bool
	missed     int // reads that missed a write
}

type disk struct {
	host    string
	adopted *Map
	records map[int]bool
}

// copyJob is a joining member's copy under one map.
type copyJob struct {
	epoch uint64
	from  map[string]bool
}

const modelSlot = 0

func newModel(t *testing.T, seed uint64, hosts int) *model { return newModelOf(t, seed, hosts, 1) }

func newModelOf(t *testing.T, seed uint64, hosts, faults int) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[string]*disk{}, copying: map[string]*copyJob{}}
	first := New(faults)
	for i := range hosts {
		first.Admit(m.fresh(fmt.Sprintf("h%d", i)))
	}
	first.Assign()
	m.maps = []*Map{first}
	for _, d := range m.disks {
		d.adopted = first
	}
	return m
}

func (m *model) fresh(host string) Member {
	m.nextID++
	id := fmt.Sprintf("m%d", m.nextID)
	m.disks[id] = &disk{host: host, records: map[int]bool{}}
	return Member{ID: id, Host: host, Address: host, DataCentre: host}
}

func (m *model) latest() *Map { return m.maps[len(m.maps)-1] }

func (m *model) note(format string, args ...any) { m.log = append(m.log, fmt.Sprintf(format, args...)) }

// anyMap is a map that some entry host may still use.
func (m *model) anyMap() *Map {
	back := m.rng.IntN(min(3, len(m.maps)))
	return m.maps[len(m.maps)-1-back]
}

// accepts reports whether a member serves a request made with the map.
func (m *model) accepts(id string, with *Map) bool {
	d := m.disks[id]
	return d != nil && d.adopted != nil && id != m.silent && with.Epoch >= d.adopted.Slots[modelSlot].ChangedEpoch
}

func (m *model) write() {
	with := m.anyMap()
	s := &with.Slots[modelSlot]
	m.writes++
	acks := map[string]bool{}
	replicas := s.Replicas
	if m.lean {
		replicas = m.shuffled(replicas)
	}
	for _, r := range replicas {
		if m.lean && with.AllowsQuorumFirst(modelSlot) && with.IsWriteDurable(s, acks) {
			break
		}
		if m.rng.IntN(4) > 0 && m.accepts(r.Member, with) {
			m.disks[r.Member].records[m.writes] = true
			acks[r.Member] = true
		}
	}
	if with.IsWriteDurable(s, acks) {
		m.acked = append(m.acked, m.writes)
		m.note("write %d under epoch %d by %v", m.writes, with.Epoch, acks)
	}
}

func (m *model) shuffled(list []Replica) []Replica {
	list = slices.Clone(list)
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (m *model) read() {
	if m.meets() {
		return
	}
	m.missed++
	require.True(m.t, m.formerless, "a read missed a write\n%s", m.history())
}

// meets makes a read and reports whether it saw every acknowledged write, or was incomplete.
func (m *model) meets() bool {
	with := m.anyMap()
	s := &with.Slots[modelSlot]
	seen := map[int]bool{}
	heard := map[string]bool{}
	for _, i := range m.rng.Perm(len(s.Replicas)) {
		r := s.Replicas[i]
		if len(heard) == with.ReadQuorum(s) || r.Joining || !m.accepts(r.Member, with) {
			continue
		}
		heard[r.Member] = true
		for rec := range m.disks[r.Member].records {
			seen[rec] = true
		}
	}
	if len(heard) < with.ReadQuorum(s) {
		return true
	}
	if former, needed := with.FormerMemberForRead(modelSlot); needed && !m.formerless {
		if !m.accepts(former, with) {
			return true
		}
		for rec := range m.disks[former].records {
			seen[rec] = true
		}
	}
	for _, rec := range m.acked {
		if !seen[rec] {
			m.note("write %d not seen by %v under epoch %d", rec, heard, with.Epoch)
			return false
		}
	}
	return true
}

func (m *model) history() string {
	out := ""
	for _, l := range m.log[max(0, len(m.log)-40):] {
		out += l + "\n"
	}
	return out
}

func (m *model) change(what string, apply func(*Map) bool) {
	next := m.latest().Clone()
	if apply(next) {
		m.maps = append(m.maps, next)
		m.note("%s: epoch %d, replicas %v", what, next.Epoch, next.Slots[modelSlot].Replicas)
	}
}

// whole reports that nothing is lost: no replica joins and none is silent.
func (m *model) whole() bool {
	for _, s := range m.latest().Slots {
		for _, r := range s.Replicas {
			if r.Joining {
				return false
			}
		}
	}
	return m.silent == ""
}

// replacing reports, where writes are lean, that the one replica that joins takes the place
// of a disk that is not lost.
func (m *model) replacing() bool {
	s := m.latest().Slots[modelSlot]
	former := m.disks[s.FormerMember]
	return m.lean && m.silent == "" && former != nil && len(s.Replicas)-s.ActiveCount() == 1
}

func (m *model) anyMember() string {
	ids := make([]string, 0, len(m.latest().Members))
	for i := 1; i <= m.nextID; i++ {
		id := fmt.Sprintf("m%d", i)
		if _, in := m.latest().Members[id]; in {
			ids = append(ids, id)
		}
	}
	return ids[m.rng.IntN(len(ids))]
}

func (m *model) wipe() {
	if !m.whole() && !m.replacing() {
		return
	}
	m.lose(m.anyMember())
	if m.latest().Faults > 1 && m.rng.IntN(2) == 0 {
		m.lose(m.anyMember())
	}
}

// lose wipes a member's disk; its host comes back with an empty one.
func (m *model) lose(id string) {
	host := m.disks[id].host
	delete(m.disks, id)
	m.note("%s loses its disk", id)
	x := m.fresh(host)
	m.change("admit "+x.ID, func(n *Map) bool { return n.Admit(x) })
	m.disks[x.ID].adopted = m.latest()
}

// step is one random action.
func (m *model) step() {
	switch m.rng.IntN(12) {
	case 0, 1, 2:
		m.write()
	case 3, 4, 5:
		m.read()
	case 6:
		if d := m.disks[m.anyMember()]; d != nil {
			d.adopted = m.latest()
		}
	case 7:
		m.wipe()
	case 8:
		if m.whole() {
			m.silent = m.anyMember()
			m.note("%s silent", m.silent)
		}
	case 9:
		if m.silent != "" && m.rng.IntN(2) == 0 {
			id := m.silent
			m.change("replace "+id, func(n *Map) bool { return n.Replace(id, map[string]bool{id: true}) })
		} else if m.lean && m.whole() && m.rng.IntN(2) == 0 {
			id := m.anyMember()
			m.change("retire "+id, func(n *Map) bool { return n.Replace(id, map[string]bool{id: true}) })
		} else if m.silent != "" {
			m.note("%s back", m.silent)
			m.silent = ""
		}
	default:
		m.copy()
	}
}

// copy lets a joining replica copy from one source; when it has enough, it asks
// to be active.
func (m *model) copy() {
	at := m.latest()
	for _, r := range at.Slots[modelSlot].Replicas {
		if !r.Joining || r.Member == m.silent {
			continue
		}
		job := m.copying[r.Member]
		if job == nil || job.epoch != at.Slots[modelSlot].ChangedEpoch {
			job = &copyJob{epoch: at.Slots[modelSlot].ChangedEpoch, from: map[string]bool{}}
			m.copying[r.Member] = job
		}
		from, need := at.CopySources(modelSlot, r.Member)
		if len(from) > 0 {
			m.copyFrom(r.Member, from[m.rng.IntN(len(from))], at, job)
		}
		if len(job.from) >= need {
			m.change("activate "+r.Member, func(n *Map) bool {
				return n.Activate(r.Member, map[int]uint64{modelSlot: job.epoch})
			})
			return
		}
	}
}

func (m *model) copyFrom(to, from string, at *Map, job *copyJob) {
	source := m.disks[from]
	if source == nil || from == m.silent {
		return
	}
	if source.adopted == nil || source.adopted.Epoch < at.Epoch {
		source.adopted = at // a source refuses to be copied from before it has adopted the map
	}
	for rec := range source.records {
		m.disks[to].records[rec] = true
	}
	job.from[from] = true
}

func TestReadsMeetAcknowledgedWrites(t *testing.T) {
	for hosts := 3; hosts <= 5; hosts++ {
		for seed := range uint64(80) {
			m := newModel(t, seed, hosts)
			for range 300 {
				m.step()
			}
		}
	}
}

func TestJoinedReplicasBecomeActive(t *testing.T) {
	m := newModel(t, 7, 4)
	for range 2000 {
		m.step()
	}
	m.silent = ""
	for range 200 {
		m.copy()
	}
	require.Zero(t, len(m.latest().Slots[modelSlot].Replicas)-m.latest().Slots[modelSlot].ActiveCount())
	require.NotEmpty(t, m.acked)
}
