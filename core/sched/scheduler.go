package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
)

// scanLimit bounds how many waiting items one Next looks at, so that a step
// stays short under a deep queue.
const scanLimit = 64

// Scheduler places the calls of one host. Not safe for concurrent use.
type Scheduler struct {
	policy   Policy
	services map[string]*service
	names    []string // of services, in order, so that every run decides alike
	targets  map[string]*Target
	peers    map[string]map[string]PeerLoad // by peer, then target
	order    uint64
	scratch  []*Target
	skipped  []*Item
}

type service struct {
	decl    *decl.Service
	targets []*Target
	waiting queue
	retries *RetryBudget
	dirty   bool // state changed since Next last found nothing
}

// New returns a scheduler without targets.
func New(p Policy) *Scheduler {
	return &Scheduler{policy: p, services: map[string]*service{}, targets: map[string]*Target{}, peers: map[string]map[string]PeerLoad{}}
}

// EvictsCache is the policy's answer of that name.
func (s *Scheduler) EvictsCache() bool { return s.policy.EvictsCache() }

// Apply replaces the declaration. Targets that stay keep their state; items of
// services that are gone are returned.
func (s *Scheduler) Apply(set *decl.Set) (orphans []*Item) {
	for _, name := range s.names {
		svc := s.services[name]
		svc.targets = svc.targets[:0]
		if _, ok := set.Services[name]; !ok {
			orphans = append(orphans, svc.waiting...)
			delete(s.services, name)
		}
	}
	s.names = sortedNames(set.Services)
	for name, d := range set.Services {
		svc := s.services[name]
		if svc == nil {
			svc = &service{retries: NewRetryBudget(d.RetryRatio)}
			s.services[name] = svc
		}
		svc.decl = d
		svc.retries.ratio = d.RetryRatio
		svc.dirty = true
	}
	for name := range s.targets {
		if _, ok := set.Targets[name]; !ok {
			delete(s.targets, name)
		}
	}
	for _, name := range sortedNames(set.Targets) {
		s.applyTarget(set.Targets[name])
	}
	return orphans
}

func (s *Scheduler) applyTarget(d *decl.Target) {
	t := s.targets[d.Name]
	if t == nil {
		t = &Target{peers: map[string]PeerLoad{}}
		s.targets[d.Name] = t
	}
	t.Decl = d
	svc := s.services[d.Service]
	svc.targets = append(svc.targets, t)
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// Target returns the state of a declared target.
func (s *Scheduler) Target(name string) (*Target, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Targets returns the names of all declared targets in order.
func (s *Scheduler) Targets() []string {
	return sortedNames(s.targets)
}

// Waiting returns the number of calls that wait for a service.
func (s *Scheduler) Waiting(name string) int {
	if svc, ok := s.services[name]; ok {
		return len(svc.waiting)
	}
	return 0
}

// ExpectedWait estimates how long a new call of the service waits in the queue:
// the waiting calls times the mean call time over all places.
func (s *Scheduler) ExpectedWait(name string) time.Duration {
	svc, ok := s.services[name]
	if !ok {
		return 0
	}
	places, sum := 0, time.Duration(0)
	for _, t := range svc.targets {
		places += t.Decl.Batch
		sum += t.mean
	}
	if places == 0 {
		return 0
	}
	mean := sum / time.Duration(len(svc.targets))
	return mean * time.Duration(len(svc.waiting)) / time.Duration(places)
}

// RetryBudget returns the service's retry budget, nil for an unknown service.
func (s *Scheduler) RetryBudget(name string) *RetryBudget {
	if svc, ok := s.services[name]; ok {
		return svc.retries
	}
	return nil
}

// Enqueue adds an item of a declared service; it reports false when the queue
// is full. A retry is always taken.
func (s *Scheduler) Enqueue(it *Item, retry bool) bool {
	svc, ok := s.services[it.Service]
	if !ok || !retry && len(svc.waiting) >= svc.decl.QueueLimit {
		return false
	}
	s.order++
	it.order = s.order
	it.key = s.policy.Key(it)
	svc.waiting.add(it)
	svc.dirty = true
	return true
}

// Remove takes a waiting item out of its queue.
func (s *Scheduler) Remove(it *Item) {
	svc, ok := s.services[it.Service]
	if ok && it.index >= 0 && it.index < len(svc.waiting) && svc.waiting[it.index] == it {
		svc.waiting.remove(it)
	}
}

// Next returns one item with the target it goes to, and counts it as sent;
// nil when nothing can be placed at now.
func (s *Scheduler) Next(now time.Duration) (*Item, *Target) {
	for _, name := range s.names {
		svc := s.services[name]
		if !svc.dirty || len(svc.waiting) == 0 {
			continue
		}
		if it, t := s.place(now, svc); it != nil {
			t.InFlight++
			t.Breaker.Sent()
			return it, t
		}
		svc.dirty = false
	}
	return nil, nil
}

func (s *Scheduler) place(now time.Duration, svc *service) (*Item, *Target) {
	s.skipped = s.skipped[:0]
	defer func() {
		for _, it := range s.skipped {
			svc.waiting.add(it)
		}
	}()
	for len(svc.waiting) > 0 && len(s.skipped) < scanLimit {
		it := svc.waiting.take()
		if it.NotBefore <= now {
			if t := s.choose(now, svc, it); t != nil {
				return it, t
			}
		}
		s.skipped = append(s.skipped, it)
	}
	return nil, nil
}

// choose filters the targets that may take work at all, then asks the policy.
func (s *Scheduler) choose(now time.Duration, svc *service, it *Item) *Target {
	s.scratch = s.scratch[:0]
	var avoided *Target
	for _, t := range svc.targets {
		switch {
		case t.Decl.Leaving || t.Breaker.Open(now):
		case t.Decl.Name == it.AvoidTarget:
			avoided = t
		default:
			s.scratch = append(s.scratch, t)
		}
	}
	if len(s.scratch) == 0 && avoided != nil {
		s.scratch = append(s.scratch, avoided)
	}
	if len(s.scratch) == 0 {
		return nil
	}
	return s.policy.Choose(it, s.scratch)
}

// Usable reports whether any target of the service may take work at now.
func (s *Scheduler) Usable(now time.Duration, name string) bool {
	svc, ok := s.services[name]
	if !ok {
		return false
	}
	for _, t := range svc.targets {
		if !t.Decl.Leaving && !t.Breaker.Open(now) {
			return true
		}
	}
	return false
}

// Done counts a call as finished at the target. ok feeds the circuit breaker,
// took the estimate of queue waits.
func (s *Scheduler) Done(now time.Duration, name string, ok bool, took time.Duration) {
	t, found := s.targets[name]
	if !found {
		return
	}
	t.InFlight = max(0, t.InFlight-1)
	if ok {
		t.Breaker.Success()
		t.observe(took)
	} else {
		t.Breaker.Failure(now)
	}
	s.Wake(t.Decl.Service)
}

// Withdraw takes back a placement by Next that was not sent.
func (s *Scheduler) Withdraw(name string) {
	if t, ok := s.targets[name]; ok {
		t.InFlight = max(0, t.InFlight-1)
		t.Breaker.trial = false
		s.Wake(t.Decl.Service)
	}
}

// Hold adds tokens to the estimate of cache kept at the target; a negative
// number takes them off.
func (s *Scheduler) Hold(name string, tokens int64) {
	if t, ok := s.targets[name]; ok {
		t.Held = max(0, t.Held+tokens)
	}
}

// SetPeer replaces what a peer has under way; targets that are not in loads
// count as idle for it. The cost follows the targets that the peer uses. The
// scheduler keeps loads.
func (s *Scheduler) SetPeer(peer string, loads map[string]PeerLoad) {
	for name := range s.peers[peer] {
		if _, still := loads[name]; !still {
			s.setPeerAt(name, peer, PeerLoad{})
		}
	}
	for name, load := range loads {
		s.setPeerAt(name, peer, load)
	}
	s.peers[peer] = loads
	if len(loads) == 0 {
		delete(s.peers, peer)
	}
	s.WakeAll()
}

func (s *Scheduler) setPeerAt(name, peer string, load PeerLoad) {
	if t, ok := s.targets[name]; ok {
		t.setPeer(peer, load)
	}
}

// Wake makes Next look at the service again.
func (s *Scheduler) Wake(name string) {
	if svc, ok := s.services[name]; ok {
		svc.dirty = true
	}
}

// WakeAll makes Next look at every service again, as when time has passed.
func (s *Scheduler) WakeAll() {
	for _, svc := range s.services {
		svc.dirty = true
	}
}
