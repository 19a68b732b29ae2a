package main

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/daemon/relay"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/platform"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// minTargetWatchInterval is the minimum time between two reads of changed targets. Without it, the
// reads would follow one another, as some of many targets change all the time. The delay matters
// little, since the reported state is seconds old already.
const minTargetWatchInterval = 150 * time.Millisecond

// runHistory runs a history host until ctx ends, then closes it.
func runHistory(ctx context.Context, set *settings.Role, o *observer) error {
	logger := o.logger
	server, err := history.OpenServer(history.Options{Dir: set.DataDir, Logger: logger, Meter: o.meter})
	if err != nil {
		return err
	}
	listener, err := listen(set.HistoryListen())
	if err != nil {
		return err
	}
	store := meter.CountStoreCalls(platform.NewStore(set.PlatformAddress, logger), o.meter)
	retirements := platform.NewRetirements(store)
	self := placement.Member{ID: server.MemberID(), Host: set.Host, Address: set.HistoryListen(), DataCentre: set.DataCentre, Region: set.Regions[set.DataCentre]}
	controller := history.NewController(server, store, self, set.ToleratedHostFaults, retirements, peerDialer(), logger)
	o.state = func() any { return controller.State() }
	o.serve(ctx, set.MetricsListen())
	newSource := func() objects.Reader { return relay.NewSource(set.Host, store, controller, logger) }
	relayServer := relay.NewServer(ctx, newSource, logger, relayedKinds(set)...)
	server.SetRelayHandler(relayServer.Handle)
	go objects.Follow(ctx, relayServer.Reader(), platform.RetirementKind, set.WatchTimeout(), retirements)
	go controller.Run(ctx, relayServer.Reader())
	go server.Sweep(ctx.Done())
	go func() {
		if err := server.Serve(listener); err != nil {
			logger.Error("listener failed", "error", err.Error())
		}
	}()
	<-ctx.Done()
	logger.Info("stopping")
	_ = listener.Close()
	server.Close()
	return nil
}

// relayedKinds returns the kinds of platform objects that a history host reads for other hosts.
// Their watch timeouts are within the contact window: a watch that starts during an outage of the
// platform may hang until its timeout, and a host that takes over from a lost relay meanwhile
// receives no changes, not even of slots that have moved. Those of configurations, targets
// and evacuations are also within the time in which changes must be in force.
func relayedKinds(set *settings.Role) []relay.Kind {
	return []relay.Kind{
		{Name: platform.ConfigKind, WatchTimeout: set.RelayedConfigWatchTimeout(), ForwardConfirmations: set.MaxKeyRemovalDelay > 0},
		{Name: platform.TargetKind, WatchTimeout: set.RelayedWatchTimeout(), MinWatchInterval: minTargetWatchInterval, GroupOf: platform.DecodeTargetGroup},
		{Name: platform.EvacuationKind, WatchTimeout: set.RelayedEvacuationWatchTimeout()},
		{Name: platform.RetirementKind, WatchTimeout: set.WatchTimeout()},
		{Name: history.MapKind, WatchTimeout: set.WatchTimeout()},
	}
}
