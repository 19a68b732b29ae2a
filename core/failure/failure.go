// Package failure defines the typed errors of pistachioarch.
//
// Every failure that leaves a process has a Kind, states whether the request ran
// and, if a retry can help, the delay after which to retry.
package failure

import (
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is the cause of a failure. Its text is part of the public API.
type Kind string

// The kinds of failure.
const (
	BadRequest          Kind = "bad_request"
	TooLarge            Kind = "too_large"
	Unauthorized        Kind = "unauthorized"
	Forbidden           Kind = "forbidden"
	UnknownProgram      Kind = "unknown_program"
	UnknownCall         Kind = "unknown_call"
	UnknownService      Kind = "unknown_service"
	SequenceGap         Kind = "sequence_gap"
	BodyChanged         Kind = "body_changed"
	HistoryTooLong      Kind = "history_too_long"
	BudgetExhausted     Kind = "budget_exhausted"
	Overloaded          Kind = "overloaded"
	RateLimited         Kind = "rate_limited"
	DeadlineExceeded    Kind = "deadline_exceeded"
	TargetFailed        Kind = "target_failed"
	OwnerLost           Kind = "owner_lost"
	NoTarget            Kind = "no_target"
	NotOwner            Kind = "not_owner"
	Suspended           Kind = "suspended"
	Moving              Kind = "moving"
	Draining            Kind = "draining"
	ProgramEnded        Kind = "program_ended"
	LoopDetected        Kind = "loop_detected"
	TurnLimit           Kind = "turn_limit"
	Rejected            Kind = "rejected"
	Corrupt             Kind = "corrupt"
	Conflict            Kind = "conflict"
	PlatformUnavailable Kind = "platform_unavailable"
	PeerUnavailable     Kind = "peer_unavailable"
	InvalidSetting      Kind = "invalid_setting"
	InvalidDeclaration  Kind = "invalid_declaration"
	Usage               Kind = "usage"
	OutcomeMissed       Kind = "outcome_missed"
	NotFound            Kind = "not_found"
	HistoryGone         Kind = "history_gone"
	ListPending         Kind = "list_pending"
	NoRoute             Kind = "no_route"
	NoConfiguration     Kind = "no_configuration"
	StaleConfiguration  Kind = "stale_configuration"
	QuotaExceeded       Kind = "quota_exceeded"
	UnknownTurn         Kind = "unknown_turn"
	IncompleteChain     Kind = "incomplete_chain"
	HistoryUnavailable  Kind = "history_unavailable"
	TargetFull          Kind = "target_full"
	TargetGone          Kind = "target_gone"
	TargetCrashes       Kind = "target_crashes"
	CallerGone          Kind = "caller_gone"
	Timeout             Kind = "timeout"
	BadAnswer           Kind = "bad_answer"
	Internal            Kind = "internal"
)

// Ran states whether a target executed the request.
type Ran string

// The values of Ran. RanNo is a guarantee: the request did not run, and under this
// identity it never will unless it is submitted again.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Failure is a typed error.
type Failure struct {
	Kind Kind
	Ran  Ran
	// RetryAfter is the delay after which the caller should retry; 0 means that a
	// retry does not help.
	RetryAfter time.Duration
	// Detail describes the failure to a human; it may be empty.
	Detail string
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Detail == "" {
		return string(f.Kind)
	}
	return string(f.Kind) + ": " + f.Detail
}

// New returns the failure of a request that did not run, without a retry delay.
func New(kind Kind, format string, args ...any) *Failure {
	return &Failure{Kind: kind, Ran: RanNo, Detail: fmt.Sprintf(format, args...)}
}

// Retry returns the failure of a request that did not run and may be retried after delay.
func Retry(kind Kind, delay time.Duration, format string, args ...any) *Failure {
	f := New(kind, format, args...)
	f.RetryAfter = delay
	return f
}

// Unknown returns the failure of a request that may or may not have run.
func Unknown(kind Kind, format string, args ...any) *Failure {
	f := New(kind, format, args...)
	f.Ran = RanUnknown
	return f
}

// Wrap returns err as a failure of the given kind of a request that did not run, with
// the text of its cause and a stack trace. It returns nil if err is nil.
func Wrap(err error, kind Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	f := New(kind, format, args...)
	f.Detail += ": " + err.Error()
	return eris.Wrap(f, err.Error())
}

// From returns the Failure in the chain of err. Any other error becomes one of kind
// Internal.
func From(err error) *Failure {
	var f *Failure
	if eris.As(err, &f) {
		return f
	}
	return New(Internal, "%v", err)
}

// Is reports whether err is a failure of the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && From(err).Kind == kind
}
