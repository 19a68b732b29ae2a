package entry

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

const (
	// suspectMost is how many targets beside an unreachable one are probed at first: enough to
	// tell a cut of their data centre from targets that have failed, and no more where many
	// hosts find one of those.
	suspectMost = 40
	// suspectFor is for how long one suspicion stands for a data centre: while targets that
	// have failed are found one after the other, each would begin another.
	suspectFor = time.Second
)

// suspicion is the probes of the targets beside one that was found unreachable.
type suspicion struct {
	began time.Time
	// asked is those of the first ones whose probe has not ended.
	asked         map[string]bool
	first, missed int
	// rest is probed once most of the first have been missed.
	rest []balance.TargetInfo
}

// suspect probes targets beside one that was found unreachable: a cut mostly takes a whole data
// centre, and each target found by a request costs that request. Those that are silent too get
// nothing until their probe has come through.
func (r *reach) suspect(target string) {
	r.host.mu.Lock()
	near := r.host.registry.OthersInDataCentre(target)
	r.host.mu.Unlock()
	for _, x := range r.begin(near) {
		r.doubt(x)
	}
}

// begin returns the targets of a data centre to probe first, none while a suspicion stands.
func (r *reach) begin(near []balance.TargetInfo) []balance.TargetInfo {
	if len(near) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	dc := near[0].DataCentre
	if s := r.suspicions[dc]; s != nil && time.Since(s.began) < suspectFor {
		return nil
	}
	first := near[:min(suspectMost, len(near))]
	s := &suspicion{began: time.Now(), asked: map[string]bool{}, first: len(first), rest: near[len(first):]}
	for _, x := range first {
		s.asked[x.ID] = true
	}
	r.suspicions[dc] = s
	return first
}

// doubt probes a target, which gets nothing until then if it is silent.
func (r *reach) doubt(x balance.TargetInfo) {
	r.mu.Lock()
	silent := time.Since(r.of(x.ID).heard) >= centreSilence
	r.mu.Unlock()
	if silent {
		r.host.setReachable(x.ID, false)
	}
	r.lost(x.ID, x.Address)
}

// judge notes the first probe of a target. Where most of those probed at first are missed, the
// data centre is taken to be cut off, and all others are probed.
func (r *reach) judge(target string, reached bool) {
	for _, x := range r.condemned(target, reached) {
		r.doubt(x)
	}
}

// condemned returns the targets to probe as most of those beside them were missed.
func (r *reach) condemned(target string, reached bool) []balance.TargetInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.suspicions {
		if !s.asked[target] {
			continue
		}
		delete(s.asked, target)
		if !reached {
			s.missed++
		}
		if 2*s.missed > s.first {
			rest := s.rest
			s.rest = nil
			return rest
		}
	}
	return nil
}
