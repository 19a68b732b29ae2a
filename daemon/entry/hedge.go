package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// sendResult is the result of one send of a plain call.
type sendResult struct {
	target balance.TargetInfo
	sentAt time.Time
	// resp is nil if the send itself failed with err; else err is from reading the body.
	resp *targetpool.Response
	body *bodyChunks
	err  error
}

// deliverable reports whether the answer can be sent to the caller while another send is in flight.
func (r *sendResult) deliverable() bool {
	if r.resp == nil || r.err != nil || r.resp.Answer.NotRun {
		return false
	}
	return r.resp.Status < http.StatusInternalServerError && !statusImpliesNotRun(r.resp.Status)
}

// hedgeDelay returns how long to wait for an answer before the call is sent a second time; false
// if the call is not hedged. Only calls that the configuration allows to run more than once are
// hedged, and only within the attempts of their route. A call that a target broke off is sent to one
// target at a time.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	hedgeable := x.route.Kind == routing.Idempotent && x.call.PromptTokens == 0
	if !hedgeable || x.capacityWait.waited > 0 || x.sendCount+2 > x.route.MaxAttempts || x.isSuspect() {
		return 0, false
	}
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	delay, ok := h.hedger.Delay(x.route.Name)
	return delay, ok && delay < time.Until(x.deadline)
}

// attemptHedged sends the call to one target, and to another one if the first has not answered
// after a delay. The first deliverable answer goes to the caller; the other send is cancelled, so
// that its target abandons the work.
func (x *exchange) attemptHedged(ctx context.Context, t balance.TargetInfo, delay time.Duration) (retry bool, err error) {
	results := make(chan *sendResult, 2)
	startedAt := time.Now()
	x.firstSentAt = startedAt
	var cancels []context.CancelFunc
	cancelAll := func() {
		for _, cancel := range cancels {
			cancel()
		}
	}
	defer cancelAll()
	cancels = append(cancels, x.startSend(ctx, t, results))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	pending, secondID := 1, ""
	var failedSend error
	for {
		select {
		case <-timer.C:
			second, ok := x.pickSecondTarget(t, delay)
			if !ok {
				continue
			}
			cancels = append(cancels, x.startSend(ctx, second, results))
			pending, secondID = pending+1, second.ID
		case result := <-results:
			pending--
			if pending > 0 && !result.deliverable() {
				failedSend = x.recordFailedSend(ctx, result)
				continue
			}
			if pending > 0 {
				go x.host.recordAbandoned(results)
			}
			if result.target.ID == secondID && result.deliverable() {
				x.host.Meter.Count("second_sends", "won")
				x.host.Log.Info("second send answered first", "request", x.call.ID, "target", secondID, "instead_of", t.ID, "after_ms", time.Since(startedAt).Milliseconds())
			}
			cancelAll()
			retry, err = x.finishAttempt(ctx, result, failedSend)
			if err != nil && failedSend != nil {
				err = failureToReport(failedSend, err)
			}
			return retry, err
		}
	}
}

// startSend sends the call to a target in the background and passes the result to results. The
// returned function cancels the send.
func (x *exchange) startSend(ctx context.Context, t balance.TargetInfo, results chan<- *sendResult) context.CancelFunc {
	guarded, release := x.host.reachability.guard(ctx, t)
	req := x.newTargetRequest(t, x.call.LastEventID)
	go func() {
		result := &sendResult{target: t, sentAt: time.Now()}
		result.resp, result.err = x.host.roundTrip(guarded, t, req)
		if result.err == nil {
			result.body, result.err = x.readAnswer(guarded, result.resp)
			_ = result.resp.Body.Close() // the rest is not needed
		}
		results <- result
	}()
	return release
}

// pickSecondTarget chooses the target of a second send; false if there is no target or no token
// of the hedge budget.
func (x *exchange) pickSecondTarget(first balance.TargetInfo, delay time.Duration) (balance.TargetInfo, bool) {
	h := x.host
	if !x.hasUntriedTarget() {
		h.Meter.Count("second_sends", "no_target")
		return balance.TargetInfo{}, false
	}
	h.mu.Lock()
	hasToken := h.hedger.TakeToken(x.service)
	h.mu.Unlock()
	if !hasToken {
		h.Meter.Count("second_sends", "no_token")
		return balance.TargetInfo{}, false
	}
	x.sendCount++ // counts the first send, which is in flight
	second, err := x.pickTarget()
	if err != nil {
		x.sendCount--
		h.Log.Info("call not sent a second time", "request", x.call.ID, "target", first.ID, "error", err.Error())
		return balance.TargetInfo{}, false
	}
	// The two sends are the same caller's: the second one counts as if the first had ended.
	x.generations[startOf(second)]++
	if err := x.announceRun(second); err != nil { // no run of a hedged call has crashed a target before
		h.Log.Warn("second send not announced", "request", x.call.ID, "error", err.Error())
	}
	h.Meter.Count("second_sends", "sent")
	h.Log.Info("call sent a second time", "request", x.call.ID, "target", second.ID, "beside", first.ID, "route", x.route.Name, "delay_ms", delay.Milliseconds())
	return second, true
}

// recordFailedSend records a send without a deliverable answer while the other one is in flight,
// and returns its failure.
func (x *exchange) recordFailedSend(ctx context.Context, result *sendResult) error {
	h := x.host
	switch {
	case result.resp == nil:
		f := failure.From(result.err)
		h.recordOutcome(result.target, failureOutcome(ctx, f))
		x.addBrokenRun(result.target, f)
		return result.err
	case result.err == nil && result.resp.Answer.NotRun:
		h.recordOutcome(result.target, refusalOutcome(result.resp.Answer))
		if !result.resp.Answer.Misdirected {
			x.capacityWait.addFull(result.target.ID)
		}
		x.addRefusal(result.target, result.resp)
		return failure.Retry(failure.TargetFull, defaultRetryDelay, "target %s refused the request with status %d", result.target.ID, result.resp.Status)
	case failure.Is(result.err, failure.Overloaded):
		h.recordOutcome(result.target, balance.Abandoned) // this host has no memory for the answer
		return failure.Unknown(failure.Overloaded, "reading the answer of target %s: %v", result.target.ID, result.err)
	default:
		f := failure.Unknown(failure.BadAnswer, "answer of target %s with status %d during a hedged call: %v", result.target.ID, result.resp.Status, result.err)
		h.recordOutcome(result.target, result.outcome(ctx, f))
		if result.err != nil {
			x.addBrokenRun(result.target, f)
		} else if result.resp.Status >= http.StatusInternalServerError {
			x.addFailedRun(result.target, result.resp.Status)
		}
		return f
	}
}

// outcome returns the outcome for the target of an answer that is not sent to the caller.
func (r *sendResult) outcome(ctx context.Context, f *failure.Failure) balance.Outcome {
	clientError := !isSuccess(r.resp.Status) && r.resp.Status < http.StatusInternalServerError
	if r.err == nil && clientError {
		return balance.Served
	}
	return failureOutcome(ctx, f)
}

// finishAttempt ends the attempt with a result, as if its target had been the only one. A status
// that implies that the call has not run is withheld if the other send failed, with otherErr, and
// may have run.
func (x *exchange) finishAttempt(ctx context.Context, result *sendResult, otherErr error) (retry bool, err error) {
	x.targetID, x.targetStartedAtMs, x.sentAt = result.target.ID, result.target.StartedAtMs, result.sentAt
	if result.resp == nil {
		return x.handleSendError(ctx, result.target, result.err)
	}
	x.sendCount++
	if result.resp.Answer.NotRun {
		return x.handleNotRun(result.target, result.resp)
	}
	mayHaveRun := otherErr != nil && failure.From(otherErr).Ran != failure.RanNo
	if mayHaveRun && result.err == nil && statusImpliesNotRun(result.resp.Status) {
		f := failure.Unknown(failure.BadAnswer, "target %s answered with status %d while another send may have run", result.target.ID, result.resp.Status)
		x.recordOutcome(result.target.ID, result.outcome(ctx, f))
		return true, f
	}
	return x.deliverPlain(ctx, result.target, result.resp, result.body, result.err)
}

// recordAbandoned records the end of a send that was cancelled.
func (h *Host) recordAbandoned(results <-chan *sendResult) {
	result := <-results
	h.recordOutcome(result.target, balance.Abandoned)
}
