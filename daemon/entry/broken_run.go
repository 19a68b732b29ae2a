package entry

import (
	"context"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// brokenRun is a run of a request whose target broke it off, before or within the answer.
type brokenRun struct {
	target balance.TargetInfo
	reason string
}

// isBrokenRun reports whether a failed send is a run that its target broke off. Runs that ended
// because the caller left or the time was up are not.
func isBrokenRun(ctx context.Context, f *failure.Failure) bool {
	return ctx.Err() == nil && f.Ran != failure.RanNo && (f.Kind == failure.TargetFailed || f.Kind == failure.BadAnswer)
}

// addBrokenRun notes a failed send if it is a run that its target broke off.
func (x *exchange) addBrokenRun(ctx context.Context, t balance.TargetInfo, f *failure.Failure) {
	if isBrokenRun(ctx, f) {
		x.newBrokenRuns = append(x.newBrokenRuns, brokenRun{target: t, reason: f.Detail})
	}
}

// takeBrokenRuns returns the runs noted since the last call, each with whether its target has crashed
// or only broke the connection.
func (x *exchange) takeBrokenRuns() []*historypb.BrokenRun {
	var list []*historypb.BrokenRun
	for _, run := range x.newBrokenRuns {
		crashed := !x.host.isServing(run.target)
		x.host.Meter.Count("runs", "broken")
		if crashed {
			x.host.lastCrashes.record(x.service)
			x.host.Meter.Count("runs", "crashed")
		}
		x.host.Log.Info("run broken off", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "route", x.route.Name,
			"target", run.target.ID, "crashed", crashed, "sends", x.sendCount, "reason", run.reason)
		list = append(list, &historypb.BrokenRun{Request: x.fingerprint, Target: run.target.ID, Born: run.target.StartedAtMs, Crashed: crashed})
	}
	x.newBrokenRuns = nil
	return list
}

// isServing reports whether the incarnation of a target still serves: it is listed and accepts
// connections.
func (h *Host) isServing(t balance.TargetInfo) bool {
	h.mu.Lock()
	_, listed := h.registry.TargetIncarnation(t.ID, t.StartedAtMs)
	h.mu.Unlock()
	return listed && h.reachability.acceptsConnections(t.ID, t.Address)
}
