package entry

import (
	"strconv"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// A target may state that it did not run a request, and crash because of it. Such a send is no run, but it costs a target
// like one, and callers send what was refused again. Refusals are therefore watched like runs that ended without an
// answer. They are counted by themselves: a target that is about to crash under one request refuses others, which are not
// the cause.

// addRefusal notes that a target stated that it did not run the request, unless it was full or is not the one that the
// request was meant for. Without a report of the target, what this host knows of its load decides.
func (x *exchange) addRefusal(t balance.TargetInfo, resp *targetpool.Response) {
	full := resp.Answer.ReportsFull() || !resp.Answer.HasLoad && x.targetLoad >= 1
	if resp.Answer.Misdirected || full {
		return
	}
	x.refusals = append(x.refusals, brokenRun{target: t, generation: x.generations[startOf(t)], reason: "refused with status " + strconv.Itoa(resp.Status), refused: true})
}

// countRefusals counts the refusals noted so far, if targets of the service crashed lately or the attempt may send the
// request to no further target. Others are not worth a watch: the next target will mostly answer.
func (x *exchange) countRefusals() {
	if x.sendCount < x.route.MaxAttempts && !x.host.lastCrashes.isRecent(x.service) {
		return
	}
	x.newBrokenRuns = append(x.newBrokenRuns, x.refusals...)
	x.refusals = nil
}
