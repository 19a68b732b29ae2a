package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// brokenRunWriteTimeout bounds how long a repeat, or the answer, waits until a broken run is
	// durable. It covers the replacement of a history host as writer.
	brokenRunWriteTimeout = 300 * time.Millisecond
	// brokenRunReadTimeout bounds how long a call waits for the broken runs of its earlier attempts.
	brokenRunReadTimeout = 100 * time.Millisecond
	// crashStoreInterval is the time between two attempts to store a crash in the background.
	crashStoreInterval = time.Second
)

// brokenRunTimeouts are the timeouts of reads and writes of broken runs.
type brokenRunTimeouts struct{ write, read time.Duration }

// recordProgram returns the program name under which history hosts store the broken runs of the request and
// the software version of its stream: its program, or a name of its own outside of programs.
func (x *exchange) recordProgram() string {
	if x.call.Program != "" {
		return x.budgetProgram()
	}
	return x.customerScoped("request\x00" + x.fingerprint)
}

// readBrokenRunsInTime is readBrokenRuns within brokenRunReadTimeout. It fails at once if the history
// hosts are known to be unreachable.
func (x *exchange) readBrokenRunsInTime(ctx context.Context) error {
	if !x.host.History.IsServable(x.recordProgram()) {
		return failure.New(failure.HistoryUnavailable, "history hosts of the request are unreachable")
	}
	ctx, cancel := context.WithTimeout(ctx, x.host.brokenRunTimeouts.read)
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

// recordBrokenRuns makes new broken runs durable. It returns a failure if the request must not be sent
// again: too many targets crashed under it, or that one has crashed could not be stored. If the caller has
// left or the time is up, that is done in the background.
func (x *exchange) recordBrokenRuns(ctx context.Context) error {
	x.countRefusals()
	broken := x.takeBrokenRuns()
	if len(broken) == 0 {
		return nil
	}
	if ctx.Err() != nil {
		x.host.background.Go(func() { x.recordGivenUpRuns(broken) })
		return nil
	}
	runs := x.brokenRunList(broken)
	x.brokenRuns.Merge(runs)
	if !slices.ContainsFunc(runs, mayHaveRun) {
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
		return x.refusalLimitFailure()
	}
	err := x.storeBrokenRuns(runs)
	if limit := x.crashLimitFailure(); limit != nil {
		return limit
	}
	if err != nil && slices.ContainsFunc(runs, isCrash) {
		return failure.Unknown(failure.HistoryUnavailable, "crash of a target not stored: %v", err)
	}
	return nil
}

// mayHaveRun reports whether a target may have run the request.
func mayHaveRun(run *historypb.BrokenRun) bool {
	return run.End != historypb.RunEnd_RUN_END_NOT_RUN && run.End != historypb.RunEnd_RUN_END_REFUSED
}

// recordGivenUpRuns stores runs that ended because the caller left or the time was up.
func (x *exchange) recordGivenUpRuns(broken []brokenRun) {
	x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), x.brokenRunList(broken)...)
}

// brokenRunList returns the records of broken runs.
func (x *exchange) brokenRunList(broken []brokenRun) []*historypb.BrokenRun {
	var runs []*historypb.BrokenRun
	for _, run := range broken {
		runs = append(runs, x.brokenRunRecord(run))
	}
	return runs
}

// storeBrokenRuns stores broken runs and adds those that other hosts stored meanwhile. It does not
// depend on the caller: one that leaves comes back through another host.
func (x *exchange) storeBrokenRuns(runs []*historypb.BrokenRun) error {
	ctx, cancel := context.WithTimeout(context.Background(), x.host.brokenRunTimeouts.write)
	defer cancel()
	if err := x.host.storeOnce(ctx, x.recordProgram(), x.retention(), runs); err != nil {
		x.host.Meter.Count("broken_runs", "not_stored")
		x.host.Log.Warn("broken runs not stored in time", "request", x.call.ID, "fingerprint", x.fingerprint, "error", err.Error())
		x.host.storeBrokenRunsLater(x.recordProgram(), x.retention(), runs...)
		return err
	}
	return x.readBrokenRuns(ctx)
}

// storeBrokenRunsLater stores runs of one request under a program's name in the background. A crash is worth
// trying for recentCrashWindow, other ends are dropped if they cannot be stored at once.
func (h *Host) storeBrokenRunsLater(program string, retention time.Duration, runs ...*historypb.BrokenRun) {
	if !h.History.Ready() {
		return
	}
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(h.lifetime, recentCrashWindow)
		defer cancel()
		err := h.storeOnce(ctx, program, retention, runs)
		for err != nil && slices.ContainsFunc(runs, isCrash) && wait.For(ctx, crashStoreInterval) {
			err = h.storeOnce(ctx, program, retention, runs)
		}
		if err != nil {
			h.Log.Warn("broken runs not stored", "fingerprint", runs[0].Request, "error", err.Error())
		}
	})
}

// storeOnce stores runs of one request within brokenRunWriteTimeout, unless the history hosts are known to be
// unreachable.
func (h *Host) storeOnce(ctx context.Context, program string, retention time.Duration, runs []*historypb.BrokenRun) error {
	ctx, cancel := context.WithTimeout(ctx, h.brokenRunTimeouts.write)
	defer cancel()
	return h.History.WriteUnlessUnreachable(ctx, 0, program, retention, brokenRunRecords(runs)...)
}

// isCrash reports whether the target of a run is known to have crashed.
func isCrash(run *historypb.BrokenRun) bool {
	return run.End == historypb.RunEnd_RUN_END_CRASHED || run.End == historypb.RunEnd_RUN_END_CRASHED_AFTER_REFUSAL
}

// brokenRunRecords returns a record of each run. A record belongs to one write.
func brokenRunRecords(runs []*historypb.BrokenRun) []*historypb.Record {
	records := make([]*historypb.Record, 0, len(runs))
	for _, r := range runs {
		records = append(records, &historypb.Record{Change: &historypb.Record_BrokenRun{BrokenRun: r}})
	}
	return records
}
