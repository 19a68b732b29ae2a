package dispatch

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

// Limits bound what is sent while targets have queues.
type Limits struct {
	// MaxNewProgramLoad is the load of a service's engines, over their places, from which on
	// programs that have not begun are turned away; 0 turns none away.
	MaxNewProgramLoad float64
	// MinRetryDelay is the shortest time after which a program that was turned away comes
	// back, and RetryJitter what is added at most: some turns' time, so that places have
	// become free, and short against a program's aim.
	MinRetryDelay, RetryJitter time.Duration
}

// DefaultLimits returns the limits that hosts decide by.
func DefaultLimits() Limits {
	return Limits{MaxNewProgramLoad: 1.1, MinRetryDelay: 400 * time.Millisecond, RetryJitter: 600 * time.Millisecond}
}

// Request is what the decision needs to know.
type Request struct {
	balance.Query
	// ProgramStarted reports that the program has had an answer before.
	ProgramStarted bool
	// Draw is uniform in [0, 1), the same for the same request.
	Draw float64
}

// Action is what to do with a request.
type Action uint8

// The decisions.
const (
	// Send it to the chosen target.
	Send Action = iota
	// NoTarget: none can be chosen.
	NoTarget
	// Reject: the service is full.
	Reject
)

// Decision is a decision and what decided it.
type Decision struct {
	Action Action
	// Choice is valid if the request is to be sent.
	Choice balance.Choice
	// Load is that of the service, over its places, where it mattered.
	Load float64
	// RetryDelay is when a request that was turned away may come back.
	RetryDelay time.Duration
}

// Dispatcher decides for one entry host.
type Dispatcher struct {
	registry *balance.Registry
	limits   Limits
}

// New returns a dispatcher over the targets of a registry.
func New(r *balance.Registry, l Limits) *Dispatcher { return &Dispatcher{registry: r, limits: l} }

// Decide decides about a request. A request that is sent must be noted at its
// target by the caller.
func (d *Dispatcher) Decide(r Request, now time.Duration) Decision {
	v := Decision{}
	if d.mayWait(r) {
		v.Load = d.registry.MeanLoad(r.Service, r.DataCentres, now)
	}
	r.Query.Draw = r.Draw
	c, ok := d.registry.Pick(r.Query, now)
	switch {
	case !ok:
		v.Action = NoTarget
	case d.limits.MaxNewProgramLoad > 0 && v.Load >= d.limits.MaxNewProgramLoad:
		v.Action, v.RetryDelay = Reject, d.comeBack(r.Draw)
	default:
		v.Choice = c
	}
	return v
}

// mayWait reports whether a request may be turned away: one to an engine whose
// program has not begun.
func (d *Dispatcher) mayWait(r Request) bool {
	return !r.ProgramStarted && r.PromptTokens > 0
}

// comeBack spreads callers that were turned away together, so that they do not return
// together.
func (d *Dispatcher) comeBack(draw float64) time.Duration {
	return d.limits.MinRetryDelay + time.Duration(draw*float64(d.limits.RetryJitter))
}
