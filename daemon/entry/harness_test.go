package entry

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/placement"
	"github.com/pistachioarch/pistachioarch/core/routing"
	"github.com/pistachioarch/pistachioarch/daemon/history"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// parseNumber parses a decimal header value, 0 if it is none.
func parseNumber(v string) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// received is a request as a target received it.
type received struct {
	Target, Method, URI, Body, LastEvent, TimeoutMs string
	Key, Customer                                   string
}

// fakeTarget is a target on loopback that answers each request with raw bytes; see answerFunc.
type fakeTarget struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	seen     []received
}

// answerFunc returns the raw answer to the n-th request at a target, counted from 0, and whether the
// connection is closed after it.
type answerFunc func(n int, r received, id string) (raw string, closes bool)

func newFakeTarget(t *testing.T, id string, answer answerFunc) *fakeTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	x := &fakeTarget{id: id, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go x.serve(c, answer)
		}
	}()
	return x
}

func (x *fakeTarget) serve(c net.Conn, answer answerFunc) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r := received{
			Target: req.Header.Get(ownheaders.Target), Method: req.Method, URI: req.RequestURI, Body: string(body),
			LastEvent: req.Header.Get("Last-Event-Id"), TimeoutMs: req.Header.Get(ownheaders.Timeout),
			Key: req.Header.Get(ownheaders.Key), Customer: req.Header.Get(ownheaders.Customer),
		}
		x.mu.Lock()
		n := len(x.seen)
		x.seen = append(x.seen, r)
		x.mu.Unlock()
		raw, closes := answer(n, r, req.Header.Get(ownheaders.ID))
		if _, err := io.WriteString(c, raw); err != nil || closes {
			return
		}
	}
}

func (x *fakeTarget) requests() []received {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]received(nil), x.seen...)
}

// okAnswer is a signed plain answer with status 200.
func okAnswer(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.Signature + ": s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// refusedAnswer is an answer that marks the request as not run.
func refusedAnswer(id string) string {
	return "HTTP/1.1 503 Busy\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// okStream is a complete chunked stream of events with IDs from first.
func okStream(id string, first int, data ...string) string {
	return streamHead(id) + eventChunks(first, data...) + "0\r\n\r\n"
}

// streamHead is the head of a signed chunked stream.
func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.Signature + ": s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// eventChunks is one chunk for each event, with IDs from first, without the end of the stream.
func eventChunks(first int, data ...string) string {
	var b strings.Builder
	for i, d := range data {
		e := "id: " + strconv.Itoa(first+i) + "\ndata: " + d + "\n\n"
		b.WriteString(strconv.FormatInt(int64(len(e)), 16) + "\r\n" + e + "\r\n")
	}
	return b.String()
}

// testSystem is an entry host with targets and history hosts on loopback.
type testSystem struct {
	t       *testing.T
	host    *Host
	server  *httptest.Server
	history *quorum.Client
	members []*member
	slotMap *placement.Map
	// aged makes the history hosts appear a day old, so that they hold all tokens of quotas.
	aged atomic.Bool
}

func (s *testSystem) elapsed() time.Duration {
	if s.aged.Load() {
		return 24 * time.Hour
	}
	return 0
}

// member is a history host.
type member struct {
	server *history.Server
	// silent makes the member read requests and answer none.
	silent atomic.Bool
	// handler answers instead of the server if it is set.
	handler atomic.Pointer[rpc.Handler]
}

func (m *member) setHandler(h rpc.Handler) { m.handler.Store(&h) }

func (m *member) handle(req *historypb.Request, respond func(*historypb.Reply)) {
	if m.silent.Load() {
		return
	}
	if override := m.handler.Load(); override != nil {
		(*override)(req, respond)
		return
	}
	m.server.Handle(req, respond)
}

func discardLog() *log.Logger { return log.New(io.Discard) }

// memberTimeout is the client's timeout for one history host, instead of 0.3 s. Tests with a silent
// history host wait for it.
const memberTimeout = 3 * time.Second

// harnessTimeout is the history timeout of the tests' host. On a busy machine a history host may be
// paused for longer than the timeout of a deployment.
const harnessTimeout = 20 * time.Second

// newSystem starts a testSystem: an entry host with the routes /plain/ (idempotent), /once/,
// /turn/ (retained), /quick/ (resumable) and /short/ (a timeout of 30 ms), all to service "s".
func newSystem(t *testing.T, targets ...*fakeTarget) *testSystem {
	s := &testSystem{t: t, history: quorum.New(&net.Dialer{}, "dc1", discardLog(), nil)}
	s.history.SetTimeouts(memberTimeout)
	s.startHistory(3)
	s.host = New(Options{Headers: ownheaders.Headers{}, History: s.history, Dialer: &net.Dialer{}, DataCentre: "dc1", ReadyPath: "/ready", Log: discardLog(),
		HistoryTimeout: harnessTimeout})
	s.host.brokenRunTimeouts = patientBrokenRunTimeouts
	engine := &routing.Engine{Capacity: 4, TokensPerEvent: 3}
	route := func(prefix string, r routing.Route) *routing.Route {
		r.Host, r.Prefix, r.Services = "example", prefix, []routing.WeightedService{{Service: "s", Weight: 1}}
		r.MaxAttempts = max(2, r.MaxAttempts)
		return &r
	}
	s.host.SetTable(routing.NewTable(1, routing.Limits{BodyBytes: 1000}, []*routing.Service{{Name: "s", Engine: engine}}, []*routing.Route{
		route("/plain/", routing.Route{}),
		route("/once/", routing.Route{Kind: routing.AtMostOnce}),
		route("/turn/", routing.Route{Kind: routing.Streaming, Retained: true}),
		route("/quick/", routing.Route{Kind: routing.Streaming, Resumable: true}),
		route("/short/", routing.Route{Timeout: 30 * time.Millisecond}),
	}))
	for _, x := range targets {
		s.host.registry.SetTarget(balance.TargetInfo{ID: x.id, Service: "s", Address: x.listener.Addr().String(), DataCentre: "dc1", Capacity: 4})
	}
	s.server = httptest.NewServer(s.host)
	t.Cleanup(s.server.Close)
	t.Cleanup(s.host.end)
	return s
}

// startHistory starts n history hosts and gives the client their slot map.
func (s *testSystem) startHistory(n int) { s.startHistoryInRegions(make([]string, n)...) }

// startHistoryInRegions starts one history host in each of the regions.
func (s *testSystem) startHistoryInRegions(regions ...string) {
	m := placement.New(1)
	for i, region := range regions {
		server, err := history.OpenServer(history.Options{Dir: s.t.TempDir(), Logger: discardLog(), Elapsed: s.elapsed})
		require.NoError(s.t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err)
		started := &member{server: server}
		go func() { _ = rpc.Serve(l, started.handle) }()
		s.members = append(s.members, started)
		s.t.Cleanup(func() {
			_ = l.Close()
			server.Close() // otherwise a pending settlement would write to the folder while it is removed
		})
		m.Admit(placement.Member{ID: server.MemberID(), Host: strconv.Itoa(i), Address: l.Addr().String(), DataCentre: strconv.Itoa(i), Region: region})
	}
	m.Assign()
	s.adopt(m)
}

// adopt gives the slot map m to the history hosts and to the client.
func (s *testSystem) adopt(m *placement.Map) {
	s.slotMap = m
	for _, x := range s.members {
		require.NoError(s.t, x.server.Adopt(m))
	}
	spec, err := json.Marshal(m)
	require.NoError(s.t, err)
	s.history.Replaced(objects.Snapshot{Items: []objects.Object{{Name: history.MapName, Spec: spec}}})
}

// answer is the answer that a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

// post sends a request as a caller; headers are pairs of name and value.
func (s *testSystem) post(path, body string, headers ...string) answer {
	s.t.Helper()
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.server.URL+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Host = "example"
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.server.Client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(got), err}
}

// postTurn sends a turn of program "p" with a budget of 100 tokens, of which it may generate 12.
func (s *testSystem) postTurn(path, id, previous, input string) answer {
	return s.post(path, input, ownheaders.ID, id, ownheaders.Program, "p", ownheaders.Previous, previous, ownheaders.Budget, "100", ownheaders.MaxTokens, "12")
}

// allowAttempts sets the number of targets to which a request of a route may be sent.
func (s *testSystem) allowAttempts(prefix string, n int) {
	for _, r := range s.host.table.Load().Routes() {
		if r.Prefix == prefix {
			r.MaxAttempts = n
		}
	}
}
