package settings

import (
	"maps"
	"slices"
	"time"
)

// Reloaded is the result of a reload of a running role's settings.
type Reloaded struct {
	// Changed are the settings that were applied, NeedRestart those that changed but need a
	// restart; each as "section.key".
	Changed, NeedRestart []string
}

// Reload copies from next the settings that can change while the role runs, and reports the
// differences. The other settings of r stay as they are.
func (r *Role) Reload(next *Role) Reloaded {
	var out Reloaded
	replace(&out, "limits.memory_mb", &r.MemoryBytes, next.MemoryBytes)
	replace(&out, "log.level", &r.LogLevel, next.LogLevel)
	if !slices.Equal(r.Seeds, next.Seeds) {
		r.Seeds = next.Seeds // used at startup only
		out.Changed = append(out.Changed, "peers.seeds")
	}
	requireRestart(&out, "host.name", r.Host, next.Host)
	requireRestart(&out, "host.data_centre", r.DataCentre, next.DataCentre)
	if !maps.Equal(r.Regions, next.Regions) {
		out.NeedRestart = append(out.NeedRestart, "regions")
	}
	requireRestart(&out, "host.data_folder", r.DataDir, next.DataDir)
	requireRestart(&out, "listen.address", r.Address, next.Address)
	requireRestart(&out, "listen.callers", r.CallerListen, next.CallerListen)
	requireRestart(&out, "listen.ready", r.ReadyListen, next.ReadyListen)
	requireRestart(&out, "listen.first_internal_port", r.HistoryPort, next.HistoryPort)
	requireRestart(&out, "listen.metrics_port", r.MetricsPort, next.MetricsPort)
	requireRestart(&out, "platform.address", r.PlatformAddress, next.PlatformAddress)
	requireRestart(&out, "limits.descriptors", r.Descriptors, next.Descriptors)
	requireRestart(&out, "faults.hosts", r.ToleratedHostFaults, next.ToleratedHostFaults)
	requireRestart(&out, "timing.grace_s", r.GracePeriod, next.GracePeriod)
	requireRestart(&out, "timing.contact_ms", r.ContactWindow, next.ContactWindow)
	requireRestart(&out, "timing.config_ms", r.MaxConfigDelay, next.MaxConfigDelay)
	requireRestart(&out, "timing.drain_ms", r.MaxDrainDelay, next.MaxDrainDelay)
	requireRestart(&out, "keys.removal_ms", r.MaxKeyRemovalDelay, next.MaxKeyRemovalDelay)
	requireRestart(&out, "evacuations.bound_ms", r.MaxEvacuationDelay, next.MaxEvacuationDelay)
	requireRestart(&out, "quotas.window_s", r.QuotaWindow, next.QuotaWindow)
	requireRestart(&out, "quotas.overage", r.QuotaOverage, next.QuotaOverage)
	requireRestart(&out, "quotas.slack", r.QuotaSlack, next.QuotaSlack)
	requireRestart(&out, "loads.exchange", r.LoadExchange, next.LoadExchange)
	return out
}

// replace changes a setting that needs no restart, and records the change.
func replace[T string | int64](out *Reloaded, name string, current *T, next T) {
	if *current == next {
		return
	}
	*current = next
	out.Changed = append(out.Changed, name)
}

// requireRestart records a changed setting that needs a restart.
func requireRestart[T string | int | float64 | time.Duration](out *Reloaded, name string, current, next T) {
	if current != next {
		out.NeedRestart = append(out.NeedRestart, name)
	}
}
