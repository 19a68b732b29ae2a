package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/hedge"
	"github.com/pistachioarch/pistachioarch/core/request"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/meter"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
	"github.com/pistachioarch/pistachioarch/wire/targetpool"
)

// testHedgeDelay is the delay before the tests' calls are sent a second time.
const testHedgeDelay = time.Millisecond

// enableHedging gives the host enough recorded answers to hedge its calls, at most tokens tokens of
// the hedge budget, and targets that report their slowdown.
func (s *testSystem) enableHedging(tokens int) {
	h := s.host
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range []string{"t1", "t2", "t3"} {
		if t, ok := h.registry.Target(id); ok {
			t.RecordLoadReport(request.Load{Capacity: 4, Slowdown: 1}, h.now())
		}
	}
	h.hedger = hedge.New()
	for range max(100, tokens*int(1/hedge.BudgetRatio)+1) {
		h.hedger.RecordAnswer("s", "", testHedgeDelay)
	}
	for range max(0, hedge.Burst-tokens) {
		h.hedger.TakeToken("s")
	}
}

// inFlight is the number of the host's requests in flight at all targets.
func (s *testSystem) inFlight() int {
	n := 0
	for _, t := range s.host.State().Targets {
		n += t.InFlight
	}
	return n
}

// awaitNoneInFlight waits until cancelled sends are recorded as ended.
func (s *testSystem) awaitNoneInFlight() {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return s.inFlight() == 0 }, harnessTimeout, time.Millisecond)
}

// stallFirst returns an answerFunc, and the number of requests that it got. It answers the first
// request at any target only once release is closed, and all others at once.
func stallFirst(release <-chan struct{}) (answer answerFunc, requestCount *atomic.Int32) {
	requestCount = &atomic.Int32{}
	return func(_ int, r received, id string) (string, bool) {
		if requestCount.Add(1) == 1 {
			<-release
			return okAnswer(id, "late"), false
		}
		return okAnswer(id, "answer to "+id), false
	}, requestCount
}

// The first complete answer goes to the caller. The late answer of the stalled target reaches
// neither this caller nor later ones.
func TestStalledCallIsHedged(t *testing.T) {
	release := make(chan struct{})
	answer, requestCount := stallFirst(release)
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	s.enableHedging(5)
	got := s.post("/plain/", "x", ownheaders.ID, "1")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "answer to 1", got.body)
	require.EqualValues(t, 2, requestCount.Load())
	s.awaitNoneInFlight()
	close(release)
	for _, id := range []string{"2", "3", "4", "5"} {
		require.Equal(t, "answer to "+id, s.post("/plain/", "x", ownheaders.ID, id).body)
	}
}

// An at-most-once call is sent once, however long it takes. The other call shows that the hedge
// delay has passed.
func TestAtMostOnceCallsAreNotHedged(t *testing.T) {
	release := make(chan struct{})
	plain, requestCount := stallFirst(release)
	var once atomic.Int32
	answer := func(n int, r received, id string) (string, bool) {
		if r.URI != "/once/" {
			return plain(n, r, id)
		}
		once.Add(1)
		<-release
		return okAnswer(id, "done"), false
	}
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer), newFakeTarget(t, "t3", answer))
	s.enableHedging(5)
	got := make(chan int)
	go func() { got <- s.post("/once/", "x", ownheaders.ID, "1").status }()
	require.Eventually(t, func() bool { return once.Load() == 1 }, harnessTimeout, time.Millisecond)
	require.Equal(t, "answer to 2", s.post("/plain/", "x", ownheaders.ID, "2").body)
	require.EqualValues(t, 2, requestCount.Load())
	close(release)
	require.Equal(t, http.StatusOK, <-got)
	require.EqualValues(t, 1, once.Load())
}

func TestOnlyIdempotentPlainCallsAreHedged(t *testing.T) {
	unhedged := newSystem(t, newFakeTarget(t, "t1", nil), newFakeTarget(t, "t2", nil))
	s := newSystem(t, newFakeTarget(t, "t1", nil), newFakeTarget(t, "t2", nil))
	s.enableHedging(5)
	hedgeable := func(change func(*exchange)) bool {
		x := &exchange{host: s.host, service: "s", deadline: time.Now().Add(time.Hour), route: &routing.Route{MaxAttempts: 2}}
		change(x)
		_, ok := x.hedgeDelay()
		return ok
	}
	unchanged := func(*exchange) {}
	require.True(t, hedgeable(unchanged))
	require.False(t, hedgeable(func(x *exchange) { x.host = unhedged.host }), "host without recorded answers")
	require.True(t, hedgeable(func(x *exchange) { x.service = "other" }), "targets that report no slowdown")
	for reason, change := range map[string]func(*exchange){
		"at most once":             func(x *exchange) { x.route.Kind = routing.AtMostOnce },
		"a stream":                 func(x *exchange) { x.route.Kind = routing.Streaming },
		"a prompt":                 func(x *exchange) { x.call.PromptTokens = 1 },
		"one attempt":              func(x *exchange) { x.route.MaxAttempts = 1 },
		"the last attempt":         func(x *exchange) { x.sendCount = 1 },
		"after a capacity wait":    func(x *exchange) { x.capacityWait.waited = time.Millisecond },
		"less time than the delay": func(x *exchange) { x.deadline = time.Now() },
		"unknown kind of work":     func(x *exchange) { x.route.Name = "other" },
		"no attempts left":         func(x *exchange) { x.sendCount = 2 },
	} {
		require.False(t, hedgeable(change), reason)
	}
}

// Without a token of the hedge budget, a call waits for its first target.
func TestSecondSendRequiresToken(t *testing.T) {
	release := make(chan struct{})
	answer, requestCount := stallFirst(release)
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	s.enableHedging(0)
	s.host.Meter = meter.New()
	body := make(chan answerBody, 1)
	go func() { body <- answerBody(s.post("/plain/", "x", ownheaders.ID, "1").body) }()
	tokenDenied := func() bool { return s.host.Meter.Value("second_sends_no_token") == 1 }
	require.Eventually(t, tokenDenied, harnessTimeout, time.Millisecond)
	require.Equal(t, 1, s.inFlight())
	close(release)
	require.EqualValues(t, "late", <-body)
	require.EqualValues(t, 1, requestCount.Load())
	require.Zero(t, s.host.Meter.Value("second_sends_sent"))
}

// answerBody is the body of an answer that a caller got.
type answerBody string

// If the second target refuses the call, fails or ends its answer early, the call still waits for
// the first one.
func TestFailedSecondSendDoesNotEndCall(t *testing.T) {
	for name, raw := range map[string]func(id string) (string, bool){
		"refuses":     func(id string) (string, bool) { return refusedAnswer(id), false },
		"fails":       func(id string) (string, bool) { return "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false },
		"truncates":   func(id string) (string, bool) { return okAnswer(id, "whole")[:60], true },
		"disconnects": func(string) (string, bool) { return "", true },
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			var requestCount atomic.Int32
			answer := func(_ int, _ received, id string) (string, bool) {
				if requestCount.Add(1) == 1 {
					<-release
					return okAnswer(id, "first"), false
				}
				defer close(release)
				return raw(id)
			}
			s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
			s.enableHedging(5)
			got := s.post("/plain/", "x", ownheaders.ID, "1")
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, "first", got.body)
			require.EqualValues(t, 2, requestCount.Load())
			s.awaitNoneInFlight()
		})
	}
}

// unmarkedRefusal is an answer whose status implies that the call has not run, but which does not
// mark it as not run.
func unmarkedRefusal(id string) string {
	return "HTTP/1.1 429 Limited\r\n" + ownheaders.ID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// No answer claims that its call has not run while the other send is in flight, or after the other
// send failed and may have run.
func TestNotRunStatusIsWithheldWhileOtherSendMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		disconnects bool
		status      int
	}{
		"the first is in flight": {false, http.StatusOK},
		"the first disconnects":  {true, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			var requestCount atomic.Int32
			answer := func(_ int, _ received, id string) (string, bool) {
				if requestCount.Add(1) > 1 {
					return unmarkedRefusal(id), false
				}
				<-release
				if c.disconnects {
					return "", true
				}
				return okAnswer(id, "first"), false
			}
			s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
			s.enableHedging(5)
			s.host.Meter = meter.New()
			got := make(chan int, 1)
			go func() { got <- s.post("/plain/", "x", ownheaders.ID, "1").status }()
			secondAnswered := func() bool { return s.host.Meter.Value("sends_served") > 0 || len(got) > 0 }
			require.Eventually(t, secondAnswered, harnessTimeout, time.Millisecond)
			close(release)
			require.Equal(t, c.status, <-got)
			require.EqualValues(t, 2, requestCount.Load())
			s.awaitNoneInFlight()
		})
	}
}

// A send that ends because the caller left, or because this host has no memory for the answer, is
// recorded as abandoned and not as a failure of the target.
func TestCallerOrHostFailuresAreNotTargetFailures(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, c := range map[string]struct {
		ctx context.Context
		err error
	}{
		"the caller left":        {cancelled, context.Canceled},
		"the host has no memory": {t.Context(), failure.Retry(failure.Overloaded, testHedgeDelay, "no memory")},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, newFakeTarget(t, "t1", nil))
			s.host.Meter = meter.New()
			x := &exchange{host: s.host}
			r := &sendResult{target: balance.TargetInfo{ID: "t1"}, resp: &targetpool.Response{Status: http.StatusOK}, err: c.err}
			require.NotEqual(t, failure.RanNo, failure.From(x.recordFailedSend(c.ctx, r)).Ran)
			require.EqualValues(t, 1, s.host.Meter.Value("sends_abandoned"))
		})
	}
}

// If both targets fail, the route's attempts are used up and the caller gets an error.
func TestBothSendsFail(t *testing.T) {
	var requestCount atomic.Int32
	bothSent := make(chan struct{})
	answer := func(int, received, string) (string, bool) {
		if requestCount.Add(1) == 2 {
			close(bothSent)
		}
		<-bothSent
		return "", true
	}
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer), newFakeTarget(t, "t3", answer))
	s.enableHedging(5)
	require.Equal(t, http.StatusBadGateway, s.post("/plain/", "x", ownheaders.ID, "1").status)
	require.EqualValues(t, 2, requestCount.Load())
	s.awaitNoneInFlight()
}

// Two stalled targets do not delay the answer beyond the caller's timeout.
func TestBothSendsEndAtDeadline(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	answer := func(int, received, string) (string, bool) {
		<-release
		return "", true
	}
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	s.enableHedging(5)
	got := s.post("/plain/", "x", ownheaders.ID, "1", ownheaders.Timeout, "150")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	s.awaitNoneInFlight()
}

// The state shows the hedge delay and the hedge budget.
func TestStateShowsSecondSends(t *testing.T) {
	s := newSystem(t, newFakeTarget(t, "t1", nil))
	s.enableHedging(5)
	state := s.host.State()
	require.Equal(t, testHedgeDelay.Milliseconds(), state.SecondSends.Kinds[0].DelayMs)
	require.Equal(t, "s", state.SecondSends.Services[0].Service)
	require.InDelta(t, 1, state.Targets[0].Slowdown, 0.01)
	_, picked := s.host.registry.Pick(balance.Query{Service: "s"}, s.host.now())
	require.True(t, picked)
}

// logBuffer is a log output that can be read while it is written to.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// firstLine returns the first line.
func (l *logBuffer) firstLine() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	line, _, _ := strings.Cut(l.buf.String(), "\n")
	return line
}

// The log message "request routed" names what decided: the slowdown of the target, the duration
// predicted there, and the near target that was not chosen.
func TestRequestRoutedLogExplainsChoice(t *testing.T) {
	answer := func(_ int, _ received, id string) (string, bool) { return okAnswer(id, "ok"), false }
	s := newSystem(t, newFakeTarget(t, "t1", answer), newFakeTarget(t, "t2", answer))
	var buffer logBuffer
	s.host.Log = log.NewWithOptions(&buffer, log.Options{Formatter: log.JSONFormatter})
	s.enableHedging(0)
	h := s.host
	h.mu.Lock()
	near, _ := h.registry.Target("t1")
	far, _ := h.registry.Target("t2")
	movedToOtherDataCentre := far.TargetInfo
	movedToOtherDataCentre.DataCentre = "dc2"
	h.registry.SetTarget(movedToOtherDataCentre)
	near.RecordLoadReport(request.Load{Running: 4, Waiting: 40, Capacity: 4, Slowdown: 1.5}, h.now())
	h.mu.Unlock()
	require.Equal(t, http.StatusOK, s.post("/plain/", "x", ownheaders.ID, "1").status)
	line := buffer.firstLine()
	var entry struct {
		Target     string  `json:"target"`
		DataCentre string  `json:"data_centre"`
		Slowdown   float64 `json:"slowdown"`
		Predicted  int64   `json:"predicted_ms"`
		Near       string  `json:"near"`
		NearMs     int64   `json:"near_predicted_ms"`
	}
	require.NoError(t, json.Unmarshal([]byte(line), &entry), line)
	require.Equal(t, "t2", entry.Target)
	require.Equal(t, "dc2", entry.DataCentre)
	require.Equal(t, "t1", entry.Near)
	require.Greater(t, entry.NearMs, entry.Predicted)
	require.Positive(t, entry.Slowdown)
	t.Log(line)
}
