package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// silenceBeforeProbe is how long a target may say nothing on any connection
	// before a new connection to it is tried. A first token on a busy engine takes
	// some 300 ms; other requests at it are heard meanwhile.
	targetSilenceTimeout = 300 * time.Millisecond
	// centreSilence is the same for all targets of a data centre together, of which
	// some event comes every few milliseconds under load.
	dataCentreSilenceTimeout = 200 * time.Millisecond
	// checkEvery is how often a waiting request looks for silence.
	silenceCheckInterval = 150 * time.Millisecond
	// probeTimeout is enough for a round trip between data centres (some ms) and a
	// busy accept queue, and short against the second that a lost SYN costs.
	probeTimeout = 250 * time.Millisecond
	// probePause is between two probes of a target that cannot be reached.
	probeRetryDelay = 250 * time.Millisecond
)

// reach watches whether targets can be reached at all. A partition shows in none
// of the open connections for seconds; a new connection shows it at once.
type reachabilityMonitor struct {
	host    *Host
	mu      sync.Mutex
	targets map[string]*targetReachability // by target
	// centres is when any target of a data centre was last heard.
	dataCentreLastHeard map[string]time.Time
	// suspicions are by data centre.
	dataCentreChecks map[string]*dataCentreCheck
	// done is closed when the host stops.
	done chan struct{}
}

// line is the way to one target.
type targetReachability struct {
	dataCentre string

	lastHeard time.Time
	probing   bool
	// broken is true and cut closed while the target cannot be reached; cut is
	// replaced when it can be again.
	unreachable   bool
	unreachableCh chan struct{}
}

func newReachabilityMonitor(h *Host) *reachabilityMonitor {
	return &reachabilityMonitor{host: h, targets: map[string]*targetReachability{}, dataCentreLastHeard: map[string]time.Time{}, dataCentreChecks: map[string]*dataCentreCheck{}, done: make(chan struct{})}
}

// of returns the line to a target; the caller holds mu.
func (r *reachabilityMonitor) targetLocked(target string) *targetReachability {
	state := r.targets[target]
	if state == nil {
		state = &targetReachability{lastHeard: time.Now(), unreachableCh: make(chan struct{})}
		r.targets[target] = state
	}
	return state
}

// heard notes bytes from a target.
func (r *reachabilityMonitor) recordHeard(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targetLocked(target)
	state.lastHeard = time.Now()
	r.dataCentreLastHeard[state.dataCentre] = state.lastHeard
}

// heardFrom reports whether any target of a data centre was heard within d.
func (r *reachabilityMonitor) heardFrom(dataCentre string, window time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.dataCentreLastHeard[dataCentre]
	return ok && time.Since(last) <= window
}

// heardFrom reports whether anything of a data centre was heard within d: a target or a
// history host, of which each turn asks some. Where hosts are many, each hears the targets
// of another data centre too seldom to know, and would open a connection for
// each request that must not be repeated.
func (h *Host) heardFrom(dataCentre string, window time.Duration) bool {
	return h.reachability.heardFrom(dataCentre, window) || h.History != nil && h.History.HeardFrom(dataCentre, window)
}

// forget drops a target that is gone.
func (r *reachabilityMonitor) forget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.targets, target)
}

// renewed drops what is known of a target that has started again under its id, and ends
// the requests that it had before: it knows nothing of them.
func (r *reachabilityMonitor) restarted(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.targets[target]; state != nil && !state.unreachable {
		close(state.unreachableCh)
	}
	delete(r.targets, target)
}

// guard returns a context that ends with errUnreachable when the target cannot be
// reached any more, and probes it when it has been silent.
func (r *reachabilityMonitor) guard(ctx context.Context, t balance.TargetInfo) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	state := r.targetLocked(t.ID)
	state.dataCentre = t.DataCentre
	unreachableCh := state.unreachableCh
	r.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		tick := time.NewTicker(silenceCheckInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-unreachableCh:
				cancel(errUnreachable)
				return
			case <-tick.C:
				r.checkSilence(t.ID, t.Address)
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// errUnreachable is the cause of a context that guard ended.
var errUnreachable = failure.New(failure.TargetFailed, "the target cannot be reached")

// check starts a probe of a target that was silent for too long.
func (r *reachabilityMonitor) checkSilence(target, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targetLocked(target)
	silence := time.Since(state.lastHeard)
	if state.probing || silence < dataCentreSilenceTimeout || silence < targetSilenceTimeout && time.Since(r.dataCentreLastHeard[state.dataCentre]) < dataCentreSilenceTimeout {
		return
	}
	state.probing = true
	go r.probe(target, address)
}

// lost starts probes of a target to which no connection could be made.
func (r *reachabilityMonitor) startProbing(target, address string) {
	r.mu.Lock()
	state := r.targetLocked(target)
	start := !state.probing
	state.probing = true
	r.mu.Unlock()
	if start {
		go r.probe(target, address)
	}
}

// probe dials the target until it answers or is gone from the list.
func (r *reachabilityMonitor) probe(target, address string) {
	for tries := 0; ; tries++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		conn, err := r.host.Dialer.DialContext(ctx, "tcp", address)
		cancel()
		if err == nil {
			_ = conn.Close()
		}
		if tries == 0 {
			r.handleFirstProbe(target, err == nil)
		}
		if err == nil {
			r.recordProbeSuccess(target, tries)
			return
		}
		if r.recordProbeFailure(target, err) {
			r.probeDataCentre(target)
		}
		if !r.host.setReachable(target, false) {
			r.forget(target)
			return
		}
		select {
		case <-time.After(probeRetryDelay):
		case <-r.done:
			return
		}
	}
}

// missed notes a probe that did not get through; the first, for which it returns
// true, ends the requests at the target.
func (r *reachabilityMonitor) recordProbeFailure(target string, err error) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targetLocked(target)
	if state.unreachable {
		return false
	}
	state.unreachable = true
	close(state.unreachableCh)
	r.host.Meter.Count("targets", "unreachable")
	r.host.Log.Warn("target unreachable", "target", target, "error", err.Error())
	return true
}

// reached notes a probe that got through.
func (r *reachabilityMonitor) recordProbeSuccess(target string, tries int) {
	r.host.setReachable(target, true)
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.targetLocked(target)
	state.lastHeard, state.probing = time.Now(), false
	if state.unreachable {
		state.unreachable, state.unreachableCh = false, make(chan struct{})
		r.host.Log.Info("target reachable again", "target", target, "probes", tries+1)
	}
}

// setReachable tells the registry; it reports whether the target is still listed.
func (h *Host) setReachable(target string, reachable bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.registry.Target(target)
	if ok {
		t.Unreachable = !reachable
	}
	return ok
}
