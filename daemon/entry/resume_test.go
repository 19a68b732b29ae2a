package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/daemon/quorum"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// streamsPerTest is the number of streams of each test, so that every target is chosen several times.
const streamsPerTest = 24

// breakThenResume breaks a new stream off after its second event and ends one that continues.
func breakThenResume(_ int, r received, id string) (string, bool) {
	if r.LastEvent == "" {
		return streamHead(id) + eventChunks(1, "a", "b") + "5\r\nid: 3", true
	}
	return okStream(id, 3, "c"), false
}

// stallThenResume stalls a new stream after its second event and ends one that continues.
func stallThenResume(_ int, r received, id string) (string, bool) {
	if r.LastEvent == "" {
		return streamHead(id) + eventChunks(1, "a", "b"), false
	}
	return okStream(id, 3, "c"), false
}

// versionedTargets starts targets, and returns them with their versions by ID.
func versionedTargets(t *testing.T, answer answerFunc, versions ...string) (targets []*fakeTarget, versionOf map[string]string) {
	versionOf = map[string]string{}
	for i, version := range versions {
		id := "t" + strconv.Itoa(i)
		targets = append(targets, newFakeTarget(t, id, answer))
		versionOf[id] = version
	}
	return targets, versionOf
}

// list makes a host know targets with their versions.
func list(h *Host, versionOf map[string]string, targets ...*fakeTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range targets {
		h.registry.SetTarget(balance.TargetInfo{ID: x.id, Service: "s", Address: x.listener.Addr().String(), DataCentre: "dc1", Capacity: 4, SoftwareVersion: versionOf[x.id]})
	}
}

// versionsOfStreams returns the versions of the targets at which the stream of each program ran. Every
// stream has a program of its own, whose name is the body of its requests.
func versionsOfStreams(versionOf map[string]string, targets ...*fakeTarget) map[string]map[string]bool {
	versions := map[string]map[string]bool{}
	for _, x := range targets {
		for _, r := range x.requests() {
			if versions[r.Body] == nil {
				versions[r.Body] = map[string]bool{}
			}
			versions[r.Body][versionOf[x.id]] = true
		}
	}
	return versions
}

// postStream sends the n-th attempt of a program's stream to a host.
func (s *testSystem) postStream(program string, n int, headers ...string) answer {
	id := program + "-" + strconv.Itoa(n)
	return s.post("/quick/", program, append(headers, ownheaders.ID, id, ownheaders.Program, program, ownheaders.Budget, "100", ownheaders.MaxTokens, "12")...)
}

// beginStream begins the stream of a program and reads its first two events. The returned function
// closes the connection.
func (s *testSystem) beginStream(program string) (leave context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/quick/", strings.NewReader(program))
	require.NoError(s.t, err)
	req.Host = "example"
	for name, value := range map[string]string{ownheaders.ID: program + "-1", ownheaders.Program: program, ownheaders.Budget: "100", ownheaders.MaxTokens: "12"} {
		req.Header.Set(name, value)
	}
	resp, err := s.server.Client().Do(req)
	require.NoError(s.t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")))
	require.NoError(s.t, err)
	return func() {
		cancel()
		_ = resp.Body.Close()
	}
}

// beginStreams begins the streams of all programs at once, so that they are spread over the targets.
// They stay open until the end of the test, as if their host had stopped without a trace.
func (s *testSystem) beginStreams() {
	for n := range streamsPerTest {
		s.t.Cleanup(s.beginStream("p" + strconv.Itoa(n)))
	}
}

// addHost replaces the entry host of the system by another one, which shares only the history hosts
// with it.
func (s *testSystem) addHost() {
	client := quorum.New(&net.Dialer{}, "dc1", discardLog(), nil)
	client.SetTimeouts(memberTimeout)
	next := New(Options{Headers: ownheaders.Headers{}, History: client, Dialer: &net.Dialer{}, DataCentre: "dc1", ReadyPath: "/ready", Log: discardLog(), HistoryTimeout: harnessTimeout})
	next.brokenRunTimeouts = patientBrokenRunTimeouts
	next.SetTable(s.host.table.Load())
	s.history, s.host = client, next
	s.adopt(s.slotMap)
	s.server = httptest.NewServer(next)
	s.t.Cleanup(s.server.Close)
	s.t.Cleanup(next.end)
}

// A stream that its target breaks off must not continue at another software version.
func TestBrokenStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	targets, versionOf := versionedTargets(t, breakThenResume, "v1", "v1", "v2", "v2")
	s := newSystem(t)
	list(s.host, versionOf, targets...)
	for n := range streamsPerTest {
		got := s.postStream("p"+strconv.Itoa(n), 1)
		require.NoError(t, got.err)
		require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", got.body)
	}
	for program, versions := range versionsOfStreams(versionOf, targets...) {
		require.Len(t, versions, 1, program)
	}
}

// A stream that a caller takes up, at any host, must not continue at another software version than
// that of the attempt that began it.
func TestTakenUpStreamContinuesAtItsSoftwareVersion(t *testing.T) {
	targets, versionOf := versionedTargets(t, stallThenResume, "v1", "v2", "v1", "v2")
	s := newSystem(t)
	list(s.host, versionOf, targets[:2]...)
	s.beginStreams()
	require.NotEmpty(t, targets[0].requests())
	require.NotEmpty(t, targets[1].requests())
	s.addHost()
	list(s.host, versionOf, targets...)
	for n := range streamsPerTest {
		program := "p" + strconv.Itoa(n)
		got := s.postStream(program, 2, ownheaders.LastEvent, "2", ownheaders.Resumes, program+"-1")
		require.Equal(t, http.StatusOK, got.status)
		require.Equal(t, "id: 3\ndata: c\n\n", got.body)
	}
	for program, versions := range versionsOfStreams(versionOf, targets...) {
		require.Len(t, versions, 1, program)
	}
}

// A stream whose software version is gone cannot continue: no target may run it.
func TestTakenUpStreamIsRefusedWithoutItsSoftwareVersion(t *testing.T) {
	targets, versionOf := versionedTargets(t, stallThenResume, "v1", "v2")
	s := newSystem(t)
	list(s.host, versionOf, targets[0])
	s.t.Cleanup(s.beginStream("p"))
	s.addHost()
	list(s.host, versionOf, targets[1])
	got := s.postStream("p", 2, ownheaders.LastEvent, "2", ownheaders.Resumes, "p-1")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, targets[1].requests())
}

// Without the attempt that began it, a stream continues only where all streams of its program, or else
// all targets, have one software version.
func TestTakenUpStreamOfUnknownAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		listed  []string // versions of the targets while the stream is taken up
		begun   bool     // the program has begun a stream at v1
		resumes string
		want    int
	}{
		"one version":                     {[]string{"v1", "v1"}, false, "unknown", http.StatusOK},
		"several versions":                {[]string{"v1", "v2"}, false, "unknown", http.StatusServiceUnavailable},
		"several versions, other attempt": {[]string{"v2", "v1"}, true, "unknown", http.StatusServiceUnavailable},
		"not named, one of the program":   {[]string{"v2", "v1"}, true, "", http.StatusOK},
		"not named, none of the program":  {[]string{"v2", "v1"}, false, "", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			targets, versionOf := versionedTargets(t, stallThenResume, append([]string{"v1"}, c.listed...)...)
			s := newSystem(t)
			list(s.host, versionOf, targets[0])
			if c.begun {
				s.t.Cleanup(s.beginStream("p"))
			}
			s.addHost()
			list(s.host, versionOf, targets[1:]...)
			got := s.postStream("p", 2, ownheaders.LastEvent, "2", ownheaders.Resumes, c.resumes)
			require.Equal(t, c.want, got.status)
			for _, versions := range versionsOfStreams(versionOf, targets...) {
				require.Len(t, versions, 1)
			}
		})
	}
}
