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
	// maxPageBytes bounds one page of a copy, so that it delays other replies on its connection
	// by only a few milliseconds at 130 Mbit/s.
	maxPageBytes = 64 << 10
	// maxPageDigests bounds one page of digests, to about half of maxPageBytes.
	maxPageDigests = 1024
	// sweepInterval is the time between two sweeps of expired programs and old segments.
	sweepInterval = 5 * time.Second
)

// Server answers entry hosts and joining members. Safe for concurrent use.
type Server struct {
	memberID string
	dir      string
	log      *wal.Log
	logger   *log.Logger
	meter    *meter.Meter
	now      func() time.Time // wall clock, which may jump

	// adoptMu is held from writing a map to disk until it is in use, so that the disk never holds
	// an older map than the one that rejected writers.
	adoptMu sync.Mutex

	// elapsed is the monotonic time since the process started.
	elapsed func() time.Duration

	mu     sync.Mutex
	ledger *ledger.Ledger
	quotas *quota.Buckets
	// slotHeldSince is the time, as of elapsed, since which the member has held each slot.
	slotHeldSince [placement.GlobalSlotCount]time.Duration
	slotMap       *placement.Map
	slotMapJSON   []byte
	// refresh reads the newest map; it is called after a request made with a newer one.
	refresh func()
	// refreshing is true while refreshMapOnce waits for a newer map or reads it.
	refreshing bool
	// platformCopies stores records of guarded slots at the platform; nil until the controller
	// sets it.
	platformCopies *platformCopyWriter
	// relayHandler answers requests for the platform's objects.
	relayHandler rpc.Handler
	loadBoard    *loadBoard
	// admissions holds the hosts that asked to be admitted to the slot map.
	admissions admissionQueue
	// traffic counts the bytes of all calls that the server answers.
	traffic rpc.Traffic
}

// Options configure a Server. Dir and Logger are required.
type Options struct {
	// Dir is the data directory.
	Dir    string
	Logger *log.Logger
	// Meter may be nil.
	Meter *meter.Meter
	// Create and Now default to wal.CreateFile and time.Now.
	Create wal.CreateFunc
	Now    func() time.Time
	// Elapsed is the monotonic time since the process started; the default starts at OpenServer.
	Elapsed func() time.Duration
}

// OpenServer replays the write-ahead log in the data directory and returns a server with the
// records, the member ID and the slot map found there.
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
	s := &Server{
		elapsed: o.Elapsed, quotas: quota.NewBuckets(), dir: dir, logger: logger, meter: o.Meter, now: o.Now,
		ledger: ledger.New(), refresh: func() {}, relayHandler: rejectPlatformRequest, loadBoard: newLoadBoard(),
	}
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
	if s.memberID, err = loadMember(dir); err != nil {
		return nil, err
	}
	slotMap, err := loadMap(dir)
	if err != nil {
		return nil, err
	}
	if slotMap != nil {
		s.useMap(slotMap)
	}
	s.registerGauges()
	logger.Info("journal replayed", "member", s.memberID, "records", records, "programs", s.ledger.ProgramCount())
	return s, nil
}

// rejectPlatformRequest rejects requests for the platform's objects.
func rejectPlatformRequest(_ *historypb.Request, answer func(*historypb.Reply)) {
	answer(&historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE})
}

// SetRelayHandler sets the handler of requests for the platform's objects. It must be called
// before the server receives requests.
func (s *Server) SetRelayHandler(handle rpc.Handler) { s.relayHandler = handle }

// MemberID returns the member ID stored on the disk.
func (s *Server) MemberID() string { return s.memberID }

// Map returns the slot map in use, or nil.
func (s *Server) Map() *placement.Map {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slotMap
}

// epoch returns the epoch of the slot map in use, or 0 without one.
func (s *Server) epoch() uint64 {
	if m := s.Map(); m != nil {
		return m.Epoch
	}
	return 0
}

// Adopt uses a slot map if it is newer than the one in use. It stores the map on disk first, so
// that writers that were rejected before a copy stay rejected after a restart without the
// platform.
func (s *Server) Adopt(m *placement.Map) error {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	if current := s.Map(); current != nil && current.Epoch >= m.Epoch {
		return nil
	}
	text, err := json.Marshal(m)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode slot map")
	}
	if err := writeFile(s.dir, mapFile, text); err != nil {
		return err
	}
	s.useMap(m)
	s.logger.Info("slot map adopted", "epoch", m.Epoch, "members", len(m.Members))
	return nil
}

// useMap makes a map the one in use if it is newer.
func (s *Server) useMap(m *placement.Map) {
	text, err := json.Marshal(m)
	if err != nil {
		s.logger.Error("slot map cannot be encoded", "error", err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotMap == nil || m.Epoch > s.slotMap.Epoch {
		s.updateSlotHeldSince(s.slotMap, m)
		s.slotMap, s.slotMapJSON = m, text
	}
}

// Handle answers one request. It implements rpc.Handler.
func (s *Server) Handle(req *historypb.Request, answer func(*historypb.Reply)) {
	if reply := s.checkRequest(req); reply != nil {
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
		answer(s.grantToken(req.Slot, call.Take))
	case *historypb.Request_ExchangeLoads:
		answer(s.exchangeLoads(call.ExchangeLoads))
	case *historypb.Request_Copy:
		s.copy(req.Slot, call.Copy, answer)
	case *historypb.Request_ListObjects, *historypb.Request_WatchObjects:
		s.relayHandler(req, answer)
	case *historypb.Request_Admit:
		s.admissions.add(call.Admit)
		answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
	default:
		answer(&historypb.Reply{Status: historypb.Status_STATUS_OK})
	}
}

// checkRequest returns the reply to a request that must be rejected, or nil.
func (s *Server) checkRequest(req *historypb.Request) *historypb.Reply {
	if req.Member != s.memberID && !(req.Member == "" && concernsPlatform(req)) {
		return &historypb.Reply{Status: historypb.Status_STATUS_WRONG_MEMBER}
	}
	if isSlotless(req) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slotMap == nil || int(req.Slot) >= len(s.slotMap.Slots) {
		return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
	}
	if req.Epoch > s.slotMap.Epoch {
		s.refreshMapOnce(req.Epoch)
		if s.requiresNewestMap(req) {
			return &historypb.Reply{Status: historypb.Status_STATUS_UNAVAILABLE}
		}
	}
	if req.Epoch < s.minEpoch(req) {
		return &historypb.Reply{Status: historypb.Status_STATUS_STALE_EPOCH, SlotMap: s.slotMapJSON}
	}
	return nil
}

// isSlotless reports whether a request concerns no slot.
func isSlotless(req *historypb.Request) bool {
	switch req.Call.(type) {
	case *historypb.Request_Ping, *historypb.Request_ExchangeLoads, *historypb.Request_Admit:
		return true
	}
	return concernsPlatform(req)
}

// concernsPlatform reports whether a request is for the platform's objects. Hosts that have just
// started send such requests to addresses whose member ID they do not know yet.
func concernsPlatform(req *historypb.Request) bool {
	switch req.Call.(type) {
	case *historypb.Request_ListObjects, *historypb.Request_WatchObjects:
		return true
	}
	return false
}

// mapRefreshDelay is the time allowed for a newer map to arrive through the relays after a request
// made with it. That path can take two more round trips between data centres than the path to the
// sender.
const mapRefreshDelay = 40 * time.Millisecond

// refreshMapOnce reads the newest map unless the relays deliver it first. Only one read is in
// progress at a time: otherwise each request with a newer map would make a call of its own while the
// platform is slow (541 in a second with 24 history hosts). The caller holds mu.
func (s *Server) refreshMapOnce(epoch uint64) {
	if s.refreshing {
		return
	}
	s.refreshing = true
	go func() {
		time.Sleep(mapRefreshDelay)
		if m := s.Map(); m == nil || m.Epoch < epoch {
			s.refresh()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refreshing = false
	}()
}

// requiresNewestMap reports whether a request made with a newer map must be rejected until this
// member has that map: only a member that rejects older writers may be the source of a copy, and
// only a member that knows that a slot is guarded stores its records at the platform.
func (s *Server) requiresNewestMap(req *historypb.Request) bool {
	switch req.Call.(type) {
	case *historypb.Request_Copy:
		return true
	case *historypb.Request_Write:
		return s.slotMap.MayBeGuarded(int(req.Slot))
	}
	return false
}

// minEpoch returns the oldest epoch whose map is valid for what the request touches.
func (s *Server) minEpoch(req *historypb.Request) uint64 {
	if req.GetRead().GetAnySlot() {
		return s.slotMap.Epoch
	}
	return s.slotMap.Slots[req.Slot].ChangedEpoch
}

// read returns the spending, the turns and the runs of a program, and the broken runs of a request.
func (s *Server) read(r *historypb.Read) *historypb.Reply {
	s.meter.Count("reads")
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &historypb.Reply{
		Status:     historypb.Status_STATUS_OK,
		Spending:   s.ledger.Spending(r.Program),
		Chain:      s.ledger.Chain(r.Turn),
		Ran:        s.ledger.LongestRuns(r.Program, r.Parts),
		BrokenRuns: s.ledger.BrokenRuns(r.Program, r.Request),
	}
	reply.OwnChain = s.ledger.OwnsChain(r.Program, reply.Chain)
	if size := contentBytes(reply.Chain); r.MaxChainBytes > 0 && size > r.MaxChainBytes {
		s.meter.Count("chains", "left_out")
		reply.Chain, reply.ChainBytes = nil, size
	}
	return reply
}

// contentBytes returns the size of the contents of turns, in bytes.
func contentBytes(turns []*historypb.Turn) int64 {
	size := int64(0)
	for _, t := range turns {
		size += int64(len(t.Content))
	}
	return size
}

// copy answers with a page of a slot. The first page waits for the writes that were in progress
// when writers with older maps began to be rejected.
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

// copyPage returns the records of the requested programs, or without any the digests of the slot.
func (s *Server) copyPage(slot uint32, c *historypb.Copy) *historypb.Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK}
	if len(c.Programs) > 0 {
		reply.Records, reply.More = s.ledger.RecordPage(c.Programs, maxPageBytes)
	} else {
		reply.Digests, reply.More = s.ledger.DigestPage(slot, c.After, maxPageDigests)
	}
	return reply
}

// digest returns the digest of this member's records of a program.
func (s *Server) digest(program string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Digest(program)
}

// Close waits until queued records are written, then closes the log.
func (s *Server) Close() { s.log.Close() }
