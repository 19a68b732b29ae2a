package node

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/wire/target"
)

// pollTargets reads the load of every engine once per report interval, and the
// programs in its cache once per sweep interval.
func (n *Node) pollTargets() {
	reportTicker := time.NewTicker(n.settings.ReportInterval)
	defer reportTicker.Stop()
	nextSweepAt := time.Now().Add(n.settings.SweepInterval)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-reportTicker.C:
		}
		sweep := time.Now().After(nextSweepAt)
		if sweep {
			nextSweepAt = time.Now().Add(n.settings.SweepInterval)
		}
		for _, t := range n.engines() {
			n.spawn(func() { n.pollTarget(t, sweep) })
		}
	}
}

func (n *Node) engines() []*decl.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.EngineTargets()
}

func (n *Node) pollTarget(t *decl.Target, sweep bool) {
	ctx, cancel := context.WithTimeout(n.ctx, targetRequestTimeout)
	defer cancel()
	var load target.Load
	if n.targets.Get(ctx, t, "v1/load", &load) != nil {
		return
	}
	ev := &host.TargetReport{Target: t.Name, Queued: load.Queued}
	if sweep {
		var cache target.Cache
		if n.targets.Get(ctx, t, "v1/cache", &cache) != nil {
			return
		}
		ev.CachedPrograms = programIDs(cache.Programs)
	}
	n.step(ev)
}
