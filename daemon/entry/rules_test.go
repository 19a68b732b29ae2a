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

// slackTime is how far answers may come after their time, and work go on after its caller.
const slackTime = 500 * time.Millisecond

// A status that promises that a request has not run is passed on only where the target said
// so itself: a bare status may come from a target that broke down midway.
func TestBareStatusOfATargetPromisesNothing(t *testing.T) {
	for line, path := range map[string]string{"402 Payment Required": "/turn/", "408 Timeout": "/once/", "429 Many": "/once/", "503 Busy": "/turn/", "404 None": "/turn/"} {
		for _, signed := range []string{"", ownheaders.Signature + ": s\r\n"} {
			t.Run(line+" "+strings.TrimSpace(signed), func(t *testing.T) {
				x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) {
					return "HTTP/1.1 " + line + "\r\n" + ownheaders.ID + ": " + id + "\r\n" + signed + "Content-Length: 4\r\n\r\nbusy", false
				})
				s := newSystem(t, x)
				got := s.turn(path, "1", "", "x")
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Empty(t, got.header.Get(ownheaders.Signature))
				require.Len(t, x.requests(), 1)
			})
		}
	}
}

// No target is handed more time than is left, and never the caller's own figure once that is
// past.
func TestTargetsAreHandedNoMoreTimeThanIsLeft(t *testing.T) {
	s := newSystem(t)
	r, err := http.NewRequest(http.MethodPost, "/plain/", nil)
	require.NoError(t, err)
	r.Header.Set(ownheaders.Timeout, "5000")
	x := &exchange{host: s.host, r: r, table: s.host.table.Load(), route: s.host.table.Load().Routes()[0], tried: map[string]bool{}}
	for left, most := range map[time.Duration]int64{2 * time.Second: 2000, 400 * time.Microsecond: 1, -time.Second: 1} {
		x.deadline = time.Now().Add(left)
		got := number(x.outgoing(balance.TargetInfo{ID: "t1"}, "").Header.Get(ownheaders.Timeout))
		require.Positive(t, got, "%v", left)
		require.LessOrEqual(t, got, most, "%v", left)
	}
}

// A send to a second target is handed what the first one left.
func TestSecondSendHasLessTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var left []int64
		h := newSlowHost(t, func(c net.Conn) {
			defer c.Close()
			req, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			mu.Lock()
			left = append(left, number(req.Header.Get(ownheaders.Timeout)))
			n := len(left)
			mu.Unlock()
			time.Sleep(time.Second)
			if n > 1 {
				_, _ = io.WriteString(c, whole("1", "done"))
			}
		})
		defer h.stop()
		h.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: "t2", DataCentre: "dc1", Capacity: 4})
		c := h.ask("/plain/")
		defer c.Close()
		require.Equal(t, http.StatusOK, status(t, c))
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, left, 2)
		require.LessOrEqual(t, left[0], slowTimeout.Milliseconds())
		require.LessOrEqual(t, left[1], (slowTimeout - time.Second).Milliseconds())
	})
}

// stopsAfter is a target that begins an answer and then says no more; ended is told when its
// connection is closed.
func stopsAfter(raw string, ended chan<- time.Time) func(net.Conn) {
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

// begun are answers that stop at each of their parts.
var begun = map[string]struct{ path, raw string }{
	"nothing":           {"/plain/", ""},
	"half a body":       {"/once/", strings.Replace(whole("1", "half"), "Length: 4", "Length: 8", 1)},
	"nothing, a stream": {"/quick/", ""},
	"one event":         {"/quick/", streamHead("1") + chunks(1, "a")},
}

// Whatever a target leaves out, its caller has the end of its request by the route's time.
func TestAnswerOrEndByTheRoutesTime(t *testing.T) {
	for name, x := range begun {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan time.Time, 2)
				h := newSlowHost(t, stopsAfter(x.raw, ended))
				defer h.stop()
				c := h.ask(x.path)
				defer c.Close()
				began := time.Now()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == http.StatusOK {
					require.ErrorIs(t, err, io.ErrUnexpectedEOF, "does not look complete")
				} else {
					require.Equal(t, http.StatusGatewayTimeout, resp.StatusCode)
				}
				require.LessOrEqual(t, time.Since(began), slowTimeout+slackTime)
				require.LessOrEqual(t, (<-ended).Sub(began), slowTimeout+slackTime)
			})
		})
	}
}

// A body that does not come is answered by the route's time where that is sooner than the
// time for bodies.
func TestMissingBodyIsAnsweredByTheCallersTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, func(c net.Conn) { t.Error("sent to a target"); _ = c.Close() })
		defer h.stop()
		c := h.connect()
		defer c.Close()
		began := time.Now()
		h.write(c, strings.Replace(requestHead("/plain/", 100), "\r\n\r\n", "\r\n"+ownheaders.Timeout+": 700\r\n\r\n", 1)+"half")
		require.Equal(t, http.StatusServiceUnavailable, status(t, c))
		require.LessOrEqual(t, time.Since(began), 700*time.Millisecond+slackTime)
	})
}

// Work for a caller that has left ends at its target at once, and goes to no other.
func TestWorkEndsWithItsCaller(t *testing.T) {
	for name, x := range begun {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ended := make(chan time.Time, 2)
				h := newSlowHost(t, stopsAfter(x.raw, ended))
				defer h.stop()
				h.registry.SetTarget(balance.TargetInfo{ID: "t2", Service: "s", Address: "t2", DataCentre: "dc1", Capacity: 4})
				c := h.ask(x.path)
				time.Sleep(time.Second)
				left := time.Now()
				require.NoError(t, c.Close())
				require.LessOrEqual(t, (<-ended).Sub(left), slackTime)
				time.Sleep(slowTimeout)
				require.Empty(t, ended, "sent nowhere else")
				require.Zero(t, h.active())
				require.EqualValues(t, 1, h.meter.Value("sends_abandoned"))
			})
		})
	}
}

// A history host that joins with an empty disk proves nothing by not knowing a turn: while
// one of the others is silent, nobody can be sure.
func TestHistoryHostThatJoinsProvesNothing(t *testing.T) {
	x := newTarget(t, "t1", func(_ int, _ received, id string) (string, bool) { return streamed(id, 1, "x"), false })
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
	require.Equal(t, http.StatusNotFound, s.turn("/turn/", "1", "none", "x").status, "both others answer")
	s.members[1].silent.Store(true)
	s.host.HistoryPatience = historyPatience
	require.Equal(t, http.StatusServiceUnavailable, s.turn("/turn/", "2", "none", "x").status)
	require.Empty(t, x.requests())
}
