package loads

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/pistachioarch/pistachioarch/core/request"
)

// Key identifies one incarnation of a target.
type Key uint32

// KeyOf returns the key of a target with an ID and a start time in milliseconds since the
// Unix epoch by the target's clock.
func KeyOf(id string, startedAtMs int64) Key {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	hash.Write([]byte{0})
	hash.Write(strconv.AppendInt(nil, startedAtMs, 10))
	sum := hash.Sum64()
	return Key(sum ^ sum>>32)
}

// LoadReport is a target's report of its load, and when it was received by the local clock of
// the host or board that holds it.
type LoadReport struct {
	Load       request.Load
	ReceivedAt time.Duration
}

// Observation is what a host observes of one target itself. Failed and Served count requests
// since the host started. LoadReport is valid if HasLoadReport.
type Observation struct {
	Key            Key
	InFlight       int
	Failed, Served uint32
	LoadReport     LoadReport
	HasLoadReport  bool
}

// isEmpty reports whether there is nothing to report.
func (o *Observation) isEmpty() bool {
	return o.InFlight == 0 && o.Failed == 0 && o.Served == 0 && !o.HasLoadReport
}

// TargetStats is the part of a message on one target. InFlight, Failed and Served count the
// sender's requests in a report, and those of all hosts but the recipient in a reply. Failed
// and Served count since the start of the session in a report, of the board in a reply.
type TargetStats struct {
	Key            Key
	InFlight       int
	Failed, Served uint32
	// Load is the target's latest load report and LoadAge the time since it was received;
	// both are valid if HasLoad.
	Load    request.Load
	LoadAge time.Duration
	HasLoad bool
}

// HostReport is a message of a host to a board.
type HostReport struct {
	// ReporterID is drawn at random when the sender starts.
	ReporterID uint64
	Session    uint32
	Sequence   uint64
	// AckedSequence is the last report of the session that the sender knows to be merged.
	AckedSequence uint64
	// BoardID is the board instance that the session is with, 0 if it is not known.
	BoardID uint64
	// KnownRevision is the revision of the board up to which the sender has received changes.
	KnownRevision uint64
	Targets       []TargetStats
}

// Reply is a board's answer to a HostReport. Session and Sequence repeat those of the report.
type Reply struct {
	BoardID  uint64
	Session  uint32
	Sequence uint64
	// Restart asks the host to start a new session.
	Restart bool
	// KnownRevision is the revision up to which the host has received changes with this
	// reply. More reports whether there are further changes, which did not fit into the message.
	KnownRevision uint64
	More          bool
	// OtherHosts is the number of other hosts that report to this board.
	OtherHosts int
	Targets    []TargetStats
}

const (
	// ReportInterval is the time between two reports of a host with requests in flight or
	// changes to report, IdleReportInterval that of any other host.
	ReportInterval     = 100 * time.Millisecond
	IdleReportInterval = 500 * time.Millisecond
	// MaxTargetsPerMessage bounds the targets in a message, and so its bytes. The rest
	// follow in the next messages: each target after targets/MaxTargetsPerMessage messages
	// at the latest.
	MaxTargetsPerMessage = 32
	// ReporterTimeout is the silence after which a reporter's requests are no longer
	// counted. It is longer than two intervals of an idle host.
	ReporterTimeout = 1200 * time.Millisecond
	// maxLoadReportAge is the age from which a load report is too old to send.
	maxLoadReportAge = 5 * time.Second
)
