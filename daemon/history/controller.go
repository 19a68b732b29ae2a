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

// MapKind and MapName identify the slot map object in the platform's store.
const (
	MapKind = "history"
	MapName = placement.ObjectName
)

// MapWatchTimeout is the duration of one watch of the slot map at a relay, which reports changes
// at once and reads the platform by shorter watches. Requests of a member with an old map are
// rejected with the new map.
const MapWatchTimeout = 20 * time.Second

const (
	// reconcileInterval is the time between two reconciliations: a joining member starts its copy
	// within a third of a second.
	reconcileInterval = 300 * time.Millisecond
	// minAssignDelay is how long the coordinator waits for other members before it assigns slots
	// to those present: the hosts of one system start within 0.3 s, and members that admit
	// themselves at the same time take turns of about 20 ms each.
	minAssignDelay = 2 * time.Second
	// coordinatorTimeout is how much longer the other members wait for the coordinator to assign
	// slots.
	coordinatorTimeout = time.Second
	// maxUpdateAttempts bounds the attempts at a map update that conflicts with those of other
	// members. updateRetryJitter spreads the delay between attempts over members, from a quarter
	// to five quarters of it.
	maxUpdateAttempts = 8
	updateRetryJitter = 40 * time.Millisecond
	// idleConnectionTimeout is the time without calls after which a connection to another member
	// is closed: the members to probe change with the map.
	idleConnectionTimeout = 10 * time.Second
	// storeTimeout bounds one call to the platform's store.
	storeTimeout = 2 * time.Second
)

// Retirements lists the hosts that operators retire, that is, whose slots are to be moved to other
// members, and accepts reports of the progress.
type Retirements interface {
	// Retiring returns the names of the hosts to retire.
	Retiring() []string
	// Report notifies the operators that the retirement of a host has started, or is done.
	Report(ctx context.Context, host string, done bool) error
}

// Controller keeps the slot map up to date with the state of its member and, on the coordinator,
// of the other members. The coordinator is the answering member with the lowest ID.
type Controller struct {
	server      *Server
	store       objects.Store
	self        placement.Member
	faults      int
	retirements Retirements
	peers       *peers
	logger      *log.Logger
	startedAt   time.Time
	retryDelay  time.Duration // between attempts at a map update
	probeCursor int           // index in the sorted IDs of the member that the coordinator probed last

	mu          sync.Mutex
	mapRevision uint64 // of the map object; 0 if the object does not exist
	mapKnown    bool   // whether the map object, or its absence, has been read
	mapSpoiled  bool   // whether another writer has put something else in place of the map

	// Used by reconcile only, without mu.
	reportedRetirements map[string]bool
	// admissionRequestedAt is when this member last asked another one to admit it.
	admissionRequestedAt time.Time
	platformCopies       *platformCopyWriter // nil without a store
	// platformCopiesRemoved is true once no unneeded platform copies are left.
	platformCopiesRemoved bool
}

// NewController returns the controller of the server's member. faults is the number of faults
// that a new slot map tolerates. Without a store there are no platform copies.
func NewController(server *Server, store objects.Store, self placement.Member, faults int, r Retirements, dialer rpc.Dialer, logger *log.Logger) *Controller {
	c := &Controller{
		server: server, store: store, self: self, faults: faults, retirements: r,
		peers: newPeers(dialer), logger: logger, startedAt: time.Now(), retryDelay: retryDelayOf(self.ID), reportedRetirements: map[string]bool{},
	}
	c.peers.pool.TrafficOf = c.trafficOf
	c.peers.near.Register(server.meter, "peers_near")
	c.peers.far.Register(server.meter, "peers_far")
	server.refresh = c.readMap
	if store != nil {
		c.platformCopies = newPlatformCopyWriter(store, self.ID, c.startedAt, server.epoch, logger)
		server.setPlatformCopyWriter(c.platformCopies)
	}
	return c
}

// Run follows the map through reader and reconciles it until the context ends.
func (c *Controller) Run(ctx context.Context, reader objects.Reader) {
	go objects.Follow(ctx, reader, MapKind, MapWatchTimeout, c)
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.reconcile(ctx)
		}
	}
}

// Replaced implements objects.Listener.
func (c *Controller) Replaced(s objects.Snapshot) {
	c.mu.Lock()
	c.mapKnown = true
	c.mu.Unlock()
	for _, o := range s.Items {
		c.applyObject(o)
	}
}

// Changed implements objects.Listener.
func (c *Controller) Changed(changes objects.Changes) {
	for _, e := range changes.Events {
		if !e.Removed {
			c.applyObject(e.Object)
		}
	}
}

// Lost implements objects.Listener.
func (c *Controller) Lost(err error) {
	c.logger.Warn("platform does not answer", "kind", MapKind, "error", err.Error())
}

// readMap reads the map from the store once.
func (c *Controller) readMap() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	o, err := c.store.Get(ctx, MapKind, MapName)
	if err != nil {
		c.logger.Warn("slot map not read", "error", err.Error())
		return
	}
	c.applyObject(o)
}

// applyObject decodes the slot map of an object and adopts it if it is newer.
func (c *Controller) applyObject(o objects.Object) {
	if o.Name != MapName {
		return
	}
	m, err := placement.Decode(o.Spec)
	c.mu.Lock()
	c.mapKnown = true
	if o.Revision >= c.mapRevision {
		c.mapRevision, c.mapSpoiled = o.Revision, err != nil
	}
	c.mu.Unlock()
	if err != nil {
		c.logger.Error("slot map not taken", "revision", o.Revision, "error", err.Error())
		return
	}
	if err := c.server.Adopt(m); err != nil {
		c.logger.Error("slot map not adopted", "epoch", m.Epoch, "error", err.Error())
	}
}

// reconcile takes the next steps that the map needs from this member. Creating the map, admitting
// this member and assigning slots take one call each; later calls copy joining slots, probe other
// members and replace silent or retiring ones.
func (c *Controller) reconcile(ctx context.Context) {
	c.mu.Lock()
	known, revision, spoiled := c.mapKnown, c.mapRevision, c.mapSpoiled
	c.mu.Unlock()
	if !known {
		return
	}
	if revision == 0 {
		c.createMap(ctx)
		return
	}
	m := c.server.Map()
	if m == nil {
		return
	}
	if spoiled && c.isCoordinator(m, c.peers.silenceDurations()) {
		c.updateMap(ctx, "map restored", func(*placement.Map) bool { return true })
		return
	}
	if registered, in := m.Members[c.self.ID]; !in || registered != c.self {
		c.admitSelf(ctx, m)
		return
	}
	c.admitQueued(ctx)
	if !m.IsAssigned() {
		if time.Since(c.startedAt) > c.assignDelay(m) {
			c.updateMap(ctx, "slots assigned", assignSlots)
		}
		return
	}
	c.copyJoiningSlots(ctx, m)
	c.peers.probe(ctx, m, c.membersToProbe(m))
	c.peers.pool.CloseIdle(idleConnectionTimeout)
	c.adjustCrowdedSlots(ctx, m)
	c.replaceMembers(ctx, c.server.Map())
	c.removePlatformCopies(ctx, c.server.Map())
}

// assignDelay returns how long after its start this member assigns slots. The coordinator waits
// for the other members to join; those wait longer, so that they do not all update the map at
// once.
func (c *Controller) assignDelay(m *placement.Map) time.Duration {
	if c.isCoordinator(m, c.peers.silenceDurations()) {
		return minAssignDelay
	}
	return minAssignDelay + coordinatorTimeout
}

// assignSlots assigns the slots of a map once. It reports whether the map changed.
func assignSlots(m *placement.Map) bool {
	if m.IsAssigned() {
		return false
	}
	m.Assign()
	return true
}

// createMap creates the map object with this member only, or reads the object if another member
// has created it.
func (c *Controller) createMap(ctx context.Context) {
	m := placement.New(c.faults)
	m.Admit(c.self)
	text, err := json.Marshal(m)
	if err != nil {
		c.logger.Error("slot map cannot be encoded", "error", err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.store.Create(ctx, MapKind, MapName, text)
	if failure.Is(err, failure.Conflict) {
		c.readMap()
		return
	}
	if err != nil {
		c.logger.Warn("slot map not created", "error", err.Error())
		return
	}
	c.applyObject(o)
}

// updateMap applies a change to the newest map by a conditional update, and again if another
// member updated the map first. If the reply is lost, the next reconciliation sees the result in
// the map. change names the change in logs; apply reports whether it changed the map.
func (c *Controller) updateMap(ctx context.Context, change string, apply func(*placement.Map) bool) {
	c.updateMapWithin(ctx, maxUpdateAttempts, change, apply)
}

// updateMapWithin is updateMap with a given number of attempts. It reports whether all of them
// conflicted with updates of other members.
func (c *Controller) updateMapWithin(ctx context.Context, attempts int, change string, apply func(*placement.Map) bool) (conflicted bool) {
	for range attempts {
		if !c.tryUpdateMap(ctx, change, apply) {
			return false
		}
		select {
		case <-time.After(c.retryDelay):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// tryUpdateMap makes one attempt at an update and reports whether it conflicted with that of
// another member.
func (c *Controller) tryUpdateMap(ctx context.Context, change string, apply func(*placement.Map) bool) (conflicted bool) {
	c.mu.Lock()
	revision := c.mapRevision
	c.mu.Unlock()
	m := c.server.Map().Clone()
	if !apply(m) {
		return false
	}
	text, err := json.Marshal(m)
	if err != nil {
		c.logger.Error("slot map cannot be encoded", "error", err.Error())
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	o, err := c.store.Update(ctx, MapKind, MapName, revision, text)
	if err != nil {
		c.server.meter.Count("slot_map", "not_changed")
		c.logger.Info("slot map not changed", "change", change, "epoch", m.Epoch, "revision", revision, "error", err.Error())
		c.readMap()
		return failure.Is(err, failure.Conflict)
	}
	c.server.meter.Count("slot_map", "changed")
	c.logger.Info("slot map changed", "change", change, "epoch", m.Epoch, "revision", o.Revision)
	c.applyObject(o)
	return false
}

// retryDelayOf returns the delay between attempts of a member. It differs by member, so that
// members whose updates conflict do not retry at the same time.
func retryDelayOf(memberID string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(memberID))
	return updateRetryJitter/4 + time.Duration(h.Sum32())%updateRetryJitter
}
