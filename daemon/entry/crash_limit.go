package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/ledger"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
)

// A request under which targets crash must not be sent to one target after the other. The targets that
// crashed are counted over all attempts of its caller: each broken run is stored at the history hosts
// before the request is sent again or its caller gets an answer, so that the host of the next attempt
// knows of it.

const (
	// brokenRunWriteTimeout bounds how long a repeat, or the answer, waits until a broken run is
	// durable. It covers the replacement of a history host as writer.
	brokenRunWriteTimeout = 300 * time.Millisecond
	// brokenRunReadTimeout bounds how long a call waits for the broken runs of its earlier attempts.
	brokenRunReadTimeout = 100 * time.Millisecond
)

// limitsCrashes reports whether the targets that crash under the request are counted. A request that
// must not run twice is not repeated, by this host or its caller.
func (x *exchange) limitsCrashes() bool { return x.route.Kind != routing.AtMostOnce }

// recordProgram returns the program name under which history hosts store the broken runs of the request and
// the software version of its stream: its program, or a name of its own outside of programs.
func (x *exchange) recordProgram() string {
	if x.call.Program != "" {
		return x.budgetProgram()
	}
	return x.customerScoped("request\x00" + x.fingerprint)
}

// awaitBrokenRuns reads the broken runs of earlier attempts of a call, and returns the failure of a call
// that must not be sent. If they cannot be read, the call is sent only if no target of its service has
// crashed lately as far as the host knows.
func (x *exchange) awaitBrokenRuns(ctx context.Context) error {
	if !x.limitsCrashes() {
		return nil
	}
	if err := x.readBrokenRunsInTime(ctx); err != nil {
		x.host.Meter.Count("broken_runs", "not_read")
		if x.host.lastCrashes.isRecent(x.service) {
			return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "broken runs of earlier attempts: %v", err)
		}
	}
	return x.crashLimitFailure()
}

// readBrokenRunsInTime is readBrokenRuns within brokenRunReadTimeout. It fails at once if the history
// hosts are known to be unreachable.
func (x *exchange) readBrokenRunsInTime(ctx context.Context) error {
	if !x.host.History.IsServable(x.recordProgram()) {
		return failure.New(failure.HistoryUnavailable, "history hosts of the request are unreachable")
	}
	ctx, cancel := context.WithTimeout(ctx, brokenRunReadTimeout)
	defer cancel()
	return x.readBrokenRuns(ctx)
}

// readBrokenRuns adds the broken runs of all attempts of the request that are stored.
func (x *exchange) readBrokenRuns(ctx context.Context) error {
	history, err := x.host.History.ReadQuery(ctx, quorum.Query{Program: x.recordProgram(), Request: x.fingerprint})
	if err != nil {
		return err
	}
	x.brokenRuns.Merge(history.BrokenRuns)
	return nil
}

// crashLimitFailure returns the final failure of a request under which too many targets crashed, else
// nil.
func (x *exchange) crashLimitFailure() error {
	if !x.brokenRuns.CrashLimitReached(x.host.hasCrashed) || x.call.Program == "" && x.host.served.contains(x.fingerprint) {
		return nil
	}
	x.host.Meter.Count("requests", "given_up")
	return failure.Unknown(failure.TargetCrashes, "%d targets crashed while they ran the request", ledger.MaxCrashes)
}

// announceRun makes durable, before the request is sent to a target, that it may run there, if targets
// have crashed under it before. If this host is killed or cut off meanwhile, the next one finds out
// what became of the target.
func (x *exchange) announceRun(t balance.TargetInfo) error {
	if x.brokenRuns.Confirmed() == 0 || !x.limitsCrashes() {
		return nil
	}
	run := &historypb.BrokenRun{Request: x.fingerprint, Target: t.ID, Born: t.StartedAtMs, End: historypb.RunEnd_RUN_END_UNKNOWN}
	ctx, cancel := context.WithTimeout(context.Background(), brokenRunWriteTimeout)
	defer cancel()
	if err := x.writeBrokenRuns(ctx, brokenRunRecords([]*historypb.BrokenRun{run})); err != nil {
		x.recordOutcome(t.ID, balance.Abandoned)
		return failure.Retry(failure.HistoryUnavailable, x.historyRetryDelay(), "run after a crash not announced: %v", err)
	}
	x.brokenRuns.Merge([]*historypb.BrokenRun{run})
	x.announcedTarget = t.ID
	return nil
}

// recordBrokenRuns makes new broken runs durable. It returns a failure if the request must not be sent
// again: too many targets crashed under it, or that one has crashed could not be stored.
func (x *exchange) recordBrokenRuns() error {
	runs := x.takeBrokenRuns()
	if len(runs) == 0 || !x.limitsCrashes() {
		return nil
	}
	x.brokenRuns.Merge(runs)
	err := x.storeBrokenRuns(runs)
	if limit := x.crashLimitFailure(); limit != nil {
		return limit
	}
	crashed := slices.ContainsFunc(runs, func(r *historypb.BrokenRun) bool { return r.End == historypb.RunEnd_RUN_END_CRASHED })
	if err != nil && crashed {
		return failure.Unknown(failure.HistoryUnavailable, "crash of a target not stored: %v", err)
	}
	return nil
}

// storeBrokenRuns stores broken runs and adds those that other hosts stored meanwhile. It does not
// depend on the caller: one that leaves comes back through another host.
func (x *exchange) storeBrokenRuns(runs []*historypb.BrokenRun) error {
	ctx, cancel := context.WithTimeout(context.Background(), brokenRunWriteTimeout)
	defer cancel()
	records := brokenRunRecords(runs)
	if err := x.writeBrokenRuns(ctx, records); err != nil {
		x.host.Meter.Count("broken_runs", "not_stored")
		x.host.Log.Warn("broken runs not stored in time", "request", x.call.ID, "fingerprint", x.fingerprint, "error", err.Error())
		x.storeBrokenRunsLater(runs)
		return err
	}
	return x.readBrokenRuns(ctx)
}

// writeBrokenRuns writes records of broken runs, unless the history hosts are known to be unreachable.
func (x *exchange) writeBrokenRuns(ctx context.Context, records []*historypb.Record) error {
	return x.host.History.WriteUnlessUnreachable(ctx, 0, x.recordProgram(), x.retention(), records...)
}

// storeBrokenRunsLater tries on to store broken runs in the background, for recentCrashWindow.
func (x *exchange) storeBrokenRunsLater(runs []*historypb.BrokenRun) {
	if !x.host.History.Ready() {
		return
	}
	x.host.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recentCrashWindow)
		defer cancel()
		if err := x.host.History.Write(ctx, x.recordProgram(), x.retention(), brokenRunRecords(runs)...); err != nil {
			x.host.Log.Warn("broken runs not stored", "request", x.call.ID, "fingerprint", x.fingerprint, "error", err.Error())
		}
	})
}

// brokenRunRecords returns a record of each run. A record belongs to one write.
func brokenRunRecords(runs []*historypb.BrokenRun) []*historypb.Record {
	records := make([]*historypb.Record, 0, len(runs))
	for _, r := range runs {
		records = append(records, &historypb.Record{Change: &historypb.Record_BrokenRun{BrokenRun: r}})
	}
	return records
}
