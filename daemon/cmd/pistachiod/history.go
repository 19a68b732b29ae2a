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

// targetPace is the least time between two reads of changed targets: of many targets some
// change all the time, and what is told of them is seconds old already.
const targetPace = 150 * time.Millisecond

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
	store := meter.CountStoreCalls(platform.NewStore(set.PlatformAddress), o.meter)
	retirements := platform.NewRetirements(store)
	self := placement.Member{ID: server.MemberID(), Host: set.Host, Address: set.HistoryListen(), DataCentre: set.DataCentre, Region: set.Regions[set.DataCentre]}
	keeper := history.NewController(server, store, self, set.ToleratedHostFaults, retirements, peerDialer(), logger)
	o.state = func() any { return keeper.State() }
	o.serve(ctx, set.MetricsListen())
	source := func() objects.Reader { return relay.NewSource(set.Host, store, keeper, logger) }
	relays := relay.NewServer(ctx, source, logger, relayedKinds(set)...)
	server.SetRelayHandler(relays.Handle)
	go objects.Follow(ctx, relays.Reader(), platform.RetirementKind, set.WatchTimeout(), retirements)
	go keeper.Run(ctx, relays.Reader())
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

// relayedKinds are the kinds of the platform's objects that a history host reads for others. No
// watch waits for longer than hosts may be out of touch: one that begins in an outage of the
// platform may hang to its end, and a host that takes over from a lost relay then knows of no
// change, of slots that have moved among them.
func relayedKinds(set *settings.Role) []relay.Kind {
	return []relay.Kind{
		{Name: platform.ConfigKind, WatchTimeout: set.RelayedConfigWatch(), ForwardConfirmations: set.MaxKeyRemovalDelay > 0},
		{Name: platform.TargetKind, WatchTimeout: set.WatchTimeout(), MinWatchInterval: targetPace, GroupOf: platform.DecodeTargetGroup},
		{Name: platform.EvacuationKind, WatchTimeout: set.WatchTimeout()},
		{Name: platform.RetirementKind, WatchTimeout: set.WatchTimeout()},
		{Name: history.MapKind, WatchTimeout: set.WatchTimeout()},
	}
}
