package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
)

const (
	// hushedBelow and hushedUntil are the words a second of each target of a service, as
	// parts of heardEnough, below which a host hears too little by itself and from which it
	// hears enough again.
	hushedBelow, hushedUntil = 0.4, 0.8
	// hushedFor is how long it must have been so: a host that has just started, or whose
	// callers have, hears little at first.
	hushedFor = 3 * time.Second
	// toldTrust is how long what other hosts have in flight counts in full after an exchange:
	// one that is lost must not make all targets look empty. toldHalfLife halves it from then.
	toldTrust    = 300 * time.Millisecond
	toldHalfLife = 300 * time.Millisecond
	// toldFault is what one failure that another host told of counts against one of this
	// host's: a link of theirs may have failed, three hosts are right about the target.
	toldFault = 0.4
	// wordGain is by how much a word must be newer to replace one: ages come in steps, and a
	// host's own word told back to it is no news.
	wordGain = 20 * time.Millisecond
	// sentKept is how many of the last sends to a target are remembered.
	sentKept = 8
	// exchangeStep is the weight of one interval in the mean sends of an interval.
	exchangeStep = 0.2
)

// sharing is what a registry knows of the exchange with other hosts.
type sharing struct {
	// salt sets this host's choices apart from those of others that know the same.
	salt uint64
	// toldAt is the last exchange, of that round; told is false without one.
	toldAt time.Duration
	told   bool
	// settledAt is the first exchange of those that were answered one soon after the other.
	settledAt time.Duration
	round     uint64
	hosts     int
	// listed is the targets that can be told of, in order of id; nil if they changed since
	// it was made. byKey is the same by key.
	listed []*Target
	byKey  map[loads.Key]*Target
}

// told is what other hosts say of a target, and what this one tells them.
type told struct {
	key     loads.Key
	in      *Registry
	others  int
	word    loads.Word
	hasWord bool
	// failed and served count this host's requests.
	failed, served uint32
	// sends are the times of the last sends.
	sends []time.Duration
}

// perExchange is the sends to a service since the last exchange, their mean, and up to which
// load, in places, the other hosts are expected to fill targets until the next.
type perExchange struct {
	now   int
	mean  float64
	level float64
}

// SetSalt sets apart the choices of hosts that know the same, each with another salt.
func (r *Registry) SetSalt(salt uint64) { r.sharing.salt = salt }

// noteSend notes a send of this host.
func (t *Target) noteSend(now time.Duration) {
	t.service.sent.now++
	if len(t.told.sends) == sentKept {
		t.told.sends = slices.Delete(t.told.sends, 0, 1)
	}
	t.told.sends = append(t.told.sends, now)
}

// count counts the end of a request that says something of the target.
func (x *told) count(o Outcome) {
	switch o {
	case Served:
		x.served++
	case Failed:
		x.failed++
	}
}

// list makes the list of targets that can be told of: those whose key no other one has.
func (r *Registry) list() {
	s := &r.sharing
	if s.listed != nil {
		return
	}
	s.listed, s.byKey = make([]*Target, 0, len(r.targets)), map[loads.Key]*Target{}
	twice := map[loads.Key]bool{}
	for _, t := range r.targets {
		t.told.key, t.told.in = loads.KeyOf(t.ID, t.StartedAtMs), r
		if s.byKey[t.told.key] != nil {
			twice[t.told.key] = true
		}
		s.byKey[t.told.key] = t
		s.listed = append(s.listed, t)
	}
	s.listed = slices.DeleteFunc(s.listed, func(t *Target) bool { return twice[t.told.key] })
	slices.SortFunc(s.listed, func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) })
	for key := range twice {
		delete(s.byKey, key)
	}
	for _, x := range r.services {
		x.shuffle(s.salt)
	}
}

// shuffle makes hosts take targets that cost the same in different orders.
func (s *service) shuffle(salt uint64) {
	slices.SortFunc(s.targets, func(a, b *Target) int {
		return cmp.Compare(uniform(salt, uint64(a.told.key)), uniform(salt, uint64(b.told.key)))
	})
}

// Observations is what this host sees of all targets by itself.
func (r *Registry) Observations() []loads.Own {
	r.list()
	all := make([]loads.Own, 0, len(r.sharing.listed))
	for _, t := range r.sharing.listed {
		x := &t.told
		all = append(all, loads.Own{
			Key: x.key, InFlight: t.inFlight, Failed: x.failed, Served: x.served, Word: x.word, HasWord: x.hasWord,
		})
	}
	return all
}

// InFlight is this host's requests at all targets.
func (r *Registry) InFlight() int {
	n := 0
	for _, t := range r.targets {
		n += t.inFlight
	}
	return n
}

// NeedsLoadExchange reports whether this host hears too little of the targets by itself: of some service
// seldom, or its targets tell how much slower they are, which changes faster than a host hears,
// or some of them are cold, of which hosts take a share each and must know how many they are.
func (r *Registry) NeedsLoadExchange(now time.Duration) bool {
	hushed := false
	for _, s := range r.services {
		hushed = s.hears(now) || s.anyCold(now) || hushed // each service notes it for itself
	}
	return hushed
}

// hears notes and returns whether a host hears too little of a service. While it sends little,
// nothing can be said of it.
func (s *service) hears(now time.Duration) bool {
	rate, enough := s.words.rate(now, wordHalfLife), heardEnough*float64(len(s.targets))
	if rate < heardLeast || rate > hushedBelow*enough && !s.slowdownTold() {
		s.heardAt = now
	}
	switch {
	case rate >= heardLeast && s.slowdownTold(), now-s.heardAt > hushedFor:
		s.hushed = true
	case rate > hushedUntil*enough:
		s.hushed = false
	}
	return s.hushed
}

// slowdownTold reports whether targets of the service tell their slowdown.
func (s *service) slowdownTold() bool {
	return slices.ContainsFunc(s.targets, func(t *Target) bool { return t.told.hasWord && t.told.word.Load.Slowdown > 0 })
}

// ApplyUpdate takes what an exchange with other hosts brought.
func (r *Registry) ApplyUpdate(l loads.Learned, now time.Duration) {
	if !l.Fresh {
		return
	}
	r.list()
	x := &r.sharing
	if l.Reset {
		for _, t := range r.targets {
			t.told.others = 0
		}
	}
	if !x.told || now-x.toldAt > hostsTrust {
		x.settledAt = now
	}
	x.told, x.toldAt, x.hosts = true, now, l.Hosts
	x.round++
	for _, line := range l.Told {
		if t := x.byKey[line.Key]; t != nil {
			t.take(line, now)
		}
	}
	for _, s := range r.services {
		r.exchanged(s, now)
	}
}

// UpdateAge is how long ago an exchange with other hosts was answered; negative if none was.
func (r *Registry) UpdateAge(now time.Duration) time.Duration {
	if !r.sharing.told {
		return -1
	}
	return now - r.sharing.toldAt
}

// take takes what other hosts say of the target.
func (t *Target) take(line loads.Told, now time.Duration) {
	t.told.others = line.Others
	if line.HasWord && (!t.hasReport || line.Word.At > t.reportedAt+wordGain) {
		t.reported, t.reportedAt, t.hasReport = line.Word.Load, line.Word.At, true
		t.reported.Running += t.sentSince(line.Word.At)
	}
	if line.Failed == 0 && (line.Served == 0 || t.faults == 0) {
		return
	}
	// Their failures came between their successes: half of these follow each, on average.
	kept := math.Pow(faultKept, toldFault*float64(line.Served)/2)
	t.faults = min(faultMost, (t.fade(now)*kept+toldFault*float64(line.Failed))*kept)
	t.faultsAt = now
}

// sentSince is how many of this host's requests were sent after an instant and may still be
// at the target.
func (t *Target) sentSince(at time.Duration) int {
	n := 0
	for _, sent := range t.told.sends {
		if sent > at {
			n++
		}
	}
	return min(n, t.inFlight)
}

// fresh reports whether what other hosts told counts, and how much.
func (s *sharing) fresh(now time.Duration) float64 {
	if !s.told {
		return 0
	}
	return fading(now-s.toldAt-toldTrust, toldHalfLife)
}

// together is the larger of an estimate and of the requests of all hosts, as far as these are
// told: the target's word also counts requests from other data centres, but is as old as its
// last answer.
func (t *Target) together(alone int, now time.Duration) int {
	if t.told.in == nil || t.told.others == 0 {
		return alone
	}
	others := t.told.in.sharing.fresh(now) * float64(t.told.others)
	return max(alone, t.inFlight+int(math.Round(others)))
}

// spread adds to an estimate what other hosts are expected to have sent since: they fill the
// targets below the level, and which of these a host takes is drawn, the emptiest most often.
// Hosts that all know the same would else all choose what was the emptiest at their last
// exchange. Turns go where their prompt was read, which sets the choices of hosts apart; moved by
// a draw, they would be read again.
func (t *Target) spread(load int, now time.Duration) int {
	if t.told.in == nil || t.service.prompt > 0 {
		return load
	}
	x := &t.told.in.sharing
	room := t.service.sent.level*float64(t.Capacity) - float64(load)
	if x.hosts == 0 || room <= 0 || now-x.toldAt > toldTrust+toldHalfLife {
		return load
	}
	draw := uniform(x.salt, uint64(t.told.key), x.round, uint64(t.service.sent.now))
	return load + int(math.Round(2*draw*room))
}

// exchanged begins the next interval of a service.
func (r *Registry) exchanged(s *service, now time.Duration) {
	p := &s.sent
	p.mean += exchangeStep * (float64(p.now) - p.mean)
	p.now = 0
	if s.prompt > 0 {
		return // see spread
	}
	p.level = r.level(s, p.mean*float64(r.sharing.hosts), now)
}

// level is up to which load, in places, requests fill the targets from which this data centre
// chooses first.
func (r *Registry) level(s *service, requests float64, now time.Duration) float64 {
	near := r.near(s, now)
	slices.SortFunc(near, func(a, b filling) int { return cmp.Compare(a.load, b.load) })
	held, places := requests, 0.0
	for i, f := range near {
		held += f.load * f.places
		places += f.places
		if level := held / places; i+1 == len(near) || level <= near[i+1].load {
			return level
		}
	}
	return 0
}

// filling is a target's load, in places, and its places.
type filling struct{ load, places float64 }

// near is the targets that hosts of this data centre choose from first: its own, or all where
// it has none.
func (r *Registry) near(s *service, now time.Duration) []filling {
	var near, all []filling
	for _, t := range s.targets {
		if t.obstacle(now) != "" {
			continue
		}
		f := filling{t.perPlace(float64(t.estimate(now))), float64(max(1, t.Capacity))}
		all = append(all, f)
		if t.DataCentre == r.dataCentre {
			near = append(near, f)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// uniform is a number in [0, 1) that its arguments decide.
func uniform(values ...uint64) float64 {
	x := uint64(0)
	for _, v := range values {
		x = (x ^ v) * 0x9e3779b97f4a7c15
		x ^= x >> 32
	}
	return float64(x>>11) / (1 << 53)
}
