// Package host is the state machine of one entry host.
//
// # Driving a Host
//
// A Host performs no input or output. Its driver calls Step with the time (from
// any monotonic origin) and an Event, then carries out the effects that Ready
// returns:
//
//	h.Step(now, event)
//	rd := h.Ready()      // valid until the next Step
//	... platform operations, sends to targets, replies, messages to peers ...
//
// The driver reports the result of an effect by a later event: PlatformReply for a
// PlatformOp, TargetDone for a Send, ReleaseDone for a Release. Results may be
// lost: the state machine has its own timeouts. A Tick event advances time and
// should be sent every TickInterval. The state machine is deterministic: two hosts
// with the same configuration that get the same events at the same times make the
// same decisions.
//
// # Members, leases and slots
//
// A member is one incarnation of a host, named
// "<data centre>/<host>.<incarnation>". Each member holds a lease object at the
// platform and renews it by conditional update. It may serve while its lease is
// valid by its own clock (lease.go has the rules for the time when the platform is
// unreachable). Programs belong to slots; one object per data centre maps each
// slot to a member and an epoch (slots.go).
//
// A member whose lease has lapsed is replaced in three steps, each fenced by a
// conditional update at the platform: its lease is marked revoked (peerlease.go),
// its slots are claimed under the next epoch (claim.go), and its journal stream is
// sealed, so that its later writes are rejected (recovery.go).
//
// # Durability
//
// Every change of a program is a record in the member's journal stream. An answer
// is sent only when its record is durable: in a segment object at the platform, or
// acknowledged by the tail peer, which keeps the tail of the stream (log.go). Old
// segments are freed by snapshots of their live programs (clean.go).
package host
