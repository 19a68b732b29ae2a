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
	self  string // member name and name of its journal stream
	now   time.Duration
	rng   *rand.Rand
	ready Ready
	sched *sched.Scheduler

	ops         operations
	lease       lease
	members     membership
	slots       slotTables
	log         commitLog
	declaration declarationState

	programs       map[ident.Program]*program
	programsByKey  map[createKey]ident.Program
	activePrograms map[*program]struct{} // programs with an active call
	releaseTasks   map[releaseKey]*releaseTask
	rateLimiters   map[rateLimiterKey]*rate.Limiter
	// cachedPrograms maps a target's name to the programs in its cache.
	cachedPrograms map[string]map[*program]struct{}
	namesGenerated uint64 // number of program names generated

	draining bool
	nextRun  nextRunTimes
	stats    Stats
}

// Stats counts events since the start of a host. Its fields are encoded as JSON
// under their own names: Answered, NotRun and Unknown count calls by outcome,
// Duplicates the results that belong to no active attempt, Crossed the answers
// with the id of another call, Swept the caches released because a target
// reported them for ended or unknown programs, Takeovers the claims of slots
// from revoked members, SegmentBytes the bytes of segments stored at the
// platform.
type Stats struct {
	Steps, Answered, NotRun, Unknown     uint64
	Duplicates, Crossed, Retries, Swept  uint64
	PlatformOps, Takeovers, SegmentBytes uint64
}

// New returns a Host that waits for its Start event, or an error if cfg is invalid.
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
		cfg:            cfg,
		self:           self,
		rng:            rand.New(rand.NewPCG(cfg.Seed, ident.Hash([]byte(self)))),
		sched:          sched.New(policy),
		programs:       map[ident.Program]*program{},
		programsByKey:  map[createKey]ident.Program{},
		activePrograms: map[*program]struct{}{},
		releaseTasks:   map[releaseKey]*releaseTask{},
		rateLimiters:   map[rateLimiterKey]*rate.Limiter{},
		cachedPrograms: map[string]map[*program]struct{}{},
	}
	h.ops.pending = map[uint64]*pendingOp{}
	h.ops.reachable = true
	h.members.peers = map[string]*peer{}
	h.declaration.seenVersions = map[string]uint64{}
	h.slots.tables = map[string]*slotTable{}
	h.slots.owned = map[ident.Slot]*ownedSlot{}
	h.log.writer = journal.NewWriter(self, self, cfg.MaxSegmentBytes)
	h.log.peerTails = map[string]*peerTail{}
	h.log.firstNeeded = 1
	return h, nil
}

func withDefaults(cfg Config) Config {
	defaults := DefaultConfig()
	setDuration := func(v *time.Duration, defaults time.Duration) {
		if *v == 0 {
			*v = defaults
		}
	}
	setInt := func(v *int, defaults int) {
		if *v == 0 {
			*v = defaults
		}
	}
	setDuration(&cfg.LeaseDuration, defaults.LeaseDuration)
	setDuration(&cfg.RenewInterval, defaults.RenewInterval)
	setDuration(&cfg.ClockMargin, defaults.ClockMargin)
	setDuration(&cfg.DataCentreLeaseDuration, defaults.DataCentreLeaseDuration)
	setDuration(&cfg.HeartbeatInterval, defaults.HeartbeatInterval)
	setDuration(&cfg.SuspectTimeout, defaults.SuspectTimeout)
	setDuration(&cfg.PromiseDuration, defaults.PromiseDuration)
	setDuration(&cfg.FlushInterval, defaults.FlushInterval)
	setDuration(&cfg.OperationTimeout, defaults.OperationTimeout)
	setDuration(&cfg.ConfigPollInterval, defaults.ConfigPollInterval)
	setDuration(&cfg.Retention, defaults.Retention)
	setInt(&cfg.Slots, defaults.Slots)
	setInt(&cfg.MaxSegmentBytes, defaults.MaxSegmentBytes)
	setInt(&cfg.MaxTailBytes, defaults.MaxTailBytes)
	setInt(&cfg.MaxPrograms, defaults.MaxPrograms)
	return cfg
}

// Member returns the name of this member: "<data centre>/<host>.<incarnation>".
func (h *Host) Member() string { return h.self }

// Step processes one event at time now. Time never runs backwards: an earlier now
// counts as the latest one seen.
func (h *Host) Step(now time.Duration, ev Event) {
	h.ready.reset()
	h.now = max(h.now, now)
	h.stats.Steps++
	if h.ready.Lost {
		h.rejectAfterLoss(ev)
		return
	}
	h.handleEvent(ev)
	h.dispatch()
	h.sendTail()
}

// Ready returns the effects of the last Step, valid until the next one.
func (h *Host) Ready() *Ready { return &h.ready }

func (h *Host) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case *Tick:
		h.tick()
	case *Start:
		h.start(ev)
	case *Drain:
		h.drain()
	case *PlatformReply:
		h.handlePlatformReply(ev)
	case *PeerFrame:
		h.handlePeerFrame(ev.Frame)
	case *PeerRefused:
		h.handlePeerRefused(ev.Address)
	case *CreateProgram:
		h.handleCreateProgram(ev)
	case *SubmitCall:
		h.handleSubmitCall(ev)
	case *FetchAnswer:
		h.handleFetchAnswer(ev)
	case *EndProgram:
		h.handleEndProgram(ev)
	case *TargetDone:
		h.handleTargetDone(ev)
	case *TargetReport:
		h.handleTargetReport(ev)
	case *ReleaseDone:
		h.handleReleaseDone(ev)
	}
}

func (h *Host) start(ev *Start) {
	h.members.seeds = ev.Seeds
	if ev.CachedConfig != nil {
		h.acceptConfig(ev.CachedConfig)
	}
	h.acquireLease()
	h.listMembers()
	h.pollShared()
	h.watchShared()
}

func (h *Host) tick() {
	h.timeOutOps()
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

// rejectAfterLoss rejects requests to a member that was replaced, until its driver
// has started a new one.
func (h *Host) rejectAfterLoss(ev Event) {
	f := failure.Retry(failure.NotOwner, time.Second, "host is restarting as a new member")
	switch ev := ev.(type) {
	case *CreateProgram:
		h.reject(ev.Waiter, f)
	case *SubmitCall:
		h.reject(ev.Waiter, f)
	case *FetchAnswer:
		h.reject(ev.Waiter, f)
	case *EndProgram:
		h.reject(ev.Waiter, f)
	}
}

func (h *Host) reject(waiter uint64, f *failure.Failure) {
	if waiter == 0 {
		return
	}
	h.ready.Replies = append(h.ready.Replies, Reply{Waiter: waiter, Outcome: Outcome{Failure: f}})
}

func (h *Host) addNote(n Note) { h.ready.Notes = append(h.ready.Notes, n) }

func (h *Host) send(address string, f *peerpb.Frame) {
	f.From = h.self
	h.ready.Messages = append(h.ready.Messages, PeerMessage{Address: address, Frame: f})
}

// markLost stops this member because another one has replaced it. Its waiting
// callers get an unknown outcome.
func (h *Host) markLost(reason string) {
	if h.ready.Lost {
		return
	}
	h.ready.Lost = true
	h.addNote(Note{Kind: NoteLeaseLost, Member: h.self, Detail: reason})
	// Only the new owner can determine the outcome of the calls.
	f := failure.Unknown(failure.NotOwner, "%s", reason)
	f.RetryAfter = time.Second
	for _, p := range h.sortedActivePrograms() {
		for _, w := range p.waiters() {
			h.reject(w, f)
		}
	}
}

// declared returns the declaration in force, nil if none is known yet.
func (h *Host) declared() *decl.Set { return h.declaration.set }

// nowTime converts the current time of the state machine to a time.Time.
func (h *Host) nowTime() time.Time { return time.Unix(0, 0).Add(h.now) }

func (h *Host) newProgramName() string {
	h.namesGenerated++
	return strconv.FormatUint(h.rng.Uint64(), 36) + strconv.FormatUint(h.namesGenerated, 36)
}
