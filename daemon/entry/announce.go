package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// announceWindow is how long after a crash of a service first runs are announced. A request that makes targets
// crash comes back within it, and announcements cost a write or two for each request.
const announceWindow = 5 * time.Second

// announceRun stores, before the request is sent to a target, that it may run there, if runs of it have ended
// without an answer before, or if targets of the service crashed lately. If this host is killed or cut off
// meanwhile, the next one finds out what became of the target. After a crash under the request it is not sent
// before that is durable.
func (x *exchange) announceRun(t balance.TargetInfo) error {
	if !x.mustAnnounce() {
		return nil
	}
	run := x.newBrokenRunRecord(startOf(t), x.generations[startOf(t)], historypb.RunEnd_RUN_END_UNKNOWN)
	x.announced = append(x.announced, startOf(t))
	if x.brokenRuns.Confirmed() == 0 {
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), run)
		return nil
	}
	if err := x.host.storeOnce(context.Background(), x.recordProgram(), x.retention(), []*historypb.BrokenRun{run}); err != nil {
		x.recordOutcome(t.ID, balance.Abandoned)
		return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "run after a crash not announced: %v", err)
	}
	x.brokenRuns.Merge([]*historypb.BrokenRun{run})
	return nil
}

// mustAnnounce reports whether runs of the request are announced. Outside of programs, callers may send the
// same request at once, and a first run of one of them says nothing of the others.
func (x *exchange) mustAnnounce() bool {
	return x.isSuspect() || x.call.Program != "" && x.host.lastCrashes.isWithin(x.service, announceWindow)
}

// isSuspect reports whether a run of the request ended without an answer, or may have, and none was answered since.
func (x *exchange) isSuspect() bool {
	return x.brokenRuns.HasUnanswered() || x.call.Program != "" && x.brokenRuns.HasAnnounced()
}
