package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/wire/wait"
)

const (
	// capacityRetryDelay is the least delay between two attempts at plain targets that are
	// full, the time of one to three of their requests.
	capacityRetryDelay = 50 * time.Millisecond
	// maxCapacityWait bounds the total wait, and capacityWaitDivisor bounds it as a fraction,
	// 1/capacityWaitDivisor, of the request's timeout. A call that finds no capacity by then
	// is refused while its caller still has time for a retry.
	maxCapacityWait     = 400 * time.Millisecond
	capacityWaitDivisor = 3
)

// capacityWait is the wait of a program's call until full plain targets have capacity again. A
// caller retries a refused call once and then ends its program, and during a network partition
// the few targets that can be reached are full for a short time.
type capacityWait struct {
	// fullTargets are the IDs of the targets that refused the call because they are full.
	fullTargets map[string]bool
	waited      time.Duration
}

// addFull adds a target that is full.
func (w *capacityWait) addFull(target string) {
	if w.fullTargets == nil {
		w.fullTargets = map[string]bool{}
	}
	w.fullTargets[target] = true
}

// retryTargets returns the targets that may be tried; nil, before the first wait, means all. After a
// wait only targets that were full may be tried, so that no call is sent to more targets than its
// route allows.
func (w *capacityWait) retryTargets() map[string]bool {
	if w.waited == 0 {
		return nil
	}
	return w.fullTargets
}

// awaitCapacity waits before the targets that refused a program's call to a plain service are tried
// again. It reports false if a wait is of no use: a target may have run the call, none was
// full, or the time for waiting is used up.
func (x *exchange) awaitCapacity(ctx context.Context, err error) bool {
	if x.route.Kind == routing.Streaming || x.call.Program == "" || len(x.capacityWait.fullTargets) == 0 || failure.From(err).Ran != failure.RanNo {
		return false
	}
	if x.capacityWait.waited >= min(maxCapacityWait, x.deadline.Sub(x.startedAt)/capacityWaitDivisor) {
		return false
	}
	delay := capacityRetryDelay + time.Duration(x.draw()*float64(capacityRetryDelay))
	x.capacityWait.waited += delay
	if !wait.For(ctx, delay) {
		return false
	}
	x.host.Meter.Count("waits", "room")
	x.host.Log.Info("call waited for target capacity", "request", x.call.ID, "program", x.call.Program, "service", x.service,
		"full", len(x.capacityWait.fullTargets), "waited_ms", x.capacityWait.waited.Milliseconds())
	x.tried, x.sendCount = map[string]bool{}, 0
	return true
}
