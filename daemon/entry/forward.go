package entry

import (
	"context"
	"errors"
	"hash/fnv"
	"math"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/dispatch"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// Idle times after which a pooled connection is not reused, even if the target would keep it
// open for longer.
const (
	maxIdleTime = 10 * time.Second
	// maxFarNonIdempotentIdleTime applies to requests that must not be repeated, to another data
	// centre that has been silent for farSilenceTimeout. If the network is partitioned, a
	// new connection fails before anything is sent, while on a reused connection the
	// request is lost. As long as the data centre is not silent, the shorter limit would only
	// cost connections.
	maxFarNonIdempotentIdleTime = 500 * time.Millisecond
	// farSilenceTimeout is many times the usual interval between answers from another data
	// centre.
	farSilenceTimeout = 200 * time.Millisecond
)

// minTargetTimeout is the least timeout sent to a target. A smaller one would be sent as
// 0 ms, which means no limit.
const minTargetTimeout = time.Millisecond

// maxPriority is the largest priority value, for the least urgent requests, that targets accept.
const maxPriority = 9

// hopByHopHeaders concern only one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

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
		if limit := x.recordBrokenRuns(); limit != nil {
			return limit
		}
		reported = failureToReport(reported, err)
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
			SoftwareVersion: x.softwareVersion,
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
	x.targetID, x.targetStartedAtMs, x.targetLoad, x.uncachedTokens = target.ID, target.StartedAtMs, float64(choice.Load)/float64(max(1, choice.Capacity)), choice.UncachedTokens
	h.Meter.Count("sends", x.serviceKind(), x.distance(target))
	h.Log.Info("request routed", "request", x.call.ID, "fingerprint", x.fingerprint, "program", x.call.Program, "customer", x.customerName(), "route", x.route.Name, "config", x.table.Version,
		"target", target.ID, "software", target.SoftwareVersion, "data_centre", target.DataCentre, "load", choice.Load, "places", choice.Capacity, "report_age_ms", choice.ReportAge.Milliseconds(),
		"slowdown", roundHundredths(choice.Slowdown), "predicted_ms", choice.Predicted.Milliseconds(), "near", choice.NearTarget, "near_predicted_ms", choice.NearPredicted.Milliseconds(),
		"prompt", x.call.PromptTokens, "missing", choice.UncachedTokens, "candidates", choice.Candidates, "send", x.sendCount+1,
		"left_ms", time.Until(x.deadline).Milliseconds(), "program_left_ms", x.remainingProgramTime().Milliseconds(), "after_ms", time.Since(x.startedAt).Milliseconds())
	return target, nil
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

// recordOutcome reports the end of a send of this request to the registry.
func (x *exchange) recordOutcome(targetID string, outcome balance.Outcome) {
	x.host.recordOutcome(balance.TargetInfo{ID: targetID, StartedAtMs: x.targetStartedAtMs}, outcome)
}

// recordOutcome counts the end of a send and reports it to the registry, unless the target has
// restarted since.
func (h *Host) recordOutcome(t balance.TargetInfo, outcome balance.Outcome) {
	h.Meter.Count("sends", outcome.String())
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.registry.TargetIncarnation(t.ID, t.StartedAtMs); ok {
		t.RecordOutcome(outcome, h.now())
	}
}

// recordDuration reports to the registry and the hedger how long a request to a plain service took.
func (x *exchange) recordDuration(d time.Duration) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.registry.TargetIncarnation(x.targetID, x.targetStartedAtMs); !ok {
		return
	}
	h.registry.RecordDuration(x.targetID, x.route.Name, d, h.now())
	h.hedger.RecordAnswer(x.service, x.route.Name, time.Since(x.firstSentAt))
}

// recordFirstEvent reports to the registry how long the target took for the first event of a stream.
func (x *exchange) recordFirstEvent(d time.Duration) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.registry.TargetIncarnation(x.targetID, x.targetStartedAtMs); ok {
		h.registry.RecordFirstEvent(x.targetID, x.targetLoad, x.uncachedTokens, d, h.now())
	}
}

// recordEvent reports to the registry how long the target took for a further event of a stream.
func (x *exchange) recordEvent(d time.Duration) {
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.registry.TargetIncarnation(x.targetID, x.targetStartedAtMs); !ok {
		return
	}
	h.registry.RecordEvent(x.targetID, x.targetLoad, d, h.now())
}

// recordLoadReport records the load report in the head of a target's answer. It is called when the
// head arrives: at the end of a stream the report would be outdated.
func (h *Host) recordLoadReport(t balance.TargetInfo, head request.Answer) {
	if !head.HasLoad {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.registry.TargetIncarnation(t.ID, t.StartedAtMs); ok {
		t.RecordLoadReport(head.Load, h.now())
	}
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
	x.addBrokenRun(ctx, t, f)
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
	x.addBrokenRun(x.r.Context(), t, f)
	return true, f
}

// send sends the request to one target, and starts probes of it if no connection can be
// made.
func (x *exchange) send(ctx context.Context, t balance.TargetInfo, lastEventID string) (*targetpool.Response, error) {
	x.sentAt = time.Now()
	x.firstSentAt = x.sentAt
	return x.host.roundTrip(ctx, t, x.newTargetRequest(t, lastEventID))
}

// roundTrip sends a request to a target and records what the head of the answer says of the
// target. A success that is no answer of the target to this request is returned as a failure, so that
// no path can pass it on, keep it or count it for the target.
func (h *Host) roundTrip(ctx context.Context, t balance.TargetInfo, req *targetpool.Request) (*targetpool.Response, error) {
	sentAt := time.Now()
	resp, err := h.pool.Do(ctx, req, h.decodeAnswer)
	if err == nil {
		h.Meter.Observe("target_head", time.Since(sentAt))
		h.reachability.recordHeard(t.ID)
		err = checkSuccess(t, resp)
	}
	switch {
	case err == nil:
		h.recordLoadReport(t, resp.Answer)
		return resp, nil
	case failure.Is(err, failure.BadAnswer):
		h.Meter.Count("targets", "bad_answer")
		h.Log.Warn("target sent what is no answer", "request", req.ID, "target", t.ID, "error", err.Error())
	case failure.From(err).Ran == failure.RanNo && ctx.Err() == nil:
		h.reachability.startProbing(t.ID, t.Address)
	}
	return nil, err
}

// isSuccess reports whether the status of an answer means that the target served the request.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// checkSuccess returns the failure of an answer that claims a success and is not the target's own answer to
// this request. It closes such an answer. Other answers pass.
func checkSuccess(t balance.TargetInfo, resp *targetpool.Response) error {
	if !isSuccess(resp.Status) || resp.Answer.NotRun {
		return nil
	}
	fault := ""
	switch {
	case !resp.Answer.Signed:
		fault = "no signature"
	case resp.Answer.ID == "":
		fault = "no request ID" // it may answer an earlier request
	case resp.Answer.Encoded:
		fault = "an encoded body, which no caller asks for"
	default:
		return nil
	}
	_ = resp.Body.Close() // nothing of it is read
	return failure.Unknown(failure.BadAnswer, "answer of target %s with status %d has %s", t.ID, resp.Status, fault)
}

// refusalOutcome returns the outcome of a send that the target did not run. A misdirected one counts
// as failed: the address belongs to another target.
func refusalOutcome(head request.Answer) balance.Outcome {
	if head.Misdirected {
		return balance.Failed
	}
	return balance.Refused
}

// failureKind returns the kind of a failure: Timeout or CallerGone if ctx has ended, else kind.
// A timeout counts against the target; a caller that left does not.
func failureKind(ctx context.Context, kind failure.Kind) failure.Kind {
	switch {
	case ctx.Err() == nil:
		return kind
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return failure.Timeout
	default:
		return failure.CallerGone
	}
}

// failureOutcome returns the outcome for the target of a send that failed under ctx.
func failureOutcome(ctx context.Context, f *failure.Failure) balance.Outcome {
	if failureKind(ctx, f.Kind) == failure.CallerGone {
		return balance.Abandoned
	}
	return balance.Failed
}

func (h *Host) decodeAnswer(status int, header map[string][]string) request.Answer {
	return h.Headers.Answer(status, header)
}

// newTargetRequest builds the request to a target.
func (x *exchange) newTargetRequest(t balance.TargetInfo, lastEventID string) *targetpool.Request {
	header := x.host.Headers.Outgoing(x.r.Header, request.SendOptions{
		Instance: t.ID, Timeout: max(minTargetTimeout, time.Until(x.deadline)), LastEventID: lastEventID,
		Priority: min(maxPriority, x.priority()), HasPriority: x.engine != nil,
		HideKey: x.host.table.Load().RequiresKey(), Customer: x.customerName(),
	})
	removeHopByHopHeaders(header)
	idleTime := maxIdleTime
	notIdempotent := x.route.Kind != routing.Idempotent
	far := t.DataCentre != x.host.DataCentre
	if notIdempotent && far && !x.host.heardFrom(t.DataCentre, farSilenceTimeout) {
		idleTime = maxFarNonIdempotentIdleTime
	}
	return &targetpool.Request{
		Address: t.Address, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host,
		Header: header, Body: x.body, ID: x.call.ID, MaxIdle: idleTime,
		Bytes: x.host.targetBytes.counter(x.isTurn(), far),
	}
}

// removeHopByHopHeaders removes the headers that concern only one connection.
func removeHopByHopHeaders(header http.Header) {
	for _, name := range connectionOptions(header) {
		header.Del(name)
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
