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

func number(v string) int64 {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// received is a request as a target saw it.
type received struct {
	Target, Method, URI, Body, LastEvent, LeftMs string
	Key, Customer                                string
}

// target answers raw bytes per request; see answerFunc.
type target struct {
	id       string
	listener net.Listener
	mu       sync.Mutex
	seen     []received
}

// answerFunc returns the raw answer to the n-th request at a target, from 0, and
// whether the connection is closed after it.
type answerFunc func(n int, r received, id string) (raw string, closes bool)

func newTarget(t *testing.T, id string, answer answerFunc) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	x := &target{id: id, listener: l}
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

func (x *target) serve(c net.Conn, answer answerFunc) {
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
			LastEvent: req.Header.Get("Last-Event-Id"), LeftMs: req.Header.Get(ownheaders.Timeout),
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

func (x *target) requests() []received {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]received(nil), x.seen...)
}

func whole(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.Signature + ": s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func refused(id string) string {
	return "HTTP/1.1 503 Busy\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// streamed is a chunked stream of events with ids from first; cut ends it early.
func streamed(id string, first int, data ...string) string {
	return streamHead(id) + chunks(first, data...) + "0\r\n\r\n"
}

func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\n" + ownheaders.ID + ": " + id + "\r\n" + ownheaders.Signature + ": s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunks(first int, data ...string) string {
	var b strings.Builder
	for i, d := range data {
		e := "id: " + strconv.Itoa(first+i) + "\ndata: " + d + "\n\n"
		b.WriteString(strconv.FormatInt(int64(len(e)), 16) + "\r\n" + e + "\r\n")
	}
	return b.String()
}

// system is an entry host with targets and history hosts on loopback.
type system struct {
	t       *testing.T
	host    *Host
	server  *httptest.Server
	past    *quorum.Client
	members []*member
	// aged makes the history hosts a day old, so that they hold all tokens of quotas.
	aged atomic.Bool
}

func (s *system) elapsed() time.Duration {
	if s.aged.Load() {
		return 24 * time.Hour
	}
	return 0
}

type member struct {
	server *history.Server
	// silent members read requests and answer none.
	silent atomic.Bool
	// other answers in place of the server, if it is set.
	other atomic.Pointer[rpc.Handler]
}

func (m *member) setHandler(h rpc.Handler) { m.other.Store(&h) }

func (m *member) handle(req *historypb.Request, answer func(*historypb.Reply)) {
	if m.silent.Load() {
		return
	}
	if other := m.other.Load(); other != nil {
		(*other)(req, answer)
		return
	}
	m.server.Handle(req, answer)
}

func quietLog() *log.Logger { return log.New(io.Discard) }

// memberPatience is how long a silent history host is waited for, in place of 0.3 s: tests
// in which one is silent wait for it.
const memberPatience = 3 * time.Second

// harnessPatience is how long the tests' host waits for its history hosts: on a busy machine
// a process of theirs may stand still for longer than a deployment's host would wait.
const harnessPatience = 20 * time.Second

// newSystem starts an entry host with the routes /plain/ (idempotent), /once/,
// /turn/ (retained) and /quick/ (resumable), all to service "s".
func newSystem(t *testing.T, targets ...*target) *system {
	s := &system{t: t, past: quorum.New(&net.Dialer{}, "dc1", quietLog(), nil)}
	s.past.Patient(memberPatience)
	s.startHistory(3)
	s.host = New(Options{Headers: ownheaders.Headers{}, History: s.past, Dialer: &net.Dialer{}, DataCentre: "dc1", ReadyPath: "/ready", Log: quietLog(),
		HistoryPatience: harnessPatience})
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
	return s
}

// startHistory starts n history hosts and gives the client their slot map.
func (s *system) startHistory(n int) { s.startHistoryIn(make([]string, n)...) }

// startHistoryIn starts a history host in each of some regions.
func (s *system) startHistoryIn(regions ...string) {
	m := placement.New(1)
	for i, region := range regions {
		server, err := history.OpenServer(history.Options{Dir: s.t.TempDir(), Logger: quietLog(), Elapsed: s.elapsed})
		require.NoError(s.t, err)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err)
		x := &member{server: server}
		go func() { _ = rpc.Serve(l, x.handle) }()
		s.members = append(s.members, x)
		s.t.Cleanup(func() {
			_ = l.Close()
			server.Close() // a settlement on its way would write to the folder while it is removed
		})
		m.Admit(placement.Member{ID: server.MemberID(), Host: strconv.Itoa(i), Address: l.Addr().String(), DataCentre: strconv.Itoa(i), Region: region})
	}
	m.Assign()
	s.adopt(m)
}

// adopt gives a slot map to the history hosts and to the client.
func (s *system) adopt(m *placement.Map) {
	for _, x := range s.members {
		require.NoError(s.t, x.server.Adopt(m))
	}
	text, err := json.Marshal(m)
	require.NoError(s.t, err)
	s.past.Replaced(objects.Snapshot{Items: []objects.Object{{Name: history.MapName, Spec: text}}})
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (s *system) post(path, body string, headers ...string) answer {
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

func (s *system) turn(path, id, previous, input string) answer {
	return s.post(path, input, ownheaders.ID, id, ownheaders.Program, "p", ownheaders.Previous, previous, ownheaders.Budget, "100", ownheaders.MaxTokens, "12")
}
