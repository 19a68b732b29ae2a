package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/held"
)

// The engine of a stream whose caller reads no more is set free before it cuts the answer
// off itself, and what the caller did is not held against it.
func TestCallerThatReadsNoMoreReleasesItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		h := newSlowHost(t, endless(&ended))
		defer h.stop()
		c := h.ask("/quick/")
		defer c.Close()
		_, err := io.ReadFull(c, make([]byte, 500))
		require.NoError(t, err)
		stopped := time.Now()
		time.Sleep(streamPatience + 2*writeSlice)
		require.NotZero(t, ended.Load())
		require.LessOrEqual(t, time.Unix(0, ended.Load()).Sub(stopped), streamPatience+2*writeSlice)
		require.Zero(t, h.charged())
		require.EqualValues(t, 1, h.meter.Value("callers_ended_unread"))
		require.EqualValues(t, 1, h.meter.Value("sends_abandoned"))
		require.Zero(t, h.meter.Value("sends_failed"))
	})
}

// A caller that reads slowly but steadily gets its whole stream, however long that takes.
func TestSteadyCallerIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, answerOf(streamed("1", 0, "one", "two", "three")))
		defer h.stop()
		c := h.ask("/quick/")
		defer c.Close()
		var got []byte
		one := make([]byte, 25)
		for !strings.HasSuffix(string(got), "0\r\n\r\n") {
			time.Sleep(streamPatience / 2)
			n, err := c.Read(one)
			require.NoError(t, err)
			got = append(got, one[:n]...)
		}
		require.Contains(t, string(got), "data: three")
		require.Zero(t, h.meter.Value("callers_ended_unread"))
	})
}

// Hundreds of callers that read nothing fill the account, never beyond its bound, whether
// their answers come one after the other or all at once; a caller that reads is served beside
// them, and all is released when they are gone.
func TestSlowCallersFillTheAccountAndNoMore(t *testing.T) {
	const callers, size = 400, 400 << 10
	answer := answerOf(whole("1", strings.Repeat("x", size)))
	for name, target := range map[string]func(net.Conn){
		"one after the other": answer,
		"all at once":         delayed(300*time.Millisecond, answer),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newSlowHost(t, target)
				defer h.stop()
				var open []net.Conn
				for range callers {
					open = append(open, h.ask("/plain/"))
				}
				for range 30 {
					require.LessOrEqual(t, h.charged(), h.memory.state().AnswerBoundBytes)
					time.Sleep(100 * time.Millisecond)
				}
				require.Greater(t, h.charged(), h.memory.state().RequestBoundBytes*9/10, "the account is full")
				require.Zero(t, h.meter.Value("requests_answered"))
				require.True(t, h.served("/plain/"))
				require.Positive(t, h.meter.Value("callers_ended_no_room"))
				for _, c := range open {
					_ = c.Close()
				}
				synctest.Wait()
				require.Zero(t, h.charged())
				for _, k := range held.Kinds() {
					require.Zero(t, h.memory.state().Bytes[k.String()], k.String())
				}
			})
		})
	}
}

// delayed is a target that takes its time before it begins with a connection.
func delayed(d time.Duration, target func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		time.Sleep(d)
		target(c)
	}
}

// served reports whether a caller that reads gets its answer within a few tries.
func (h *slowHost) served(path string) bool {
	for range 5 {
		c := h.ask(path)
		got := status(h.t, c)
		_ = c.Close()
		if got == http.StatusOK {
			return true
		}
		time.Sleep(retryLater)
	}
	return false
}

// A host that stops does so within its grace, whatever its callers and targets do.
func TestDrainEndsBesideTheSlow(t *testing.T) {
	const grace = 8 * time.Second
	silent := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	var ended atomic.Int64
	for name, target := range map[string]func(net.Conn){
		"slow callers": answerOf(whole("1", strings.Repeat("x", 100<<10))),
		"slow streams": endless(&ended),
		"slow target":  silent,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newSlowHost(t, target)
				defer h.stop()
				path := "/plain/"
				if name == "slow streams" {
					path = "/quick/"
				}
				for range 300 {
					c := h.ask(path)
					defer c.Close()
				}
				synctest.Wait()
				began := time.Now()
				h.Drain(grace)
				require.LessOrEqual(t, time.Since(began), grace)
				h.Close()
				time.Sleep(time.Minute)
				require.Zero(t, h.charged())
			})
		})
	}
}

// A caller that does not send the rest of its body is refused in time, and reaches no target.
func TestBodyThatDoesNotComeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, func(c net.Conn) { t.Error("sent to a target"); _ = c.Close() })
		defer h.stop()
		for _, path := range []string{"/plain/", "/nowhere/"} {
			c := h.connect()
			defer c.Close()
			h.write(c, requestHead(path, 100)+"half")
			began := time.Now()
			want := http.StatusServiceUnavailable
			if path == "/nowhere/" {
				want = http.StatusNotFound
			}
			require.Equal(t, want, status(t, c))
			require.LessOrEqual(t, time.Since(began), defaultHeaderTimeout)
			_, err := c.Read(make([]byte, 1))
			require.Error(t, err, "closed")
			synctest.Wait()
			require.Zero(t, h.charged())
		}
		require.EqualValues(t, 1, h.meter.Value("callers_ended_unsent"))
	})
}

// A body that comes slowly but steadily is read to its end.
func TestBodyThatComesSteadilyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, answerOf(whole("1", "done")))
		defer h.stop()
		c := h.connect()
		defer c.Close()
		h.write(c, requestHead("/plain/", 6))
		for range 6 {
			time.Sleep(defaultHeaderTimeout * 9 / 10)
			h.write(c, "x")
		}
		require.Equal(t, http.StatusOK, status(t, c))
	})
}

// A target that reads no more of a request costs its caller the route's time and no more,
// and the body is released with it.
func TestTargetThatReadsNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{}, 1)
		h := newSlowHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			time.Sleep(slowTimeout + time.Second)
			if _, err := io.Copy(io.Discard, in); err == nil {
				ended <- struct{}{}
			}
		})
		defer h.stop()
		c := h.connect()
		defer c.Close()
		const size = 200 << 10
		began := time.Now()
		h.write(c, requestHead("/once/", size)+strings.Repeat("x", size))
		require.Equal(t, http.StatusGatewayTimeout, status(t, c))
		require.LessOrEqual(t, time.Since(began), slowTimeout+500*time.Millisecond)
		synctest.Wait()
		require.Zero(t, h.charged())
		time.Sleep(2 * time.Second)
		require.Len(t, ended, 1, "the connection was closed")
	})
}

// Where bodies fill the account, the next one is refused soon and has not run; the slow
// callers end, and there is room again.
func TestUploadsBeyondTheBoundAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, answerOf(whole("1", "done")))
		defer h.stop()
		const size = defaultBodyBytes
		for range 60 {
			c := h.connect()
			defer c.Close()
			go func() { _, _ = io.WriteString(c, requestHead("/plain/", size)+"the rest never comes") }()
		}
		synctest.Wait()
		require.LessOrEqual(t, h.charged(), h.memory.state().RequestBoundBytes)
		began := time.Now()
		c := h.connect()
		defer c.Close()
		go func() { _, _ = fmt.Fprint(c, requestHead("/once/", size), strings.Repeat("x", size)) }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.LessOrEqual(t, time.Since(began), maxRequestMemoryWait)
		time.Sleep(2 * time.Second)
		again := h.connect()
		defer again.Close()
		go func() { _, _ = fmt.Fprint(again, requestHead("/once/", size), strings.Repeat("x", size)) }()
		require.Equal(t, http.StatusOK, status(t, again))
	})
}

// What a request with an ordinary prompt costs the runtime, the bytes that it holds included,
// is within what it is charged at least.
func TestOrdinaryRequestFitsItsFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, prompt = 300, 12 << 10
		var ended atomic.Int64
		h := newSlowHost(t, endless(&ended))
		defer h.stop()
		before := inUse()
		for range callers {
			c := h.connect()
			defer c.Close()
			h.write(c, requestHead("/quick/", prompt)+strings.Repeat("x", prompt))
		}
		time.Sleep(streamPatience / 2)
		require.Equal(t, callers, h.activeRequests())
		bytes := (inUse() - before) / callers
		t.Logf("%d bytes a request, with those of its caller and target", bytes)
		require.Less(t, bytes, int64(held.MinRequestBytes))
	})
}

// inUse is the memory in use for the heap and for stacks.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
