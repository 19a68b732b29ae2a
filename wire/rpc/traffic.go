package rpc

import (
	"sync/atomic"

	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// Kind says what a call is for, as far as its bytes are counted.
type Kind int

// The kinds of calls. Write calls are told apart by the largest thing that they carry.
const (
	// KindOther is a call of none of the other kinds.
	KindOther Kind = iota
	// KindReserve writes reservations only.
	KindReserve
	// KindSettle writes settlements, and no turn.
	KindSettle
	// KindKeep writes finished turns.
	KindKeep
	// KindRead asks for budget use and chains.
	KindRead
	// KindTake asks for a token of a quota.
	KindTake
	// KindCopy copies a slot.
	KindCopy
	// KindObjects lists or watches the platform's objects.
	KindObjects
	// KindPing is a sign of life.
	KindPing
	kinds
)

// Kinds returns all kinds, in the order in which they are shown.
func Kinds() []Kind {
	all := make([]Kind, 0, kinds)
	for k := KindReserve; k < kinds; k++ {
		all = append(all, k)
	}
	return append(all, KindOther)
}

var kindNames = [kinds]string{"other", "reserve", "settle", "keep", "read", "take", "copy", "objects", "ping"}

// String implements fmt.Stringer; it is part of the names of metrics.
func (k Kind) String() string { return kindNames[k] }

// kindOf returns the kind of a request.
func kindOf(req *historypb.Request) Kind {
	switch call := req.Call.(type) {
	case *historypb.Request_Write:
		return kindOfWrite(call.Write)
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

func kindOfWrite(w *historypb.Write) Kind {
	kind := KindReserve
	for _, r := range w.Records {
		switch r.Change.(type) {
		case *historypb.Record_Turn:
			return KindKeep
		case *historypb.Record_Settle:
			kind = KindSettle
		}
	}
	return kind
}

// streamHeaderBytes is what yamux puts before each write of a stream.
const streamHeaderBytes = 12

// Traffic counts bytes by kind of call, as they are written to the connection. Safe for
// concurrent use; a nil *Traffic counts nothing.
type Traffic struct {
	calls, sent, received [kinds]atomic.Int64
}

func (t *Traffic) addSent(k Kind, frame int) {
	if t != nil {
		t.sent[k].Add(int64(frame + streamHeaderBytes))
	}
}

func (t *Traffic) addReceived(k Kind, frame int) {
	if t != nil {
		t.received[k].Add(int64(frame + streamHeaderBytes))
	}
}

func (t *Traffic) addCall(k Kind) {
	if t != nil {
		t.calls[k].Add(1)
	}
}

// Calls is how many calls of a kind were made or answered.
func (t *Traffic) Calls(k Kind) int64 { return t.calls[k].Load() }

// Sent is the bytes of a kind that went out.
func (t *Traffic) Sent(k Kind) int64 { return t.sent[k].Load() }

// Received is the bytes of a kind that came in.
func (t *Traffic) Received(k Kind) int64 { return t.received[k].Load() }

// GaugeRegistry is what serves numbers; *meter.Meter is one.
type GaugeRegistry interface {
	Gauge(name string, read func() int64)
}

// Register shows the counters as prefix_kind_calls, prefix_kind_sent_bytes and
// prefix_kind_received_bytes.
func (t *Traffic) Register(g GaugeRegistry, prefix string) {
	for _, k := range Kinds() {
		name := prefix + "_" + k.String()
		g.Gauge(name+"_calls", func() int64 { return t.Calls(k) })
		g.Gauge(name+"_sent_bytes", func() int64 { return t.Sent(k) })
		g.Gauge(name+"_received_bytes", func() int64 { return t.Received(k) })
	}
}
