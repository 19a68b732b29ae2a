package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

// A target may answer that it has not run a request, and end because of it. Such a send is no run, so that the limit on
// runs does not bound how many targets a request reaches. What a target refuses is held against the request only if
// the target ends right after it and was not full.

// refusalCheckDelay is how long a request waits that several targets refused, until it is known whether they serve on.
const refusalCheckDelay = 50 * time.Millisecond

// lateRefusalChecks are the times after a failed attempt at which the targets that refused it are looked at.
var lateRefusalChecks = []time.Duration{refusalCheckDelay, 5 * refusalCheckDelay}

// addRefusal notes that a target answered that it has not run the request, unless it was full or is not the one that the
// request was meant for.
func (x *exchange) addRefusal(t balance.TargetInfo, head request.Answer) {
	if x.limitsCrashes() && !head.Misdirected && !head.ReportsFull() {
		x.refusals = append(x.refusals, t)
	}
}

// checkRefusals notes the targets that have ended since they refused the request as runs that broke off, once they would
// be too many with those that crashed under it.
func (x *exchange) checkRefusals(ctx context.Context) {
	if len(x.refusals) == 0 || len(x.refusals)+x.brokenRuns.Confirmed() < x.openRunLimit() || !wait.For(ctx, refusalCheckDelay) {
		return
	}
	x.host.Meter.Count("waits", "refusals")
	for _, t := range x.refusals {
		if x.host.fateOf(startOf(t)) == fateCrashed {
			x.newBrokenRuns = append(x.newBrokenRuns, brokenRun{target: t, reason: "refused, and the target ended"})
		}
	}
	x.refusals = nil
}

// checkRefusalsLater stores, after a failed attempt, which targets are known to have ended since they refused it. It
// makes no connection: targets that do not report their load refuse many requests while they are full.
func (x *exchange) checkRefusalsLater() {
	if len(x.refusals) == 0 {
		return
	}
	refusals := x.refusals
	x.host.background.Go(func() {
		for _, delay := range lateRefusalChecks {
			if !wait.For(x.host.lifetime, delay) {
				return
			}
			refusals = x.storeKnownEnds(refusals)
		}
	})
}

// storeKnownEnds stores the targets that are known to have ended since they refused the request, and returns the others.
func (x *exchange) storeKnownEnds(refusals []balance.TargetInfo) []balance.TargetInfo {
	var left []balance.TargetInfo
	var ended []*historypb.BrokenRun
	for _, t := range refusals {
		if !x.host.hasEnded(t) {
			left = append(left, t)
			continue
		}
		ended = append(ended, x.newBrokenRunRecord(startOf(t), historypb.RunEnd_RUN_END_CRASHED))
		x.host.Log.Info("target ended after it refused a request", "request", x.call.ID, "fingerprint", x.fingerprint, "target", t.ID)
	}
	if len(ended) > 0 {
		x.host.lastCrashes.record(x.service)
		x.host.Meter.Count("runs", "crashed")
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), ended...)
	}
	return left
}

// hasEnded reports whether a target is known to have crashed, without a connection to it.
func (h *Host) hasEnded(t balance.TargetInfo) bool {
	if gone, departed := h.departures.find(startOf(t)); departed {
		return gone.replaced && !gone.draining
	}
	return !t.Draining && h.reachability.isUnreachable(t.ID)
}
