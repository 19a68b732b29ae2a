// Package system tests complete hosts over real sockets and, where needed, as real processes. The
// tests check outcomes, not timing.
package system

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
	"github.com/pistachioarch/pistachioarch/ctl/standin"
	"github.com/pistachioarch/pistachioarch/ctl/store"
	"github.com/pistachioarch/pistachioarch/daemon/node"
	"github.com/pistachioarch/pistachioarch/daemon/settings"
	"github.com/pistachioarch/pistachioarch/wire/api"
	"github.com/pistachioarch/pistachioarch/wire/frame"
	"github.com/pistachioarch/pistachioarch/wire/platform"
)

// SHA-256 digests of "crew-3-secret" and "desk-1-secret".
const (
	crewDigest = "21cc4407a1db4b5c43e05290a4ca89d210f9c7aa79876c9441c2c0d23930b515"
	deskDigest = "143120b01b279ac7898289942868c04df870491a92cb0fb9375298baa8db8f40"
)

// readyTimeout bounds the time until a host is ready, and until an engine has released a cache. It is
// long, so that a slow machine only slows the test down.
const readyTimeout = time.Minute

type fixture struct {
	t         *testing.T
	callers   string
	operators string
	peers     string
	engine    *standin.Engine
	service   *standin.Service
	platform  string
	node      *node.Node
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{t: t, engine: standin.NewEngine(standin.EngineConfig{OutputTokens: 12, DecodePerToken: time.Microsecond}), service: standin.NewService()}
	serve := func(h http.Handler) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.URL
	}
	x.platform = serve(standin.NewPlatform().Handler())
	text := fmt.Sprintf(`[service "llm"]
turn_limit = 6
history_tokens = 2000
repeat_limit = 3
[service "orders"]
kind = plain
[target "e1"]
service = llm
data_centre = a
url = %s
[target "o1"]
service = orders
data_centre = a
url = %s
[caller "crew"]
token_sha256 = %s
budget = 100000
[caller "desk"]
token_sha256 = %s
[rule "no night shifts"]
when = caller == "desk" && max_tokens == 13
then = reject closed
`, serve(x.engine.Handler()), serve(x.service.Handler()), crewDigest, deskDigest)
	_, err := store.New(platform.New(http.DefaultClient, x.platform, "")).Apply(context.Background(), text, "test", host.ConfigObject{}, 0)
	require.NoError(t, err)
	x.start()
	return x
}

func (x *fixture) start() {
	set, err := settings.Parse(fmt.Appendf(nil, "[host]\nname = h1\ndata_centre = a\n[platform]\nurl = %s\n[operators]\ntoken_sha256 = %s\n[limits]\nbody_bytes = 20000\n", x.platform, deskDigest))
	require.NoError(x.t, err)
	var l [3]net.Listener
	for i := range l {
		l[i], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(x.t, err)
	}
	x.callers, x.operators, x.peers = l[0].Addr().String(), l[1].Addr().String(), l[2].Addr().String()
	x.node, err = node.New(node.Options{Settings: set, Log: log.New(io.Discard), Dialer: &net.Dialer{}, Callers: l[0], Operators: l[1], Peers: l[2]})
	require.NoError(x.t, err)
	x.node.Start()
	x.t.Cleanup(x.node.Kill)
	require.Eventually(x.t, func() bool {
		st := x.node.Status()
		return st.ConfigVersion > 0 && st.Slots == 64 && st.MayServe
	}, readyTimeout, 10*time.Millisecond)
}

func (x *fixture) client(token string) *api.Client {
	return api.NewClient(http.DefaultClient, "http://"+x.callers, token)
}

// post sends a raw body and returns the status and the typed error, if any.
func (x *fixture) post(token, path, body string) (int, api.Error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+x.callers+path, strings.NewReader(body))
	require.NoError(x.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(x.t, err)
	defer func() { _ = resp.Body.Close() }() // the body has been read
	var e api.Error
	if resp.StatusCode >= http.StatusBadRequest {
		require.NoError(x.t, json.NewDecoder(resp.Body).Decode(&e))
	}
	return resp.StatusCode, e
}

const helloCall = `{"sequence":0,"messages":[{"role":"user","content":"hello"}]}`

func TestInvalidRequestsAreRejected(t *testing.T) {
	x := newFixture(t)
	p, err := x.client("crew-3-secret").Create(context.Background(), api.CreateProgram{Service: "llm"})
	require.NoError(t, err)
	calls := "/v1/programs/" + p.Program + "/calls"
	long := strings.Repeat("x", 3000)
	for _, c := range []struct {
		name, token, path, body string
		status                  int
		kind                    failure.Kind
	}{
		{"no token", "", "/v1/programs", `{"service":"llm"}`, 401, failure.Unauthorized},
		{"wrong token", "guess", "/v1/programs", `{"service":"llm"}`, 401, failure.Unauthorized},
		{"not JSON", "crew-3-secret", "/v1/programs", `{"service"`, 400, failure.BadRequest},
		{"two values", "crew-3-secret", "/v1/programs", `{"service":"llm"} {}`, 400, failure.BadRequest},
		{"unknown field", "crew-3-secret", "/v1/programs", `{"servise":"llm"}`, 400, failure.BadRequest},
		{"unknown service", "crew-3-secret", "/v1/programs", `{"service":"tea"}`, 404, failure.UnknownService},
		{"budget of zero", "crew-3-secret", "/v1/programs", `{"service":"llm","budget":0}`, 402, failure.BudgetExhausted},
		{"negative deadline", "crew-3-secret", "/v1/programs", `{"service":"llm","deadline_ms":-1}`, 400, failure.BadRequest},
		{"unknown parent", "crew-3-secret", "/v1/programs", `{"service":"llm","parent":"a-1-x"}`, 404, failure.UnknownProgram},
		{"malformed program", "crew-3-secret", "/v1/programs/x/calls", helloCall, 404, failure.UnknownProgram},
		{"unknown program", "crew-3-secret", "/v1/programs/a-1-x/calls", helloCall, 404, failure.UnknownProgram},
		{"unknown slot", "crew-3-secret", "/v1/programs/a-9999-x/calls", helloCall, 404, failure.UnknownProgram},
		{"another caller's program", "desk-1-secret", calls, helloCall, 404, failure.UnknownProgram},
		{"sequence gap", "crew-3-secret", calls, strings.Replace(helloCall, `"sequence":0`, `"sequence":5`, 1), 409, failure.SequenceGap},
		{"no messages", "crew-3-secret", calls, `{"sequence":0}`, 400, failure.BadRequest},
		{"messages not an array", "crew-3-secret", calls, `{"sequence":0,"messages":{"a":1}}`, 400, failure.BadRequest},
		{"messages and body", "crew-3-secret", calls, `{"sequence":0,"messages":[{"role":"user","content":"x"}],"body":{}}`, 400, failure.BadRequest},
		{"oversize body", "crew-3-secret", calls, `{"messages":"` + strings.Repeat("x", 30000) + `"}`, 413, failure.TooLarge},
		{"over-long history", "crew-3-secret", calls, `{"sequence":0,"messages":[{"role":"user","content":"` + long + `"}]}`, 422, failure.HistoryTooLong},
	} {
		status, e := x.post(c.token, c.path, c.body)
		assert.Equal(t, c.status, status, c.name)
		assert.Equal(t, c.kind, e.Type, c.name)
		assert.Equal(t, failure.RanNo, e.Ran, c.name)
	}
	// The rejected requests must not have affected the program.
	a, err := x.client("crew-3-secret").Call(context.Background(), p.Program, api.Call{Messages: []byte(`[{"role":"user","content":"hello"}]`)})
	require.NoError(t, err)
	assert.True(t, strings.HasPrefix(a.Answer, "digest="))
}

func TestRepeatedCallIsExecutedOnce(t *testing.T) {
	x := newFixture(t)
	ctx := context.Background()
	c := x.client("crew-3-secret")
	p, err := c.Create(ctx, api.CreateProgram{Service: "llm", Key: "k"})
	require.NoError(t, err)
	again, err := c.Create(ctx, api.CreateProgram{Service: "llm", Key: "k"})
	require.NoError(t, err)
	assert.Equal(t, p, again, "same key, same program")
	no := false
	order := api.Call{Service: "orders", Idempotent: &no, Body: []byte(`{"order":"1"}`)}
	first, err := c.Call(ctx, p.Program, order)
	require.NoError(t, err)
	second, err := c.Call(ctx, p.Program, order)
	require.NoError(t, err)
	assert.Equal(t, first, second)
	fetched, err := c.Fetch(ctx, p.Program, 0)
	require.NoError(t, err)
	assert.Equal(t, first, fetched)
	assert.Len(t, x.service.Orders(), 1)
	order.Body = []byte(`{"order":"2"}`)
	_, err = c.Call(ctx, p.Program, order)
	assert.True(t, failure.Is(err, failure.BodyChanged))
	_, err = c.Fetch(ctx, p.Program, 1)
	assert.True(t, failure.Is(err, failure.UnknownCall))
}

func TestRulesLoopDetectionAndTurnLimit(t *testing.T) {
	x := newFixture(t)
	ctx := context.Background()
	desk := x.client("desk-1-secret")
	p, err := desk.Create(ctx, api.CreateProgram{Service: "llm"})
	require.NoError(t, err)
	ask := func(c *api.Client, program string, n uint32, text string, max int64) error {
		raw, _ := json.Marshal([]api.Message{{Role: "user", Content: text}})
		_, err := c.Call(ctx, program, api.Call{Sequence: n, MaxTokens: max, Messages: raw})
		return err
	}
	assert.True(t, failure.Is(ask(desk, p.Program, 0, "x", 13), failure.Rejected))
	for n := range uint32(3) {
		require.NoError(t, ask(desk, p.Program, n, "same", 20))
	}
	assert.True(t, failure.Is(ask(desk, p.Program, 3, "same", 20), failure.LoopDetected))
	assert.True(t, failure.Is(ask(desk, p.Program, 3, "other", 20), failure.ProgramEnded))
	q, err := desk.Create(ctx, api.CreateProgram{Service: "llm"})
	require.NoError(t, err)
	for n := range uint32(6) {
		require.NoError(t, ask(desk, q.Program, n, fmt.Sprint("turn ", n), 20))
	}
	assert.True(t, failure.Is(ask(desk, q.Program, 6, "one more", 20), failure.TurnLimit))
	assert.Eventually(t, func() bool { return len(x.engine.CachedPrograms()) == 0 }, readyTimeout, 10*time.Millisecond, "cache of an ended program not released")
}

func TestBudgetIncludesSubAgents(t *testing.T) {
	x := newFixture(t)
	ctx := context.Background()
	c := x.client("crew-3-secret")
	budget := int64(90)
	parent, err := c.Create(ctx, api.CreateProgram{Service: "llm", Budget: &budget})
	require.NoError(t, err)
	child, err := c.Create(ctx, api.CreateProgram{Service: "llm", Parent: parent.Program})
	require.NoError(t, err)
	spent := int64(0)
	program, n, exhausted := child.Program, uint32(0), false
	for range 12 {
		a, err := c.Call(ctx, program, api.Call{Sequence: n, MaxTokens: 50, Messages: fmt.Appendf(nil, `[{"role":"user","content":"turn %d"}]`, n)})
		if exhausted = failure.Is(err, failure.BudgetExhausted); exhausted {
			break
		}
		if n == 2 && program == child.Program { // continue with the parent, which shares the budget
			program, n = parent.Program, 0
			continue
		}
		require.NoError(t, err)
		spent += a.Usage.OutputTokens
		n++
	}
	assert.True(t, exhausted)
	assert.LessOrEqual(t, spent, budget)
	for _, p := range x.node.Dump().Programs {
		assert.LessOrEqual(t, p.Spent, budget)
		assert.Zero(t, p.Reserved)
	}
}

func TestOperatorRequestsRequireOperatorToken(t *testing.T) {
	x := newFixture(t)
	var st node.Status
	caller := api.NewClient(http.DefaultClient, "http://"+x.operators, "crew-3-secret")
	assert.True(t, failure.Is(caller.Operate(context.Background(), "GET", "v1/dump", nil), failure.Unauthorized))
	operator := api.NewClient(http.DefaultClient, "http://"+x.operators, "desk-1-secret")
	require.NoError(t, operator.Operate(context.Background(), "GET", "v1/status", &st))
	assert.Equal(t, 64, st.Slots)
	var metrics map[string]any
	require.NoError(t, operator.Operate(context.Background(), "GET", "v1/metrics", &metrics))
	assert.NotEmpty(t, metrics)
}

func TestMalformedPeerDataIsTolerated(t *testing.T) {
	x := newFixture(t)
	for _, bytes := range [][]byte{{0xff, 0xff, 0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), {frame.StreamFrames, 0xff, 0xff, 0xff, 0xff}} {
		conn, err := net.Dial("tcp", x.peers)
		require.NoError(t, err)
		_, err = conn.Write(bytes)
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	_, err := x.client("crew-3-secret").Create(context.Background(), api.CreateProgram{Service: "llm"})
	assert.NoError(t, err, "host fails after malformed peer data")
}

func TestAnswerOfDisconnectedCallerCanBeFetched(t *testing.T) {
	x := newFixture(t)
	ctx := context.Background()
	c := x.client("crew-3-secret")
	p, err := c.Create(ctx, api.CreateProgram{Service: "llm"})
	require.NoError(t, err)
	x.engine.SetFaults(standin.EngineFaults{SlowMS: 50})
	streamCtx, cancel := context.WithCancel(ctx)
	call := api.Call{MaxTokens: 20, Messages: []byte(`[{"role":"user","content":"hello"}]`)}
	_, err = c.Stream(streamCtx, p.Program, call, func(string, string) { cancel() })
	require.Error(t, err)
	a, err := c.Fetch(ctx, p.Program, 0)
	require.NoError(t, err, "answer of a disconnected caller cannot be fetched")
	assert.True(t, strings.HasPrefix(a.Answer, "digest="))
	assert.Len(t, x.engine.Calls(), 1, "call not executed exactly once")
}
