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

// runEntry runs an entry host until ctx ends, then drains it within the grace period.
func runEntry(ctx context.Context, set *settings.Role, o *observer) error {
	logger := o.logger
	dialer := peerDialer()
	historyClient := quorum.New(dialer, set.DataCentre, logger, o.meter)
	historyClient.SetSeeds(set.Seeds)
	store := meter.CountStoreCalls(platform.NewStore(set.PlatformAddress, logger), o.meter)
	host := entry.New(entry.Options{
		Headers: platform.Headers{}, History: historyClient, Dialer: dialer,
		DataCentre: set.DataCentre, Regions: set.Regions, MemoryBytes: set.MemoryBytes, Descriptors: set.Descriptors,
		KeyRules:       entry.KeyRules{MaxAge: set.KeyMaxAge(), UnknownMaxAge: set.UnknownMaxAge()},
		QuotaTolerance: quota.Tolerance{Window: set.QuotaWindow, Overage: set.QuotaOverage, Slack: set.QuotaSlack},
		ReadTargetChanges: func(ctx context.Context, revision uint64) (objects.Changes, error) {
			return store.Watch(ctx, platform.TargetKind, revision, 0)
		},
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
	hostCtx, stop := context.WithCancel(context.Background())
	defer stop()
	sources := platformFollower{set, store, historyClient, logger}.start(hostCtx, host)
	o.state = func() any { return entryState{host.State(), relaysOf(sources)} }
	o.serve(hostCtx, set.MetricsListen())
	go host.Run(hostCtx)
	go historyClient.Run(hostCtx)
	host.Serve(callers)
	host.ServeReady(ready)
	<-ctx.Done()
	host.Drain(set.GracePeriod)
	return nil
}

// platformFollower keeps an entry host up to date with the platform's objects.
type platformFollower struct {
	set           *settings.Role
	store         objects.Store
	historyClient *quorum.Client
	logger        *log.Logger
}

// start starts to follow every kind of object that the host needs, until ctx ends, and returns the
// sources by kind.
func (f platformFollower) start(ctx context.Context, host *entry.Host) map[string]*relay.Source {
	config, targets, slots := f.newSource(), f.newSource(), f.slotMapSource()
	targets.WithSubset(f.set.Host, f.set.DataCentre, platform.DecodeTargetGroup)
	followConfig := objects.Follow
	if f.set.MaxKeyRemovalDelay > 0 {
		followConfig = objects.FollowFastRetry
	}
	go followConfig(ctx, config, platform.ConfigKind, f.set.ConfigWatchTimeout(), entry.NewConfigView(host, platform.ConfigName, platform.DecodeTable))
	go objects.Follow(ctx, targets, platform.TargetKind, f.set.WatchTimeout(), entry.NewTargetView(host, platform.DecodeTarget).WithHalvings(targets.Halvings))
	go objects.Follow(ctx, slots, history.MapKind, history.MapWatchTimeout, f.historyClient)
	sources := map[string]*relay.Source{platform.ConfigKind: config, platform.TargetKind: targets, history.MapKind: slots}
	if f.set.MaxEvacuationDelay > 0 {
		evacuations := f.newSource()
		go objects.Follow(ctx, evacuations, platform.EvacuationKind, f.set.WatchTimeout(), entry.NewEvacuationView(host))
		sources[platform.EvacuationKind] = evacuations
	}
	return sources
}

// slotMapSource returns a source of the slot map, which the seeds can serve.
func (f platformFollower) slotMapSource() *relay.Source {
	source := relay.NewSource(f.set.Host, f.store, f.historyClient, f.logger)
	if len(f.set.Seeds) > 0 {
		source.WithStartTimeout(relay.StartTimeout)
	}
	return source
}

// newSource returns a source of any other kind. If seeds are configured, the source waits until the
// slots are assigned.
func (f platformFollower) newSource() *relay.Source {
	if len(f.set.Seeds) == 0 {
		return relay.NewSource(f.set.Host, f.store, f.historyClient, f.logger).WithStartTimeout(relay.StartTimeout)
	}
	return relay.NewSource(f.set.Host, f.store, f.historyClient.AssignedPeers(), f.logger).WithStartTimeout(relay.MembersStartTimeout)
}

// entryState is the state of an entry host as operators see it.
type entryState struct {
	entry.State
	// Relays is the history host through which the host follows each kind of platform object;
	// empty if it follows the platform directly.
	Relays map[string]string `json:"relays"`
}

// relaysOf returns the current relay of each kind.
func relaysOf(sources map[string]*relay.Source) map[string]string {
	relays := make(map[string]string, len(sources))
	for kind, source := range sources {
		relays[kind] = source.CurrentRelay()
	}
	return relays
}
