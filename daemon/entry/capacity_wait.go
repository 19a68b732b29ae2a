package entry

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/routing"
)

const (
	// roomPause is between two tries at plain targets that are full: one to three of
	// their requests.
	capacityRetryDelay = 50 * time.Millisecond
	// roomMost and roomShare bound the wait, in all and as a part of the time that the
	// caller has: what finds no room by then is refused while there is time to come back.
	maxCapacityWait     = 400 * time.Millisecond
	capacityWaitDivisor = 3
)

// room is the wait of a program's call for room at plain targets. A call that is refused
// is tried once more by its caller and then ends its program; behind a cut the few
// targets that are left are full for a moment.
type capacityWait struct {
	// full is the targets that refused the call as full.
	fullTargets map[string]bool
	waited      time.Duration
}

// refused notes a target that is full.
func (r *capacityWait) addFull(target string) {
	if r.fullTargets == nil {
		r.fullTargets = map[string]bool{}
	}
	r.fullTargets[target] = true
}

// only is the targets that may be tried after a wait: those that said that they are full,
// so that no call is sent to more targets than its route allows.
func (r *capacityWait) retryTargets() map[string]bool {
	if r.waited == 0 {
		return nil
	}
	return r.fullTargets
}

// awaitRoom waits for room at the targets that refused a program's call to a plain
// service, and lets them be tried again. It reports false if there is nothing to wait
// for: some target may have run the call, none was merely full, or the time is up.
func (x *exchange) awaitCapacity(ctx context.Context, err error) bool {
	if x.route.Kind == routing.Streaming || x.call.Program == "" || len(x.capacityWait.fullTargets) == 0 || failure.From(err).Ran != failure.RanNo {
		return false
	}
	if x.capacityWait.waited >= min(maxCapacityWait, x.deadline.Sub(x.startedAt)/capacityWaitDivisor) {
		return false
	}
	delay := capacityRetryDelay + time.Duration(x.draw()*float64(capacityRetryDelay))
	x.capacityWait.waited += delay
	if !sleep(ctx, delay) {
		return false
	}
	x.host.Meter.Count("waits", "room")
	x.host.Log.Info("call waited for room", "request", x.call.ID, "program", x.call.Program, "service", x.service,
		"full", len(x.capacityWait.fullTargets), "waited_ms", x.capacityWait.waited.Milliseconds())
	x.tried, x.sendCount = map[string]bool{}, 0
	return true
}
