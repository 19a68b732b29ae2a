// Package bench measures the latency that a host adds to a call over the loopback interface,
// compared with direct calls to the same engine stand-in in the same run.
package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/ctl/store"
	"github.com/pistachioarch/pistachioarch/daemon/node"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/wire/api"
	"github.com/pistachioarch/pistachioarch/wire/platform"
	"github.com/pistachioarch/pistachioarch/wire/target"
)

const secretDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // sha256("secret")

// testbed runs two hosts of one data centre on real sockets.
type testbed struct {
	engine string
	hosts  []string // addresses for callers
	client *http.Client
	nodes  []*node.Node
}

func newTestbed(b *testing.B) *testbed {
	engine := standin.NewEngine(standin.EngineConfig{BatchSize: 4096, CacheTokens: 1 << 40, OutputTokens: 1, PrefillPerToken: 1, DecodePerToken: 1})
	platformServer := httptest.NewServer(standin.NewPlatform().Handler())
	engineServer := httptest.NewServer(engine.Handler())
	b.Cleanup(platformServer.Close)
	b.Cleanup(engineServer.Close)
	x := &testbed{engine: engineServer.URL, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
	for i := range 2 {
		x.startHost(b, fmt.Sprintf("h%d", i+1), platformServer.URL)
	}
	s := store.New(platform.New(x.client, platformServer.URL, ""))
	text := fmt.Sprintf("[service \"llm\"]\nqueue_limit = 100000\nrepeat_limit = 0\nturn_limit = 1000000\nhistory_tokens = 1000000000\n[target \"e\"]\nservice = llm\ndata_centre = a\nurl = %s\nbatch = 4096\ncache_tokens = 1000000000\n[caller \"c\"]\ntoken_sha256 = %s\nbudget = 1000000000000\n", engineServer.URL, secretDigest)
	_, err := s.Apply(context.Background(), text, "bench", host.ConfigObject{}, 0)
	require.NoError(b, err)
	require.Eventually(b, func() bool {
		for _, n := range x.nodes {
			if st := n.Status(); st.ConfigVersion == 0 || st.Slots < 20 {
				return false
			}
		}
		return true
	}, 20*time.Second, 10*time.Millisecond)
	return x
}

func (x *testbed) startHost(b *testing.B, name, platformURL string) {
	set, err := settings.Parse(fmt.Appendf(nil, "[host]\nname = %s\ndata_centre = a\n[platform]\nurl = %s\n[operators]\ntoken_sha256 = %s\n", name, platformURL, secretDigest))
	require.NoError(b, err)
	var l [3]net.Listener
	for i := range l {
		l[i], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
	}
	n, err := node.New(node.Options{Settings: set, Log: log.New(io.Discard), Dialer: &net.Dialer{}, Callers: l[0], Operators: l[1], Peers: l[2]})
	require.NoError(b, err)
	n.Start()
	b.Cleanup(n.Kill)
	x.nodes = append(x.nodes, n)
	x.hosts = append(x.hosts, l[0].Addr().String())
}

var messages = []byte(`[{"role":"user","content":"where do we dig"}]`)

// callEngine calls the engine as a host would.
func (x *testbed) callEngine(b *testing.B) {
	body, _ := json.Marshal(target.Completion{Messages: []api.Message{{Role: "user", Content: "where do we dig"}}, MaxTokens: 1, Stream: true, Program: "a-1-x"})
	req, _ := http.NewRequest(http.MethodPost, x.engine+"/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set(target.CallHeader, "a-1-x/0/1")
	resp, err := x.client.Do(req)
	require.NoError(b, err)
	out, err := io.ReadAll(resp.Body)
	require.NoError(b, err)
	_ = resp.Body.Close()
	require.True(b, strings.Contains(string(out), target.DoneMarker))
}

// callHost makes the first call of a program, so that no history accumulates.
func (x *testbed) callHost(b *testing.B, hostIndex int, program string) {
	c := api.NewClient(x.client, "http://"+x.hosts[hostIndex], "secret")
	_, err := c.Call(context.Background(), program, api.Call{MaxTokens: 1, Messages: messages})
	require.NoError(b, err)
}

func (x *testbed) createProgram(b *testing.B, hostIndex int) string {
	p, err := api.NewClient(x.client, "http://"+x.hosts[hostIndex], "secret").Create(context.Background(), api.CreateProgram{Service: "llm"})
	require.NoError(b, err)
	return p.Program
}

// reportPercentiles reports the 50th and 99th percentile in microseconds.
func reportPercentiles(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds()), name+"-p50-us")
	b.ReportMetric(float64(durations[len(durations)*99/100].Microseconds()), name+"-p99-us")
}

// BenchmarkAddedLatency measures direct calls, calls at the owner, and calls forwarded by another
// host, in turn.
func BenchmarkAddedLatency(b *testing.B) {
	x := newTestbed(b)
	var direct, owned, forwarded []time.Duration
	measure := func(into *[]time.Duration, f func()) {
		start := time.Now()
		f()
		*into = append(*into, time.Since(start))
	}
	for range 50 { // warm up the connections
		x.callEngine(b)
		x.callHost(b, 1, x.createProgram(b, 0))
	}
	b.ResetTimer()
	for b.Loop() {
		p, q := x.createProgram(b, 0), x.createProgram(b, 0)
		measure(&direct, func() { x.callEngine(b) })
		measure(&owned, func() { x.callHost(b, 0, p) })
		measure(&forwarded, func() { x.callHost(b, 1, q) })
	}
	reportPercentiles(b, "direct", direct)
	reportPercentiles(b, "owned", owned)
	reportPercentiles(b, "forwarded", forwarded)
	b.ReportMetric(float64((owned[len(owned)/2] - direct[len(direct)/2]).Microseconds()), "added-owned-us")
	b.ReportMetric(float64((forwarded[len(forwarded)/2] - direct[len(direct)/2]).Microseconds()), "added-forwarded-us")
}

// BenchmarkCallsPerSecond measures the throughput of one host with 8 parallel callers per CPU: 64
// on 8 CPUs.
func BenchmarkCallsPerSecond(b *testing.B) {
	x := newTestbed(b)
	var calls atomic.Int64
	b.ResetTimer()
	start := time.Now()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		p := ""
		n := uint32(0)
		c := api.NewClient(x.client, "http://"+x.hosts[0], "secret")
		for pb.Next() {
			if p == "" || n == 8 {
				p, n = x.createProgram(b, 0), 0
			}
			if _, err := c.Call(context.Background(), p, api.Call{Sequence: n, MaxTokens: 1, Messages: messages}); err != nil {
				b.Error(err)
				return
			}
			n++
			calls.Add(1)
		}
	})
	b.ReportMetric(float64(calls.Load())/time.Since(start).Seconds(), "calls/s")
}
