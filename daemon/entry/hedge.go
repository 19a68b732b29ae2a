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

// reply is what came of one send of a plain call.
type reply struct {
	target balance.TargetInfo
	sent   time.Time
	// resp is nil if err is of the send itself; else err is of reading the body.
	resp *targetpool.Response
	body *pieces
	err  error
}

// whole reports whether the reply can go to the caller while another send is under way.
func (r *reply) whole() bool {
	if r.resp == nil || r.err != nil || r.resp.Answer.NotRun || r.resp.Status >= http.StatusInternalServerError || promise(r.resp.Status) {
		return false
	}
	return r.resp.Status >= http.StatusMultipleChoices || r.resp.Answer.Signed
}

// hedgeDelay is how long the call is waited for before it is sent a second time; false if it
// is not sent twice: only calls that the configuration lets run twice are, and within the
// attempts of their route.
func (x *exchange) hedgeDelay() (time.Duration, bool) {
	twice := x.route.Kind == routing.Idempotent && x.call.PromptTokens == 0
	if !twice || x.room.waited > 0 || x.sends+2 > x.route.MaxAttempts {
		return 0, false
	}
	h := x.host
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.hedger.Delay(x.route.Name)
	return d, ok && d < time.Until(x.deadline)
}

// tryTwice sends the call to one target, and to another one if the first has not answered
// after a delay. The first whole answer goes to the caller; the other send is broken off,
// so that its target drops the work.
func (x *exchange) tryTwice(ctx context.Context, t balance.TargetInfo, delay time.Duration) (again bool, err error) {
	replies := make(chan *reply, 2)
	began := time.Now()
	x.firstSent = began
	var stops []context.CancelFunc
	stop := func() {
		for _, s := range stops {
			s()
		}
	}
	defer stop()
	stops = append(stops, x.launch(ctx, t, replies))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	pending, second := 1, ""
	var failed error
	for {
		select {
		case <-timer.C:
			other, ok := x.pickSecond(t, delay)
			if !ok {
				continue
			}
			stops = append(stops, x.launch(ctx, other, replies))
			pending, second = pending+1, other.ID
		case r := <-replies:
			pending--
			if pending > 0 && !r.whole() {
				failed = x.failedSend(ctx, r)
				continue
			}
			if pending > 0 {
				go x.host.abandoned(replies)
			}
			if r.target.ID == second && r.whole() {
				x.host.Meter.Count("second_sends", "won")
				x.host.Log.Info("second send answered first", "request", x.call.ID, "target", second, "instead_of", t.ID, "after_ms", time.Since(began).Milliseconds())
			}
			stop()
			again, err = x.conclude(ctx, r, failed)
			if err != nil && failed != nil {
				err = worse(failed, err)
			}
			return again, err
		}
	}
}

// launch sends the call to a target beside the caller's wait. The returned function breaks
// it off.
func (x *exchange) launch(ctx context.Context, t balance.TargetInfo, replies chan<- *reply) context.CancelFunc {
	guarded, release := x.host.reachability.guard(ctx, t)
	out := x.outgoing(t, x.call.LastEventID)
	go func() {
		r := &reply{target: t, sent: time.Now()}
		r.resp, r.err = x.host.ask(guarded, t, out)
		if r.err == nil {
			r.body, r.err = x.readAnswer(guarded, r.resp)
			_ = r.resp.Body.Close() // what is left of it is of no use
		}
		replies <- r
	}()
	return release
}

// pickSecond chooses the target of a second send, if there is a token and a target for it.
func (x *exchange) pickSecond(first balance.TargetInfo, delay time.Duration) (balance.TargetInfo, bool) {
	h := x.host
	if !x.hasOther() {
		h.Meter.Count("second_sends", "no_target")
		return balance.TargetInfo{}, false
	}
	h.mu.Lock()
	paid := h.hedger.TakeToken(x.service)
	h.mu.Unlock()
	if !paid {
		h.Meter.Count("second_sends", "no_token")
		return balance.TargetInfo{}, false
	}
	x.sends++ // the first is under way
	other, err := x.pick()
	if err != nil {
		x.sends--
		h.Log.Info("call not sent a second time", "request", x.call.ID, "target", first.ID, "error", err.Error())
		return balance.TargetInfo{}, false
	}
	h.Meter.Count("second_sends", "sent")
	h.Log.Info("call sent a second time", "request", x.call.ID, "target", other.ID, "beside", first.ID, "route", x.route.Name, "delay_ms", delay.Milliseconds())
	return other, true
}

// failedSend notes a send that came to nothing while the other one is under way.
func (x *exchange) failedSend(ctx context.Context, r *reply) error {
	h := x.host
	switch {
	case r.resp == nil:
		h.ended(r.target, outcomeOf(ctx, failure.From(r.err)))
		return r.err
	case r.err == nil && r.resp.Answer.NotRun:
		h.ended(r.target, refusal(r.resp.Answer))
		if !r.resp.Answer.Misdirected {
			x.room.refused(r.target.ID)
		}
		return failure.Retry(failure.TargetFull, retryLater, "target %s refused with %d", r.target.ID, r.resp.Status)
	case failure.Is(r.err, failure.Overloaded):
		h.ended(r.target, balance.Abandoned) // it is this host that has no room
		return failure.Unknown(failure.Overloaded, "answer of %s: %v", r.target.ID, r.err)
	default:
		f := failure.Unknown(failure.BadAnswer, "answer of %s with %d beside a second send: %v", r.target.ID, r.resp.Status, r.err)
		h.ended(r.target, r.outcome(ctx, f))
		return f
	}
}

// outcome is what a reply that is not passed on says of its target.
func (r *reply) outcome(ctx context.Context, f *failure.Failure) balance.Outcome {
	refuses := r.resp.Status >= http.StatusMultipleChoices && r.resp.Status < http.StatusInternalServerError
	if r.err == nil && refuses {
		return balance.Served
	}
	return outcomeOf(ctx, f)
}

// conclude ends the try with a reply, as if its target had been the only one. Only the word
// that the call has not run is not passed on where the other send failed and may have.
func (x *exchange) conclude(ctx context.Context, r *reply, other error) (again bool, err error) {
	x.target, x.born, x.sent = r.target.ID, r.target.StartedAtMs, r.sent
	if r.resp == nil {
		return x.unanswered(ctx, r.target, r.err)
	}
	x.sends++
	if r.resp.Answer.NotRun {
		return x.putBack(r.target, r.resp)
	}
	mayHaveRun := other != nil && failure.From(other).Ran != failure.RanNo
	if mayHaveRun && r.err == nil && promise(r.resp.Status) {
		f := failure.Unknown(failure.BadAnswer, "target %s answered %d beside a send that may have run", r.target.ID, r.resp.Status)
		x.done(r.target.ID, r.outcome(ctx, f))
		return true, f
	}
	return x.plain(ctx, r.target, r.resp, r.body, r.err)
}

// abandoned notes the end of a send that was broken off.
func (h *Host) abandoned(replies <-chan *reply) {
	r := <-replies
	h.ended(r.target, balance.Abandoned)
}
