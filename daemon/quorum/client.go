// Package quorum is the entry hosts' client of the history hosts. It writes records to the
// replicas of a program's slot and reads from them, according to the slot map. A write is
// durable when enough replicas, as the map defines them, have it on disk; a read is complete
// when enough active replicas have answered. The client also takes tokens of quotas from
// members, exchanges target loads with the board, probes members and reaches the platform's
// relays.
package quorum

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// Client calls the history hosts. Each disk of a history host is one member of the slot map.
// Safe for concurrent use once it is configured by SetTimeouts and SetSeeds.
type Client struct {
	pool       *rpc.Pool
	dataCentre string
	logger     *log.Logger
	meter      *meter.Meter
	traffic    traffic
	// seeds holds addresses of history hosts from the settings.
	seeds     []string
	startedAt time.Time
	// callTimeout is defaultCallTimeout unless SetTimeouts changed it.
	callTimeout time.Duration

	mu      sync.Mutex
	slotMap *placement.Map
	health  map[string]*memberHealth // by member
	// probed holds the members that are probed whether or not there are requests for them.
	probed probeSet
	// selector chooses the members to ask for tokens of quotas.
	selector *quota.MemberSelector
	// tokenRotation spreads token requests over the replicas of a slot.
	tokenRotation int
	// isolatedSince is the time since which most global slots are not servable; zero if they are.
	isolatedSince time.Time
}

// New returns a client without a slot map. dataCentre is this host's own, whose replicas are
// asked first. m may be nil.
func New(dialer rpc.Dialer, dataCentre string, logger *log.Logger, m *meter.Meter) *Client {
	c := &Client{pool: rpc.NewPool(dialer), dataCentre: dataCentre, logger: logger, meter: m, health: map[string]*memberHealth{}, selector: quota.NewMemberSelector(), startedAt: time.Now(), callTimeout: defaultCallTimeout, probed: newProbeSet()}
	c.pool.TrafficOf = c.trafficOf
	c.traffic.registerGauges(m)
	m.Gauge("slot_map_epoch", func() int64 { return int64(c.epoch()) })
	m.Gauge("history_isolated_ms", func() int64 { return c.IsolatedFor().Milliseconds() })
	return c
}

// epoch returns the epoch of the slot map in use, or 0 without one.
func (c *Client) epoch() uint64 {
	if m := c.currentMap(); m != nil {
		return m.Epoch
	}
	return 0
}

// Ready reports whether a slot map with assigned replicas is known.
func (c *Client) Ready() bool {
	m := c.currentMap()
	return m != nil && m.IsAssigned()
}

func (c *Client) currentMap() *placement.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slotMap
}

// adopt decodes a slot map from JSON and uses it if it is newer than the one in use. source is
// logged.
func (c *Client) adopt(encoded []byte, source string) {
	m, err := placement.Decode(encoded)
	if err != nil {
		c.logger.Error("slot map not taken", "source", source, "error", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotMap != nil && c.slotMap.Epoch >= m.Epoch {
		return
	}
	c.slotMap = m
	c.dropRemovedMembers(m)
	c.probed.choose(m, c.dataCentre)
	c.logger.Info("slot map adopted", "epoch", m.Epoch, "source", source)
}

// dropRemovedMembers deletes the health of members that are not in the map and closes the
// connections to their addresses; the caller holds mu.
func (c *Client) dropRemovedMembers(m *placement.Map) {
	addresses := map[string]bool{}
	for _, member := range m.Members {
		addresses[member.Address] = true
	}
	for id := range c.health {
		if _, ok := m.Members[id]; !ok {
			delete(c.health, id)
		}
	}
	c.pool.CloseExcept(addresses)
}

// Replaced implements objects.Listener.
func (c *Client) Replaced(s objects.Snapshot) {
	for _, o := range s.Items {
		c.adoptObject(o)
	}
}

// Changed implements objects.Listener.
func (c *Client) Changed(changes objects.Changes) {
	for _, e := range changes.Events {
		if !e.Removed {
			c.adoptObject(e.Object)
		}
	}
}

// adoptObject is adopt for an object of the platform's store. Other objects than the map's are ignored.
func (c *Client) adoptObject(o objects.Object) {
	if o.Name == placement.ObjectName {
		c.adopt(o.Spec, "platform")
	}
}

// Lost implements objects.Listener. The map in use stays: history hosts send a newer one with
// the reply to a request of a stale epoch.
func (c *Client) Lost(err error) {
	c.logger.Warn("platform does not answer", "kind", "history", "error", err.Error())
}

// SelectRegion returns the region that stores the history of a program that may be stored in
// allowed regions only. own is the region of this host. ok is false if no allowed region has a
// member or no slot map is known.
func (c *Client) SelectRegion(own string, allowed func(region string) bool) (region string, ok bool) {
	m := c.currentMap()
	if m == nil {
		return "", false
	}
	return m.SelectRegion(own, allowed)
}

// memberReply is the result of a call to one member.
type memberReply struct {
	member string
	reply  *historypb.Reply
	err    error
}

// defaultCallTimeout bounds one call to a member. The call outlives the request that made it, so
// that a member that never answers is detected even if the replies of others were enough.
const defaultCallTimeout = time.Second

// SetTimeouts sets the silence timeout of connections and the timeout of calls to members. It is
// called before the client is used, by tests on machines that are busy with other work, where
// members are silent for longer than in a deployment.
func (c *Client) SetTimeouts(timeout time.Duration) {
	c.pool.SilenceTimeout, c.callTimeout = timeout, timeout
}

// sendAll sends the request that build returns to each of the members. The channel delivers
// their replies as they arrive.
func (c *Client) sendAll(m *placement.Map, slot uint32, members []string, build func(member string) *historypb.Request) <-chan memberReply {
	replies := make(chan memberReply, len(members))
	for _, id := range members {
		c.send(m, slot, id, build(id), replies)
	}
	return replies
}

// send sends a request to one member. The reply goes to replies, which must have buffer space
// for it. It records the outcome and duration of the call, and adopts the slot map of a member
// that answers with a stale epoch.
func (c *Client) send(m *placement.Map, slot uint32, member string, req *historypb.Request, replies chan<- memberReply) {
	req.Member, req.Slot, req.Epoch = member, slot, m.Epoch
	client := c.pool.Client(m.Members[member].Address)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.callTimeout)
		defer cancel()
		sentAt := time.Now()
		reply, err := client.Call(ctx, req)
		c.recordOutcome(member, err)
		if err == nil {
			c.recordDuration(member, req, time.Since(sentAt))
		}
		if err == nil && reply.Status != historypb.Status_STATUS_OK {
			if reply.Status == historypb.Status_STATUS_STALE_EPOCH {
				c.adopt(reply.SlotMap, "member "+member)
			}
			err = failure.New(failure.PeerUnavailable, "member %s: %s", member, reply.Status)
		}
		replies <- memberReply{member, reply, err}
	}()
}

// nextReply waits for a reply; the end of the context counts as a failed one.
func nextReply(ctx context.Context, replies <-chan memberReply) memberReply {
	select {
	case a := <-replies:
		return a
	case <-ctx.Done():
		return memberReply{err: failure.Wrap(ctx.Err(), failure.PeerUnavailable, "wait for the reply of a member")}
	}
}
