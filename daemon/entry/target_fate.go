package entry

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

// targetFate is what a host finds out about an incarnation of a target.
type targetFate int

// The fates of a target.
const (
	// fateUnknown is that of a target that the host does not know.
	fateUnknown targetFate = iota
	// fateServing means that the target is listed and accepts connections.
	fateServing
	// fateUnlisted means that the target is no longer listed, has not announced that it leaves and accepts
	// connections. A target that leaves by plan does so for some time, one that ends may do so for a moment.
	fateUnlisted
	// fateLeft means that the target leaves or has left by plan: it announced that, or has served on unlisted
	// for unlistedServeTime.
	fateLeft
	// fateCrashed means that the target has ended without a plan.
	fateCrashed
)

// startOf returns the incarnation that a target's description belongs to.
func startOf(t balance.TargetInfo) targetStart { return targetStart{t.ID, t.StartedAtMs} }

// fateOf finds out what has become of an incarnation of a target. It may make a connection.
func (h *Host) fateOf(t targetStart) targetFate {
	if gone, departed := h.departures.find(t); departed {
		return h.fateOfDeparted(t, gone)
	}
	h.mu.Lock()
	listed, ok := h.registry.TargetIncarnation(t.id, t.startedAtMs)
	var info balance.TargetInfo
	if ok {
		info = listed.TargetInfo
	}
	h.mu.Unlock()
	switch {
	case !ok:
		return fateUnknown
	case h.reachability.acceptsConnections(info.ID, info.Address):
		return fateServing
	case info.Draining:
		return fateLeft
	default:
		return fateCrashed
	}
}

// fateOfDeparted is fateOf for a target that is no longer listed or whose place another one has taken.
func (h *Host) fateOfDeparted(t targetStart, gone departure) targetFate {
	switch {
	case gone.draining:
		return fateLeft
	case gone.replaced:
		return fateCrashed
	case gone.servedOn:
		return fateLeft
	case !h.reachability.acceptsConnections(t.id, gone.address):
		return fateCrashed
	case time.Since(gone.at) >= h.runWatches.unlistedServeTime:
		h.departures.setServedOn(t)
		return fateLeft
	default:
		return fateUnlisted
	}
}

// recordCrash records that a target of a service crashed lately if one that is gone did.
func (h *Host) recordCrash(t targetStart, service string) {
	if h.fateOf(t) == fateCrashed {
		h.lastCrashes.record(service)
	}
}
