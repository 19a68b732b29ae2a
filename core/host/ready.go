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

// The kinds. OpPut is conditional: IfVersion 0 means that the object must not
// exist. OpList returns all objects below a prefix with their bodies; OpKeys
// the same without bodies. OpWatch waits for changes below a prefix.
const (
	OpGet OpKind = iota
	OpPut
	OpDelete
	OpList
	OpListKeys
	OpWatch
)

// PlatformOp is one operation on the platform's objects.
type PlatformOp struct {
	ID        uint64
	Kind      OpKind
	Key       string // or the prefix
	IfVersion uint64 // of OpPut; of OpWatch the revision to go on from
	Body      []byte
}

// Turn is one finished call, as history for the next.
type Turn struct {
	Service string
	Prompt  []byte
	Answer  []byte
}

// Send is one attempt of a call at a target.
type Send struct {
	Call    CallID
	Target  *decl.Target
	Kind    decl.ServiceKind
	Slot    ident.Slot
	Epoch   uint64
	Prompt  []byte
	History []Turn
	// MaxTokens is what the budget leaves for the output.
	MaxTokens int64
	// Priority orders the calls that wait inside the target: higher first. It
	// falls with time, so that no call is passed for ever.
	Priority int64
	Timeout  time.Duration
	// NotAfter is when, unless more is learned, this member may no longer send
	// for the slot. A driver that comes to send later, as after a pause of its
	// process, must not, and reports TargetRefused.
	NotAfter time.Duration
}

// ID is the call id that goes to the target and comes back with the answer.
func (c CallID) ID() string {
	return string(c.Program) + "/" + strconv.FormatUint(uint64(c.Sequence), 10) + "/" + strconv.FormatUint(uint64(c.Attempt), 10)
}

// Outcome is the final word on a request.
type Outcome struct {
	Program ident.Program
	Answer  []byte
	Usage   Usage
	Target  string
	// Failure is nil when the request was answered.
	Failure *failure.Failure
}

// Reply is the outcome for one waiter. It is given once per waiter.
type Reply struct {
	Waiter  uint64
	Outcome Outcome
}

// PeerMessage goes to another member, or to an address of which no member is
// known yet.
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

// NoteKind names something worth a log line and a counter.
type NoteKind string

// The notes.
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

// Note is a fact for logs and metrics; it never carries prompt text.
type Note struct {
	Kind    NoteKind
	Program ident.Program
	Call    uint32
	Target  string
	Member  string
	Epoch   uint64
	Detail  string
}

// Ready is what the driver has to do after a Step.
type Ready struct {
	Ops      []PlatformOp
	Sends    []Send
	Cancels  []CallID
	Replies  []Reply
	Messages []PeerMessage
	Releases []Release
	Notes    []Note
	// SaveConfig, when not nil, is a newly accepted declaration object for
	// hosts with a disk to keep.
	SaveConfig []byte
	// Drained is set once a graceful stop is complete.
	Drained bool
	// Lost is set when the member was replaced by another owner and must start
	// again under a new incarnation.
	Lost bool
}

func (r *Ready) reset() {
	*r = Ready{
		Ops: r.Ops[:0], Sends: r.Sends[:0], Cancels: r.Cancels[:0], Replies: r.Replies[:0],
		Messages: r.Messages[:0], Releases: r.Releases[:0], Notes: r.Notes[:0],
		Drained: r.Drained, Lost: r.Lost,
	}
}
