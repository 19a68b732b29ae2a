package entry

import "github.com/pistachioarch/pistachioarch/wire/targetpool"

// targetByteCounters counts the bytes exchanged with targets, separately for near and far ones and
// for turns and plain calls.
type targetByteCounters struct {
	turnNear, turnFar, plainNear, plainFar targetpool.ByteCounter
}

// counter returns the counter for a request.
func (b *targetByteCounters) counter(turn, far bool) *targetpool.ByteCounter {
	switch {
	case turn && far:
		return &b.turnFar
	case turn:
		return &b.turnNear
	case far:
		return &b.plainFar
	}
	return &b.plainNear
}

// registerByteGauges registers a gauge of sent and one of received bytes for each counter.
func (h *Host) registerByteGauges() {
	for name, b := range map[string]*targetpool.ByteCounter{
		"targets_near_turns": &h.targetBytes.turnNear, "targets_far_turns": &h.targetBytes.turnFar,
		"targets_near_plain": &h.targetBytes.plainNear, "targets_far_plain": &h.targetBytes.plainFar,
	} {
		h.Meter.Gauge(name+"_sent_bytes", b.Sent)
		h.Meter.Gauge(name+"_received_bytes", b.Received)
	}
}
