package rpc

import (
	"sync/atomic"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// Kind classifies calls for the traffic counters.
type Kind int

// The kinds of calls. The kind of a write call is that of the largest record it carries.
const (
	// KindOther is a call of none of the other kinds.
	KindOther Kind = iota
	// KindReserve is a write of reservations only.
	KindReserve
	// KindSettle is a write with settlements and no turn.
	KindSettle
	// KindTurn is a write with finished turns.
	KindTurn
	// KindRead reads budget use and turn chains.
	KindRead
	// KindTake takes a token of a quota.
	KindTake
	// KindCopy copies a slot.
	KindCopy
	// KindObjects lists or watches the platform's objects.
	KindObjects
	// KindPing checks that the peer is alive.
	KindPing
	kindCount
)

// Kinds returns all kinds in display order, KindOther last.
func Kinds() []Kind {
	all := make([]Kind, 0, kindCount)
	for k := KindReserve; k < kindCount; k++ {
		all = append(all, k)
	}
	return append(all, KindOther)
}

var kindNames = [kindCount]string{"other", "reserve", "settle", "keep", "read", "take", "copy", "objects", "ping"}

// String implements fmt.Stringer; the result is part of metric names.
func (k Kind) String() string { return kindNames[k] }

func requestKind(req *historypb.Request) Kind {
	switch call := req.Call.(type) {
	case *historypb.Request_Write:
		return writeKind(call.Write)
	case *historypb.Request_Read:
		return KindRead
	case *historypb.Request_Take:
		return KindTake
	case *historypb.Request_Copy:
		return KindCopy
	case *historypb.Request_ListObjects, *historypb.Request_WatchObjects:
		return KindObjects
	case *historypb.Request_Ping:
		return KindPing
	}
	return KindOther
}

func writeKind(w *historypb.Write) Kind {
	kind := KindReserve
	for _, r := range w.Records {
		switch r.Change.(type) {
		case *historypb.Record_Turn:
			return KindTurn
		case *historypb.Record_Settle:
			kind = KindSettle
		}
	}
	return kind
}

// yamuxHeaderBytes is the size of the header that yamux adds to each write of a stream.
const yamuxHeaderBytes = 12

// Traffic counts calls and bytes by kind of call, as they are written to the connection. Safe
// for concurrent use; calls and bytes added to a nil *Traffic are ignored.
type Traffic struct {
	calls, sent, received [kindCount]atomic.Int64
}

func (t *Traffic) addSent(k Kind, frameBytes int) {
	if t != nil {
		t.sent[k].Add(int64(frameBytes + yamuxHeaderBytes))
	}
}

func (t *Traffic) addReceived(k Kind, frameBytes int) {
	if t != nil {
		t.received[k].Add(int64(frameBytes + yamuxHeaderBytes))
	}
}

func (t *Traffic) addCall(k Kind) {
	if t != nil {
		t.calls[k].Add(1)
	}
}

// Calls returns the number of calls of a kind that were sent or received.
func (t *Traffic) Calls(k Kind) int64 { return t.calls[k].Load() }

// Sent returns the bytes sent for calls of a kind.
func (t *Traffic) Sent(k Kind) int64 { return t.sent[k].Load() }

// Received returns the bytes received for calls of a kind.
func (t *Traffic) Received(k Kind) int64 { return t.received[k].Load() }

// GaugeRegistry exposes gauges as metrics; *meter.Meter implements it.
type GaugeRegistry interface {
	// Gauge exposes the result of read under a name.
	Gauge(name string, read func() int64)
}

// Register exposes the counters as prefix_kind_calls, prefix_kind_sent_bytes and
// prefix_kind_received_bytes.
func (t *Traffic) Register(g GaugeRegistry, prefix string) {
	for _, k := range Kinds() {
		name := prefix + "_" + k.String()
		g.Gauge(name+"_calls", func() int64 { return t.Calls(k) })
		g.Gauge(name+"_sent_bytes", func() int64 { return t.Sent(k) })
		g.Gauge(name+"_received_bytes", func() int64 { return t.Received(k) })
	}
}
