package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

// newTurn returns a turn of program p whose prompt has these parts.
func (s *testSystem) newTurn(id string, parts ...request.Part) *turn {
	x := &exchange{host: s.host, route: &routing.Route{Retention: time.Minute}, service: "s", startedAt: time.Now(), engine: &routing.Engine{TokensPerEvent: 3}}
	x.call = request.Call{ID: id, Program: "p", Prefix: parts}
	for _, p := range parts {
		x.call.PromptTokens += int64(p.Tokens)
	}
	return &turn{x: x}
}

// pickTarget returns the ID of the target to which the turn would be sent.
func (t *turn) pickTarget() string {
	h := t.x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	c, _ := h.registry.Pick(balance.Query{Service: "s", Parts: t.x.call.Prefix, PromptTokens: t.x.call.PromptTokens}, h.now())
	return c.ID
}

// A turn that arrives at a host without any state of its program must go to the target that ran
// the previous turn and has its prompt cached.
func TestTurnThroughAnotherHostGoesToTargetOfPreviousTurn(t *testing.T) {
	shared, own, more := request.Part{ID: "shared", Tokens: 2500}, request.Part{ID: "own", Tokens: 900}, request.Part{ID: "more", Tokens: 400}
	for _, target := range []string{"t1", "t2", "t3"} {
		s := newSystem(t, newFakeTarget(t, "t1", answerOK), newFakeTarget(t, "t2", answerOK), newFakeTarget(t, "t3", answerOK))
		previous := s.newTurn("1", shared, own)
		previous.x.targetID, previous.eventCount = target, 4
		require.NoError(t, s.history.Write(t.Context(), "p", time.Minute, previous.settlementRecord()))
		next := s.newTurn("2", shared, own, more)
		require.NoError(t, next.begin(t.Context()))
		require.Equal(t, target, next.pickTarget())
	}
}

func TestTurnThatDidNotRunHasNoRunRecord(t *testing.T) {
	s := newSystem(t, newFakeTarget(t, "t1", answerOK))
	x := s.newTurn("1", request.Part{ID: "shared", Tokens: 5}, request.Part{ID: "own", Tokens: 5})
	x.x.targetID = "t1"
	require.Nil(t, x.runRecord())
}

// A restarted target has nothing cached: records of its earlier incarnation, of unknown targets
// and of unknown parts do not count.
func TestRunRecordOfEarlierIncarnationIsIgnored(t *testing.T) {
	s := newSystem(t, newFakeTarget(t, "t1", answerOK))
	x := s.newTurn("1", request.Part{ID: "shared", Tokens: 5}, request.Part{ID: "own", Tokens: 500}).x
	x.markCached([]*historypb.Ran{{Target: "t1", Born: 7, Part: "own"}, {Target: "gone", Part: "own"}, {Target: "t1", Part: "unknown"}})
	target, _ := s.host.registry.Target("t1")
	require.Zero(t, target.CachedTokens(x.call.Prefix))
	x.markCached([]*historypb.Ran{{Target: "t1", Part: "own"}})
	require.EqualValues(t, 505, target.CachedTokens(x.call.Prefix))
}
