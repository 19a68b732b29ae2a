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

// stream passes events on as they come. A stream that breaks is resumed at other
// targets where the route allows it.
func (x *exchange) stream(ctx context.Context, t balance.TargetInfo, resp *targetpool.Response) (again bool, err error) {
	last := x.call.LastEventID
	for {
		err = x.pump(ctx, resp, &last)
		if err == nil {
			x.done(t.ID, balance.Served)
			return false, x.finishStream(ctx, resp)
		}
		if ours := endedHere(err); ours != nil {
			// Says nothing of the target.
			x.done(t.ID, balance.Abandoned)
			return false, failure.Unknown(ours.Kind, "stream of %s: %v", t.ID, err)
		}
		f := failure.Unknown(failure.BadAnswer, "stream of %s broke off: %v", t.ID, err)
		f.Kind = endedBy(ctx, f.Kind)
		x.done(t.ID, outcomeOf(ctx, f))
		_ = resp.Body.Close()
		if !x.route.Resumable || ctx.Err() != nil {
			return false, f
		}
		var release context.CancelFunc
		if t, resp, release, err = x.resume(ctx, last); err != nil {
			return false, failure.Unknown(failure.BadAnswer, "%v; resume: %v", f, err)
		}
		defer release()
		defer resp.Body.Close()
	}
}

// The failures of a stream that lie on this side of it: the caller takes nothing more, or
// there is no room for what it has not taken.
var (
	errCallerWrite = failure.New(failure.CallerGone, "write to the caller")
	errNoRoom      = failure.New(failure.Overloaded, "no room for the stream")
)

// endedHere returns the failure if it lies on this side of the stream.
func endedHere(err error) *failure.Failure {
	for _, f := range []*failure.Failure{errCallerWrite, errNoRoom} {
		if errors.Is(err, f) {
			return f
		}
	}
	return nil
}

// pump passes whole events on until the stream ends.
func (x *exchange) pump(ctx context.Context, resp *targetpool.Response, last *string) error {
	flush := http.NewResponseController(x.w)
	events := &eventReader{from: resp.Body, room: x.roomFor(ctx, held.Events)}
	defer func() { x.held.release(held.Events, events.charged) }()
	var heard time.Time
	for {
		e, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		x.begin(resp)
		x.host.reachability.recordHeard(x.target)
		now := time.Now()
		if heard.IsZero() {
			x.firstEvent(now.Sub(x.sent))
		} else {
			x.streamed(now.Sub(heard))
		}
		heard = now
		if x.turn != nil && !x.turn.note(ctx, e) {
			return errNoRoom
		}
		if _, err := x.w.Write(e.raw); err != nil {
			return errCallerWrite
		}
		if err := flush.Flush(); err != nil {
			return errCallerWrite
		}
		if e.id != "" {
			*last = e.id
		}
	}
}

// begin sends the head of the answer, once: that of the first target. Until then
// a failure is answered by a head of our own.
func (x *exchange) begin(resp *targetpool.Response) {
	if x.answered {
		return
	}
	x.copyHead(resp.Header)
	x.answered, x.firstByte = true, time.Now()
	if c := callerOf(x.r); c != nil {
		c.hurry()
	}
	x.w.WriteHeader(resp.Status)
}

// resume sends the request to another target, after the last event passed on. The
// caller releases the guard of the new target.
func (x *exchange) resume(ctx context.Context, last string) (balance.TargetInfo, *targetpool.Response, context.CancelFunc, error) {
	for x.sends < x.route.MaxAttempts {
		t, err := x.pick()
		if err != nil {
			return balance.TargetInfo{}, nil, nil, err
		}
		x.host.Meter.Count("streams", "resumed")
		x.host.Log.Info("stream resumed", "request", x.call.ID, "target", t.ID, "after_event", last)
		guarded, release := x.host.reachability.guard(ctx, t)
		resp, err := x.send(guarded, t, last)
		if err != nil {
			release()
			f := failure.From(err)
			x.done(t.ID, outcomeOf(ctx, f))
			if f.Ran != failure.RanNo {
				x.sends++
			}
			continue
		}
		x.sends++
		if resp.Status == http.StatusOK {
			return t, resp, release, nil
		}
		x.done(t.ID, balance.Refused)
		_ = resp.Body.Close()
		release()
	}
	return balance.TargetInfo{}, nil, nil, failure.Unknown(failure.TargetFailed, "%d targets tried", x.sends)
}

// finishStream makes a turn durable before its caller sees it end.
func (x *exchange) finishStream(ctx context.Context, resp *targetpool.Response) error {
	x.begin(resp)
	if x.turn == nil {
		return nil
	}
	return x.turn.finish(ctx)
}
