package main

import (
	"context"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/quota"
	"github.com/pistachioarch/pistachioarch/daemon/entry"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/platform"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

func runEntry(ctx context.Context, set *settings.Role, o *observer) error {
	logger := o.logger
	dialer := peerDialer()
	past := quorum.New(dialer, set.DataCentre, logger, o.meter)
	past.SetSeeds(set.Seeds)
	host := entry.New(entry.Options{
		Headers: platform.Headers{}, History: past, Dialer: dialer,
		DataCentre: set.DataCentre, Regions: set.Regions, MemoryBytes: set.MemoryBytes, Descriptors: set.Descriptors,
		KeyRules:            entry.KeyRules{MaxAge: set.KeyMaxAge(), UnknownKeyMaxAge: set.UnknownKeyMaxAge()},
		QuotaTolerance:      quota.Tolerance{Window: set.QuotaWindow, Overage: set.QuotaOverage, Slack: set.QuotaSlack},
		DisableLoadExchange: !set.ExchangesLoads(),
		ReadyPath:           platform.ReadyPath, Log: logger, Meter: o.meter,
	})
	callers, err := listen(set.CallerListen)
	if err != nil {
		return err
	}
	ready, err := listen(set.ReadyListen)
	if err != nil {
		return err
	}
	follow, stop := context.WithCancel(context.Background())
	defer stop()
	store := meter.CountStoreCalls(platform.NewStore(set.PlatformAddress), o.meter)
	followed := follower{set, store, past, logger}.start(follow, host)
	o.state = func() any { return entryState{host.State(), relaysOf(followed)} }
	o.serve(follow, set.MetricsListen())
	go host.Run(follow)
	go past.Run(follow)
	host.Serve(callers)
	host.ServeReady(ready)
	<-ctx.Done()
	host.Drain(set.GracePeriod)
	return nil
}

// follower follows the platform for an entry host.
type follower struct {
	set    *settings.Role
	store  objects.Store
	past   *quorum.Client
	logger *log.Logger
}

// start follows all that the host needs until the context ends; it returns the sources by kind.
func (f follower) start(ctx context.Context, host *entry.Host) map[string]*relay.Source {
	config, targets, slots := f.source(), f.source(), f.slots()
	targets.WithSubset(f.set.Host, f.set.DataCentre, platform.DecodeTargetGroup)
	followConfig := objects.Follow
	if f.set.MaxKeyRemovalDelay > 0 {
		followConfig = objects.FollowFastRetry
	}
	go followConfig(ctx, config, platform.ConfigKind, f.set.ConfigWatch(), entry.NewConfigView(host, platform.ConfigName, platform.DecodeTable))
	go objects.Follow(ctx, targets, platform.TargetKind, f.set.WatchTimeout(), entry.NewTargetView(host, platform.DecodeTarget).WithHalvings(targets.Halvings))
	go objects.Follow(ctx, slots, history.MapKind, history.MapWatchTimeout, f.past)
	followed := map[string]*relay.Source{platform.ConfigKind: config, platform.TargetKind: targets, history.MapKind: slots}
	if f.set.MaxEvacuationDelay > 0 {
		evacuations := f.source()
		go objects.Follow(ctx, evacuations, platform.EvacuationKind, f.set.WatchTimeout(), entry.NewEvacuationView(host))
		followed[platform.EvacuationKind] = evacuations
	}
	return followed
}

// slots is the source of the slot map, which seeds can give.
func (f follower) slots() *relay.Source {
	source := relay.NewSource(f.set.Host, f.store, f.past, f.logger)
	if len(f.set.Seeds) > 0 {
		source.WithStartTimeout(relay.StartTimeout)
	}
	return source
}

// source is one of anything else, which waits for the slot map where there are seeds.
func (f follower) source() *relay.Source {
	if len(f.set.Seeds) == 0 {
		return relay.NewSource(f.set.Host, f.store, f.past, f.logger).WithStartTimeout(relay.StartTimeout)
	}
	return relay.NewSource(f.set.Host, f.store, f.past.AssignedPeers(), f.logger).WithStartTimeout(relay.MembersStartTimeout)
}

// entryState is the dump of an entry host for operators.
type entryState struct {
	entry.State
	// Relays is the history host through which each kind of the platform's objects is followed,
	// empty where it is the platform itself.
	Relays map[string]string `json:"relays"`
}

func relaysOf(followed map[string]*relay.Source) map[string]string {
	relays := make(map[string]string, len(followed))
	for kind, source := range followed {
		relays[kind] = source.CurrentRelay()
	}
	return relays
}
