package host

import (
	"math/rand/v2"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/journal"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
	"github.com/pistachioarch/pistachioarch/core/sched"
)

// Host is the state machine of one member. Not safe for concurrent use.
type Host struct {
	cfg   Config
	self  string // member name, also the name of its journal stream
	now   time.Duration
	rng   *rand.Rand
	ready Ready
	sched *sched.Scheduler

	ops     operations
	lease   lease
	members membership
	slots   slotTables
	log     commitLog
	declare declaration

	programs map[ident.Program]*program
	byKey    map[createKey]ident.Program
	active   map[*program]struct{} // programs with a call under way
	releases map[releaseKey]*releaseTask
	limits   map[limitKey]*rate.Limiter
	// holdersAt are the programs with cache at a target, by its name.
	holdersAt map[string]map[*program]struct{}
	names     uint64 // program names given out

	draining bool
	paced    pacing
	stats    Stats
}

// Stats counts what a host has done since its start.
type Stats struct {
	Steps, Answered, NotRun, Unknown     uint64
	Duplicates, Crossed, Retries, Swept  uint64
	PlatformOps, Takeovers, SegmentBytes uint64
}

// New returns a Host that waits for its Start event.
func New(cfg Config) (*Host, error) {
	cfg = withDefaults(cfg)
	if err := cfg.check(); err != nil {
		return nil, err
	}
	policy, err := sched.NewPolicy(cfg.Policy)
	if err != nil {
		return nil, err
	}
	self := cfg.member()
	h := &Host{
		cfg:       cfg,
		self:      self,
		rng:       rand.New(rand.NewPCG(cfg.Seed, ident.Hash([]byte(self)))),
		sched:     sched.New(policy),
		programs:  map[ident.Program]*program{},
		byKey:     map[createKey]ident.Program{},
		active:    map[*program]struct{}{},
		releases:  map[releaseKey]*releaseTask{},
		limits:    map[limitKey]*rate.Limiter{},
		holdersAt: map[string]map[*program]struct{}{},
	}
	h.ops.pending = map[uint64]*pendingOp{}
	h.ops.reachable = true
	h.members.peers = map[string]*peer{}
	h.declare.seen = map[string]uint64{}
	h.slots.tables = map[string]*slotTable{}
	h.slots.mine = map[ident.Slot]*ownedSlot{}
	h.log.writer = journal.NewWriter(self, self, cfg.MaxSegmentBytes)
	h.log.tails = map[string]*heldTail{}
	h.log.firstKept = 1
	return h, nil
}

func withDefaults(c Config) Config {
	d := DefaultConfig()
	def := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	num := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	def(&c.LeaseDuration, d.LeaseDuration)
	def(&c.RenewInterval, d.RenewInterval)
	def(&c.ClockMargin, d.ClockMargin)
	def(&c.DataCentreLeaseDuration, d.DataCentreLeaseDuration)
	def(&c.HeartbeatInterval, d.HeartbeatInterval)
	def(&c.SuspectTimeout, d.SuspectTimeout)
	def(&c.PromiseDuration, d.PromiseDuration)
	def(&c.FlushInterval, d.FlushInterval)
	def(&c.OperationTimeout, d.OperationTimeout)
	def(&c.ConfigPollInterval, d.ConfigPollInterval)
	def(&c.Retention, d.Retention)
	num(&c.Slots, d.Slots)
	num(&c.MaxSegmentBytes, d.MaxSegmentBytes)
	num(&c.MaxTailBytes, d.MaxTailBytes)
	num(&c.MaxPrograms, d.MaxPrograms)
	return c
}

// Member is the name of this member: "<data centre>/<host>.<incarnation>".
func (h *Host) Member() string { return h.self }

// Step takes one event at time now, which never goes back.
func (h *Host) Step(now time.Duration, ev Event) {
	h.ready.reset()
	h.now = max(h.now, now)
	h.stats.Steps++
	if h.ready.Lost {
		h.refuseLost(ev)
		return
	}
	h.handle(ev)
	h.dispatch()
	h.shipTail()
}

// Ready returns what is to be done; it is valid until the next Step.
func (h *Host) Ready() *Ready { return &h.ready }

func (h *Host) handle(ev Event) {
	switch ev := ev.(type) {
	case *Tick:
		h.tick()
	case *Start:
		h.start(ev)
	case *Drain:
		h.drain()
	case *PlatformReply:
		h.opReplied(ev)
	case *PeerFrame:
		h.peerFrame(ev.Frame)
	case *PeerRefused:
		h.peerRefused(ev.Address)
	case *CreateProgram:
		h.createProgram(ev)
	case *SubmitCall:
		h.submitCall(ev)
	case *FetchAnswer:
		h.fetchAnswer(ev)
	case *EndProgram:
		h.endProgram(ev)
	case *TargetDone:
		h.targetDone(ev)
	case *TargetReport:
		h.targetReport(ev)
	case *ReleaseDone:
		h.releaseDone(ev)
	}
}

func (h *Host) start(ev *Start) {
	h.members.seeds = ev.Seeds
	if ev.CachedConfig != nil {
		h.acceptConfig(ev.CachedConfig)
	}
	h.acquireLease()
	h.refreshMembers()
	h.pollShared()
	h.watchShared()
}

func (h *Host) tick() {
	h.expireOps()
	h.tickLease()
	h.tickMembers()
	h.tickSlots()
	h.tickLog()
	h.tickShared()
	h.tickCalls()
	h.tickReleases()
	h.tickDrain()
	h.sched.WakeAll()
}

// refuseLost answers requests of a member that was replaced; its driver starts
// a new one.
func (h *Host) refuseLost(ev Event) {
	f := failure.Retry(failure.NotOwner, time.Second, "host is starting again")
	switch ev := ev.(type) {
	case *CreateProgram:
		h.refuse(ev.Waiter, f)
	case *SubmitCall:
		h.refuse(ev.Waiter, f)
	case *FetchAnswer:
		h.refuse(ev.Waiter, f)
	case *EndProgram:
		h.refuse(ev.Waiter, f)
	}
}

func (h *Host) refuse(waiter uint64, f *failure.Failure) {
	if waiter == 0 {
		return
	}
	h.ready.Replies = append(h.ready.Replies, Reply{Waiter: waiter, Outcome: Outcome{Failure: f}})
}

func (h *Host) note(n Note) { h.ready.Notes = append(h.ready.Notes, n) }

func (h *Host) send(address string, f *peerpb.Frame) {
	f.From = h.self
	h.ready.Messages = append(h.ready.Messages, PeerMessage{Address: address, Frame: f})
}

// lose ends this member: another one has replaced it.
func (h *Host) lose(why string) {
	if h.ready.Lost {
		return
	}
	h.ready.Lost = true
	h.note(Note{Kind: NoteLeaseLost, Member: h.self, Detail: why})
	// The new owner knows what became of the calls.
	f := failure.Unknown(failure.NotOwner, "%s", why)
	f.RetryAfter = time.Second
	for _, p := range h.sortedActive() {
		for _, w := range p.allWaiters() {
			h.refuse(w, f)
		}
	}
}

// set returns the declaration in force, nil before the first.
func (h *Host) set() *decl.Set { return h.declare.set }

// clock converts the machine's time for libraries that want a time.Time.
func (h *Host) clock() time.Time { return time.Unix(0, 0).Add(h.now) }

func (h *Host) programName() string {
	h.names++
	return strconv.FormatUint(h.rng.Uint64(), 36) + strconv.FormatUint(h.names, 36)
}
