package history

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// Kind and MapName are where the slot map lies in the platform's store.
const (
	Kind    = "history"
	MapName = "slots"
)

// MapWatch is how long one watch of the slot map waits at a relay, which tells changes at once and
// reads the platform by shorter watches. A member whose map is old is refused and told the new one.
const MapWatch = 20 * time.Second

const (
	// keeperEvery paces the keeper: a joining member starts its copy within a
	// third of a second.
	keeperEvery = 300 * time.Millisecond
	// gatherFor is how long members wait for others before slots are assigned to those
	// that are there: hosts of one system start within 0.3 s, and as many as admit
	// themselves at once take turns, some 20 ms each.
	gatherFor = 2 * time.Second
	// firstPatience is how much longer the others wait for the first member to do so.
	firstPatience = time.Second
	// raceTries and racePause bound the tries at a change that other members' changes
	// get ahead of; the pause differs by member.
	raceTries = 8
	racePause = 40 * time.Millisecond
	// idleConnection is after which time without calls a connection to another member is
	// closed: the neighbours change with the map.
	idleConnection = 10 * time.Second
	// operationTimeout bounds one call to the platform's store.
	operationTimeout = 2 * time.Second
)

// Retirements is where members learn which hosts are to be emptied.
type Retirements interface {
	// Retiring returns the hosts to be emptied.
	Retiring() []string
	// Report tells the operators of the progress with a host.
	Report(ctx context.Context, host string, done bool) error
}

// Keeper keeps the slot map right as far as this member is concerned.
type Keeper struct {
	server      *Server
	store       objects.Store
	self        placement.Member
	faults      int
	retirements Retirements
	peers       *peers
	logger      *log.Logger
	started     time.Time
	pause       time.Duration // between tries at a change
	turn        int           // the last member that was probed in turn

	mu       sync.Mutex
	revision uint64 // of the map object; 0 if it does not exist
	known    bool   // the map object was read, or its absence
	reported map[string]bool
	// applied is when this member last asked another one to be admitted.
	applied time.Time
	kept    *kept // nil without a store
	// tidied is true once nothing of no use is kept at the platform.
	tidied bool
}

// NewKeeper returns the keeper of server's member.
func NewKeeper(server *Server, store objects.Store, self placement.Member, faults int, r Retirements, dialer rpc.Dialer, logger *log.Logger) *Keeper {
	k := &Keeper{
		server: server, store: store, self: self, faults: faults, retirements: r,
		peers: newPeers(dialer), logger: logger, started: time.Now(), pause: pauseOf(self.ID), reported: map[string]bool{},
	}
	k.peers.pool.TrafficOf = k.trafficOf
	k.peers.near.Register(server.meter, "peers_near")
	k.peers.far.Register(server.meter, "peers_far")
	server.refresh = k.refresh
	if store != nil {
		k.kept = newKept(store, self.ID, k.started, server.epoch, logger)
		server.keepAt(k.kept)
	}
	return k
}

// Run follows the map by reader and keeps it until the context ends.
func (k *Keeper) Run(ctx context.Context, reader objects.Reader) {
	go objects.Follow(ctx, reader, Kind, MapWatch, k)
	tick := time.NewTicker(keeperEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			k.step(ctx)
		}
	}
}

// Replaced implements objects.Listener.
func (k *Keeper) Replaced(s objects.Snapshot) {
	k.mu.Lock()
	k.known = true
	k.mu.Unlock()
	for _, o := range s.Items {
		k.take(o)
	}
}

// Changed implements objects.Listener.
func (k *Keeper) Changed(changes objects.Changes) {
	for _, e := range changes.Events {
		if !e.Removed {
			k.take(e.Object)
		}
	}
}

// Lost implements objects.Listener.
func (k *Keeper) Lost(err error) {
	k.logger.Warn("platform does not answer", "kind", Kind, "error", err.Error())
}

// refresh reads the map once; a sender knew a newer one.
func (k *Keeper) refresh() {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	o, err := k.store.Get(ctx, Kind, MapName)
	if err != nil {
		k.logger.Warn("slot map not read", "error", err.Error())
		return
	}
	k.take(o)
}

func (k *Keeper) take(o objects.Object) {
	if o.Name != MapName {
		return
	}
	m := &placement.Map{}
	if err := json.Unmarshal(o.Spec, m); err != nil {
		k.logger.Error("slot map cannot be decoded", "revision", o.Revision, "error", err.Error())
		return
	}
	k.mu.Lock()
	k.known = true
	k.revision = max(k.revision, o.Revision)
	k.mu.Unlock()
	if err := k.server.Adopt(m); err != nil {
		k.logger.Error("slot map not adopted", "epoch", m.Epoch, "error", err.Error())
	}
}

// step does what this member has to do next, one thing at a time.
func (k *Keeper) step(ctx context.Context) {
	k.mu.Lock()
	known, revision := k.known, k.revision
	k.mu.Unlock()
	if !known {
		return
	}
	if revision == 0 {
		k.create(ctx)
		return
	}
	m := k.server.Map()
	if m == nil {
		return
	}
	if known, in := m.Members[k.self.ID]; !in || known != k.self {
		k.enter(ctx, m)
		return
	}
	k.admit(ctx)
	if !m.IsAssigned() {
		if time.Since(k.started) > k.gathering(m) {
			k.change(ctx, "slots assigned", assign)
		}
		return
	}
	k.join(ctx, m)
	k.peers.probe(ctx, m, k.toProbe(m))
	k.peers.pool.CloseIdle(idleConnection)
	k.arrange(ctx, m)
	k.repair(ctx, k.server.Map())
	k.tidy(ctx, k.server.Map())
}

// gathering is how long this member waits before it assigns slots: the first one for the others,
// the others for the first one as well, so that many do not race for it.
func (k *Keeper) gathering(m *placement.Map) time.Duration {
	if k.acts(m, k.peers.silentFor()) {
		return gatherFor
	}
	return gatherFor + firstPatience
}

func assign(m *placement.Map) bool {
	if m.IsAssigned() {
		return false
	}
	m.Assign()
	return true
}

func (k *Keeper) create(ctx context.Context) {
	m := placement.New(k.faults)
	m.Admit(k.self)
	text, err := json.Marshal(m)
	if err != nil {
		k.logger.Error("slot map cannot be encoded", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	o, err := k.store.Create(ctx, Kind, MapName, text)
	if failure.Is(err, failure.Conflict) {
		k.refresh()
		return
	}
	if err != nil {
		k.logger.Warn("slot map not created", "error", err.Error())
		return
	}
	k.take(o)
}

// change applies a change to the newest map by conditional update, and again if
// another member was faster. A lost answer is seen at the next step, in the map
// itself.
func (k *Keeper) change(ctx context.Context, what string, apply func(*placement.Map) bool) {
	k.changeWithin(ctx, raceTries, what, apply)
}

// changeWithin is change with a number of tries; it reports whether other members were faster
// each time.
func (k *Keeper) changeWithin(ctx context.Context, tries int, what string, apply func(*placement.Map) bool) (late bool) {
	for range tries {
		if !k.tryChange(ctx, what, apply) {
			return false
		}
		select {
		case <-time.After(k.pause):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// tryChange reports whether another member was faster.
func (k *Keeper) tryChange(ctx context.Context, what string, apply func(*placement.Map) bool) (again bool) {
	k.mu.Lock()
	revision := k.revision
	k.mu.Unlock()
	m := k.server.Map().Clone()
	if !apply(m) {
		return false
	}
	text, err := json.Marshal(m)
	if err != nil {
		k.logger.Error("slot map cannot be encoded", "error", err.Error())
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	o, err := k.store.Update(ctx, Kind, MapName, revision, text)
	if err != nil {
		k.server.meter.Count("slot_map", "not_changed")
		k.logger.Info("slot map not changed", "change", what, "epoch", m.Epoch, "revision", revision, "error", err.Error())
		k.refresh()
		return failure.Is(err, failure.Conflict)
	}
	k.server.meter.Count("slot_map", "changed")
	k.logger.Info("slot map changed", "change", what, "epoch", m.Epoch, "revision", o.Revision)
	k.take(o)
	return false
}

// pauseOf spreads the tries of members that race.
func pauseOf(member string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(member))
	return racePause/4 + time.Duration(h.Sum32())%racePause
}
