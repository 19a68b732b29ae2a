// Package request defines what a caller's request, a target's answer and a request to a
// target state about themselves. Headers are decoded to these types once at the process
// boundary, so that other packages are independent of header names.
package request

import (
	"slices"
	"time"
)

// Part is one part of a prompt, the unit in which the prefix cache of a model engine holds
// prompts.
type Part struct {
	ID string
	// Tokens is the length of the part.
	Tokens int
}

// Call is one attempt of a caller.
type Call struct {
	// ID is unique to the attempt; targets echo it in their answers.
	ID string
	// Program, Session and ProgramTimeout are empty outside of agent programs.
	Program string
	// Session names one line of turns of a program.
	Session string
	// ProgramTimeout is the time within which the whole program should finish.
	ProgramTimeout time.Duration
	// Timeout is how long the caller waits for this attempt; 0 if it is not stated.
	Timeout time.Duration
	// TokenBudget is the number of tokens that all turns of the program together may
	// generate.
	TokenBudget int64
	// PromptTokens is the length of the prompt, MaxTokens the maximum number of tokens
	// that this turn generates.
	PromptTokens, MaxTokens int64
	// Prefix lists the parts of the prompt in order.
	Prefix []Part
	// PreviousTurn is the turn that this one continues; empty at the start of a chain.
	PreviousTurn string
	// LastEventID is the last event that the caller received of an interrupted stream.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of that stream; empty if it is
	// not stated.
	Resumes string
	// Affinity names the object that the request concerns.
	Affinity string
	Model    string
	// CustomerKey is the key by which the caller identifies its customer; empty if it sends
	// none. It is not passed on by the entry host.
	CustomerKey string
}

// Answer is what the head of a target's answer states.
type Answer struct {
	// ID echoes Call.ID; empty if the target does not echo it.
	ID string
	// Instance is the id of the target that answered; empty if the target does not send it.
	Instance string
	// Signed reports that the answer has the target's signature.
	Signed bool
	// Encoded reports that the body has a content coding.
	Encoded bool
	// Contradictory reports that the head names several requests or has several signatures.
	Contradictory bool
	// NotRun reports that, by the target's statement, the request did not run there.
	NotRun bool
	// Misdirected reports that the address belongs to another target.
	Misdirected bool
	// Load is valid if HasLoad.
	Load    Load
	HasLoad bool
	// IdleTimeout is how long the target keeps an idle connection open; 0 if it is not
	// stated.
	IdleTimeout time.Duration
}

// Differ reports whether the values of a header are not all the same.
func Differ(values []string) bool {
	return slices.ContainsFunc(values, func(v string) bool { return v != values[0] })
}

// HasValue reports whether one of the values of a header is not empty.
func HasValue(values []string) bool {
	return slices.ContainsFunc(values, func(v string) bool { return v != "" })
}

// ReportsFull reports whether the target was full by its own report.
func (a Answer) ReportsFull() bool {
	return a.HasLoad && (a.Load.Running >= a.Load.Capacity || a.Load.Waiting > 0)
}

// Load is a target's own report of its load.
type Load struct {
	// Running and Waiting are the numbers of requests that the target runs and queues; Capacity
	// is the number that it runs at once.
	Running, Waiting, Capacity int
	// Slowdown is the factor by which work at the target takes longer than usual at the moment;
	// 0 if the target does not report it.
	Slowdown float64
}

// SendOptions is what an entry host states to a target in addition to the caller's headers.
type SendOptions struct {
	// Instance is the id of the target that the request is meant for; another target refuses
	// the request.
	Instance string
	// Timeout is how long the target may take; 0 means no limit.
	Timeout time.Duration
	// Priority ranks requests at the target; 0 is the most urgent. Valid if HasPriority.
	Priority    int
	HasPriority bool
	// Pin is the time for which the target protects the prompt and the answer from eviction; 0
	// means not at all.
	Pin time.Duration
	// HideKey removes the caller's key from the request.
	HideKey bool
	// Customer is the caller's customer; empty on public routes.
	Customer string
	// LastEventID is the event after which an interrupted stream continues.
	LastEventID string
}
