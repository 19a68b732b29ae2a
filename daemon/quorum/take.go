package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
)

// takeHedge is how long a member may take for a token until the next one is asked as well:
// some ten round trips between data centres, so that a member that has died costs a request
// this long and not the 0.3 s in which its connection is given up.
const takeHedge = 30 * time.Millisecond

// TakeToken asks the members that keep the customer's slot for a token, one after the other. It
// goes on trying until a member grants, all refuse, or the context ends; the failure is then
// HistoryUnavailable. The version and limit of the ask are the sender's.
func (c *Client) TakeToken(ctx context.Context, a quota.TokenRequest) (quota.Grant, error) {
	began := time.Now()
	for {
		grant, err := c.takeOnce(ctx, a)
		if err == nil {
			c.meter.Observe("quota_take", time.Since(began))
			return grant, nil
		}
		c.meter.Count("quota_takes", "failed")
		if !pause(ctx) {
			return quota.Grant{}, err
		}
	}
}

func (c *Client) takeOnce(ctx context.Context, a quota.TokenRequest) (quota.Grant, error) {
	m := c.current()
	if m == nil || !m.IsAssigned() {
		return quota.Grant{}, failure.New(failure.HistoryUnavailable, "no slot map")
	}
	slot := placement.GlobalSlotOf(a.Customer)
	members, in := c.takeFrom(m, &m.Slots[slot], a)
	t := take{client: c, slots: m, slot: slot, ask: a, members: members, soonest: in, answers: make(chan replyFrom, len(members))}
	return t.run(ctx)
}

// takeFrom returns the members to ask in order: one of this data centre first, so that most
// tokens cost no way between data centres, those that do not answer last.
func (c *Client) takeFrom(m *placement.Map, s *placement.Slot, a quota.TokenRequest) (members []string, in time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotation++
	now := time.Now()
	var near, far, failing []string
	for i := range s.Replicas {
		id := s.Replicas[(c.rotation+i)%len(s.Replicas)].Member
		switch {
		case c.failingFor(id, now) > doubtFor:
			failing = append(failing, id)
		case m.Members[id].DataCentre == c.dataCentre:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	all := append(append(near, far...), failing...)
	return c.order.Candidates(a.Customer, a.FirstOfProgram, all, now.Sub(c.start))
}

// refused notes that a member has no token.
func (c *Client) refused(a quota.TokenRequest, member string, due time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order.RecordRefusal(a.Customer, member, a.FirstOfProgram, due, time.Since(c.start))
}

// take is one round of questions for a token.
type take struct {
	client  *Client
	slots   *placement.Map
	slot    uint32
	ask     quota.TokenRequest
	members []string
	asked   int
	waiting int
	answers chan replyFrom
	// soonest is when the first member that refused will have a token; 0 if none has.
	soonest time.Duration
	last    error
}

func (t *take) run(ctx context.Context) (quota.Grant, error) {
	hedge := time.NewTicker(takeHedge)
	defer hedge.Stop()
	t.next()
	for t.waiting > 0 {
		select {
		case a := <-t.answers:
			t.waiting--
			if t.granted(a) {
				return quota.Grant{Granted: true}, nil
			}
			t.next()
		case <-hedge.C:
			t.next()
		case <-ctx.Done():
			return quota.Grant{}, failure.Wrap(ctx.Err(), failure.HistoryUnavailable, "wait for a token")
		}
	}
	if t.soonest > 0 {
		return quota.Grant{RetryDelay: t.soonest}, nil
	}
	return quota.Grant{}, incomplete(t.last, "none of %d replicas of slot %d answered for a token", len(t.members), t.slot)
}

// next asks the next member, if there is one.
func (t *take) next() {
	if t.asked == len(t.members) {
		return
	}
	id := t.members[t.asked]
	t.asked++
	t.waiting++
	t.client.send(t.slots, t.slot, id, &historypb.Request{Call: &historypb.Request_Take{Take: &historypb.Take{
		Customer: t.ask.Customer, Version: t.ask.Version, Rate: t.ask.Limit.Rate, Burst: t.ask.Limit.Burst, First: t.ask.FirstOfProgram,
	}}}, t.answers)
}

// granted reports whether an answer brings a token, and notes what it says otherwise.
func (t *take) granted(a replyFrom) bool {
	if a.err != nil {
		t.last = a.err
		return false
	}
	if a.reply.TokenInUs == nil {
		return true
	}
	t.client.refused(t.ask, a.member, time.Duration(a.reply.TokenDueUs)*time.Microsecond)
	in := max(time.Microsecond, time.Duration(a.reply.GetTokenInUs())*time.Microsecond)
	if t.soonest == 0 || in < t.soonest {
		t.soonest = in
	}
	return false
}
