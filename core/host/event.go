package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// Event is an input of the state machine: one of the types below.
type Event interface{ event() }

// Tick advances time.
type Tick struct{}

// Start is the first event of a Host, which then reads the platform and joins
// the members.
type Start struct {
	// CachedConfig is the last declaration object that the host saved on its
	// disk, nil if there is none.
	CachedConfig []byte
	// Seeds are the addresses of peers in the settings.
	Seeds []string
}

// Drain starts a graceful stop. Ready.Drained reports its end.
type Drain struct{}

// OpStatus is the result of a platform operation.
type OpStatus uint8

// The results of an operation. OpUnavailable means that it had no effect, OpLost
// that a write may have taken effect.
const (
	OpOK OpStatus = iota
	OpNotFound
	OpConflict
	OpUnavailable
	OpLost
)

// Object is an object stored at the platform.
type Object struct {
	Key string
	// Version grows with each write.
	Version uint64
	Body    []byte
}

// PlatformReply is the result of the PlatformOp with the same ID.
type PlatformReply struct {
	ID      uint64
	Status  OpStatus
	Version uint64
	Body    []byte
	Objects []Object // of OpList and OpWatch
	// Revision is the revision from which the next watch continues.
	Revision uint64
}

// PeerFrame is a message from another member.
type PeerFrame struct{ Frame *peerpb.Frame }

// PeerRefused reports that a peer's host answers but refuses the connection to
// its address: the process is not running.
type PeerRefused struct{ Address string }

// CreateProgram requests a new program. Budget is in tokens.
type CreateProgram struct {
	Waiter   uint64
	Caller   string
	Service  string
	Parent   ident.Program
	Budget   int64
	Deadline time.Duration // from now, 0 = none
	// Key, if not empty, makes the request idempotent: the same caller and key
	// give the same program.
	Key string
}

// SubmitCall requests one call of a program.
type SubmitCall struct {
	Waiter     uint64
	Caller     string
	Program    ident.Program
	Sequence   uint32
	Service    string // empty for the program's service
	Idempotent bool
	// PromptTokens is an upper bound of the new prompt tokens, MaxTokens of the
	// output tokens.
	PromptTokens, MaxTokens int64
	Deadline                time.Duration // from now, 0 = none
	Prompt                  []byte
}

// FetchAnswer requests the outcome of a call that was submitted before.
type FetchAnswer struct {
	Waiter   uint64
	Caller   string
	Program  ident.Program
	Sequence uint32
}

// EndProgram requests the end of a program.
type EndProgram struct {
	Waiter  uint64
	Caller  string
	Program ident.Program
}

// TargetOutcome is the result of an attempt at a target.
type TargetOutcome uint8

// The results of an attempt. TargetRefused proves that the call did not start.
// TargetLost means that there is no usable answer and the call may have run.
// TargetFenced is a rejection because of an old epoch, TargetInvalid a rejection
// that every other target would return as well.
const (
	TargetAnswered TargetOutcome = iota
	TargetRefused
	TargetLost
	TargetFenced
	TargetInvalid
)

// CallID identifies one attempt of one call.
type CallID struct {
	Program  ident.Program
	Sequence uint32
	Attempt  uint32
}

// Usage counts the tokens of one attempt as reported by the target; Cached is
// the part of Prompt read from its cache. The zero value means that the target
// does not report usage.
type Usage struct{ Prompt, Output, Cached int64 }

// TargetDone reports the end of an attempt.
type TargetDone struct {
	Call    CallID
	Target  string
	Outcome TargetOutcome
	// Echo is the call id that the target returned with the answer, empty if it
	// returns none.
	Echo   string
	Answer []byte
	Usage  Usage
	Detail string
}

// TargetReport is a target's report of its queue and cache.
type TargetReport struct {
	Target string
	Queued int
	// CachedPrograms lists the programs in the target's cache, nil if the target
	// was not asked.
	CachedPrograms []ident.Program
}

// ReleaseDone is the result of a Release. OK reports whether the target
// confirmed it.
type ReleaseDone struct {
	Target  string
	Program ident.Program
	OK      bool
}

func (*Tick) event()          {}
func (*Start) event()         {}
func (*Drain) event()         {}
func (*PlatformReply) event() {}
func (*PeerFrame) event()     {}
func (*PeerRefused) event()   {}
func (*CreateProgram) event() {}
func (*SubmitCall) event()    {}
func (*FetchAnswer) event()   {}
func (*EndProgram) event()    {}
func (*TargetDone) event()    {}
func (*TargetReport) event()  {}
func (*ReleaseDone) event()   {}
