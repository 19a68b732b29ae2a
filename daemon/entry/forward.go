package entry

import (
	"context"
	"hash/fnv"
	"math"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// draw returns a hash of the request's ID as a number in [0, 1). Requests are spread evenly over
// weighted choices without a random source, and all attempts of a request get the same number.
func (x *exchange) draw() float64 {
	f := fnv.New32a()
	f.Write([]byte(x.call.ID))
	return float64(f.Sum32()) / (1 << 32)
}

// forward sends the request to targets until one answers or no further attempt is allowed.
func (x *exchange) forward(ctx context.Context) error {
	var reported error
	for {
		t, err := x.pickTarget()
		if err != nil {
			reported = failureToReport(reported, err)
			if x.awaitCapacity(ctx, reported) {
				continue
			}
			return reported
		}
		if err := x.announceRun(t); err != nil {
			return failureToReport(reported, err)
		}
		retry, err := x.attempt(ctx, t)
		if err == nil {
			return nil
		}
		reported = failureToReport(reported, err)
		if limit := x.recordBrokenRuns(ctx); limit != nil {
			return failureToReport(reported, limit)
		}
		if !retry || ctx.Err() != nil {
			return reported
		}
		x.host.Meter.Count("sends", "repeated", string(failure.From(err).Kind))
		x.host.Log.Info("send failed, request is repeated", "request", x.call.ID, "target", t.ID, "sends", x.sendCount, "error", err.Error())
		if x.sendCount >= x.route.MaxAttempts && !x.awaitCapacity(ctx, reported) {
			return reported
		}
	}
}

// failureToReport returns the later failure, unless only the earlier one says that the request
// may have run. earlier may be nil.
func failureToReport(earlier, later error) error {
	if earlier != nil && failure.From(earlier).Ran != failure.RanNo && failure.From(later).Ran == failure.RanNo {
		return earlier
	}
	return later
}

// repeatable reports whether the request may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Kind == routing.Idempotent || x.route.Resumable
}

// pickTarget chooses the next target and records the send to it, or returns the failure of a
// request that no target takes.
func (x *exchange) pickTarget() (balance.TargetInfo, error) {
	if err := x.authorise(); err != nil {
		return balance.TargetInfo{}, err
	}
	h := x.host
	h.mu.Lock()
	decision := h.dispatch.Decide(dispatch.Request{
		Query: balance.Query{
			Service: x.service, WorkKind: x.route.Name, Parts: x.call.Prefix, PromptTokens: x.call.PromptTokens, Exclude: x.tried, Allowed: x.capacityWait.retryTargets(), DataCentres: x.allowedDataCentres(),
			SoftwareVersion: x.softwareVersion, SpreadBy: x.spreadBy(),
		},
		ProgramStarted: !x.startsProgram() || x.sendCount > 0, Draw: x.draw(),
	}, h.now())
	if decision.Action != dispatch.Send {
		size := h.registry.Size()
		h.mu.Unlock()
		return balance.TargetInfo{}, x.notSentFailure(decision, size)
	}
	choice := decision.Choice
	target := choice.TargetInfo
	choice.RecordSend(x.call.Prefix, h.now())
	h.mu.Unlock()
	x.tried[target.ID] = true
	x.generations[startOf(target)] = x.brokenRuns.NextGeneration() + int32(len(x.refusals)) // each of these was a send before
	x.targetID, x.targetStartedAtMs, x.targetLoad, x.uncachedTokens = target.ID, target.StartedAtMs, float64(choice.Load)/float64(max(1, choice.Capacity)), choice.UncachedTokens
	h.Meter.Count("sends", x.serviceKind(), x.distance(target))
	h.Log.Info("request routed", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "customer", x.customerName(), "route", x.route.Name, "config", x.table.Version,
		"target", target.ID, "software", target.SoftwareVersion, "data_centre", target.DataCentre, "load", choice.Load, "places", choice.Capacity, "report_age_ms", choice.ReportAge.Milliseconds(),
		"slowdown", roundHundredths(choice.Slowdown), "predicted_ms", choice.Predicted.Milliseconds(), "near", choice.NearTarget, "near_predicted_ms", choice.NearPredicted.Milliseconds(),
		"prompt", x.call.PromptTokens, "missing", choice.UncachedTokens, "candidates", choice.Candidates, "send", x.sendCount+1,
		"left_ms", time.Until(x.deadline).Milliseconds(), "program_left_ms", x.remainingProgramTime().Milliseconds(), "after_ms", time.Since(x.startedAt).Milliseconds())
	return target, nil
}

// spreadBy keeps requests under which targets have crashed apart from each other: one of them may be the cause,
// and the others would meet it again and again.
func (x *exchange) spreadBy() string {
	if x.brokenRuns.Confirmed()+x.brokenRuns.Refusals().Confirmed() == 0 {
		return ""
	}
	return x.fingerprint
}

// roundHundredths rounds a value to two decimals for the log.
func roundHundredths(v float64) float64 { return math.Round(100*v) / 100 }

// serviceKind names the kind of the service in metrics: "engine" or "plain".
func (x *exchange) serviceKind() string {
	if x.call.PromptTokens > 0 {
		return "engine"
	}
	return "plain"
}

// distance names the distance of a target in metrics: "near" in the data centre of the host,
// else "far".
func (x *exchange) distance(t balance.TargetInfo) string {
	if t.DataCentre == x.host.DataCentre {
		return "near"
	}
	return "far"
}

// remainingProgramTime returns the time until the program's deadline, negative after it; 0 if the
// caller gives no deadline for its program.
func (x *exchange) remainingProgramTime() time.Duration {
	if x.call.ProgramTimeout == 0 {
		return 0
	}
	return x.call.ProgramTimeout - time.Since(x.startedAt)
}

// notSentFailure returns the failure of a request that is sent to no target.
func (x *exchange) notSentFailure(decision dispatch.Decision, targetCount int) error {
	if decision.Action == dispatch.NoTarget {
		return failure.Retry(failure.NoTarget, defaultRetryDelay, "no usable target of service %s among %d targets", x.service, targetCount)
	}
	x.host.Meter.Count("turned_away", "full")
	x.host.Log.Info("program turned away", "request", x.call.ID, "program", x.call.Program, "service", x.service,
		"load_percent", int(100*decision.Load), "come_back_ms", decision.RetryDelay.Milliseconds(), "program_left_ms", x.call.ProgramTimeout.Milliseconds())
	return failure.Retry(failure.Overloaded, decision.RetryDelay, "engines of service %s have a queue, load %.2f", x.service, decision.Load)
}

// hasUntriedTarget reports whether there is a usable target that has not been tried.
func (x *exchange) hasUntriedTarget() bool {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.registry.Pick(balance.Query{Service: x.service, Exclude: x.tried, DataCentres: x.allowedDataCentres()}, h.now())
	return ok
}

// attempt sends the request to one target and forwards its answer. retry reports whether
// another target may be tried.
func (x *exchange) attempt(ctx context.Context, t balance.TargetInfo) (retry bool, err error) {
	if delay, hedged := x.hedgeDelay(); hedged {
		return x.attemptHedged(ctx, t, delay)
	}
	guarded, release := x.host.reachability.guard(ctx, t)
	defer release()
	resp, err := x.send(guarded, t, x.call.LastEventID)
	if err != nil {
		return x.handleSendError(ctx, t, err)
	}
	x.sendCount++
	defer resp.Body.Close()
	if resp.Answer.NotRun {
		return x.handleNotRun(t, resp)
	}
	if x.route.Kind == routing.Streaming && isSuccess(resp.Status) {
		return x.deliverStream(ctx, t, resp)
	}
	body, err := x.readAnswer(ctx, resp)
	return x.deliverPlain(ctx, t, resp, body, err)
}

// handleSendError ends a send for which no answer head arrived.
func (x *exchange) handleSendError(ctx context.Context, t balance.TargetInfo, err error) (retry bool, _ error) {
	f := failure.From(err)
	x.recordOutcome(t.ID, failureOutcome(ctx, f))
	x.addBrokenRun(t, f)
	if f.Ran != failure.RanNo {
		x.sendCount++
	}
	return f.Ran == failure.RanNo || x.repeatable(), err
}

// handleNotRun ends a send whose target answered that it did not run the request.
func (x *exchange) handleNotRun(t balance.TargetInfo, resp *targetpool.Response) (retry bool, _ error) {
	x.recordOutcome(t.ID, refusalOutcome(resp.Answer))
	if !resp.Answer.Misdirected {
		x.capacityWait.addFull(t.ID)
	}
	f := failure.Retry(failure.TargetFull, defaultRetryDelay, "target %s refused the request with status %d", t.ID, resp.Status)
	x.addBrokenRun(t, f)
	x.addRefusal(t, resp)
	return true, f
}
