package loads

import (
	"math"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
)

const (
	// ageUnit is the unit of ages in messages.
	ageUnit = 10 * time.Millisecond
	// hundredths is the unit of a slowdown in messages.
	hundredths = 100
)

// EncodeHostReport returns the message of a report.
func EncodeHostReport(m HostReport) *historypb.ExchangeLoads {
	return &historypb.ExchangeLoads{
		Reporter: m.ReporterID, Session: m.Session, Sequence: m.Sequence, Board: m.BoardID, Have: m.KnownRevision, Acknowledged: m.AckedSequence, Lines: encode(m.Targets),
	}
}

// DecodeHostReport returns the report of a message.
func DecodeHostReport(m *historypb.ExchangeLoads) HostReport {
	return HostReport{
		ReporterID: m.GetReporter(), Session: m.GetSession(), Sequence: m.GetSequence(), BoardID: m.GetBoard(), KnownRevision: m.GetHave(),
		AckedSequence: m.GetAcknowledged(), Targets: decode(m.GetLines()),
	}
}

// EncodeReply returns the message of a reply.
func EncodeReply(m Reply) *historypb.LoadsTold {
	return &historypb.LoadsTold{
		Board: m.BoardID, Session: m.Session, Sequence: m.Sequence, Restart: m.Restart, Have: m.KnownRevision, More: m.More, Hosts: uint32(m.OtherHosts), Lines: encode(m.Targets),
	}
}

// DecodeReply returns the reply of a message.
func DecodeReply(m *historypb.LoadsTold) Reply {
	return Reply{
		BoardID: m.GetBoard(), Session: m.GetSession(), Sequence: m.GetSequence(), Restart: m.GetRestart(), KnownRevision: m.GetHave(), More: m.GetMore(),
		OtherHosts: int(m.GetHosts()), Targets: decode(m.GetLines()),
	}
}

func encode(lines []TargetStats) *historypb.LoadLines {
	if len(lines) == 0 {
		return nil
	}
	m := &historypb.LoadLines{}
	for _, l := range lines {
		m.Keys = append(m.Keys, uint32(l.Key))
	}
	m.InFlight = column(lines, func(l *TargetStats) uint32 { return whole(l.InFlight) })
	m.Failed = column(lines, func(l *TargetStats) uint32 { return l.Failed })
	m.Served = column(lines, func(l *TargetStats) uint32 { return l.Served })
	m.Ages = column(lines, func(l *TargetStats) uint32 { return bit(l.HasLoad) * (1 + uint32(l.LoadAge/ageUnit)) })
	m.Running = column(lines, func(l *TargetStats) uint32 { return bit(l.HasLoad) * whole(l.Load.Running) })
	m.Waiting = column(lines, func(l *TargetStats) uint32 { return bit(l.HasLoad) * whole(l.Load.Waiting) })
	m.Slowdowns = column(lines, func(l *TargetStats) uint32 { return bit(l.HasLoad) * slowdown(l.Load.Slowdown) })
	return m
}

// column is one value of all lines; nil if all are zero.
func column(lines []TargetStats, of func(*TargetStats) uint32) []uint32 {
	var values []uint32
	for i := range lines {
		v := of(&lines[i])
		if v != 0 && values == nil {
			values = make([]uint32, len(lines))
		}
		if values != nil {
			values[i] = v
		}
	}
	return values
}

func bit(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// mostWhole is above any number of requests at a target.
const mostWhole = 1 << 30

func whole(n int) uint32 { return uint32(min(mostWhole, max(0, n))) }

func slowdown(x float64) uint32 {
	if !(x > 0) || math.IsInf(x, 0) {
		return 0
	}
	return uint32(min(mostWhole, math.Round(x*hundredths)))
}

func decode(m *historypb.LoadLines) []TargetStats {
	if m == nil {
		return nil
	}
	lines := make([]TargetStats, len(m.Keys))
	for i, key := range m.Keys {
		l := TargetStats{Key: Key(key), InFlight: int(at(m.InFlight, i)), Failed: at(m.Failed, i), Served: at(m.Served, i)}
		if age := at(m.Ages, i); age > 0 {
			l.HasLoad, l.LoadAge = true, time.Duration(age-1)*ageUnit
			l.Load = request.Load{Running: int(at(m.Running, i)), Waiting: int(at(m.Waiting, i)), Slowdown: float64(at(m.Slowdowns, i)) / hundredths}
		}
		lines[i] = l
	}
	return lines
}

// at is a value of a column, which may be left out or, from a sender in disorder, be short.
func at(column []uint32, i int) uint32 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}
