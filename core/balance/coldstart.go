package balance

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// A target that has just started is cold: it accepts only a limited request rate from all hosts
// together, and crashes well above that rate. Without coordination many hosts would each see an
// empty target and overload it, when a whole data centre returns or during a burst.
//
// Only hosts of the target's own data centre send to a cold target, since these hosts know their
// number. Each host has one window per period, at a phase derived from host and target, and may
// send one request in it. The period is as long as all hosts together need to send at the
// declared rate. An unused window is lost: hosts that saved up windows could send all at once.

// ColdStart is what the configuration declares for targets of a service that have just started.
type ColdStart struct {
	// Window is how long a target is cold after its start.
	Window time.Duration
	// Rate is the number of requests per second that a cold target accepts from all hosts
	// together; 0 if there is no bound.
	Rate float64
}

const (
	// coldSendWindow is the time from the start of each of its periods during which a host may
	// send. Any second overlaps the windows that begin within one and a half seconds, so at most
	// one and a half times the declared rate is sent in it.
	coldSendWindow = 500 * time.Millisecond
	// defaultHostCount is the assumed number of hosts of a data centre until the load exchange
	// reports it. It is more than a data centre has.
	defaultHostCount = 150
	// maxHostCountAge is the maximum age of the last load exchange for its host count to be
	// used, and the minimum time for which there must have been exchanges: hosts that start to
	// report together are counted one after the other.
	maxHostCountAge = 1500 * time.Millisecond
)

// coldState is the cold start of a target.
type coldState struct {
	// until is when the target is warm.
	until time.Duration
	// lastWindow is the window in which this host last sent, counted from 1; 0 if it has not
	// sent.
	lastWindow int64
}

// SetColdStart sets the declared cold start of a service.
func (r *Registry) SetColdStart(service string, c ColdStart) { r.serviceNamed(service).coldStart = c }

// SetColdFor records how much longer the target reports to be cold; 0 if it is warm.
func (r *Registry) SetColdFor(id string, remaining, now time.Duration) {
	if t := r.targets[id]; t != nil {
		t.cold.until = now + remaining
	}
}

// isCold reports whether the target is cold and its service declares a rate for cold targets.
func (t *Target) isCold(now time.Duration) bool {
	return now < t.cold.until && t.service.coldStart.Rate > 0
}

// admitsByColdStart reports whether the cold start of the target lets this host send a request
// to it now.
func (t *Target) admitsByColdStart(now time.Duration) bool {
	if !t.isCold(now) {
		return true
	}
	registry := t.service.registry
	if t.DataCentre != registry.dataCentre {
		return false
	}
	window, elapsed := t.coldWindowAt(now)
	return elapsed < coldSendWindow && window != t.cold.lastWindow
}

// useColdWindow records that this host sends a request to the target in its current window.
func (t *Target) useColdWindow(now time.Duration) {
	if t.isCold(now) {
		t.cold.lastWindow, _ = t.coldWindowAt(now)
	}
}

// coldWindowAt returns the number of this host's current window at the target and the time since
// it began.
func (t *Target) coldWindowAt(now time.Duration) (window int64, elapsed time.Duration) {
	peers := &t.service.registry.peers
	period := time.Duration(float64(peers.hostCount(now)) / t.service.coldStart.Rate * float64(time.Second))
	period = max(period, time.Millisecond)
	phase := time.Duration(uniform(peers.salt, uint64(loads.KeyOf(t.ID, t.StartedAtMs))) * float64(period))
	shifted := now + phase
	return int64(shifted/period) + 1, shifted % period
}

// hostCount returns the number of hosts of the data centre including this one, or an upper
// bound.
func (s *peerState) hostCount(now time.Duration) int {
	if !s.updated || now-s.updatedAt > maxHostCountAge || now-s.regularSince < maxHostCountAge {
		return defaultHostCount
	}
	return s.otherHosts + 1
}

// anyCold reports whether a target of the service is cold.
func (s *service) anyCold(now time.Duration) bool {
	if s.coldStart.Rate == 0 {
		return false
	}
	for _, t := range s.targets {
		if t.isCold(now) {
			return true
		}
	}
	return false
}
