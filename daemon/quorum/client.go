// Package quorum is the entry host's side of the programs' history: it writes
// records to the replicas of a program's slot and reads from them, as the slot
// map says. A write is done when the map says that enough replicas have it on
// disk; a read is complete when enough active replicas have answered.
package quorum

import (
	"context"
	"encoding/json"
	"math"
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

// Client reaches the history hosts. Safe for concurrent use.
type Client struct {
	pool       *rpc.Pool
	dataCentre string
	logger     *log.Logger
	meter      *meter.Meter
	traffic    traffic
	// seeds are addresses of history hosts from the settings.
	seeds     []string
	startedAt time.Time
	// callTimeout is that of the package unless Patient says otherwise.
	callTimeout time.Duration

	mu      sync.Mutex
	slotMap *placement.Map
	health  map[string]*memberHealth // by member
	// watch is the members that are asked for signs of life.
	probed probeSet
	// order says whom to ask for tokens of quotas.
	selector *quota.MemberSelector
	// rotation spreads questions for tokens over the members of other data centres.
	tokenRotation int
	// isolated is since when most slots cannot be served.
	isolatedSince time.Time
}

// New returns a client without a slot map. Replicas of dataCentre are read first; m
// may be nil.
func New(dialer rpc.Dialer, dataCentre string, logger *log.Logger, m *meter.Meter) *Client {
	c := &Client{pool: rpc.NewPool(dialer), dataCentre: dataCentre, logger: logger, meter: m, health: map[string]*memberHealth{}, selector: quota.NewMemberSelector(), startedAt: time.Now(), callTimeout: defaultCallTimeout, probed: newProbeSet()}
	c.pool.TrafficOf = c.trafficOf
	c.traffic.registerGauges(m)
	m.Gauge("slot_map_epoch", func() int64 { return int64(c.epoch()) })
	m.Gauge("history_isolated_ms", func() int64 { return c.IsolatedFor().Milliseconds() })
	return c
}

// epoch is that of the slot map in use, 0 without one.
func (c *Client) epoch() uint64 {
	if m := c.currentMap(); m != nil {
		return m.Epoch
	}
	return 0
}

// Ready reports whether a slot map with replicas is known.
func (c *Client) Ready() bool {
	m := c.currentMap()
	return m != nil && m.IsAssigned()
}

func (c *Client) currentMap() *placement.Map {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.slotMap
}

// adopt takes the map if it is newer than the one in use.
func (c *Client) adopt(encoded []byte, source string) {
	m := &placement.Map{}
	if err := json.Unmarshal(encoded, m); err != nil {
		c.logger.Error("slot map cannot be decoded", "source", source, "error", err.Error())
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

// drop forgets members that are gone.
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
		c.adopt(o.Spec, "platform")
	}
}

// Changed implements objects.Listener.
func (c *Client) Changed(changes objects.Changes) {
	for _, e := range changes.Events {
		if !e.Removed {
			c.adopt(e.Object.Spec, "platform")
		}
	}
}

// Lost implements objects.Listener. The map in use stays: history hosts hand out
// a newer one themselves.
func (c *Client) Lost(err error) {
	c.logger.Warn("platform does not answer", "kind", "history", "error", err.Error())
}

// SelectRegion returns the region in which what may be kept only in allowed ones is kept, with own
// that of this host; ok is false where no member is in any of them.
func (c *Client) SelectRegion(own string, allowed func(region string) bool) (region string, ok bool) {
	m := c.currentMap()
	if m == nil {
		return "", false
	}
	return m.SelectRegion(own, allowed)
}

// replyFrom is the answer of one member.
type memberReply struct {
	member string
	reply  *historypb.Reply
	err    error
}

// callTimeout bounds one call to a member. It outlives the request that made it:
// a member that never answers is found out also where others were enough.
const defaultCallTimeout = time.Second

// SetTimeouts lets members be silent for longer than a deployment's may, and calls take as long,
// before the client is used: for tests, on machines that are busy with other work.
func (c *Client) SetTimeouts(timeout time.Duration) {
	c.pool.SilenceTimeout, c.callTimeout = timeout, timeout
}

// scatter sends a request to each of the members and returns their answers as
// they come. The request for a member is made by build.
func (c *Client) sendAll(m *placement.Map, slot uint32, members []string, build func(member string) *historypb.Request) <-chan memberReply {
	replies := make(chan memberReply, len(members))
	for _, id := range members {
		c.send(m, slot, id, build(id), replies)
	}
	return replies
}

// send sends a request to one member; its answer goes to answers, which must have room.
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

// next waits for an answer; the end of the context counts as a failed one.
func nextReply(ctx context.Context, replies <-chan memberReply) memberReply {
	select {
	case a := <-replies:
		return a
	case <-ctx.Done():
		return memberReply{err: failure.Wrap(ctx.Err(), failure.PeerUnavailable, "wait for a member")}
	}
}

// retryPause is between two tries with the replicas of a slot: long enough for a
// process that was killed to be back, short against a caller's patience.
const retryDelay = 50 * time.Millisecond

// retentionSlack covers clocks of hosts that differ or jump by some seconds.
const retentionSlack = 15 * time.Second

// Write makes records of one program durable; the program is kept for retention
// from now on. Write goes on trying until the context ends; records may be
// written more than once.
func (c *Client) Write(ctx context.Context, program string, retention time.Duration, records ...*historypb.Record) error {
	return c.WriteUnlessUnreachable(ctx, maxDuration, program, retention, records...)
}

// forever is longer than any cut.
const maxDuration = time.Duration(math.MaxInt64)

// WriteUnlessUnreachable is Write that gives up once the program has been out of reach for a while: a
// caller who is told so finds another host, one who waits loses that time as well.
func (c *Client) WriteUnlessUnreachable(ctx context.Context, unreachableTimeout time.Duration, program string, retention time.Duration, records ...*historypb.Record) error {
	expiresMs := time.Now().Add(retention + retentionSlack).UnixMilli()
	for _, r := range records {
		r.Program, r.ExpiresMs = program, expiresMs
	}
	startedAt := time.Now()
	for {
		err := c.writeOnce(ctx, records)
		if err == nil {
			c.meter.Observe("history_write", time.Since(startedAt))
			return nil
		}
		c.meter.Count("history_writes", "failed")
		if c.unreachableFor(program) > unreachableTimeout || !waitRetryDelay(ctx) {
			return err
		}
	}
}

func waitRetryDelay(ctx context.Context) bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func (c *Client) writeOnce(ctx context.Context, records []*historypb.Record) error {
	m := c.currentMap()
	if m == nil || !m.IsAssigned() {
		return failure.New(failure.HistoryUnavailable, "no slot map")
	}
	slot, ok := m.Slot(records[0].Program)
	if !ok {
		return failure.New(failure.HistoryUnavailable, "no member in the region of %q", records[0].Program)
	}
	for _, r := range records {
		if r.Slot != slot { // an earlier try may still be sending them
			r.Slot = slot
		}
	}
	s := &m.Slots[slot]
	members, first := c.writeMembers(m, slot)
	c.sendUnconfirmed(m, slot, members[first:], spareSettlements(records))
	acks := map[string]bool{}
	r := &round{
		client: c, slotMap: m, slot: slot, members: members,
		build: func(string, bool) *historypb.Request { return writeRequest(records) },
		accept: func(member string, _ *historypb.Reply) bool {
			acks[member] = true
			return m.IsWriteDurable(s, acks)
		},
	}
	if r.run(ctx, first) {
		return nil
	}
	return incompleteError(r.lastErr, "%d of %d replicas of slot %d wrote", len(acks), len(members), slot)
}

// writeTo returns the replicas that a write goes to, and how many of them it goes to at
// first: a quorum of a steady slot, the nearest, and all of any other.
func (c *Client) writeMembers(m *placement.Map, slot uint32) (members []string, first int) {
	if m.AllowsQuorumFirst(int(slot)) {
		return c.rankedReplicas(m, slot), m.Quorum()
	}
	for _, r := range m.Slots[slot].Replicas {
		members = append(members, r.Member)
	}
	return members, len(members)
}

// incomplete is the failure of an operation that not enough replicas took part in. There
// may be no other error: where no replica is active, all that answer are too few.
func incompleteError(last error, format string, args ...any) error {
	if last == nil {
		return failure.New(failure.HistoryUnavailable, format, args...)
	}
	return failure.Wrap(last, failure.HistoryUnavailable, format, args...)
}
