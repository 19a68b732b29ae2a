package host

import (
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/decl"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/ident"
	"github.com/pistachioarch/pistachioarch/core/peerpb"
)

// OpKind is the kind of a platform operation.
type OpKind uint8

// The kinds of operations. OpPut is conditional: IfVersion 0 means that the object
// must not exist. OpList returns all objects under a prefix with their bodies,
// OpListKeys the same without bodies. OpWatch waits for changes under a prefix.
const (
	OpGet OpKind = iota
	OpPut
	OpDelete
	OpList
	OpListKeys
	OpWatch
)

// PlatformOp is an operation on the objects of the platform.
type PlatformOp struct {
	ID        uint64
	Kind      OpKind
	Key       string // or the prefix of OpList, OpListKeys and OpWatch
	IfVersion uint64 // for OpPut; for OpWatch the revision to continue from
	Body      []byte
}

// Turn is an answered call, as history for the next call of the program.
type Turn struct {
	Service string
	Prompt  []byte
	Answer  []byte
}

// Send is an attempt of a call at a target.
type Send struct {
	Call    CallID
	Target  *decl.Target
	Kind    decl.ServiceKind
	Slot    ident.Slot
	Epoch   uint64
	Prompt  []byte
	History []Turn
	// MaxTokens is the output limit in tokens, within the remaining budget.
	MaxTokens int64
	// Priority orders the calls that wait inside the target, higher values
	// first. It falls with time, so that no call waits forever behind later
	// ones.
	Priority int64
	Timeout  time.Duration
	// NotAfter is the time after which this member, as far as it knows now, may
	// no longer send for the slot. A driver that would send later, for example
	// after a pause of its process, must not send and reports TargetRefused.
	NotAfter time.Duration
}

// ID returns the call id that is sent to the target and returned with the
// answer: "<program>/<sequence>/<attempt>".
func (c CallID) ID() string {
	return string(c.Program) + "/" + strconv.FormatUint(uint64(c.Sequence), 10) + "/" + strconv.FormatUint(uint64(c.Attempt), 10)
}

// Outcome is the final result of a request.
type Outcome struct {
	Program ident.Program
	Answer  []byte
	Usage   Usage
	Target  string
	// Failure is nil when the request was answered.
	Failure *failure.Failure
}

// Reply is the outcome for one waiter. Each waiter gets exactly one.
type Reply struct {
	Waiter  uint64
	Outcome Outcome
}

// PeerMessage is a message to another member, or to a seed address that belongs
// to no known member.
type PeerMessage struct {
	Address string
	Frame   *peerpb.Frame
}

// Release orders a target to drop the cache of a program.
type Release struct {
	Target  *decl.Target
	Program ident.Program
	Slot    ident.Slot
	Epoch   uint64
}

// NoteKind names an occurrence that is logged and counted.
type NoteKind string

// The kinds of notes.
const (
	NoteLeaseAcquired   NoteKind = "lease_acquired"
	NoteLeaseLost       NoteKind = "lease_lost"
	NoteSuspended       NoteKind = "suspended"
	NoteResumed         NoteKind = "resumed"
	NotePlatformDown    NoteKind = "platform_unreachable"
	NotePlatformUp      NoteKind = "platform_reachable"
	NotePeerSuspected   NoteKind = "peer_suspected"
	NoteTakeover        NoteKind = "takeover"
	NoteSlotsServing    NoteKind = "slots_serving"
	NoteHandover        NoteKind = "handover"
	NoteSealed          NoteKind = "journal_sealed"
	NoteCorrupt         NoteKind = "journal_corrupt"
	NoteConfigAccepted  NoteKind = "config_accepted"
	NoteConfigRefused   NoteKind = "config_refused"
	NoteAnswerDuplicate NoteKind = "answer_duplicate"
	NoteAnswerCrossed   NoteKind = "answer_crossed"
	NoteAttemptFailed   NoteKind = "attempt_failed"
	NoteCallFailed      NoteKind = "call_failed"
	NoteProgramEnded    NoteKind = "program_ended"
	NoteSwept           NoteKind = "cache_swept"
	NoteBudgetOverrun   NoteKind = "budget_overrun"
)

// Note is an occurrence for logs and metrics. It never contains prompt text.
type Note struct {
	Kind    NoteKind
	Program ident.Program
	Call    uint32
	Target  string
	Member  string
	Epoch   uint64
	Detail  string
}

// Ready holds the effects that the driver carries out after a Step.
type Ready struct {
	Ops      []PlatformOp
	Sends    []Send
	Cancels  []CallID
	Replies  []Reply
	Messages []PeerMessage
	Releases []Release
	Notes    []Note
	// SaveConfig, if not nil, is a newly accepted declaration object, which a
	// host with a disk saves.
	SaveConfig []byte
	// Drained is set once a graceful stop is complete.
	Drained bool
	// Lost is set when another owner has replaced the member. The host must
	// restart under a new incarnation.
	Lost bool
}

func (r *Ready) reset() {
	*r = Ready{
		Ops: r.Ops[:0], Sends: r.Sends[:0], Cancels: r.Cancels[:0], Replies: r.Replies[:0],
		Messages: r.Messages[:0], Releases: r.Releases[:0], Notes: r.Notes[:0],
		Drained: r.Drained, Lost: r.Lost,
	}
}
