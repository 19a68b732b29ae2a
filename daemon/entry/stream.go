package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/held"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// logTakeUp logs a request that takes up an interrupted stream.
func (x *exchange) logTakeUp() {
	if x.call.LastEventID == "" {
		return
	}
	x.host.Meter.Count("streams", "taken_up")
	x.host.Log.Info("stream taken up", "request", x.call.ID, "resumes", x.call.Resumes, "after_event", x.call.LastEventID)
}

// deliverStream forwards events to the caller as they arrive. A stream that ends early is resumed
// at other targets if the route allows it.
func (x *exchange) deliverStream(ctx context.Context, t balance.TargetInfo, resp *targetpool.Response) (retry bool, err error) {
	lastEventID := x.call.LastEventID
	for {
		err = x.deliverEvents(ctx, t, resp, &lastEventID)
		if err == nil {
			x.recordOutcome(t.ID, balance.Served)
			return false, x.finishStream(ctx, resp)
		}
		if local := localFailure(err); local != nil {
			// The target has not failed.
			x.recordOutcome(t.ID, balance.Abandoned)
			f := failure.Unknown(local.Kind, "stream of target %s: %v", t.ID, err)
			x.addBrokenRun(t, f)
			return false, f
		}
		f := failure.Unknown(failure.BadAnswer, "stream of target %s ended early: %v", t.ID, err)
		f.Kind = failureKind(ctx, f.Kind)
		x.recordOutcome(t.ID, failureOutcome(ctx, f))
		_ = resp.Body.Close()
		x.addBrokenRun(t, f)
		if !x.route.Resumable || ctx.Err() != nil {
			return false, f
		}
		if limit := x.recordBrokenRuns(ctx); limit != nil {
			return false, failureToReport(f, limit)
		}
		var release context.CancelFunc
		if t, resp, release, err = x.resume(ctx, lastEventID); failure.Is(err, failure.TargetCrashes) {
			return false, err
		} else if err != nil {
			return false, failure.Unknown(failure.BadAnswer, "%v; resume: %v", f, err)
		}
		defer release()
		defer resp.Body.Close()
	}
}

// Failures of a stream that its target has not caused: the caller reads no more, or there is no
// memory for events that it has not read.
var (
	errCallerWrite = failure.New(failure.CallerGone, "write to the caller failed")
	errNoMemory    = failure.New(failure.Overloaded, "no memory for the stream")
)

// localFailure returns the failure that err wraps if the target has not caused it, else nil.
func localFailure(err error) *failure.Failure {
	for _, f := range []*failure.Failure{errCallerWrite, errNoMemory} {
		if errors.Is(err, f) {
			return f
		}
	}
	return nil
}

// deliverEvents forwards whole events of a target until the stream ends, and sets lastEventID to the
// ID of the last one forwarded.
func (x *exchange) deliverEvents(ctx context.Context, t balance.TargetInfo, resp *targetpool.Response, lastEventID *string) error {
	controller := http.NewResponseController(x.w)
	events := &eventReader{source: resp.Body, reserve: x.reserveFunc(ctx, held.Events)}
	defer func() { x.held.release(held.Events, events.reserved) }()
	var lastEventAt time.Time
	for {
		e, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		x.host.reachability.recordHeard(x.targetID)
		if !e.follows(*lastEventID) {
			return failure.Unknown(failure.BadAnswer, "event with ID %q after %q", e.id, *lastEventID)
		}
		if x.turn != nil && x.turn.isComplete() {
			return failure.Unknown(failure.BadAnswer, "event with ID %q after all %d tokens that were asked for", e.id, x.call.MaxTokens)
		}
		now := time.Now()
		if lastEventAt.IsZero() {
			x.recordFirstEvent(now.Sub(x.sentAt))
		} else {
			x.recordEvent(now.Sub(lastEventAt))
		}
		lastEventAt = now
		x.awaitVersion(ctx, t)
		x.writeHead(resp)
		if x.turn != nil && !x.turn.addEvent(ctx, e) {
			return errNoMemory
		}
		if _, err := x.w.Write(e.raw); err != nil {
			return errCallerWrite
		}
		if err := controller.Flush(); err != nil {
			return errCallerWrite
		}
		if e.id != "" {
			*lastEventID = e.id
		}
	}
}

// writeHead sends the head of the first target's answer to the caller, once. Before that, a
// failure is answered with a head of the host's own.
func (x *exchange) writeHead(resp *targetpool.Response) {
	if x.headSent {
		return
	}
	x.copyHeader(resp.Header)
	x.headSent, x.firstByteAt = true, time.Now()
	if c := callerConnOf(x.r); c != nil {
		c.useStreamTimeout()
	}
	x.w.WriteHeader(resp.Status)
}

// resume sends the request to another target, to continue after the last event forwarded. The
// returned function releases the guard of the new target.
func (x *exchange) resume(ctx context.Context, lastEventID string) (balance.TargetInfo, *targetpool.Response, context.CancelFunc, error) {
	for x.sendCount < x.route.MaxAttempts {
		t, err := x.pickTarget()
		if err != nil {
			return balance.TargetInfo{}, nil, nil, err
		}
		if err := x.announceRun(t); err != nil {
			return balance.TargetInfo{}, nil, nil, err
		}
		x.host.Meter.Count("streams", "resumed")
		x.host.Log.Info("stream resumed", "request", x.call.ID, "target", t.ID, "software", t.SoftwareVersion, "after_event", lastEventID)
		guarded, release := x.host.reachability.guard(ctx, t)
		resp, err := x.send(guarded, t, lastEventID)
		if err != nil {
			release()
			f := failure.From(err)
			x.recordOutcome(t.ID, failureOutcome(ctx, f))
			x.addBrokenRun(t, f)
			if limit := x.recordBrokenRuns(ctx); limit != nil {
				return balance.TargetInfo{}, nil, nil, limit
			}
			if f.Ran != failure.RanNo {
				x.sendCount++
			}
			continue
		}
		x.sendCount++
		if isSuccess(resp.Status) && !resp.Answer.NotRun {
			return t, resp, release, nil
		}
		x.recordOutcome(t.ID, failedResumeOutcome(resp))
		_ = resp.Body.Close()
		release()
		if resp.Answer.NotRun {
			x.addBrokenRun(t, failure.New(failure.TargetFull, "status %d", resp.Status))
			x.addRefusal(t, resp)
			if limit := x.recordBrokenRuns(ctx); limit != nil {
				return balance.TargetInfo{}, nil, nil, limit
			}
		}
	}
	return balance.TargetInfo{}, nil, nil, failure.Unknown(failure.TargetFailed, "no target resumed the stream after %d sends", x.sendCount)
}

// failedResumeOutcome returns the outcome of a send whose target did not resume the stream.
func failedResumeOutcome(resp *targetpool.Response) balance.Outcome {
	if !resp.Answer.NotRun && resp.Status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return refusalOutcome(resp.Answer)
}

// finishStream makes a turn durable before its caller receives the end of the stream.
func (x *exchange) finishStream(ctx context.Context, resp *targetpool.Response) error {
	x.writeHead(resp)
	if x.turn == nil {
		return nil
	}
	return x.turn.finish(ctx)
}
