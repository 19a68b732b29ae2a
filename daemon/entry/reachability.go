package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
)

const (
	// targetSilenceTimeout is how long a target may send nothing on any connection before a new
	// connection to it is tried. The first token of a busy engine takes about 300 ms; answers
	// to other requests at it arrive meanwhile.
	targetSilenceTimeout = 300 * time.Millisecond
	// dataCentreSilenceTimeout is the same for all targets of a data centre together. Under
	// load, an event arrives from one of them every few milliseconds.
	dataCentreSilenceTimeout = 200 * time.Millisecond
	// silenceCheckInterval is how often a waiting request checks its target for silence.
	silenceCheckInterval = 150 * time.Millisecond
	// probeTimeout allows for a round trip between data centres (some ms) and a busy accept
	// queue, and is short compared with the 1 s until a lost SYN is sent again.
	probeTimeout = 250 * time.Millisecond
	// probeRetryDelay is the time between two probes of an unreachable target.
	probeRetryDelay = 250 * time.Millisecond
)

// reachabilityMonitor detects targets that cannot be reached. Open connections do not show a
// network partition for seconds; a new connection shows it at once.
type reachabilityMonitor struct {
	host    *Host
	mu      sync.Mutex
	targets map[string]*targetReachability // by target ID
	// dataCentreLastHeard is when any target of a data centre last sent something.
	dataCentreLastHeard map[string]time.Time
	// dataCentreChecks holds the latest check of each data centre.
	dataCentreChecks map[string]*dataCentreCheck
	// connectChecks holds the check of each target that is under way.
	connectChecks map[string]*connectCheck
}

// targetReachability is what is known of the reachability of one target.
type targetReachability struct {
	dataCentre string

	lastHeard time.Time
	// probing is true from the start of probes until one succeeds.
	probing bool
	// unreachable is true, and unreachableCh closed, while the target is unreachable. A new
	// channel is set when the target becomes reachable again.
	unreachable   bool
	unreachableCh chan struct{}
}

func newReachabilityMonitor(h *Host) *reachabilityMonitor {
	return &reachabilityMonitor{host: h, targets: map[string]*targetReachability{}, dataCentreLastHeard: map[string]time.Time{}, dataCentreChecks: map[string]*dataCentreCheck{}, connectChecks: map[string]*connectCheck{}}
}

// targetLocked returns the state of a target, a new one if there is none. The caller holds mu.
func (m *reachabilityMonitor) targetLocked(target string) *targetReachability {
	state := m.targets[target]
	if state == nil {
		state = &targetReachability{lastHeard: time.Now(), unreachableCh: make(chan struct{})}
		m.targets[target] = state
	}
	return state
}

// recordHeard records that the target sent something.
func (m *reachabilityMonitor) recordHeard(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.targetLocked(target)
	state.lastHeard = time.Now()
	m.dataCentreLastHeard[state.dataCentre] = state.lastHeard
}

// heardFrom reports whether any target of the data centre sent something within window.
func (m *reachabilityMonitor) heardFrom(dataCentre string, window time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last, ok := m.dataCentreLastHeard[dataCentre]
	return ok && time.Since(last) <= window
}

// heardFrom reports whether a target or a history host of the data centre sent something within
// window. History hosts count because each turn queries some of them. With many entry hosts,
// each receives answers from the targets of another data centre too rarely to rely on them alone,
// and would open a new connection for each request that must not be repeated.
func (h *Host) heardFrom(dataCentre string, window time.Duration) bool {
	return h.reachability.heardFrom(dataCentre, window) || h.History != nil && h.History.AnsweredWithin(dataCentre, window)
}

// forget drops the state of a target that is no longer listed.
func (m *reachabilityMonitor) forget(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.targets, target)
}

// handleRestart drops the state of a target that has restarted under the same ID, and ends the
// requests sent to its earlier incarnation, which the new one does not know.
func (m *reachabilityMonitor) handleRestart(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state := m.targets[target]; state != nil && !state.unreachable {
		close(state.unreachableCh)
	}
	delete(m.targets, target)
}

// guard returns a context that is cancelled with the cause errUnreachable when the target
// becomes unreachable. While the context is in use, silence of the target starts probes. The
// caller calls the returned function to release the guard.
func (m *reachabilityMonitor) guard(ctx context.Context, t balance.TargetInfo) (context.Context, context.CancelFunc) {
	m.mu.Lock()
	state := m.targetLocked(t.ID)
	state.dataCentre = t.DataCentre
	unreachableCh := state.unreachableCh
	m.mu.Unlock()
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
				m.checkSilence(t.ID, t.Address)
			}
		}
	}()
	return ctx, func() { cancel(nil) }
}

// errUnreachable is the cause of contexts that guard cancels.
var errUnreachable = failure.New(failure.TargetFailed, "target not reachable")

// checkSilence starts probes of a target that has been silent for too long.
func (m *reachabilityMonitor) checkSilence(target, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.targetLocked(target)
	silence := time.Since(state.lastHeard)
	if state.probing || silence < dataCentreSilenceTimeout || silence < targetSilenceTimeout && time.Since(m.dataCentreLastHeard[state.dataCentre]) < dataCentreSilenceTimeout {
		return
	}
	state.probing = true
	go m.probe(target, address)
}

// startProbing starts probes of a target to which a connection failed.
func (m *reachabilityMonitor) startProbing(target, address string) {
	m.mu.Lock()
	state := m.targetLocked(target)
	start := !state.probing
	state.probing = true
	m.mu.Unlock()
	if start {
		go m.probe(target, address)
	}
}

// probe dials the target until a connection succeeds, the target is no longer listed or the
// host stops.
func (m *reachabilityMonitor) probe(target, address string) {
	for failedCount := 0; ; failedCount++ {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		conn, err := m.host.Dialer.DialContext(ctx, "tcp", address)
		cancel()
		if err == nil {
			_ = conn.Close()
		}
		if failedCount == 0 {
			m.handleFirstProbe(target, err == nil)
		}
		if err == nil {
			m.recordProbeSuccess(target, failedCount)
			return
		}
		if m.recordProbeFailure(target, err) {
			m.host.runWatches.notify(target)
			m.probeDataCentre(target)
		}
		if !m.host.setReachable(target, false) {
			m.forget(target)
			return
		}
		select {
		case <-time.After(probeRetryDelay):
		case <-m.host.lifetime.Done():
			return
		}
	}
}

// recordProbeFailure records a failed probe. The first failure, for which it returns true, ends
// the requests at the target.
func (m *reachabilityMonitor) recordProbeFailure(target string, err error) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.targetLocked(target)
	if state.unreachable {
		return false
	}
	state.unreachable = true
	close(state.unreachableCh)
	m.host.Meter.Count("targets", "unreachable")
	m.host.Log.Warn("target unreachable", "target", target, "error", err.Error())
	return true
}

// recordProbeSuccess records a successful probe that followed failedCount failed ones.
func (m *reachabilityMonitor) recordProbeSuccess(target string, failedCount int) {
	m.host.setReachable(target, true)
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.targetLocked(target)
	state.lastHeard, state.probing = time.Now(), false
	if state.unreachable {
		state.unreachable, state.unreachableCh = false, make(chan struct{})
		m.host.Log.Info("target reachable again", "target", target, "probes", failedCount+1)
	}
}

// setReachable records in the registry whether the target is reachable. It reports whether the
// target is still listed.
func (h *Host) setReachable(target string, reachable bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.registry.Target(target)
	if ok {
		t.Unreachable = !reachable
	}
	return ok
}
