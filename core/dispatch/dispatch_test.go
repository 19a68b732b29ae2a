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
		r.SetTarget(balance.TargetInfo{ID: id, Service: "s", DataCentre: "dc", Capacity: 10})
		t, _ := r.Target(id)
		t.RecordLoadReport(request.Load{Running: min(n, 10), Waiting: max(0, n-10), Capacity: 10}, now)
	}
	return New(r, DefaultLimits()), r
}

func first(draw float64) Request {
	return Request{Query: balance.Query{Service: "s", PromptTokens: 100}, Draw: draw}
}

func TestDecide(t *testing.T) {
	underWay, plain := first(0), first(0)
	underWay.ProgramStarted = true
	plain.PromptTokens = 0
	cases := []struct {
		name  string
		loads []int
		r     Request
		want  Action
	}{
		{"idle", []int{0, 0}, first(0), Send},
		{"one engine with a queue, one without", []int{14, 2}, first(0), Send},
		{"full, without a queue to speak of", []int{10, 11}, first(0), Send},
		{"queues everywhere", []int{13, 13}, first(0), Reject},
		{"queues everywhere, a program under way", []int{13, 13}, underWay, Send},
		{"queues everywhere, a plain call", []int{13, 13}, plain, Send},
		{"nobody", nil, first(0), NoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := loaded(c.loads...)
			require.Equal(t, c.want, d.Decide(c.r, now).Action)
		})
	}
}

func TestCallersTurnedAwayComeBackSpread(t *testing.T) {
	d, _ := loaded(30)
	l := DefaultLimits()
	early, late := d.Decide(first(0), now).RetryDelay, d.Decide(first(0.999), now).RetryDelay
	require.Equal(t, l.MinRetryDelay, early)
	require.InDelta(t, float64(l.MinRetryDelay+l.RetryJitter), float64(late), float64(l.RetryJitter)/100)
}

// A host that turned everybody away hears no newer word of the load; the old one must
// not keep it shut.
func TestAnOldWordOfLoadOpensAgain(t *testing.T) {
	d, _ := loaded(40, 40)
	require.Equal(t, Reject, d.Decide(first(0), now).Action)
	require.Equal(t, Send, d.Decide(first(0), now+4*time.Second).Action)
}

func TestDrainingAndLostTargetsDoNotCount(t *testing.T) {
	d, r := loaded(2, 30, 30)
	lost, _ := r.Target("t1")
	lost.Unreachable = true
	r.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", DataCentre: "dc", Capacity: 10, Draining: true})
	require.Equal(t, Send, d.Decide(first(0), now).Action)
}

func TestWithoutALimitNobodyIsTurnedAway(t *testing.T) {
	_, r := loaded(90)
	require.Equal(t, Send, New(r, Limits{}).Decide(first(0), now).Action)
}
