package entry

import (
	"sync"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ledger"
)

// Outside of programs several callers may send the same request. When targets crash at once for a reason of their
// own, all of them may have run it. Such crashes do not show that the request is the cause, as those of runs that
// began one after the other do: the request is tried again, one run at a time.

// trials holds the requests of which a run is on trial. The zero value is ready to use.
type trials struct {
	mu      sync.Mutex
	running map[string]bool // by fingerprint
}

// begin starts a trial, and reports false if there is one already.
func (t *trials) begin(fingerprint string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[fingerprint] {
		return false
	}
	if t.running == nil {
		t.running = map[string]bool{}
	}
	t.running[fingerprint] = true
	return true
}

func (t *trials) end(fingerprint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, fingerprint)
}

// mayRunBesideOthers reports whether the targets that crashed under the request, in runs of so many generations, may
// have run it at the same time, for several callers.
func (x *exchange) mayRunBesideOthers(generations int) bool {
	return x.call.Program == "" && generations < ledger.MaxCrashes
}

// beginTrial puts the request on trial, unless another attempt is on trial at this host; then this one is held back.
func (x *exchange) beginTrial(crashed, generations int) error {
	if !x.onTrial && !x.host.trials.begin(x.fingerprint) {
		x.host.Meter.Count("requests", "held_back")
		return failure.Retry(failure.TargetFailed, defaultRetryDelay, "%d targets crashed while they ran the request, which is on trial", crashed)
	}
	x.onTrial = true
	x.logSendAfterCrashes(crashed, 0, generations)
	return nil
}

// endTrial ends the trial of the request, if it is on trial.
func (x *exchange) endTrial() {
	if x.onTrial {
		x.host.trials.end(x.fingerprint)
	}
}
