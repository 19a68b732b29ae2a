package balance

import (
	"hash/fnv"
	"time"
)

// Choice by predicted finish, for services whose targets tell their slowdown: how long the
// request is expected to take at each target, and what it costs others beside. Services whose
// targets do not tell are served by the cost of their load.

// Prices that are not time of the request itself, as the time for which they are worth paying.
const (
	// crossTime is what must be gained by sending a request to another data centre: the
	// way, and bytes that are dear. It is more than the wait in a short queue, so that only
	// what finds no room at home leaves.
	crossTime = 100 * time.Millisecond
	// crossTokenTime is what each token of a prompt adds, so that first turns and
	// small prompts leave before long ones do. A prompt read elsewhere is read there next
	// time as well, unless it comes home: with this it does as soon as there is room.
	crossTokenTime = 5 * time.Microsecond
	// connectTime is what must be gained by opening a connection.
	connectTime = 40 * time.Millisecond
	// assumedWork is how long a plain request takes until some have been seen.
	assumedWork = 100 * time.Millisecond
	// assumedEvent is the same for an event of a stream.
	assumedEvent = 40 * time.Millisecond
)

const (
	// busyHint is what a plain target whose places are nearly taken costs more, as a part
	// of the work: words of load are late, so it may be full by now.
	busyHint = 0.3
	// scatter is the part of the work by which equal targets differ, by the request, so
	// that hosts that know the same do not all choose the same one.
	scatter = 0.1
)

// predict is the time after which the request is expected to be done at the target.
func (r *Registry) predict(t *Target, v *view) time.Duration {
	load := t.perPlace(float64(t.Load(v.now)))
	if v.q.PromptTokens == 0 {
		return time.Duration(t.plainTime(v, load))
	}
	return time.Duration(t.turnTime(v, load))
}

// finishCost is the predicted time of the request at the target and the prices of
// the choice, in nanoseconds.
func (r *Registry) finishCost(t *Target, v *view) float64 {
	load := t.perPlace(float64(t.Load(v.now)))
	cost := v.work * (r.weights.Failure*min(faultMost, t.fade(v.now)) + scatter*t.lot(v))
	if v.q.PromptTokens == 0 {
		cost += t.plainTime(v, load) + v.work*busyHint*min(1, load)
	} else {
		cost += t.turnCost(v, load)
	}
	if t.DataCentre != r.dataCentre {
		cost += float64(crossTime) + float64(v.q.PromptTokens)*float64(crossTokenTime)
	}
	if !t.idle.any(v.now) {
		cost += float64(connectTime)
	}
	return cost
}

// lot is a number in [0, 1) by request and target.
func (t *Target) lot(v *view) float64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(t.ID)) // a hash takes all
	x := f.Sum64() ^ uint64(v.q.Draw*(1<<52))
	x *= 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return float64(x>>11) / (1 << 53)
}

// queued is how many requests must end before one more gets a place, over the places:
// about the part of a request's time that it waits.
func (t *Target) queued(load float64) float64 { return max(0, load-1+t.perPlace(1)) }

// own is how many times slower than the mean of its service a target is by itself, whatever
// its slowdown: an engine on a lesser processor stays so.
type own struct{ recent }

const (
	// ownHalfLife is long, since what it holds does not change by itself, and short enough
	// to try a target again that was slow by a fault.
	ownHalfLife = 10 * time.Second
	// ownPrior is what a usual target counts, in observations.
	ownPrior = 4
	// ownMost bounds one observation.
	ownMost = 4
)

func (o *own) observe(ratio float64, now time.Duration) {
	o.add(min(ownMost, max(1/float64(ownMost), ratio)), now, ownHalfLife)
}

func (o *own) factor(now time.Duration) float64 {
	if o.weight == 0 {
		return 1
	}
	return o.by(now, ownHalfLife, 1, ownPrior)
}
