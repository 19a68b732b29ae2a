package sched

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
)

// Target is the state of one target as seen by one host.
type Target struct {
	Decl *decl.Target
	// InFlight is the number of this host's calls in flight at the target.
	InFlight int
	// Held is the estimated number of tokens of this host's programs in the target's cache.
	Held int64
	// PeerInFlight and PeerHeld are the sums of the same for all other hosts.
	PeerInFlight int
	PeerHeld     int64
	// Queued is the number of calls not yet started, from the target's last load report.
	Queued       int
	Breaker      Breaker
	peers        map[string]PeerLoad
	meanCallTime time.Duration // moving average of the duration of a call
	hasMean      bool
}

// PeerLoad is the load of one peer at a target: its calls in flight and the estimated cache
// tokens of its programs.
type PeerLoad struct {
	InFlight int
	Held     int64
}

// Load returns the estimated number of calls at the target, of all hosts.
func (t *Target) Load() int { return t.InFlight + t.PeerInFlight }

// Wait estimates how long a call that is sent now waits inside the target.
func (t *Target) Wait() time.Duration {
	over := t.Load() - t.Decl.Batch + 1
	if over <= 0 {
		return 0
	}
	mean := t.meanCallTime
	if !t.hasMean {
		mean = t.Decl.Decode*assumedOutputTokens + t.Decl.Prefill*assumedPromptTokens
	}
	return mean * time.Duration(over) / time.Duration(t.Decl.Batch)
}

// Assumed size of a call, in tokens, until the first call at a target has finished.
const (
	assumedPromptTokens = 512
	assumedOutputTokens = 128
)

// Overflow returns the number of tokens by which this host's programs would exceed their
// share of the target's memory if they added add tokens. The shares of the hosts are
// proportional to the tokens that they hold there.
func (t *Target) Overflow(add int64) int64 {
	excess := t.Held + t.PeerHeld + add - t.Decl.CacheTokens
	if excess <= 0 {
		return 0
	}
	ownShare := float64(t.Held+add) / float64(max(1, t.Held+t.PeerHeld+add))
	return int64(float64(excess) * ownShare)
}

// setPeer replaces the load of peer.
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

// callTimeWeight is the weight of a new sample in the moving average of call times.
const callTimeWeight = 0.2

func (t *Target) recordCallTime(d time.Duration) {
	if !t.hasMean {
		t.meanCallTime, t.hasMean = d, true
		return
	}
	t.meanCallTime += time.Duration(callTimeWeight * float64(d-t.meanCallTime))
}
