package balance

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

// Targets that have just started are cold: they bear only so many requests a second from all
// hosts together, and crash well above that. The load that this answers is a crowd of hosts
// that each see an empty target, when a whole data centre comes back or during a burst.
//
// Only hosts of the target's own data centre send to it meanwhile, as they know how many they
// are. Each has a window of its own in each period, at a phase drawn by host and target, and
// may send one request in it; the period is so long that all windows together make up what
// the target bears. A window that was not used is lost: hosts that saved up theirs could
// send all at once.

// ColdStart is what the configuration declares of targets that have just started.
type ColdStart struct {
	// Window is how long a target is cold after its start.
	Window time.Duration
	// Rate is the requests a second that a cold target bears from all hosts together;
	// 0 if there is no bound.
	Rate float64
}

const (
	// coldWindow is for how much of its period a host may send: in any second the windows
	// of one and a half seconds are open.
	coldWindow = 500 * time.Millisecond
	// hostsAssumed is how many hosts a data centre is taken to have until the exchange of
	// loads has told: more than it has.
	hostsAssumed = 150
	// hostsTrust is how old the last exchange may be, and for how long there must have been
	// some, for its number of hosts to be believed: hosts that begin to report together are
	// counted one after the other.
	hostsTrust = 1500 * time.Millisecond
)

// cold is what is known of a target's start.
type cold struct {
	// until is when the target is warm.
	until time.Duration
	// spent is the window in which this host last sent, counted from 1; 0 if it never did.
	spent int64
}

// SetColdStart notes what the configuration says of a service's targets that have just started.
func (r *Registry) SetColdStart(service string, c ColdStart) { r.of(service).coldStart = c }

// SetColdFor notes how much longer a target is cold by its own word; 0 if it is warm.
func (r *Registry) SetColdFor(id string, left, now time.Duration) {
	if t := r.targets[id]; t != nil {
		t.cold.until = now + left
	}
}

// isCold reports whether the target is cold and its service declares what it bears then.
func (t *Target) isCold(now time.Duration) bool {
	return now < t.cold.until && t.service.coldStart.Rate > 0
}

// bears reports whether this host may send a request to the target now, as far as the
// target's start is concerned.
func (t *Target) bears(now time.Duration) bool {
	if !t.isCold(now) {
		return true
	}
	in := t.service.in
	if t.DataCentre != in.dataCentre {
		return false
	}
	window, at := t.coldWindow(now)
	return at < coldWindow && window != t.cold.spent
}

// spendCold notes a request that goes to the target.
func (t *Target) spendCold(now time.Duration) {
	if t.isCold(now) {
		t.cold.spent, _ = t.coldWindow(now)
	}
}

// coldWindow is the number of this host's current window at the target, and the time since
// it began.
func (t *Target) coldWindow(now time.Duration) (window int64, at time.Duration) {
	s := &t.service.in.sharing
	period := time.Duration(float64(s.hostsBy(now)) / t.service.coldStart.Rate * float64(time.Second))
	period = max(period, time.Millisecond)
	phase := time.Duration(uniform(s.salt, uint64(loads.KeyOf(t.ID, t.StartedAtMs))) * float64(period))
	since := now + phase
	return int64(since/period) + 1, since % period
}

// hostsBy is the number of hosts of the data centre, this one included, or more.
func (s *sharing) hostsBy(now time.Duration) int {
	if !s.told || now-s.toldAt > hostsTrust || now-s.settledAt < hostsTrust {
		return hostsAssumed
	}
	return s.hosts + 1
}

// anyCold reports whether some target of the service is cold.
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
