package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// timeSlack is how long after its timeout an answer may arrive, and how long work may continue after
// its caller has left.
const timeSlack = 500 * time.Millisecond

// A status that implies that a request has not run is forwarded only if the target also marks the
// request as not run: without the mark it may come from a target that failed while it ran the
// request.
func TestUnmarkedTargetStatusDoesNotClaimNotRun(t *testing.T) {
	for statusLine, path := range map[string]string{"402 Payment Required": "/turn/", "408 Timeout": "/once/", "429 Many": "/once/", "503 Busy": "/turn/", "404 None": "/turn/"} {
		for _, signed := range []string{"", ownheaders.Signature + ": s\r\n"} {
			t.Run(statusLine+" "+strings.TrimSpace(signed), func(t *testing.T) {
				x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
					return "HTTP/1.1 " + statusLine + "\r\n" + ownheaders.ID + ": " + id + "\r\n" + signed + "Content-Length: 4\r\n\r\nbusy", false
				})
				s := newSystem(t, x)
				got := s.postTurn(path, "1", "", "x")
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Empty(t, got.header.Get(ownheaders.Signature))
				require.Len(t, x.requests(), 1)
			})
		}
	}
}

// A target is given at most the time until the deadline. After the deadline it is given a minimum
// and not the caller's original timeout.
func TestTargetTimeoutNeverExceedsRemainingTime(t *testing.T) {
	s := newSystem(t)
	r, err := http.NewRequest(http.MethodPost, "/plain/", nil)
	require.NoError(t, err)
	r.Header.Set(ownheaders.Timeout, "5000")
	x := &exchange{host: s.host, r: r, table: s.host.table.Load(), route: s.host.table.Load().Routes()[0], tried: map[string]bool{}}
	for remaining, maxMs := range map[time.Duration]int64{2 * time.Second: 2000, 400 * time.Microsecond: 1, -time.Second: 1} {
		x.deadline = time.Now().Add(remaining)
		got := parseNumber(x.newTargetRequest(balance.TargetInfo{ID: "t1"}, "").Header.Get(ownheaders.Timeout))
		require.Positive(t, got, "%v", remaining)
		require.LessOrEqual(t, got, maxMs, "%v", remaining)
	}
}

// A send to a second target is given the time that the first one left.
func TestRetryGetsRemainingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var timeoutsMs []int64
		h := newSlowHost(t, func(c net.Conn) {
			defer c.Close()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			mu.Lock()
			timeoutsMs = append(timeoutsMs, parseNumber(req.Header.Get(ownheaders.Timeout)))
			n := len(timeoutsMs)
			mu.Unlock()
			time.Sleep(time.Second)
			if n > 1 {
				_, _ = io.WriteString(c, okAnswer("1", "done"))
			}
		})
		defer h.stop()
		h.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: "t2", DataCentre: "dc1", Capacity: 4})
		c := h.sendRequest("/plain/")
		defer c.Close()
		require.Equal(t, http.StatusOK, readStatus(t, c))
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, timeoutsMs, 2)
		require.LessOrEqual(t, timeoutsMs[0], slowRouteTimeout.Milliseconds())
		require.LessOrEqual(t, timeoutsMs[1], (slowRouteTimeout - time.Second).Milliseconds())
	})
}

// stopAfter returns a target that writes raw and then nothing more, and sends the time at which its
// connection is closed to ended.
func stopAfter(raw string, ended chan<- time.Time) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		if _, err := io.WriteString(c, raw); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, in)
		ended <- time.Now()
	}
}

// partialAnswers are answers that stop at different points.
var partialAnswers = map[string]struct{ path, raw string }{
	"no head":           {"/plain/", ""},
	"half of a body":    {"/once/", strings.Replace(okAnswer("1", "half"), "Length: 4", "Length: 8", 1)},
	"no head, a stream": {"/quick/", ""},
	"one event":         {"/quick/", streamHead("1") + eventChunks(1, "a")},
}

// Wherever a target stops in its answer, the request ends by the route's timeout.
func TestRequestEndsByRouteTimeout(t *testing.T) {
	for name, partial := range partialAnswers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan time.Time, 2)
				h := newSlowHost(t, stopAfter(partial.raw, ended))
				defer h.stop()
				c := h.sendRequest(partial.path)
				defer c.Close()
				startedAt := time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == http.StatusOK {
					require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the answer looks incomplete")
				} else {
					require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
				}
				require.LessOrEqual(t, time.Since(startedAt), slowRouteTimeout+timeSlack)
				require.LessOrEqual(t, (<-ended).Sub(startedAt), slowRouteTimeout+timeSlack)
			})
		})
	}
}

// A request whose body does not arrive is answered by the caller's timeout if that is shorter than
// the timeout for bodies.
func TestMissingBodyIsAnsweredByCallerTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, func(c net.Conn) { t.Error("sent to a target"); _ = c.Close() })
		defer h.stop()
		c := h.connect()
		defer c.Close()
		startedAt := time.Now()
		h.write(c, strings.Replace(requestHead("/plain/", 100), "\r\n\r\n", "\r\n"+ownheaders.Timeout+": 700\r\n\r\n", 1)+"half")
		require.Equal(t, http.StatusServiceUnavailable, readStatus(t, c))
		require.LessOrEqual(t, time.Since(startedAt), 700*time.Millisecond+timeSlack)
	})
}

// When a caller leaves, the work for it ends at its target at once and is sent to no other target.
func TestTargetWorkEndsWhenCallerLeaves(t *testing.T) {
	for name, partial := range partialAnswers {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan time.Time, 2)
				h := newSlowHost(t, stopAfter(partial.raw, ended))
				defer h.stop()
				h.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: "t2", DataCentre: "dc1", Capacity: 4})
				c := h.sendRequest(partial.path)
				time.Sleep(time.Second)
				leftAt := time.Now()
				require.NoError(t, c.Close())
				require.LessOrEqual(t, (<-ended).Sub(leftAt), timeSlack)
				time.Sleep(slowRouteTimeout)
				require.Empty(t, ended, "sent to no other target")
				require.Zero(t, h.activeRequests())
				require.EqualValues(t, 1, h.meter.Value("sends_abandoned"))
			})
		})
	}
}

// A joining history host starts with an empty disk, so a turn that is missing there proves nothing.
// While one of the others is silent, the turn may exist and the answer must allow a retry.
func TestJoiningHistoryHostDoesNotProveTurnUnknown(t *testing.T) {
	x := newFakeTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return okStream(id, 1, "x"), false })
	s := newSystem(t, x)
	m := s.members[0].server.Map().Clone()
	m.Epoch++
	for i := range m.Slots {
		if i == int(placement.GlobalSlotOf("p")) {
			continue
		}
		for j := range m.Slots[i].Replicas {
			r := &m.Slots[i].Replicas[j]
			r.Joining = r.Member == s.members[0].server.MemberID()
		}
	}
	s.adopt(m)
	require.Equal(t, http.StatusNotFound, s.postTurn("/turn/", "1", "none", "x").status, "both other history hosts answer")
	s.members[1].silent.Store(true)
	s.host.HistoryTimeout = historyTimeout
	require.Equal(t, http.StatusServiceUnavailable, s.postTurn("/turn/", "2", "none", "x").status)
	require.Empty(t, x.requests())
}
