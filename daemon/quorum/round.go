package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// round is one attempt to get enough replies from members of a slot. It asks some members first and
// the others if those fail or are late.
type round struct {
	client  *Client
	slotMap *placement.Map
	slot    uint32
	// members holds all members that may be asked, best first.
	members []string
	// build makes the request to a member when the member is asked. additional reports that the
	// member was not among the first.
	build func(member string, additional bool) *historypb.Request
	// accept is called with each successful reply and reports whether the replies are enough.
	accept func(member string, reply *historypb.Reply) (enough bool)
	// followUp makes a second request to a member that refused the first one with reply, nil for none.
	// It may be nil.
	followUp func(member string, reply *historypb.Reply) *historypb.Request

	sent, pending int
	// followedUp holds the members that were sent a second request.
	followedUp map[string]bool
	replies    chan memberReply
	lastErr    error
}

// run asks the first members and continues until the replies are enough, all members have answered
// or the context ends. It reports whether the replies are enough; if not, lastErr is the last
// error of a member or of the context, or nil.
func (r *round) run(ctx context.Context, first int) (enough bool) {
	r.replies = make(chan memberReply, len(r.members))
	hedgeTimer := r.sendFirst(first)
	defer hedgeTimer.Stop()
	for r.pending > 0 {
		select {
		case answer := <-r.replies:
			r.pending--
			if answer.err == nil && r.accept(answer.member, answer.reply) {
				return true
			}
			if answer.err != nil && !r.sendFollowUp(answer) {
				r.lastErr = answer.err
				r.sendMore(1, "failed")
			}
		case <-hedgeTimer.C:
			r.sendMore(r.pending, "late")
			hedgeTimer.Reset(maxHedgeDelay)
		case <-ctx.Done():
			r.lastErr = failure.Wrap(ctx.Err(), failure.PeerUnavailable, "wait for the reply of a member")
			return false
		}
		if r.pending == 0 {
			r.sendMore(len(r.members), "short")
		}
	}
	return false
}

// sendFirst asks the first members and returns the timer of the hedge. The timer does not fire if
// there are no other members.
func (r *round) sendFirst(first int) *time.Timer {
	first = min(first, len(r.members))
	var req *historypb.Request
	for _, member := range r.members[:first] {
		req = r.send(member, false)
	}
	if first == len(r.members) {
		return time.NewTimer(maxDuration)
	}
	return time.NewTimer(r.client.hedgeDelay(r.members[:first], req))
}

// sendMore asks up to n more members. reason is a label of the metric.
func (r *round) sendMore(n int, reason string) {
	n = min(n, len(r.members)-r.sent)
	for range n {
		r.client.meter.Count("history_more", reason)
		r.send(r.members[r.sent], true)
	}
}

// sendFollowUp sends a member that refused its request the one that follows up on its reply, once. It
// reports false if there is none.
func (r *round) sendFollowUp(answer memberReply) bool {
	if r.followUp == nil || answer.reply == nil || r.followedUp[answer.member] {
		return false
	}
	req := r.followUp(answer.member, answer.reply)
	if req == nil {
		return false
	}
	if r.followedUp == nil {
		r.followedUp = map[string]bool{}
	}
	r.followedUp[answer.member] = true
	r.pending++
	r.client.send(r.slotMap, r.slot, answer.member, req, r.replies)
	return true
}

// send asks one member and returns the request.
func (r *round) send(member string, additional bool) *historypb.Request {
	req := r.build(member, additional)
	r.sent++
	r.pending++
	r.client.send(r.slotMap, r.slot, member, req, r.replies)
	return req
}
