package entry

import (
	"context"
	"errors"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/request"
)

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
