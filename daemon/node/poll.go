package node

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/wire/target"
)

// pollTargets reads the load of every target, and now and then what it keeps.
func (n *Node) pollTargets() {
	report := time.NewTicker(n.set.ReportInterval)
	defer report.Stop()
	sweepAt := time.Now().Add(n.set.SweepInterval)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-report.C:
		}
		sweep := time.Now().After(sweepAt)
		if sweep {
			sweepAt = time.Now().Add(n.set.SweepInterval)
		}
		for _, t := range n.engines() {
			n.goDo(func() { n.pollTarget(t, sweep) })
		}
	}
}

func (n *Node) engines() []*decl.Target {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.host.EngineTargets()
}

func (n *Node) pollTarget(t *decl.Target, sweep bool) {
	ctx, cancel := context.WithTimeout(n.ctx, releaseTimeout)
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
