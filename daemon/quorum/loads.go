package quorum

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/placement"
)

// Board returns the member to which the hosts of this data centre send their host reports: of the
// data centre's members that do not fail, the one with the lowest ID, so that hosts agree without
// communication. ok is false if there is none.
func (c *Client) Board() (board placement.Member, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotMap == nil {
		return placement.Member{}, false
	}
	now := time.Now()
	for id, member := range c.slotMap.Members {
		if member.DataCentre != c.dataCentre || c.failingFor(id, now) > 0 {
			continue
		}
		if !ok || id < board.ID {
			board, ok = member, true
		}
	}
	return board, ok
}

// ExchangeLoads sends a host report to the board and returns its reply. A member that does not
// answer is not asked again until it answers a probe. It fails with PeerUnavailable if there is
// no board, or if the board sends no loads.
func (c *Client) ExchangeLoads(ctx context.Context, report loads.HostReport) (loads.Reply, error) {
	board, ok := c.Board()
	if !ok {
		return loads.Reply{}, failure.New(failure.PeerUnavailable, "no history host of data centre %s answers", c.dataCentre)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	reply, err := c.pool.Client(board.Address).Call(callCtx, &historypb.Request{
		Member: board.ID, Call: &historypb.Request_ExchangeLoads{ExchangeLoads: loads.EncodeHostReport(report)},
	})
	if ctx.Err() == nil {
		c.recordOutcome(board.ID, err)
	}
	if err != nil {
		return loads.Reply{}, err
	}
	if reply.GetLoads() == nil {
		return loads.Reply{}, failure.New(failure.PeerUnavailable, "member %s sent no loads: status %s", board.ID, reply.Status)
	}
	return loads.DecodeReply(reply.Loads), nil
}
