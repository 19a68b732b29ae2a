package entry

import (
	"cmp"
	"slices"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// DecodeTable decodes the spec of a configuration object.
type DecodeTable func(spec []byte) (*routing.Table, error)

// ConfigView applies configurations from the platform to a Host. It implements
// objects.Listener.
type ConfigView struct {
	host   *Host
	name   string
	decode DecodeTable
}

// NewConfigView returns a listener that applies the configuration object called name.
func NewConfigView(h *Host, name string, decode DecodeTable) *ConfigView {
	return &ConfigView{host: h, name: name, decode: decode}
}

// Replaced implements objects.Listener.
func (v *ConfigView) Replaced(s objects.Snapshot) {
	v.logRegained()
	for _, o := range s.Items {
		v.apply(o)
	}
	v.host.confirmConfig(s.AsOf)
}

// Changed implements objects.Listener.
func (v *ConfigView) Changed(changes objects.Changes) {
	v.logRegained()
	for _, e := range changes.Events {
		if !e.Removed {
			v.apply(e.Object)
		}
	}
	v.host.confirmConfig(changes.AsOf)
}

// Lost implements objects.Listener. The current configuration stays in force.
func (v *ConfigView) Lost(err error) {
	if !v.host.configLost.Swap(true) {
		v.host.Log.Warn("platform lost", "view", "configuration", "error", err.Error())
	}
}

// logRegained logs the first contact with the platform after Lost.
func (v *ConfigView) logRegained() {
	if v.host.configLost.Swap(false) {
		v.host.Log.Info("platform regained", "view", "configuration")
	}
}

// apply puts the configuration of an object in force. One that cannot be decoded is logged and
// ignored.
func (v *ConfigView) apply(o objects.Object) {
	if o.Name != v.name {
		return
	}
	table, err := v.decode(o.Spec)
	if err != nil {
		v.host.Log.Error("configuration not taken", "revision", o.Revision, "error", err.Error())
		return
	}
	if v.host.SetTable(table) {
		v.host.Log.Info("configuration in force", "version", table.Version, "revision", o.Revision)
	}
}

// SetTable puts t in force if it is newer than the current table, and reports whether it was.
func (h *Host) SetTable(t *routing.Table) bool {
	for {
		old := h.table.Load()
		if !t.Newer(old) {
			return false
		}
		if h.table.CompareAndSwap(old, t) {
			h.configuredAt.Store(int64(h.now()))
			h.setColdStarts(t)
			if old == nil {
				close(h.configured)
			}
			return true
		}
	}
}

// setColdStarts passes the cold start settings of the services to the registry.
func (h *Host) setColdStarts(t *routing.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range t.Services() {
		h.registry.SetColdStart(s.Name, balance.ColdStart{Window: s.ColdStartWindow, Rate: s.ColdStartRate})
	}
}

// DecodeTarget decodes the spec of the target object called id.
type DecodeTarget func(id string, spec []byte) (balance.TargetInfo, error)

// TargetView applies the list of targets from the platform to a Host. It implements
// objects.Listener.
type TargetView struct {
	host   *Host
	decode DecodeTarget
	// halvings returns how the host's subset of the targets is chosen; nil if it holds all
	// targets.
	halvings func() []subset.Halvings
	// listed is set once there was a list.
	listed bool
}

// WithHalvings sets the source of the halvings of the host's subset of the targets, and returns
// v.
func (v *TargetView) WithHalvings(halvings func() []subset.Halvings) *TargetView {
	v.halvings = halvings
	return v
}

// updateHalvings passes the current halvings to the registry.
func (v *TargetView) updateHalvings() {
	if v.halvings == nil {
		return
	}
	v.host.mu.Lock()
	defer v.host.mu.Unlock()
	v.host.registry.SetHalvings(v.halvings())
}

// NewTargetView returns a listener that applies the list of targets.
func NewTargetView(h *Host, decode DecodeTarget) *TargetView {
	return &TargetView{host: h, decode: decode}
}

// Replaced implements objects.Listener.
func (v *TargetView) Replaced(s objects.Snapshot) {
	v.updateHalvings()
	// A target that has crashed changes its entry no more, so that it comes before the one at its place.
	byRevision := slices.SortedFunc(slices.Values(s.Items), func(a, b objects.Object) int { return cmp.Compare(a.Revision, b.Revision) })
	ids := map[string]bool{}
	for _, o := range byRevision {
		ids[o.Name] = true
		v.set(o)
	}
	for _, id := range v.listedExcept(ids) {
		v.remove(id)
	}
	v.observeAllVersions()
	v.host.advanceTargetList(s.Revision, s.AsOf)
}

// observeAllVersions records the software versions of all services after a new list. Since an earlier list, targets of
// other versions may have come and gone.
func (v *TargetView) observeAllVersions() {
	v.host.mu.Lock()
	defer v.host.mu.Unlock()
	if v.listed {
		v.host.versions.Restart(v.host.now())
	}
	v.listed = true
	for _, service := range v.host.registry.Services() {
		v.host.observeVersions(service)
	}
}

// listedExcept returns the targets that the host knows and that are not in ids.
func (v *TargetView) listedExcept(ids map[string]bool) []string {
	v.host.mu.Lock()
	defer v.host.mu.Unlock()
	return v.host.registry.IDsExcept(ids)
}

// Changed implements objects.Listener.
func (v *TargetView) Changed(changes objects.Changes) {
	v.updateHalvings()
	for _, e := range changes.Events {
		if !e.Removed {
			v.set(e.Object)
			continue
		}
		v.remove(e.Object.Name)
	}
	v.host.advanceTargetList(changes.Revision, changes.AsOf)
}

// Lost implements objects.Listener. The current list stays in use.
func (v *TargetView) Lost(error) {
	v.host.mu.Lock()
	defer v.host.mu.Unlock()
	v.host.versions.Restart(v.host.now())
}

// set adds or changes a target. An entry that cannot be decoded takes its target out of use.
func (v *TargetView) set(o objects.Object) {
	info, err := v.decode(o.Name, o.Spec)
	if err != nil {
		v.host.Log.Error("target not taken", "target", o.Name, "revision", o.Revision, "error", err.Error())
		v.remove(o.Name)
		return
	}
	v.host.mu.Lock()
	old, known := v.host.registry.Target(info.ID)
	if !known {
		v.recordPredecessors(info)
	}
	changed := !known || old.Draining != info.Draining || old.StartedAtMs != info.StartedAtMs
	restarted := v.host.registry.SetTarget(info)
	if changed {
		v.host.observeVersions(info.Service)
	}
	v.host.registry.SetColdFor(info.ID, info.ColdFor, v.host.now())
	v.host.mu.Unlock()
	if changed {
		v.host.Log.Info("target listed", "target", info.ID, "service", info.Service, "draining", info.Draining, "born", info.StartedAtMs, "cold_ms", info.ColdFor.Milliseconds(), "renewed", restarted)
	}
	if restarted {
		v.recordDeparture(old.TargetInfo, true)
		v.host.pool.CloseIdle(old.Address)
		v.host.reachability.handleRestart(info.ID)
	}
}

// recordPredecessors records the crash of targets whose address a new one has taken over. The platform
// lists the former ones for some time, or not any more. The caller holds the mu of host.
func (v *TargetView) recordPredecessors(info balance.TargetInfo) {
	v.host.departures.replaceAt(info.Address, v.host.runWatches.unlistedServeTime)
	for _, predecessor := range v.host.registry.AddressHolders(info.Service, info.Address) {
		v.recordDeparture(predecessor.TargetInfo, true)
		v.host.lastCrashes.record(info.Service)
	}
}

// recordDeparture records that a target is gone, or that another one has replaced it.
func (v *TargetView) recordDeparture(t balance.TargetInfo, replaced bool) {
	v.host.departures.add(startOf(t), departure{address: t.Address, draining: t.Draining, replaced: replaced})
	v.host.runWatches.notify(t.ID)
}

// remove takes a target out of use because it is no longer listed or its entry cannot be
// decoded.
func (v *TargetView) remove(id string) {
	v.host.mu.Lock()
	old, known := v.host.registry.Target(id)
	v.host.registry.Remove(id)
	if known {
		v.host.observeVersions(old.Service)
	}
	v.host.mu.Unlock()
	v.host.reachability.forget(id)
	if known {
		v.recordDeparture(old.TargetInfo, false)
		go v.host.recordCrash(startOf(old.TargetInfo), old.Service)
		v.host.Log.Info("target gone", "target", id)
	}
}
