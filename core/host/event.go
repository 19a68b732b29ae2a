package host

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// Event is something that happened; see the types below.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Start is the first event of a Host: it reads the platform and joins.
type Start struct {
	// CachedConfig is the last declaration the host kept on its disk, if any.
	CachedConfig []byte
	// Seeds are addresses of peers from the settings.
	Seeds []string
}

// Drain begins a graceful stop. Ready.Drained reports its end.
type Drain struct{}

// OpStatus is the outcome of a platform operation.
type OpStatus uint8

// The outcomes. OpUnavailable means surely without effect, OpLost that a write
// may have taken effect.
const (
	OpOK OpStatus = iota
	OpNotFound
	OpConflict
	OpUnavailable
	OpLost
)

// Object is an object of the platform.
type Object struct {
	Key     string
	Version uint64
	Body    []byte
}

// PlatformReply answers a PlatformOp.
type PlatformReply struct {
	ID      uint64
	Status  OpStatus
	Version uint64
	Body    []byte
	Objects []Object // of OpList and OpWatch
	// Revision is where the next watch goes on.
	Revision uint64
}

// PeerFrame is a message from another member.
type PeerFrame struct{ Frame *peerpb.Frame }

// PeerRefused says that nothing listens at a peer's address any more: its
// host answers, but the process is gone.
type PeerRefused struct{ Address string }

// CreateProgram asks for a new program.
type CreateProgram struct {
	Waiter   uint64
	Caller   string
	Service  string
	Parent   ident.Program
	Budget   int64
	Deadline time.Duration // from now, 0 = none
	// Key, when not empty, makes the request idempotent: the same caller and
	// key give the same program.
	Key string
}

// SubmitCall asks for one call of a program.
type SubmitCall struct {
	Waiter     uint64
	Caller     string
	Program    ident.Program
	Sequence   uint32
	Service    string // empty is the program's own
	Idempotent bool
	// PromptTokens is an upper bound of the new tokens, MaxTokens of the output.
	PromptTokens, MaxTokens int64
	Deadline                time.Duration // from now, 0 = none
	Prompt                  []byte
}

// FetchAnswer asks again for the answer of a call.
type FetchAnswer struct {
	Waiter   uint64
	Caller   string
	Program  ident.Program
	Sequence uint32
}

// EndProgram ends a program.
type EndProgram struct {
	Waiter  uint64
	Caller  string
	Program ident.Program
}

// TargetOutcome is how an attempt at a target ended.
type TargetOutcome uint8

// The outcomes. TargetRefused carries the proof that the call did not start;
// TargetFenced is a refusal for an old epoch; TargetInvalid is a refusal that
// no other target would decide differently.
const (
	TargetAnswered TargetOutcome = iota
	TargetRefused
	TargetLost
	TargetFenced
	TargetInvalid
)

// CallID names one attempt of one call.
type CallID struct {
	Program  ident.Program
	Sequence uint32
	Attempt  uint32
}

// Usage counts the tokens of one attempt as the target reports them.
type Usage struct{ Prompt, Output, Cached int64 }

// TargetDone reports the end of an attempt.
type TargetDone struct {
	Call    CallID
	Target  string
	Outcome TargetOutcome
	// Echo is the call id that came with the answer, empty if the target does
	// not give it back.
	Echo   string
	Answer []byte
	Usage  Usage
	Detail string
}

// TargetReport is a target's own account of its load and memory.
type TargetReport struct {
	Target string
	Queued int
	// Holds lists the programs whose cache it keeps; nil when it was not asked.
	CachedPrograms []ident.Program
}

// ReleaseDone answers a Release.
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
