package history

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/wal"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

const (
	// pageBytes bounds one page of a copy, so that a page delays other replies on
	// its connection by a few milliseconds at 130 Mbit/s.
	pageBytes = 64 << 10
	// pageDigests bounds one page of digests, to about half of that.
	pageDigests = 1024
	// sweepEvery is how often programs past their retention are dropped.
	sweepEvery = 5 * time.Second
)

// Server answers entry hosts and joining members. Safe for concurrent use.
type Server struct {
	member string
	dir    string
	log    *wal.Log
	logger *log.Logger
	meter  *meter.Meter
	now    func() time.Time // the time of day, which may jump

	// adopting is held while a map goes to disk and then into use, so that the disk
	// never holds an older one than what was fenced.
	adopting sync.Mutex

	// elapsed is the steady time since the process started.
	elapsed func() time.Duration

	mu     sync.Mutex
	ledger *ledger.Ledger
	quotas *quota.Buckets
	// heldSince is since when the member keeps each slot, as elapsed.
	heldSince [placement.GlobalSlotCount]time.Duration
	slots     *placement.Map
	mapBytes  []byte
	// refresh is called when a sender knows a newer map.
	refresh func()
	// refreshing is true while refresh runs.
	refreshing bool
	// kept keeps records of guarded slots at the platform; nil until there is a keeper.
	kept *kept
	// relay answers what entry hosts ask of the platform.
	relay rpc.Handler
	loads *loadBoard
	// applicants are the hosts that asked to be admitted to the slot map.
	applicants applicants
	// traffic counts the bytes of all calls that are answered.
	traffic rpc.Traffic
}

// Options are what a Server is made of.
type Options struct {
	// Dir is the data folder.
	Dir    string
	Logger *log.Logger
	// Meter may be nil.
	Meter *meter.Meter
	// Create and Now are wal.CreateFile and time.Now unless tests say otherwise.
	Create wal.CreateFunc
	Now    func() time.Time
	// Elapsed is the steady time since the process started, unless tests say otherwise.
	Elapsed func() time.Duration
}

// OpenServer replays the journal.
func OpenServer(o Options) (*Server, error) {
	if o.Create == nil {
		o.Create = wal.CreateFile
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Elapsed == nil {
		start := time.Now()
		o.Elapsed = func() time.Duration { return time.Since(start) }
	}
	dir, logger := o.Dir, o.Logger
	s := &Server{elapsed: o.Elapsed, quotas: quota.NewBuckets(), dir: dir, logger: logger, meter: o.Meter, now: o.Now, ledger: ledger.New(), refresh: func() {}, relay: noRelay, loads: newLoadBoard()}
	records := 0
	var damage []wal.Damage
	var err error
	s.log, damage, err = wal.Open(dir, o.Create, func(r *historypb.Record) {
		records++
		s.ledger.Apply(r)
	})
	if err != nil {
		return nil, err
	}
	for _, d := range damage {
		logger.Warn("journal segment ends in a damaged record", "file", d.File, "offset", d.Offset)
	}
	if s.member, err = loadMember(dir); err != nil {
		return nil, err
	}
	slots, err := loadMap(dir)
	if err != nil {
		return nil, err
	}
	if slots != nil {
		s.setMap(slots)
	}
	s.gauges()
	logger.Info("journal replayed", "member", s.member, "records", records, "programs", s.ledger.ProgramCount())
	return s, nil
}

// noRelay refuses what is asked of the platform.
func noRelay(_ *historypb.Request, answer func(*historypb.Reply)) {
	answer(&historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE})
}

// SetRelayHandler sets what answers the requests about the platform's objects, before the
// server takes any.
func (s *Server) SetRelayHandler(handle rpc.Handler) { s.relay = handle }

// MemberID is the identity of the disk.
func (s *Server) MemberID() string { return s.member }

// Map returns the slot map in use, or nil.
func (s *Server) Map() *placement.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// epoch is that of the slot map in use, 0 without one.
func (s *Server) epoch() uint64 {
	if m := s.Map(); m != nil {
		return m.Epoch
	}
	return 0
}

// Adopt takes a newer slot map, on disk first: what a copy fenced stays fenced
// over a restart without the platform.
func (s *Server) Adopt(m *placement.Map) error {
	s.adopting.Lock()
	defer s.adopting.Unlock()
	if old := s.Map(); old != nil && old.Epoch >= m.Epoch {
		return nil
	}
	text, err := json.Marshal(m)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode slot map")
	}
	if err := writeFile(s.dir, mapFile, text); err != nil {
		return err
	}
	s.setMap(m)
	s.logger.Info("slot map adopted", "epoch", m.Epoch, "members", len(m.Members))
	return nil
}

func (s *Server) setMap(m *placement.Map) {
	text, err := json.Marshal(m)
	if err != nil {
		s.logger.Error("slot map cannot be encoded", "error", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == nil || m.Epoch > s.slots.Epoch {
		s.noteSlots(s.slots, m)
		s.slots, s.mapBytes = m, text
	}
}

// Handle answers one request; it is an rpc.Handler.
func (s *Server) Handle(req *historypb.Request, answer func(*historypb.Reply)) {
	if reply := s.refuse(req); reply != nil {
		s.meter.Count("requests", "refused", strings.ToLower(strings.TrimPrefix(reply.Status.String(), "STATUS_")))
		answer(reply)
		return
	}
	switch call := req.Call.(type) {
	case *historypb.Request_Write:
		s.write(req.Slot, call.Write, answer)
	case *historypb.Request_Read:
		answer(s.read(call.Read))
	case *historypb.Request_Take:
		answer(s.take(req.Slot, call.Take))
	case *historypb.Request_ExchangeLoads:
		answer(s.exchangeLoads(call.ExchangeLoads))
	case *historypb.Request_Copy:
		s.copy(req.Slot, call.Copy, answer)
	case *historypb.Request_ListObjects, *historypb.Request_WatchObjects:
		s.relay(req, answer)
	case *historypb.Request_Admit:
		s.applicants.add(call.Admit)
		answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
	default:
		answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
	}
}

// refuse returns the reply to a request that must not be served, or nil.
func (s *Server) refuse(req *historypb.Request) *historypb.Reply {
	if req.Member != s.member && !(req.Member == "" && aboutPlatform(req)) {
		return &historypb.Reply{Status: historypb.Status_STATUS_WRONG_MEMBER}
	}
	if slotless(req) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots == nil || int(req.Slot) >= len(s.slots.Slots) {
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	if req.Epoch > s.slots.Epoch {
		s.learnNewerMap(req.Epoch)
		if s.behind(req) {
			return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
		}
	}
	if req.Epoch < s.fence(req) {
		return &historypb.Reply{Status: historypb.Status_STATUS_STALE_EPOCH, SlotMap: s.mapBytes}
	}
	return nil
}

// slotless reports whether a request concerns no slot.
func slotless(req *historypb.Request) bool {
	switch req.Call.(type) {
	case *historypb.Request_Ping, *historypb.Request_ExchangeLoads, *historypb.Request_Admit:
		return true
	}
	return aboutPlatform(req)
}

// aboutPlatform reports whether a request is about the platform's objects. Hosts that have
// just started send such requests to addresses whose member they do not know yet.
func aboutPlatform(req *historypb.Request) bool {
	switch req.Call.(type) {
	case *historypb.Request_ListObjects, *historypb.Request_WatchObjects:
		return true
	}
	return false
}

// newerMapPatience is how long a newer map that a sender knows may take to come by the
// relays, which need two round trips between data centres more than the sender's did.
const newerMapPatience = 40 * time.Millisecond

// learnNewerMap reads the newest map unless it comes by itself, once at a time: while the
// platform is slow, each request with a newer map would else make a call of its own (541 in
// a second with 24 history hosts). The caller holds mu.
func (s *Server) learnNewerMap(epoch uint64) {
	if s.refreshing {
		return
	}
	s.refreshing = true
	go func() {
		time.Sleep(newerMapPatience)
		if m := s.Map(); m == nil || m.Epoch < epoch {
			s.refresh()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refreshing = false
	}()
}

// behind reports whether a request made with a newer map must wait until this member
// knows it: only a member that refuses older writers may be copied from, and only one
// that knows that a slot is guarded keeps its records at the platform.
func (s *Server) behind(req *historypb.Request) bool {
	switch req.Call.(type) {
	case *historypb.Request_Copy:
		return true
	case *historypb.Request_Write:
		return s.slots.MayBeGuarded(int(req.Slot))
	}
	return false
}

// fence is the oldest epoch whose map is right about what the request touches.
func (s *Server) fence(req *historypb.Request) uint64 {
	if req.GetRead().GetAnySlot() {
		return s.slots.Epoch
	}
	return s.slots.Slots[req.Slot].ChangedEpoch
}

func (s *Server) read(r *historypb.Read) *historypb.Reply {
	s.meter.Count("reads")
	s.mu.Lock()
	defer s.mu.Unlock()
	return &historypb.Reply{
		Status:   historypb.Status_STATUS_OK,
		Spending: s.ledger.Spending(r.Program),
		Chain:    s.ledger.Chain(r.Turn),
		Ran:      s.ledger.LongestRuns(r.Program, r.Parts),
	}
}

// copy returns a page of a slot. The first page waits for the writes that were
// under way when older writers began to be refused.
func (s *Server) copy(slot uint32, c *historypb.Copy, answer func(*historypb.Reply)) {
	if c.After != "" || len(c.Programs) > 0 {
		answer(s.copyPage(slot, c))
		return
	}
	s.log.Append(nil, func(err error) {
		if err != nil {
			answer(&historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE})
			return
		}
		answer(s.copyPage(slot, c))
	})
}

func (s *Server) copyPage(slot uint32, c *historypb.Copy) *historypb.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK}
	if len(c.Programs) > 0 {
		reply.Records, reply.More = s.ledger.RecordPage(c.Programs, pageBytes)
	} else {
		reply.Digests, reply.More = s.ledger.DigestPage(slot, c.After, pageDigests)
	}
	return reply
}

// digest sums up what this member has of a program.
func (s *Server) digest(program string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Digest(program)
}

// Sweep drops programs whose time is over and old segments, until stop.
func (s *Server) Sweep(stop <-chan struct{}) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
			s.sweep(s.now().UnixMilli())
		}
	}
}

func (s *Server) sweep(nowMs int64) {
	s.mu.Lock()
	dropped := s.ledger.Expire(nowMs)
	s.quotas.DropFull(s.elapsed())
	s.mu.Unlock()
	if dropped > 0 {
		s.logger.Info("programs past their retention dropped", "programs", dropped)
	}
	for {
		programs, expires, ok := s.log.OldestSegment()
		if !ok || expires > nowMs {
			return
		}
		if !s.carry(programs) {
			return
		}
		if err := s.log.DropOldestSegment(); err != nil {
			s.logger.Error("old segment not dropped", "error", err.Error())
			return
		}
	}
}

// carry appends anew what is still live of the programs.
func (s *Server) carry(programs []string) bool {
	var records []*historypb.Record
	s.mu.Lock()
	for _, name := range programs {
		records = append(records, s.ledger.ProgramRecords(name)...)
	}
	s.mu.Unlock()
	done := make(chan error, 1)
	s.log.Append(records, func(err error) { done <- err })
	return <-done == nil
}

// Close writes out what is queued.
func (s *Server) Close() { s.log.Close() }
