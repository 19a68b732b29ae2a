package sched

import (
	"maps"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
)

// maxScannedItems is the maximum number of waiting items that one Next examines, so that a
// step stays short when the queue is long.
const maxScannedItems = 64

// Scheduler places the calls of one host. Not safe for concurrent use.
type Scheduler struct {
	policy     Policy
	services   map[string]*service
	names      []string // of services, sorted, so that runs are deterministic
	targets    map[string]*Target
	peers      map[string]map[string]PeerLoad // by peer, then target
	lastSeq    uint64
	candidates []*Target
	skipped    []*Item
}

// service is the state of one declared service.
type service struct {
	decl      *decl.Service
	targets   []*Target
	waiting   queue
	retries   *RetryBudget
	needsScan bool // state changed since Next last found no placement
}

// New returns a scheduler without targets and services; Apply declares them.
func New(p Policy) *Scheduler {
	return &Scheduler{policy: p, services: map[string]*service{}, targets: map[string]*Target{}, peers: map[string]map[string]PeerLoad{}}
}

// EvictsCache returns EvictsCache of the policy.
func (s *Scheduler) EvictsCache() bool { return s.policy.EvictsCache() }

// Apply replaces the declaration. Targets that remain declared keep their state. Apply
// returns the queued items of services that are no longer declared.
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
		svc.needsScan = true
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

// Targets returns the names of all declared targets, sorted.
func (s *Scheduler) Targets() []string {
	return sortedNames(s.targets)
}

// Waiting returns the number of calls queued for a service.
func (s *Scheduler) Waiting(name string) int {
	if svc, ok := s.services[name]; ok {
		return len(svc.waiting)
	}
	return 0
}

// ExpectedWait estimates how long a new call of the service waits in the queue: the number
// of waiting calls times the mean call time, divided by the batch sizes of all targets.
func (s *Scheduler) ExpectedWait(name string) time.Duration {
	svc, ok := s.services[name]
	if !ok {
		return 0
	}
	capacity, sum := 0, time.Duration(0)
	for _, t := range svc.targets {
		capacity += t.Decl.Batch
		sum += t.meanCallTime
	}
	if capacity == 0 {
		return 0
	}
	mean := sum / time.Duration(len(svc.targets))
	return mean * time.Duration(len(svc.waiting)) / time.Duration(capacity)
}

// RetryBudget returns the service's retry budget, or nil for an unknown service.
func (s *Scheduler) RetryBudget(name string) *RetryBudget {
	if svc, ok := s.services[name]; ok {
		return svc.retries
	}
	return nil
}

// Enqueue adds an item to the queue of its service. It returns false if the service is not
// declared or its queue is full; a retry is accepted in a full queue too.
func (s *Scheduler) Enqueue(it *Item, retry bool) bool {
	svc, ok := s.services[it.Service]
	if !ok || !retry && len(svc.waiting) >= svc.decl.QueueLimit {
		return false
	}
	s.lastSeq++
	it.seq = s.lastSeq
	it.key = s.policy.Key(it)
	svc.waiting.add(it)
	svc.needsScan = true
	return true
}

// Remove removes an item from its queue, if it is queued.
func (s *Scheduler) Remove(it *Item) {
	svc, ok := s.services[it.Service]
	if ok && it.index >= 0 && it.index < len(svc.waiting) && svc.waiting[it.index] == it {
		svc.waiting.remove(it)
	}
}

// Next returns one item with its target and counts it as sent. It returns nil if no item can
// be placed at now.
func (s *Scheduler) Next(now time.Duration) (*Item, *Target) {
	for _, name := range s.names {
		svc := s.services[name]
		if !svc.needsScan || len(svc.waiting) == 0 {
			continue
		}
		if it, t := s.place(now, svc); it != nil {
			t.InFlight++
			t.Breaker.RecordSend()
			return it, t
		}
		svc.needsScan = false
	}
	return nil, nil
}

// place removes the first waiting item that can be placed at now from the queue of svc.
func (s *Scheduler) place(now time.Duration, svc *service) (*Item, *Target) {
	s.skipped = s.skipped[:0]
	defer func() {
		for _, it := range s.skipped {
			svc.waiting.add(it)
		}
	}()
	for len(svc.waiting) > 0 && len(s.skipped) < maxScannedItems {
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

// choose returns the policy's choice among the targets that may take calls. The target that
// the item avoids is a candidate only if there is no other.
func (s *Scheduler) choose(now time.Duration, svc *service, it *Item) *Target {
	s.candidates = s.candidates[:0]
	var avoided *Target
	for _, t := range svc.targets {
		switch {
		case t.Decl.Leaving || t.Breaker.IsOpen(now):
		case t.Decl.Name == it.AvoidTarget:
			avoided = t
		default:
			s.candidates = append(s.candidates, t)
		}
	}
	if len(s.candidates) == 0 && avoided != nil {
		s.candidates = append(s.candidates, avoided)
	}
	if len(s.candidates) == 0 {
		return nil
	}
	return s.policy.Choose(it, s.candidates)
}

// Usable reports whether any target of the service may take calls at now.
func (s *Scheduler) Usable(now time.Duration, name string) bool {
	svc, ok := s.services[name]
	if !ok {
		return false
	}
	for _, t := range svc.targets {
		if !t.Decl.Leaving && !t.Breaker.IsOpen(now) {
			return true
		}
	}
	return false
}

// Done records that a call has finished at the target. ok updates the circuit breaker;
// duration updates the estimate of queue waits.
func (s *Scheduler) Done(now time.Duration, name string, ok bool, duration time.Duration) {
	t, found := s.targets[name]
	if !found {
		return
	}
	t.InFlight = max(0, t.InFlight-1)
	if ok {
		t.Breaker.RecordSuccess()
		t.recordCallTime(duration)
	} else {
		t.Breaker.RecordFailure(now)
	}
	s.Wake(t.Decl.Service)
}

// Withdraw reverts a placement by Next that was not sent.
func (s *Scheduler) Withdraw(name string) {
	if t, ok := s.targets[name]; ok {
		t.InFlight = max(0, t.InFlight-1)
		t.Breaker.trialInFlight = false
		s.Wake(t.Decl.Service)
	}
}

// Hold adds tokens, which may be negative, to the estimate of what the target's cache holds for
// this host's programs.
func (s *Scheduler) Hold(name string, tokens int64) {
	if t, ok := s.targets[name]; ok {
		t.Held = max(0, t.Held+tokens)
	}
}

// SetPeer replaces the load of a peer by target. For targets not in loads the peer counts as
// idle. The cost grows with the number of targets that the peer uses. The scheduler retains
// loads.
func (s *Scheduler) SetPeer(peer string, loads map[string]PeerLoad) {
	for name := range s.peers[peer] {
		if _, listed := loads[name]; !listed {
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

// Wake makes Next examine the service's queue again.
func (s *Scheduler) Wake(name string) {
	if svc, ok := s.services[name]; ok {
		svc.needsScan = true
	}
}

// WakeAll makes Next examine all queues again, for instance when time has passed.
func (s *Scheduler) WakeAll() {
	for _, svc := range s.services {
		svc.needsScan = true
	}
}
