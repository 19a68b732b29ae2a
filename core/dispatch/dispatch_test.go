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

// newLoadedDispatcher returns a dispatcher for engines of capacity ten with these loads.
func newLoadedDispatcher(loads ...int) (*Dispatcher, *balance.Registry) {
	r := balance.NewRegistry("dc", balance.DefaultWeights())
	for i, n := range loads {
		id := fmt.Sprintf("t%d", i)
		r.SetTarget(balance.TargetInfo{ID: id, Service: "s", DataCentre: "dc", Capacity: 10})
		t, _ := r.Target(id)
		t.RecordLoadReport(request.Load{Running: min(n, 10), Waiting: max(0, n-10), Capacity: 10}, now)
	}
	return New(r, DefaultLimits()), r
}

func newProgramRequest(draw float64) Request {
	return Request{Query: balance.Query{Service: "s", PromptTokens: 100}, Draw: draw}
}

func TestOnlyNewProgramsAreRejectedWhenAllEnginesQueue(t *testing.T) {
	started, plain := newProgramRequest(0), newProgramRequest(0)
	started.ProgramStarted = true
	plain.PromptTokens = 0
	cases := []struct {
		name  string
		loads []int
		r     Request
		want  Action
	}{
		{"idle", []int{0, 0}, newProgramRequest(0), Send},
		{"one engine with a queue, one without", []int{14, 2}, newProgramRequest(0), Send},
		{"full, with a short queue", []int{10, 11}, newProgramRequest(0), Send},
		{"queues everywhere", []int{13, 13}, newProgramRequest(0), Reject},
		{"queues everywhere, program started", []int{13, 13}, started, Send},
		{"queues everywhere, plain call", []int{13, 13}, plain, Send},
		{"no target", nil, newProgramRequest(0), NoTarget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d, _ := newLoadedDispatcher(c.loads...)
			require.Equal(t, c.want, d.Decide(c.r, now).Action)
		})
	}
}

func TestRetryDelaysOfRejectedProgramsAreJittered(t *testing.T) {
	d, _ := newLoadedDispatcher(30)
	l := DefaultLimits()
	early, late := d.Decide(newProgramRequest(0), now).RetryDelay, d.Decide(newProgramRequest(0.999), now).RetryDelay
	require.Equal(t, l.MinRetryDelay, early)
	require.InDelta(t, float64(l.MinRetryDelay+l.RetryJitter), float64(late), float64(l.RetryJitter)/100)
}

// A host that rejected all programs receives no newer load report; the old report must not make
// it reject for ever.
func TestStaleLoadReportsStopRejectingPrograms(t *testing.T) {
	d, _ := newLoadedDispatcher(40, 40)
	require.Equal(t, Reject, d.Decide(newProgramRequest(0), now).Action)
	require.Equal(t, Send, d.Decide(newProgramRequest(0), now+4*time.Second).Action)
}

func TestDrainingAndUnreachableTargetsAreLeftOutOfTheMeanLoad(t *testing.T) {
	d, r := newLoadedDispatcher(2, 30, 30)
	lost, _ := r.Target("t1")
	lost.Unreachable = true
	r.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", DataCentre: "dc", Capacity: 10, Draining: true})
	require.Equal(t, Send, d.Decide(newProgramRequest(0), now).Action)
}

func TestNoProgramIsRejectedWithoutALimit(t *testing.T) {
	_, r := newLoadedDispatcher(90)
	require.Equal(t, Send, New(r, Limits{}).Decide(newProgramRequest(0), now).Action)
}
