package loads

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// Key names one start of a target.
type Key uint32

// KeyOf is the key of a target that was born at an instant; see balance.Listed.
func KeyOf(id string, born int64) Key {
	f := fnv.New64a()
	f.Write([]byte(id))
	f.Write([]byte{0})
	f.Write(strconv.AppendInt(nil, born, 10))
	x := f.Sum64()
	return Key(x ^ x>>32)
}

// LoadReport is a target's word of its load, and when it was heard by the holder's clock.
type LoadReport struct {
	Load       request.Load
	ReceivedAt time.Duration
}

// Observation is what a host sees of one target by itself. Failed and Served count since the host
// started.
type Observation struct {
	Key            Key
	InFlight       int
	Failed, Served uint32
	LoadReport     LoadReport
	HasLoadReport  bool
}

// empty reports whether there is nothing to tell.
func (o *Observation) empty() bool {
	return o.InFlight == 0 && o.Failed == 0 && o.Served == 0 && !o.HasLoadReport
}

// TargetStats is what a message says of one target. In a report InFlight, Failed and Served are the
// sender's, in a reply those of all but the asker. Failed and Served count since the session
// or the board began.
type TargetStats struct {
	Key            Key
	InFlight       int
	Failed, Served uint32
	// Load and Age are the newest word of the target's load, valid if HasWord.
	Load    request.Load
	LoadAge time.Duration
	HasLoad bool
}

// HostReport is one message to a board.
type HostReport struct {
	// ReporterID is drawn at random when the sender starts.
	ReporterID uint64
	Session    uint32
	Sequence   uint64
	// AckedSequence is the last report of the session that the sender knows to be merged.
	AckedSequence uint64
	// BoardID is the start of the board that the session is with, 0 if it is not known.
	BoardID uint64
	// KnownRevision is the revision of the board up to which the sender was told.
	KnownRevision uint64
	Targets       []TargetStats
}

// Reply is the answer to a Report.
type Reply struct {
	BoardID  uint64
	Session  uint32
	Sequence uint64
	// Restart asks for a new session.
	Restart bool
	// KnownRevision is the revision up to which the asker is told with this reply; More: there is more.
	KnownRevision uint64
	More          bool
	// OtherHosts is how many other hosts tell this board of their own.
	OtherHosts int
	Targets    []TargetStats
}

const (
	// ReportInterval and IdleEvery are between two reports of a host that has requests in flight, or
	// anything to tell, and of one that has not.
	ReportInterval     = 100 * time.Millisecond
	IdleReportInterval = 500 * time.Millisecond
	// MaxTargetsPerMessage bounds the lines of a message, and so its bytes. What is left out comes
	// with the next ones: each line at the latest after targets/MaxTargetsPerMessage messages.
	MaxTargetsPerMessage = 32
	// ReporterTimeout is after how long a silent reporter's requests count no more: some exchanges
	// of a host that has nothing to tell.
	ReporterTimeout = 1200 * time.Millisecond
	// wordKept is the age from which a word is not worth telling.
	wordKept = 5 * time.Second
)
