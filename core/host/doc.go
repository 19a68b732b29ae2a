// Package host is the state machine of one entry host.
//
// # Driving a Host
//
// A Host does nothing by itself. Its driver calls Step with the time (any
// monotonic origin) and an Event, then carries out what Ready returns:
//
//	h.Step(now, event)
//	rd := h.Ready()      // valid until the next Step
//	... platform operations, sends to targets, replies, messages to peers ...
//
// Every effect is answered by a later event: a PlatformOp by PlatformReply, a
// Send by TargetDone, a Release by ReleaseDone. Lost answers are allowed; the
// machine times out by itself. A Tick event lets time pass; TickEvery is a good
// period. Two hosts given the same events at the same times decide alike.
//
// # Members, leases and slots
//
// A member is one incarnation of a host, "<data centre>/<host>.<incarnation>". Each member
// holds a lease object at the platform and renews it by conditional update. It
// may serve while its lease holds by its own clock (see lease.go for the rules
// when the platform is out of reach). Programs belong to slots; one object per
// data centre maps each slot to a member and an epoch (slots.go).
//
// A member whose lease has lapsed is replaced in three steps, each fenced by the
// platform's conditional update: its lease is marked revoked, its slots are
// claimed under the next epoch, and its journal stream is sealed, so that what
// it may still try to write is refused (takeover.go).
//
// # Durability
//
// Every change of a program is a record in the member's journal stream.
// An answer leaves only when its record is durable: in a segment object at the
// platform, or acknowledged by the one peer that keeps the tail of the stream
// (journal.go).
package host
