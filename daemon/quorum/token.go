package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// tokenHedgeDelay is how long a member may take for a token until the next one is asked as well:
// some ten round trips between data centres, so that a dead member delays a request by this much
// instead of the 0.3 s after which its connection is closed.
const tokenHedgeDelay = 30 * time.Millisecond

// TakeToken asks the replicas of the customer's slot for a token, one after the other. It retries
// until a member grants one, all that answer refuse, or the context ends; in the last case it
// fails with HistoryUnavailable. The version and limit in the request are those that this host
// knows. After refusals the grant holds the shortest retry delay.
func (c *Client) TakeToken(ctx context.Context, request quota.TokenRequest) (quota.Grant, error) {
	startedAt := time.Now()
	for {
		grant, err := c.takeTokenOnce(ctx, request)
		if err == nil {
			c.meter.Observe("quota_take", time.Since(startedAt))
			return grant, nil
		}
		c.meter.Count("quota_takes", "failed")
		if !wait.For(ctx, retryDelay) {
			return quota.Grant{}, err
		}
	}
}

func (c *Client) takeTokenOnce(ctx context.Context, request quota.TokenRequest) (quota.Grant, error) {
	m := c.currentMap()
	if m == nil || !m.IsAssigned() {
		return quota.Grant{}, failure.New(failure.HistoryUnavailable, "no slot map")
	}
	slot := placement.GlobalSlotOf(request.Customer)
	members, nextTokenIn := c.tokenCandidates(m, &m.Slots[slot], request)
	r := tokenRound{client: c, slotMap: m, slot: slot, request: request, members: members, retryDelay: nextTokenIn, replies: make(chan memberReply, len(members))}
	return r.run(ctx)
}

// tokenCandidates returns the members to ask, in order: those of this data centre first, so that
// most tokens cost no round trip between data centres, and those that do not answer last. If the
// parts of all members are known to be empty, it returns the time until the first next token.
func (c *Client) tokenCandidates(m *placement.Map, s *placement.Slot, request quota.TokenRequest) (members []string, nextTokenIn time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokenRotation++
	now := time.Now()
	var near, far, failing []string
	for i := range s.Replicas {
		id := s.Replicas[(c.tokenRotation+i)%len(s.Replicas)].Member
		switch {
		case c.failingFor(id, now) > failureWindow:
			failing = append(failing, id)
		case m.Members[id].DataCentre == c.dataCentre:
			near = append(near, id)
		default:
			far = append(far, id)
		}
	}
	all := append(append(near, far...), failing...)
	return c.selector.Candidates(request.Customer, request.FirstOfProgram, all, now.Sub(c.startedAt))
}

// recordRefusal records that a member's next token is due after nextTokenIn.
func (c *Client) recordRefusal(request quota.TokenRequest, member string, nextTokenIn time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.selector.RecordRefusal(request.Customer, member, request.FirstOfProgram, nextTokenIn, time.Since(c.startedAt))
}

// tokenRound is one attempt to get a token from the replicas of a slot.
type tokenRound struct {
	client  *Client
	slotMap *placement.Map
	slot    uint32
	request quota.TokenRequest
	members []string
	sent    int
	pending int
	replies chan memberReply
	// retryDelay is the shortest time after which a member that refused will have a token for the
	// caller; 0 if none has refused.
	retryDelay time.Duration
	lastErr    error
}

// run asks the members one after the other until one grants a token, all have answered or the
// context ends.
func (r *tokenRound) run(ctx context.Context) (quota.Grant, error) {
	hedgeTicker := time.NewTicker(tokenHedgeDelay)
	defer hedgeTicker.Stop()
	r.sendNext()
	for r.pending > 0 {
		select {
		case answer := <-r.replies:
			r.pending--
			if r.handleReply(answer) {
				return quota.Grant{Granted: true}, nil
			}
			r.sendNext()
		case <-hedgeTicker.C:
			r.sendNext()
		case <-ctx.Done():
			return quota.Grant{}, failure.Wrap(ctx.Err(), failure.HistoryUnavailable, "wait for a token")
		}
	}
	if r.retryDelay > 0 {
		return quota.Grant{RetryDelay: r.retryDelay}, nil
	}
	return quota.Grant{}, incompleteError(r.lastErr, "no token: none of %d replicas of slot %d answered", len(r.members), r.slot)
}

// sendNext asks the next member, if there is one.
func (r *tokenRound) sendNext() {
	if r.sent == len(r.members) {
		return
	}
	member := r.members[r.sent]
	r.sent++
	r.pending++
	r.client.send(r.slotMap, r.slot, member, &historypb.Request{Call: &historypb.Request_Take{Take: &historypb.Take{
		Customer: r.request.Customer, Version: r.request.Version, Rate: r.request.Limit.Rate, Burst: r.request.Limit.Burst, First: r.request.FirstOfProgram,
	}}}, r.replies)
}

// handleReply reports whether a reply grants a token. If not, it records the error or the refusal.
func (r *tokenRound) handleReply(answer memberReply) bool {
	if answer.err != nil {
		r.lastErr = answer.err
		return false
	}
	if answer.reply.TokenInUs == nil {
		return true
	}
	r.client.recordRefusal(r.request, answer.member, time.Duration(answer.reply.TokenDueUs)*time.Microsecond)
	retryDelay := max(time.Microsecond, time.Duration(answer.reply.GetTokenInUs())*time.Microsecond)
	if r.retryDelay == 0 || retryDelay < r.retryDelay {
		r.retryDelay = retryDelay
	}
	return false
}
