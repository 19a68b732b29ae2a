package loads

import (
	"math"
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/request"
)

const (
	// ageUnit is the unit of load ages in messages.
	ageUnit = 10 * time.Millisecond
	// slowdownScale is the factor of slowdowns in messages, which are in hundredths.
	slowdownScale = 100
)

// EncodeHostReport returns the wire message of a report.
func EncodeHostReport(report HostReport) *historypb.ExchangeLoads {
	return &historypb.ExchangeLoads{
		Reporter: report.ReporterID, Session: report.Session, Sequence: report.Sequence, Board: report.BoardID, Have: report.KnownRevision, Acknowledged: report.AckedSequence, Lines: encodeTargets(report.Targets),
	}
}

// DecodeHostReport returns the report of a wire message.
func DecodeHostReport(m *historypb.ExchangeLoads) HostReport {
	return HostReport{
		ReporterID: m.GetReporter(), Session: m.GetSession(), Sequence: m.GetSequence(), BoardID: m.GetBoard(), KnownRevision: m.GetHave(),
		AckedSequence: m.GetAcknowledged(), Targets: decodeTargets(m.GetLines()),
	}
}

// EncodeReply returns the wire message of a reply.
func EncodeReply(reply Reply) *historypb.LoadsTold {
	return &historypb.LoadsTold{
		Board: reply.BoardID, Session: reply.Session, Sequence: reply.Sequence, Restart: reply.Restart, Have: reply.KnownRevision, More: reply.More, Hosts: uint32(reply.OtherHosts), Lines: encodeTargets(reply.Targets),
	}
}

// DecodeReply returns the reply of a wire message.
func DecodeReply(m *historypb.LoadsTold) Reply {
	return Reply{
		BoardID: m.GetBoard(), Session: m.GetSession(), Sequence: m.GetSequence(), Restart: m.GetRestart(), KnownRevision: m.GetHave(), More: m.GetMore(),
		OtherHosts: int(m.GetHosts()), Targets: decodeTargets(m.GetLines()),
	}
}

// encodeTargets encodes stats as one column a field. A load age is encoded as 1 + age in
// units of ageUnit; 0 stands for no load report.
func encodeTargets(targets []TargetStats) *historypb.LoadLines {
	if len(targets) == 0 {
		return nil
	}
	m := &historypb.LoadLines{}
	for _, t := range targets {
		m.Keys = append(m.Keys, uint32(t.Key))
	}
	m.InFlight = column(targets, func(t *TargetStats) uint32 { return clampCount(t.InFlight) })
	m.Failed = column(targets, func(t *TargetStats) uint32 { return t.Failed })
	m.Served = column(targets, func(t *TargetStats) uint32 { return t.Served })
	m.Ages = column(targets, func(t *TargetStats) uint32 { return oneIf(t.HasLoad) * (1 + uint32(t.LoadAge/ageUnit)) })
	m.Running = column(targets, func(t *TargetStats) uint32 { return oneIf(t.HasLoad) * clampCount(t.Load.Running) })
	m.Waiting = column(targets, func(t *TargetStats) uint32 { return oneIf(t.HasLoad) * clampCount(t.Load.Waiting) })
	m.Slowdowns = column(targets, func(t *TargetStats) uint32 { return oneIf(t.HasLoad) * encodeSlowdown(t.Load.Slowdown) })
	return m
}

// column returns one field of all targets, nil if it is zero for all of them.
func column(targets []TargetStats, field func(*TargetStats) uint32) []uint32 {
	var values []uint32
	for i := range targets {
		v := field(&targets[i])
		if v != 0 && values == nil {
			values = make([]uint32, len(targets))
		}
		if values != nil {
			values[i] = v
		}
	}
	return values
}

func oneIf(b bool) uint32 {
	if b {
		return 1
	}
	return 0
}

// maxEncoded bounds encoded counts and slowdowns. It is above any number of requests at a
// target.
const maxEncoded = 1 << 30

func clampCount(n int) uint32 { return uint32(min(maxEncoded, max(0, n))) }

// encodeSlowdown returns 0, the value for an unknown slowdown, unless x is positive and finite.
func encodeSlowdown(x float64) uint32 {
	if !(x > 0) || math.IsInf(x, 0) {
		return 0
	}
	return uint32(min(maxEncoded, math.Round(x*slowdownScale)))
}

func decodeTargets(m *historypb.LoadLines) []TargetStats {
	if m == nil {
		return nil
	}
	targets := make([]TargetStats, len(m.Keys))
	for i, key := range m.Keys {
		t := TargetStats{Key: Key(key), InFlight: int(valueAt(m.InFlight, i)), Failed: valueAt(m.Failed, i), Served: valueAt(m.Served, i)}
		if age := valueAt(m.Ages, i); age > 0 {
			t.HasLoad, t.LoadAge = true, time.Duration(age-1)*ageUnit
			t.Load = request.Load{Running: int(valueAt(m.Running, i)), Waiting: int(valueAt(m.Waiting, i)), Slowdown: float64(valueAt(m.Slowdowns, i)) / slowdownScale}
		}
		targets[i] = t
	}
	return targets
}

// valueAt returns the value of a column for a target, 0 if the column is omitted or, from a
// faulty sender, too short.
func valueAt(column []uint32, i int) uint32 {
	if i >= len(column) {
		return 0
	}
	return column[i]
}
