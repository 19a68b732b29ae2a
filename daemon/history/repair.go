package history

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

const (
	// probeTimeout bounds one probe of a member.
	probeTimeout = 350 * time.Millisecond
	// replaceSoon is how long a member must be silent before a member without
	// slots takes its places: a successor is there, so waiting gains nothing but
	// the copy of a host that only restarts (1 to 1.5 s).
	replaceSoon = 2 * time.Second
	// replaceLate is the same where only members with slots could take them: a
	// slot serves with one replica silent, so a host that reboots is waited for.
	replaceLate = 15 * time.Second
)

// peers are the connections to other members, and since when each is silent.
type peers struct {
	pool *rpc.Pool
	// near and far count the bytes of calls to members of this data centre and of others.
	near, far rpc.Traffic
	mu        sync.Mutex
	silent    map[string]time.Time // by member id
}

func newPeers(dialer rpc.Dialer) *peers {
	return &peers{pool: rpc.NewPool(dialer), silent: map[string]time.Time{}}
}

// probe asks some members for a sign of life.
func (p *peers) probe(ctx context.Context, m *placement.Map, ask map[string]bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for id := range ask {
		x := m.Members[id]
		wait.Go(func() {
			reply, err := p.pool.Client(x.Address).Call(ctx, &historypb.Request{Member: id, Call: &historypb.Request_Ping{Ping: &historypb.Ping{}}})
			p.note(id, err == nil && reply.Status == historypb.Status_STATUS_OK)
		})
	}
	wait.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.silent, func(id string, _ time.Time) bool { _, in := m.Members[id]; return !in })
}

func (p *peers) note(id string, alive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if alive {
		delete(p.silent, id)
		return
	}
	if _, known := p.silent[id]; !known {
		p.silent[id] = time.Now()
	}
}

// silentFor returns the members that do not answer, with the time since.
func (p *peers) silentFor() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make(map[string]time.Duration, len(p.silent))
	for id, since := range p.silent {
		list[id] = time.Since(since)
	}
	return list
}

// toProbe returns the members that this one asks for a sign of life now: its neighbours, and
// where it is its turn to act, some of all others in turn, so that it finds those to be
// replaced. One that was silent is asked until it answers, whoever's neighbour it is then.
func (k *Controller) toProbe(m *placement.Map) map[string]bool {
	ask := m.ProbedByMember(k.self.ID, k.self.DataCentre, k.answers())
	silent := k.peers.silentFor()
	for id := range silent {
		if _, in := m.Members[id]; in {
			ask[id] = true
		}
	}
	if m.ProbesAllMembers() || !k.acts(m, silent) {
		return ask
	}
	ids := slices.Sorted(maps.Keys(m.Members))
	for range placement.MaxProbeAllMembers {
		k.turn = (k.turn + 1) % len(ids)
		if id := ids[k.turn]; id != k.self.ID {
			ask[id] = true
		}
	}
	return ask
}

// repair moves slots away from members that are silent or retiring. Of the
// members that answer, the one with the lowest id acts; the conditional update
// sorts out two that both think so.
func (k *Controller) repair(ctx context.Context, m *placement.Map) {
	silent := k.peers.silentFor()
	if !k.acts(m, silent) {
		return
	}
	exclude := map[string]bool{}
	for id := range silent {
		exclude[id] = true
	}
	retiring := k.retiring(m)
	for _, id := range retiring {
		exclude[id] = true
	}
	for _, id := range retiring {
		k.retire(ctx, m, id, exclude)
	}
	for id, since := range silent {
		if _, in := m.Members[id]; in && since > patience(m, id, exclude) {
			k.change(ctx, "silent member replaced", func(m *placement.Map) bool {
				return m.Replace(id, exclude) || m.RemoveUnused(id)
			})
		}
	}
}

func (k *Controller) acts(m *placement.Map, silent map[string]time.Duration) bool {
	for id := range m.Members {
		if _, quiet := silent[id]; !quiet && id < k.self.ID {
			return false
		}
	}
	return true
}

// patience is how long a silent member is waited for.
func patience(m *placement.Map, silent string, exclude map[string]bool) time.Duration {
	if centreCut(m, m.Members[silent].DataCentre, exclude) {
		return replaceLate
	}
	for id := range m.Members {
		if !exclude[id] && !m.IsInUse(id) {
			return replaceSoon
		}
	}
	return replaceLate
}

// centreCut reports whether all members of a data centre, of which there are
// several, do not answer: it is cut off rather than that all its hosts are gone.
func centreCut(m *placement.Map, dataCentre string, exclude map[string]bool) bool {
	n := 0
	for id, x := range m.Members {
		if x.DataCentre != dataCentre {
			continue
		}
		if !exclude[id] {
			return false
		}
		n++
	}
	return n > 1
}

// retiring returns the members on hosts that are to be emptied.
func (k *Controller) retiring(m *placement.Map) []string {
	hosts := k.retirements.Retiring()
	var ids []string
	for id, x := range m.Members {
		if slices.Contains(hosts, x.Host) {
			ids = append(ids, id)
		}
	}
	return ids
}

// retire moves the slots of a member away and reports the progress.
func (k *Controller) retire(ctx context.Context, m *placement.Map, id string, exclude map[string]bool) {
	host := m.Members[id].Host
	if m.IsInUse(id) {
		k.report(ctx, host, false)
		k.change(ctx, "retiring member replaced", func(m *placement.Map) bool { return m.Replace(id, exclude) })
		return
	}
	k.report(ctx, host, true)
}

func (k *Controller) report(ctx context.Context, host string, done bool) {
	key := host
	if done {
		key += " done"
	}
	if k.reported[key] {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if err := k.retirements.Report(ctx, host, done); err != nil {
		k.logger.Warn("retirement not reported", "host", host, "done", done, "error", err.Error())
		return
	}
	k.logger.Info("retirement reported", "host", host, "done", done)
	k.reported[key] = true
}
