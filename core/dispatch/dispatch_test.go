package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/request"
)

const now = time.Second

// loaded returns a dispatcher before engines with these loads, of ten places each.
func loaded(loads ...int) (*Dispatcher, *balance.Registry) {
	r := balance.NewRegistry("dc", balance.DefaultWeights())
	for i, n := range loads {
		id := fmt.Sprintf("t%d", i)
		r.Set(balance.Listed{ID: id, Service: "s", DataCentre: "dc", Places: 10})
		t, _ := r.Target(id)
		t.Heard(request.Load{Running: min(n, 10), Waiting: max(0, n-10), Capacity: 10}, now)
	}
	return New(r, DefaultLimits()), r
}

func first(draw float64) Request {
	return Request{Query: balance.Query{Service: "s", PromptTokens: 100}, Draw: draw}
}

func TestDecide(t *testing.T) {
	underWay, plain := first(0), first(0)
	underWay.UnderWay = true
	plain.PromptTokens = 0
	cases := []struct {
		name  string
		loads []int
		r     Request
		want  Decision
	}{
		{"idle", []int{0, 0}, first(0), Send},
		{"one engine with a queue, one without", []int{14, 2}, first(0), Send},
		{"full, without a queue to speak of", []int{10, 11}, first(0), Send},
		{"queues everywhere", []int{13, 13}, first(0), TurnAway},
		{"queues everywhere, a program under way", []int{13, 13}, underWay, Send},
		{"queues everywhere, a plain call", []int{13, 13}, plain, Send},
		{"nobody", nil, first(0), NoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := loaded(c.loads...)
			require.Equal(t, c.want, d.Decide(c.r, now).Decision)
		})
	}
}

func TestCallersTurnedAwayComeBackSpread(t *testing.T) {
	d, _ := loaded(30)
	l := DefaultLimits()
	early, late := d.Decide(first(0), now).ComeBack, d.Decide(first(0.999), now).ComeBack
	require.Equal(t, l.ComeBack, early)
	require.InDelta(t, float64(l.ComeBack+l.Spread), float64(late), float64(l.Spread)/100)
}

// A host that turned everybody away hears no newer word of the load; the old one must
// not keep it shut.
func TestAnOldWordOfLoadOpensAgain(t *testing.T) {
	d, _ := loaded(40, 40)
	require.Equal(t, TurnAway, d.Decide(first(0), now).Decision)
	require.Equal(t, Send, d.Decide(first(0), now+4*time.Second).Decision)
}

func TestDrainingAndLostTargetsDoNotCount(t *testing.T) {
	d, r := loaded(2, 30, 30)
	lost, _ := r.Target("t1")
	lost.Unreachable = true
	r.Set(balance.Listed{ID: "t2", Service: "s", DataCentre: "dc", Places: 10, Draining: true})
	require.Equal(t, Send, d.Decide(first(0), now).Decision)
}

func TestWithoutALimitNobodyIsTurnedAway(t *testing.T) {
	_, r := loaded(90)
	require.Equal(t, Send, New(r, Limits{}).Decide(first(0), now).Decision)
}
