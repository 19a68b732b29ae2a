package entry

import "github.com/pistachioarch/pistachioarch/wire/targetpool"

// targetBytes counts what goes to targets of this data centre and of others, apart for
// turns and for plain calls.
type targetByteCounters struct {
	turnNear, turnFar, plainNear, plainFar targetpool.ByteCounter
}

// of returns the counter of a request.
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

// bytesGauges serves the counters.
func (h *Host) registerByteGauges() {
	for name, b := range map[string]*targetpool.ByteCounter{
		"targets_near_turns": &h.targetBytes.turnNear, "targets_far_turns": &h.targetBytes.turnFar,
		"targets_near_plain": &h.targetBytes.plainNear, "targets_far_plain": &h.targetBytes.plainFar,
	} {
		h.Meter.Gauge(name+"_sent_bytes", b.Sent)
		h.Meter.Gauge(name+"_received_bytes", b.Received)
	}
}
