package dispatch

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/balance"
)

// Limits bound what is sent while targets have queues.
type Limits struct {
	// MaxNewProgramLoad is the load of a service's engines, relative to their capacity, from
	// which programs that have not started are rejected; 0 rejects none.
	MaxNewProgramLoad float64
	// MinRetryDelay is the shortest time after which a rejected program may retry, and RetryJitter
	// the maximum that is added to it. They are as long as a few turns, so that capacity becomes
	// free meanwhile, and short compared with the latency objective of a program.
	MinRetryDelay, RetryJitter time.Duration
}

// DefaultLimits returns the limits that hosts use.
func DefaultLimits() Limits {
	return Limits{MaxNewProgramLoad: 1.1, MinRetryDelay: 400 * time.Millisecond, RetryJitter: 600 * time.Millisecond}
}

// Request is a request that is ready to be sent.
type Request struct {
	balance.Query
	// ProgramStarted reports whether the program has received an answer before.
	ProgramStarted bool
	// Draw is uniform in [0, 1) and the same for the same request.
	Draw float64
}

// Action is what to do with a request.
type Action uint8

// The actions.
const (
	// Send sends the request to the chosen target.
	Send Action = iota
	// NoTarget fails the request: no target is usable.
	NoTarget
	// Reject rejects the request: the service is full.
	Reject
)

// Decision is an action and the values that decided it.
type Decision struct {
	Action Action
	// Choice is valid if Action is Send.
	Choice balance.Choice
	// Load is the load of the service relative to its capacity; 0 if the request may not be
	// rejected.
	Load float64
	// RetryDelay is the delay after which a rejected request may be retried.
	RetryDelay time.Duration
}

// Dispatcher decides for one entry host.
type Dispatcher struct {
	registry *balance.Registry
	limits   Limits
}

// New returns a dispatcher for the targets of a registry.
func New(r *balance.Registry, l Limits) *Dispatcher { return &Dispatcher{registry: r, limits: l} }

// Decide returns what to do with a request. It does not record the send: if the Action is Send,
// RecordSend of the chosen target must be called.
func (d *Dispatcher) Decide(r Request, now time.Duration) Decision {
	decision := Decision{}
	if d.mayReject(r) {
		decision.Load = d.registry.MeanLoad(r.Service, r.DataCentres, now)
	}
	r.Query.Draw = r.Draw
	choice, ok := d.registry.Pick(r.Query, now)
	switch {
	case !ok:
		decision.Action = NoTarget
	case d.limits.MaxNewProgramLoad > 0 && decision.Load >= d.limits.MaxNewProgramLoad:
		decision.Action, decision.RetryDelay = Reject, d.retryDelay(r.Draw)
	default:
		decision.Choice = choice
	}
	return decision
}

// mayReject reports whether a request may be rejected: one for an engine, of a program that has
// not started.
func (d *Dispatcher) mayReject(r Request) bool {
	return !r.ProgramStarted && r.PromptTokens > 0
}

// retryDelay adds jitter, so that callers rejected together do not return together.
func (d *Dispatcher) retryDelay(draw float64) time.Duration {
	return d.limits.MinRetryDelay + time.Duration(draw*float64(d.limits.RetryJitter))
}
