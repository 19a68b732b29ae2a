package balance

import (
	"fmt"
	"testing"

	"github.com/pistachioarch/pistachioarch/core/request"
)

func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{10, 100, 1000, 3100} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			r := NewRegistry("dc0", DefaultWeights())
			for i := range targets {
				r.Set(Listed{ID: fmt.Sprintf("t%d", i), Service: "s", DataCentre: fmt.Sprintf("dc%d", i%15), Places: 12})
			}
			q := Query{Service: "s", PromptTokens: 4000, Parts: []request.Part{{ID: "shared", Tokens: 2500}, {ID: "session", Tokens: 1500}}}
			b.ReportAllocs()
			for b.Loop() {
				c, _ := r.Pick(q, 0)
				c.Sent(q.Parts, 0)
				c.Done(Served, 0)
			}
		})
	}
}
