package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// model simulates one slot: writers and readers with maps of different ages, members that
// lose their disk, stop answering and return, copies, and map changes by conditional update.
// It asserts that every complete read sees every acknowledged write.
type model struct {
	t              *testing.T
	rng            *rand.Rand
	maps           []*Map // by change; the last one is at the platform
	disks          map[string]*disk
	ackedWrites    []int
	writeCount     int
	createdMembers int
	silentMember   string // the one member that does not answer
	copyJobs       map[string]*copyJob
	log            []string
	// quorumFirst makes a write go to a quorum, and to other replicas only if one of it fails,
	// where the slot allows it.
	quorumFirst bool
	// skipFormerMember is a seeded fault: reads do not ask the member that is being replaced.
	skipFormerMember bool
	missedReads      int // reads that missed a write
}

// disk is one member's disk.
type disk struct {
	host    string
	adopted *Map
	records map[int]bool
}

// copyJob is a joining member's copy of the slot under one map.
type copyJob struct {
	epoch   uint64
	sources map[string]bool
}

const modelSlot = 0

func newModel(t *testing.T, seed uint64, hosts int) *model {
	return newModelWithFaults(t, seed, hosts, 1)
}

func newModelWithFaults(t *testing.T, seed uint64, hosts, faults int) *model {
	m := &model{t: t, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[string]*disk{}, copyJobs: map[string]*copyJob{}}
	first := New(faults)
	for i := range hosts {
		first.Admit(m.newMember(fmt.Sprintf("h%d", i)))
	}
	first.Assign()
	m.maps = []*Map{first}
	for _, d := range m.disks {
		d.adopted = first
	}
	return m
}

func (m *model) newMember(host string) Member {
	m.createdMembers++
	id := fmt.Sprintf("m%d", m.createdMembers)
	m.disks[id] = &disk{host: host, records: map[int]bool{}}
	return Member{ID: id, Host: host, Address: host, DataCentre: host}
}

func (m *model) latestMap() *Map { return m.maps[len(m.maps)-1] }

func (m *model) logf(format string, args ...any) { m.log = append(m.log, fmt.Sprintf(format, args...)) }

// randomRecentMap returns a map that some entry host may still use.
func (m *model) randomRecentMap() *Map {
	age := m.rng.IntN(min(3, len(m.maps)))
	return m.maps[len(m.maps)-1-age]
}

// accepts reports whether a member serves a request made with the map.
func (m *model) accepts(id string, slotMap *Map) bool {
	d := m.disks[id]
	return d != nil && d.adopted != nil && id != m.silentMember && slotMap.Epoch >= d.adopted.Slots[modelSlot].ChangedEpoch
}

func (m *model) write() {
	slotMap := m.randomRecentMap()
	s := &slotMap.Slots[modelSlot]
	m.writeCount++
	acks := map[string]bool{}
	replicas := s.Replicas
	if m.quorumFirst {
		replicas = m.shuffled(replicas)
	}
	for _, r := range replicas {
		if m.quorumFirst && slotMap.AllowsQuorumFirst(modelSlot) && slotMap.IsWriteDurable(s, acks) {
			break
		}
		if m.rng.IntN(4) > 0 && m.accepts(r.Member, slotMap) {
			m.disks[r.Member].records[m.writeCount] = true
			acks[r.Member] = true
		}
	}
	if slotMap.IsWriteDurable(s, acks) {
		m.ackedWrites = append(m.ackedWrites, m.writeCount)
		m.logf("write %d under epoch %d by %v", m.writeCount, slotMap.Epoch, acks)
	}
}

func (m *model) shuffled(list []Replica) []Replica {
	list = slices.Clone(list)
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func (m *model) read() {
	if m.readSeesAckedWrites() {
		return
	}
	m.missedReads++
	require.True(m.t, m.skipFormerMember, "a read missed a write\n%s", m.recentLog())
}

// readSeesAckedWrites makes a read and reports whether it saw every acknowledged write or was
// incomplete.
func (m *model) readSeesAckedWrites() bool {
	slotMap := m.randomRecentMap()
	s := &slotMap.Slots[modelSlot]
	seen := map[int]bool{}
	answered := map[string]bool{}
	for _, i := range m.rng.Perm(len(s.Replicas)) {
		r := s.Replicas[i]
		if len(answered) == slotMap.ReadQuorum(s) || r.Joining || !m.accepts(r.Member, slotMap) {
			continue
		}
		answered[r.Member] = true
		for write := range m.disks[r.Member].records {
			seen[write] = true
		}
	}
	if len(answered) < slotMap.ReadQuorum(s) {
		return true
	}
	if former, needed := slotMap.FormerMemberForRead(modelSlot); needed && !m.skipFormerMember {
		if !m.accepts(former, slotMap) {
			return true
		}
		for write := range m.disks[former].records {
			seen[write] = true
		}
	}
	for _, write := range m.ackedWrites {
		if !seen[write] {
			m.logf("write %d not seen by %v under epoch %d", write, answered, slotMap.Epoch)
			return false
		}
	}
	return true
}

func (m *model) recentLog() string {
	text := ""
	for _, line := range m.log[max(0, len(m.log)-40):] {
		text += line + "\n"
	}
	return text
}

func (m *model) changeMap(action string, apply func(*Map) bool) {
	next := m.latestMap().Clone()
	if apply(next) {
		m.maps = append(m.maps, next)
		m.logf("%s: epoch %d, replicas %v", action, next.Epoch, next.Slots[modelSlot].Replicas)
	}
}

// allHealthy reports whether no replica is joining and no member is silent.
func (m *model) allHealthy() bool {
	for _, s := range m.latestMap().Slots {
		for _, r := range s.Replicas {
			if r.Joining {
				return false
			}
		}
	}
	return m.silentMember == ""
}

// isReplacing reports, in quorum-first mode, whether the only joining replica replaces a member
// whose disk is not lost, and no member is silent.
func (m *model) isReplacing() bool {
	s := m.latestMap().Slots[modelSlot]
	former := m.disks[s.FormerMember]
	return m.quorumFirst && m.silentMember == "" && former != nil && len(s.Replicas)-s.ActiveCount() == 1
}

func (m *model) randomMember() string {
	ids := make([]string, 0, len(m.latestMap().Members))
	for i := 1; i <= m.createdMembers; i++ {
		id := fmt.Sprintf("m%d", i)
		if _, in := m.latestMap().Members[id]; in {
			ids = append(ids, id)
		}
	}
	return ids[m.rng.IntN(len(ids))]
}

// wipeDisks loses the disk of one member, or of two if the map tolerates that, if no earlier
// loss is still being repaired.
func (m *model) wipeDisks() {
	if !m.allHealthy() && !m.isReplacing() {
		return
	}
	m.loseDisk(m.randomMember())
	if m.latestMap().Faults > 1 && m.rng.IntN(2) == 0 {
		m.loseDisk(m.randomMember())
	}
}

// loseDisk wipes a member's disk; its host returns with an empty one, as a new member.
func (m *model) loseDisk(id string) {
	host := m.disks[id].host
	delete(m.disks, id)
	m.logf("%s loses its disk", id)
	successor := m.newMember(host)
	m.changeMap("admit "+successor.ID, func(n *Map) bool { return n.Admit(successor) })
	m.disks[successor.ID].adopted = m.latestMap()
}

// step performs one random action.
func (m *model) step() {
	switch m.rng.IntN(12) {
	case 0, 1, 2:
		m.write()
	case 3, 4, 5:
		m.read()
	case 6:
		if d := m.disks[m.randomMember()]; d != nil {
			d.adopted = m.latestMap()
		}
	case 7:
		m.wipeDisks()
	case 8:
		if m.allHealthy() {
			m.silentMember = m.randomMember()
			m.logf("%s silent", m.silentMember)
		}
	case 9:
		if m.silentMember != "" && m.rng.IntN(2) == 0 {
			id := m.silentMember
			m.changeMap("replace "+id, func(n *Map) bool { return n.Replace(id, map[string]bool{id: true}) })
		} else if m.quorumFirst && m.allHealthy() && m.rng.IntN(2) == 0 {
			id := m.randomMember()
			m.changeMap("retire "+id, func(n *Map) bool { return n.Replace(id, map[string]bool{id: true}) })
		} else if m.silentMember != "" {
			m.logf("%s back", m.silentMember)
			m.silentMember = ""
		}
	default:
		m.copy()
	}
}

// copy lets a joining replica copy from one source. When it has copied from enough
// sources, it is activated.
func (m *model) copy() {
	latest := m.latestMap()
	for _, r := range latest.Slots[modelSlot].Replicas {
		if !r.Joining || r.Member == m.silentMember {
			continue
		}
		job := m.copyJobs[r.Member]
		if job == nil || job.epoch != latest.Slots[modelSlot].ChangedEpoch {
			job = &copyJob{epoch: latest.Slots[modelSlot].ChangedEpoch, sources: map[string]bool{}}
			m.copyJobs[r.Member] = job
		}
		sources, minSources := latest.CopySources(modelSlot, r.Member)
		if len(sources) > 0 {
			m.copyFrom(r.Member, sources[m.rng.IntN(len(sources))], latest, job)
		}
		if len(job.sources) >= minSources {
			m.changeMap("activate "+r.Member, func(n *Map) bool {
				return n.Activate(r.Member, map[int]uint64{modelSlot: job.epoch})
			})
			return
		}
	}
}

func (m *model) copyFrom(to, from string, latest *Map, job *copyJob) {
	source := m.disks[from]
	if source == nil || from == m.silentMember {
		return
	}
	if source.adopted == nil || source.adopted.Epoch < latest.Epoch {
		source.adopted = latest // a source adopts the map before it serves a copy under it
	}
	for write := range source.records {
		m.disks[to].records[write] = true
	}
	job.sources[from] = true
}

func TestReadsSeeAcknowledgedWrites(t *testing.T) {
	for hosts := 3; hosts <= 5; hosts++ {
		for seed := range uint64(80) {
			m := newModel(t, seed, hosts)
			for range 300 {
				m.step()
			}
		}
	}
}

func TestJoiningReplicasBecomeActive(t *testing.T) {
	m := newModel(t, 7, 4)
	for range 2000 {
		m.step()
	}
	m.silentMember = ""
	for range 200 {
		m.copy()
	}
	require.Zero(t, len(m.latestMap().Slots[modelSlot].Replicas)-m.latestMap().Slots[modelSlot].ActiveCount())
	require.NotEmpty(t, m.ackedWrites)
}
