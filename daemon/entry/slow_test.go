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

// If the caller of a stream stops reading, the host releases the engine before the engine aborts the
// answer itself, and does not count the send as a failure of the target.
func TestCallerThatStopsReadingReleasesEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended atomic.Int64
		h := newSlowHost(t, endlessStream(&ended))
		defer h.stop()
		c := h.sendRequest("/quick/")
		defer c.Close()
		_, err := io.ReadFull(c, make([]byte, 500))
		require.NoError(t, err)
		stoppedAt := time.Now()
		time.Sleep(streamWriteTimeout + 2*writeCheckInterval)
		require.NotZero(t, ended.Load())
		require.LessOrEqual(t, time.Unix(0, ended.Load()).Sub(stoppedAt), streamWriteTimeout+2*writeCheckInterval)
		require.Zero(t, h.chargedBytes())
		require.EqualValues(t, 1, h.meter.Value("callers_ended_unread"))
		require.EqualValues(t, 1, h.meter.Value("sends_abandoned"))
		require.Zero(t, h.meter.Value("sends_failed"))
	})
}

// A caller that reads slowly but steadily gets the whole stream, however long it takes.
func TestSlowSteadyCallerIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, answerWith(okStream("1", 0, "one", "two", "three")))
		defer h.stop()
		c := h.sendRequest("/quick/")
		defer c.Close()
		var got []byte
		one := make([]byte, 25)
		for !strings.HasSuffix(string(got), "0\r\n\r\n") {
			time.Sleep(streamWriteTimeout / 2)
			n, err := c.Read(one)
			require.NoError(t, err)
			got = append(got, one[:n]...)
		}
		require.Contains(t, string(got), "data: three")
		require.Zero(t, h.meter.Value("callers_ended_unread"))
	})
}

// Hundreds of callers that read nothing fill the memory account, but not beyond its bound, whether
// their answers arrive one after the other or all at once. A caller that reads is still served,
// and all memory is released after they have left.
func TestSlowCallersStayWithinMemoryBound(t *testing.T) {
	const callers, size = 400, 400 << 10
	answer := answerWith(okAnswer("1", strings.Repeat("x", size)))
	for name, target := range map[string]func(net.Conn){
		"one after the other": answer,
		"all at once":         delayTarget(300*time.Millisecond, answer),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newSlowHost(t, target)
				defer h.stop()
				var open []net.Conn
				for range callers {
					open = append(open, h.sendRequest("/plain/"))
				}
				for range 30 {
					require.LessOrEqual(t, h.chargedBytes(), h.memory.state().AnswerBoundBytes)
					time.Sleep(100 * time.Millisecond)
				}
				require.Greater(t, h.chargedBytes(), h.memory.state().RequestBoundBytes*9/10, "the memory account is full")
				require.Zero(t, h.meter.Value("requests_answered"))
				require.True(t, h.servedWithRetries("/plain/"))
				require.Positive(t, h.meter.Value("callers_ended_no_room"))
				for _, c := range open {
					_ = c.Close()
				}
				synctest.Wait()
				require.Zero(t, h.chargedBytes())
				for _, k := range held.Kinds() {
					require.Zero(t, h.memory.state().Bytes[k.String()], k.String())
				}
			})
		})
	}
}

// delayTarget returns a target that waits before it serves each connection.
func delayTarget(d time.Duration, target func(net.Conn)) func(net.Conn) {
	return func(c net.Conn) {
		time.Sleep(d)
		target(c)
	}
}

// servedWithRetries reports whether a caller that reads is served within five attempts.
func (h *slowHost) servedWithRetries(path string) bool {
	for range 5 {
		c := h.sendRequest(path)
		got := readStatus(h.t, c)
		_ = c.Close()
		if got == http.StatusOK {
			return true
		}
		time.Sleep(defaultRetryDelay)
	}
	return false
}

// Drain ends within the grace time, even with slow callers or targets.
func TestDrainEndsWithinGraceDespiteSlowPeers(t *testing.T) {
	const grace = 8 * time.Second
	silent := func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }
	var ended atomic.Int64
	for name, target := range map[string]func(net.Conn){
		"slow callers": answerWith(okAnswer("1", strings.Repeat("x", 100<<10))),
		"slow streams": endlessStream(&ended),
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
					c := h.sendRequest(path)
					defer c.Close()
				}
				synctest.Wait()
				startedAt := time.Now()
				h.Drain(grace)
				require.LessOrEqual(t, time.Since(startedAt), grace)
				h.Close()
				time.Sleep(time.Minute)
				require.Zero(t, h.chargedBytes())
			})
		})
	}
}

// A caller that stops sending its body is refused within the header timeout, and the request is sent
// to no target.
func TestStalledUploadIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, func(c net.Conn) { t.Error("sent to a target"); _ = c.Close() })
		defer h.stop()
		for _, path := range []string{"/plain/", "/nowhere/"} {
			c := h.connect()
			defer c.Close()
			h.write(c, requestHead(path, 100)+"half")
			startedAt := time.Now()
			want := http.StatusServiceUnavailable
			if path == "/nowhere/" {
				want = http.StatusNotFound
			}
			require.Equal(t, want, readStatus(t, c))
			require.LessOrEqual(t, time.Since(startedAt), defaultHeaderTimeout)
			_, err := c.Read(make([]byte, 1))
			require.Error(t, err, "closed")
			synctest.Wait()
			require.Zero(t, h.chargedBytes())
		}
		require.EqualValues(t, 1, h.meter.Value("callers_ended_unsent"))
	})
}

// A body that arrives slowly but steadily is read to its end.
func TestSlowSteadyUploadIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, answerWith(okAnswer("1", "done")))
		defer h.stop()
		c := h.connect()
		defer c.Close()
		h.write(c, requestHead("/plain/", 6))
		for range 6 {
			time.Sleep(defaultHeaderTimeout * 9 / 10)
			h.write(c, "x")
		}
		require.Equal(t, http.StatusOK, readStatus(t, c))
	})
}

// If a target stops reading a request, the caller gets an answer by the route's timeout, and the
// memory of the body is released.
func TestTargetThatStopsReadingEndsAtTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan struct{}, 1)
		h := newSlowHost(t, func(c net.Conn) {
			in := bufio.NewReader(c)
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			time.Sleep(slowRouteTimeout + time.Second)
			if _, err := io.Copy(io.Discard, in); err == nil {
				ended <- struct{}{}
			}
		})
		defer h.stop()
		c := h.connect()
		defer c.Close()
		const size = 200 << 10
		startedAt := time.Now()
		h.write(c, requestHead("/once/", size)+strings.Repeat("x", size))
		require.Equal(t, http.StatusGatewayTimeout, readStatus(t, c))
		require.LessOrEqual(t, time.Since(startedAt), slowRouteTimeout+500*time.Millisecond)
		synctest.Wait()
		require.Zero(t, h.chargedBytes())
		time.Sleep(2 * time.Second)
		require.Len(t, ended, 1, "the connection was closed")
	})
}

// If request bodies fill the memory account, the next request is refused after a short wait and has
// not run. Slow callers are evicted, and then there is memory again.
func TestUploadsOverMemoryBoundAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newSlowHost(t, answerWith(okAnswer("1", "done")))
		defer h.stop()
		const size = defaultBodyBytes
		for range 60 {
			c := h.connect()
			defer c.Close()
			go func() { _, _ = io.WriteString(c, requestHead("/plain/", size)+"the rest never comes") }()
		}
		synctest.Wait()
		require.LessOrEqual(t, h.chargedBytes(), h.memory.state().RequestBoundBytes)
		startedAt := time.Now()
		c := h.connect()
		defer c.Close()
		go func() { _, _ = fmt.Fprint(c, requestHead("/once/", size), strings.Repeat("x", size)) }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.LessOrEqual(t, time.Since(startedAt), maxRequestMemoryWait)
		time.Sleep(2 * time.Second)
		again := h.connect()
		defer again.Close()
		go func() { _, _ = fmt.Fprint(again, requestHead("/once/", size), strings.Repeat("x", size)) }()
		require.Equal(t, http.StatusOK, readStatus(t, again))
	})
}

// The memory that a request with an ordinary prompt uses, including the bytes held for it, is below
// the minimum charge of a request.
func TestOrdinaryRequestFitsMinimumCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers, prompt = 300, 12 << 10
		var ended atomic.Int64
		h := newSlowHost(t, endlessStream(&ended))
		defer h.stop()
		before := memoryInUse()
		for range callers {
			c := h.connect()
			defer c.Close()
			h.write(c, requestHead("/quick/", prompt)+strings.Repeat("x", prompt))
		}
		time.Sleep(streamWriteTimeout / 2)
		require.Equal(t, callers, h.activeRequests())
		bytesPerRequest := (memoryInUse() - before) / callers
		t.Logf("%d bytes per request, including those of its caller and target", bytesPerRequest)
		require.Less(t, bytesPerRequest, int64(held.MinRequestBytes))
	})
}

// memoryInUse is the memory in use for the heap and for stacks, in bytes.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
