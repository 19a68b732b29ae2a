package balance

import (
	"hash/fnv"
	"time"
)

// Choice by predicted finish, for services whose targets report their slowdown: the expected
// time of the request at each target plus the delay it causes to others. If the targets of a
// service report none, they are chosen by the cost of their load; see cost.

// Penalties for costs other than the time of the request itself: each is the time that must be
// saved for the cost to be worth paying.
const (
	// crossDataCentreTime is the time that must be saved by sending a request to another data
	// centre, for the latency and the price of the bytes. It is more than the wait in a short
	// queue, so that only requests that find no capacity in their own data centre leave it.
	crossDataCentreTime = 100 * time.Millisecond
	// crossDataCentreTokenTime is added for each token of a prompt, so that first turns and
	// small prompts leave before long ones do. A prompt prefilled in another data centre is also
	// prefilled there at the next turn unless it returns; with this penalty it returns as soon
	// as there is free capacity.
	crossDataCentreTokenTime = 5 * time.Microsecond
	// newConnectionTime is the time that must be saved by opening a connection.
	newConnectionTime = 40 * time.Millisecond
	// defaultWorkTime is the time of a plain request until some have been observed.
	defaultWorkTime = 100 * time.Millisecond
	// defaultEventTime is the time of an event of a stream until some have been observed.
	defaultEventTime = 40 * time.Millisecond
)

const (
	// occupancyPenalty is the extra cost of a plain target that is nearly full, as a fraction of
	// the work time: load reports are delayed, so the target may be full by now.
	occupancyPenalty = 0.3
	// tieBreakShare is the maximum, as a fraction of the work time, by which the costs of equal
	// targets differ per request, so that hosts with the same information do not all choose the
	// same target.
	tieBreakShare = 0.1
)

// predict returns the time after which the request is expected to be done at the target.
func (r *Registry) predict(t *Target, sel *selection) time.Duration {
	load := t.relativeLoad(float64(t.Load(sel.now)))
	if sel.query.PromptTokens == 0 {
		return time.Duration(t.plainTime(sel, load))
	}
	return time.Duration(t.turnTime(sel, load))
}

// finishCost returns the predicted time of the request at the target plus penalties, in
// nanoseconds.
func (r *Registry) finishCost(t *Target, sel *selection) float64 {
	load := t.relativeLoad(float64(t.Load(sel.now)))
	cost := sel.workTime * (r.weights.Failure*min(maxFailures, t.decayedFailures(sel.now)) + tieBreakShare*t.tieBreak(sel))
	if sel.query.PromptTokens == 0 {
		cost += t.plainTime(sel, load) + sel.workTime*occupancyPenalty*min(1, load)
	} else {
		cost += t.turnCost(sel, load)
	}
	if t.DataCentre != r.dataCentre {
		cost += float64(crossDataCentreTime) + float64(sel.query.PromptTokens)*float64(crossDataCentreTokenTime)
	}
	if !t.idleConns.available(sel.now) {
		cost += float64(newConnectionTime)
	}
	return cost
}

// tieBreak returns a number in [0, 1) that is a hash of request and target.
func (t *Target) tieBreak(sel *selection) float64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(t.ID)) // Write to a hash never fails
	x := f.Sum64() ^ uint64(sel.query.Draw*(1<<52))
	x *= 0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return float64(x>>11) / (1 << 53)
}

// waitShare returns how many requests must end before one more can start, relative to capacity.
// This is approximately the time that a request waits, relative to its time without a wait.
func (t *Target) waitShare(load float64) float64 { return max(0, load-1+t.relativeLoad(1)) }

// intrinsicSlowdown is how many times slower than the mean of its service a target is regardless
// of its reported slowdown; an engine on a slower processor stays so.
type intrinsicSlowdown struct{ decayingMean }

const (
	// intrinsicHalfLife is long, since the cause does not change by itself, and short enough to
	// retry a target that was slow because of a fault.
	intrinsicHalfLife = 10 * time.Second
	// intrinsicPriorWeight is the weight of the prior factor 1, in observations.
	intrinsicPriorWeight = 4
	// maxIntrinsicRatio bounds one observation.
	maxIntrinsicRatio = 4
)

func (o *intrinsicSlowdown) observe(ratio float64, now time.Duration) {
	o.add(min(maxIntrinsicRatio, max(1/float64(maxIntrinsicRatio), ratio)), now, intrinsicHalfLife)
}

func (o *intrinsicSlowdown) factor(now time.Duration) float64 {
	if o.weight == 0 {
		return 1
	}
	return o.mean(now, intrinsicHalfLife, 1, intrinsicPriorWeight)
}
