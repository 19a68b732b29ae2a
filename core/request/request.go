// Package request holds what a caller's request says about itself, decoded once
// at the boundary, in the terms of the project.
package request

import "time"

// Part is one part of a prompt, as the prefix cache of a model engine knows it.
type Part struct {
	ID     string
	Tokens int
}

// Call is one attempt of a caller.
type Call struct {
	// ID is unique to the attempt; targets echo it in their answers.
	ID string
	// Program, Session and ProgramLeft are empty outside of agent programs.
	Program string
	// Session names one line of turns of a program.
	Session string
	// ProgramTimeout is the time in which the whole program should be finished.
	ProgramTimeout time.Duration
	// Timeout is how long the caller will wait for this attempt; 0 if not said.
	Timeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program may generate.
	TokenBudget int64
	// PromptTokens and MaxTokens are the size of the prompt and the most tokens
	// that this turn generates.
	PromptTokens, MaxTokens int64
	// Prefix lists the parts of the prompt in order.
	Prefix []Part
	// PreviousTurn is the turn that this one continues, empty at the start of a chain.
	PreviousTurn string
	// LastEventID is the last event that the caller has of an interrupted stream.
	LastEventID string
	// Affinity names the object that the request concerns.
	Affinity string
	Model    string
	// CustomerKey is what the caller shows as its customer's key, empty if it shows none. It goes
	// no further than the entry host.
	CustomerKey string
}

// Answer is what the head of a target's answer says about itself.
type Answer struct {
	// ID echoes Call.ID; empty if the target did not say.
	ID string
	// Instance is the target that answered, where it says so.
	Instance string
	// Signed reports that the answer bears the target's signature.
	Signed bool
	// NotRun is the target's word that the request did not run there.
	NotRun bool
	// Misdirected reports that another target has the address.
	Misdirected bool
	// Load is valid if HasLoad.
	Load    Load
	HasLoad bool
	// IdleTimeout is how long the target keeps an idle connection; 0 if not said.
	IdleTimeout time.Duration
}

// Load is a target's own count of its requests.
type Load struct {
	Running, Waiting, Capacity int
	// Slowdown is how many times longer than usual work takes at the target at this moment;
	// 0 where the target does not say so.
	Slowdown float64
}

// SendOptions is what the system says to a target beside the caller's own headers.
type SendOptions struct {
	// Instance is the start of the target that is meant; another one refuses.
	Instance string
	// Timeout is how long the target may take; 0 if there is no limit.
	Timeout time.Duration
	// Priority ranks requests at the target, 0 first; valid if HasUrgency.
	Priority    int
	HasPriority bool
	// Pin keeps the prompt and the answer from eviction for a while.
	Pin time.Duration
	// HideKey keeps the caller's key from the target.
	HideKey bool
	// Customer is the caller's customer, empty on public routes.
	Customer string
	// LastEventID continues an interrupted stream after this event.
	LastEventID string
}
