package sched

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
)

// Target is what one host knows of a target.
type Target struct {
	Decl *decl.Target
	// InFlight is the number of this host's calls at the target.
	InFlight int
	// Held is the estimate of cache tokens kept there for this host's programs.
	Held int64
	// PeerInFlight and PeerHeld are the same of all other hosts.
	PeerInFlight int
	PeerHeld     int64
	// Queued is the target's own last report of calls it has not started.
	Queued   int
	Breaker  Breaker
	peers    map[string]PeerLoad
	mean     time.Duration // moving average of the time of one call
	meanSeen bool
}

// PeerLoad is what one peer has under way at a target.
type PeerLoad struct {
	InFlight int
	Held     int64
}

// Load is the estimated number of calls at the target.
func (t *Target) Load() int { return t.InFlight + t.PeerInFlight }

// Wait estimates how long a call that arrives now waits for a place.
func (t *Target) Wait() time.Duration {
	over := t.Load() - t.Decl.Batch + 1
	if over <= 0 {
		return 0
	}
	mean := t.mean
	if !t.meanSeen {
		mean = t.Decl.Decode*typicalOutput + t.Decl.Prefill*typicalPrompt
	}
	return mean * time.Duration(over) / time.Duration(t.Decl.Batch)
}

// A call's size, in tokens, before any was seen at a target.
const (
	typicalPrompt = 512
	typicalOutput = 128
)

// Overflow is by how many tokens this host's programs would exceed their share
// of the target's memory if add more tokens came to it. The share of a host
// follows from what it and its peers keep there.
func (t *Target) Overflow(add int64) int64 {
	over := t.Held + t.PeerHeld + add - t.Decl.CacheTokens
	if over <= 0 {
		return 0
	}
	own := float64(t.Held+add) / float64(max(1, t.Held+t.PeerHeld+add))
	return int64(float64(over) * own)
}

// setPeer replaces what peer has under way.
func (t *Target) setPeer(peer string, load PeerLoad) {
	old := t.peers[peer]
	t.PeerInFlight += load.InFlight - old.InFlight
	t.PeerHeld += load.Held - old.Held
	if load == (PeerLoad{}) {
		delete(t.peers, peer)
		return
	}
	t.peers[peer] = load
}

// meanWeight is the share of a new sample in the moving average of call times.
const meanWeight = 0.2

func (t *Target) observe(d time.Duration) {
	if !t.meanSeen {
		t.mean, t.meanSeen = d, true
		return
	}
	t.mean += time.Duration(meanWeight * float64(d-t.mean))
}
