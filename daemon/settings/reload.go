package settings

import (
	"maps"
	"slices"
	"time"
)

// Reloaded is what a running role does with settings that were read anew.
type Reloaded struct {
	// Changed are the settings taken, NeedRestart those that need a restart; as
	// "section.key".
	Changed, NeedRestart []string
}

// Reload takes from next what can change while the role runs, and says what it
// did. The other settings of r stay.
func (r *Role) Reload(next *Role) Reloaded {
	var out Reloaded
	take(&out, "limits.memory_mb", &r.MemoryBytes, next.MemoryBytes)
	take(&out, "log.level", &r.LogLevel, next.LogLevel)
	if !slices.Equal(r.Seeds, next.Seeds) {
		r.Seeds = next.Seeds // used at the start only
		out.Changed = append(out.Changed, "peers.seeds")
	}
	keep(&out, "host.name", r.Host, next.Host)
	keep(&out, "host.data_centre", r.DataCentre, next.DataCentre)
	if !maps.Equal(r.Regions, next.Regions) {
		out.NeedRestart = append(out.NeedRestart, "regions")
	}
	keep(&out, "host.data_folder", r.DataDir, next.DataDir)
	keep(&out, "listen.address", r.Address, next.Address)
	keep(&out, "listen.callers", r.CallerListen, next.CallerListen)
	keep(&out, "listen.ready", r.ReadyListen, next.ReadyListen)
	keep(&out, "listen.first_internal_port", r.HistoryPort, next.HistoryPort)
	keep(&out, "listen.metrics_port", r.MetricsPort, next.MetricsPort)
	keep(&out, "platform.address", r.PlatformAddress, next.PlatformAddress)
	keep(&out, "limits.descriptors", r.Descriptors, next.Descriptors)
	keep(&out, "faults.hosts", r.ToleratedHostFaults, next.ToleratedHostFaults)
	keep(&out, "timing.grace_s", r.GracePeriod, next.GracePeriod)
	keep(&out, "timing.contact_ms", r.ContactWindow, next.ContactWindow)
	keep(&out, "keys.removal_ms", r.MaxKeyRemovalDelay, next.MaxKeyRemovalDelay)
	keep(&out, "evacuations.bound_ms", r.MaxEvacuationDelay, next.MaxEvacuationDelay)
	keep(&out, "quotas.window_s", r.QuotaWindow, next.QuotaWindow)
	keep(&out, "quotas.overage", r.QuotaOverage, next.QuotaOverage)
	keep(&out, "quotas.slack", r.QuotaSlack, next.QuotaSlack)
	keep(&out, "loads.exchange", r.LoadExchange, next.LoadExchange)
	return out
}

func take[T string | int64](out *Reloaded, name string, now *T, next T) {
	if *now == next {
		return
	}
	*now = next
	out.Changed = append(out.Changed, name)
}

func keep[T string | int | float64 | time.Duration](out *Reloaded, name string, now, next T) {
	if now != next {
		out.NeedRestart = append(out.NeedRestart, name)
	}
}
