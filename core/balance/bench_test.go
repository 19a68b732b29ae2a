package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachioarch/pistachioarch/core/loads"
	"github.com/pistachioarch/pistachioarch/core/request"
)

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := NewRegistry("dc0", DefaultWeights())
			for i := range targets {
				r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%15), Capacity: 12})
			}
			q := Query{Service: "s", PromptTokens: 4000, Parts: []request.Part{{ID: "shared", Tokens: 2500}, {ID: "session", Tokens: 1500}}}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := r.Pick(q, 0)
				c.RecordSend(q.Parts, 0)
				c.RecordOutcome(Served, 0)
			}
		})
	}
}

// BenchmarkExchange measures one load exchange of a host: its observations, the report, the
// reply, and the update from it.
func BenchmarkExchange(b *testing.B) {
	for _, targets := range []int{30, 138, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := NewRegistry("dc0", DefaultWeights())
			for i := range targets {
				r.SetTarget(TargetInfo{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%15), Capacity: 12})
			}
			board, reporter := loads.NewBoard(1), loads.NewReporter(1)
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				now += loads.ReportInterval
				c, _ := r.Pick(Query{Service: "s"}, now)
				c.RecordSend(nil, now)
				c.RecordOutcome(Served, now)
				reporter.Observe(r.Observations())
				r.ApplyUpdate(reporter.HandleReply(board.Exchange(reporter.NextReport(now), now), now), now)
			}
		})
	}
}
