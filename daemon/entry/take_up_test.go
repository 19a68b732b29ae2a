package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
)

// openStream sends a request for a stream and reads its first event. The connection stays open until the end of
// the test, as if the host had stopped without a trace.
func (s *testSystem) openStream(body string, headers ...string) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	s.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/quick/", strings.NewReader(body))
	require.NoError(s.t, err)
	req.Host = "example"
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := s.server.Client().Do(req)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = resp.Body.Close() })
	_, err = io.ReadFull(resp.Body, make([]byte, len("id: 1\ndata: a\n\n")))
	require.NoError(s.t, err)
}

// takeUpOutsideProgram takes up such a stream.
func (s *testSystem) takeUpOutsideProgram(body, resumes string) answer {
	return s.post("/quick/", body, ownheaders.ID, body+"-2", ownheaders.LastEvent, "2", ownheaders.Resumes, resumes)
}

// namesVersion reports whether a request to a history host stores the software version v1 or v2 of a stream.
func namesVersion(req *historypb.Request) bool {
	for _, r := range req.GetWrite().GetRecords() {
		version := r.GetReserve().GetSoftwareVersion() + r.GetSettle().GetSoftwareVersion()
		if version == "v1" || version == "v2" {
			return true
		}
	}
	return false
}

// newSystemWithLostVersions returns a system of targets of v1 and v2, each of which stalls its streams, where program
// p has begun a stream and its host has ended. The history hosts reject the software versions of streams while lost
// is set, as it is.
func newSystemWithLostVersions(t *testing.T) (s *testSystem, lost *atomic.Bool, targets []*fakeTarget, versionOf map[string]string) {
	targets, versionOf = versionedTargets(t, stallThenResume, "v1", "v2")
	s, lost = newSystem(t), &atomic.Bool{}
	list(s.host, versionOf, targets...)
	lost.Store(true)
	s.rejectVersions(lost)
	s.t.Cleanup(s.beginStream("p"))
	s.addHost()
	return s, lost, targets, versionOf
}

// rejectVersions makes all history hosts reject the records of software versions while lost is set.
func (s *testSystem) rejectVersions(lost *atomic.Bool) {
	for _, m := range s.members {
		m.setHandler(func(req *historypb.Request, respond func(*historypb.Reply)) {
			if lost.Load() && namesVersion(req) {
				respond(&historypb.Reply{Id: req.Id, Status: historypb.Status_STATUS_UNAVAILABLE})
				return
			}
			m.server.Handle(req, respond)
		})
	}
}

// A stream without a program continues at the software version that began it, or nowhere, whichever host the
// caller reaches and whether the targets of that version are still there.
func TestTakenUpStreamOutsideProgramKeepsItsSoftwareVersion(t *testing.T) {
	for name, c := range map[string]struct {
		before, after []string
		want          int
	}{
		"old version stays":              {[]string{"v1"}, []string{"v1", "v2"}, http.StatusOK},
		"old version has left":           {[]string{"v1"}, []string{"v2", "v2"}, http.StatusServiceUnavailable},
		"begun beside a second version":  {[]string{"v1", "v2"}, []string{"v2", "v1"}, http.StatusOK},
		"no other version, other target": {[]string{"v1"}, []string{"v1", "v1"}, http.StatusOK},
	} {
		for _, resumes := range []string{"named", "not named"} {
			t.Run(name+", "+resumes, func(t *testing.T) {
				first, firstVersions := versionedTargets(t, stallThenResume, c.before...)
				next, nextVersions := versionedTargets(t, stallThenResume, c.after...)
				s := newSystem(t)
				list(s.host, firstVersions, first...)
				s.openStream("a stream", ownheaders.ID, "a stream-1")
				s.addHost()
				list(s.host, nextVersions, next...)
				attempt := ""
				if resumes == "named" {
					attempt = "a stream-1"
				}
				require.Equal(t, c.want, s.takeUpOutsideProgram("a stream", attempt).status)
				versions := versionsOfStreams(firstVersions, first...)["a stream"]
				for version := range versionsOfStreams(nextVersions, next...)["a stream"] {
					versions[version] = true
				}
				require.Len(t, versions, 1)
			})
		}
	}
}

// A stream that began while several versions were listed, and whose version was not stored before its host
// ended, must not continue at the one that is left.
func TestStreamOfUnknownVersionIsNotJoined(t *testing.T) {
	for _, resumes := range []string{"p-1", ""} {
		for _, kept := range []string{"v1", "v2", "both"} {
			t.Run("resumes "+resumes+", kept "+kept, func(t *testing.T) {
				s, _, targets, versionOf := newSystemWithLostVersions(t)
				for i, x := range targets {
					if version := "v" + strconv.Itoa(i+1); kept == version || kept == "both" {
						list(s.host, versionOf, x)
					}
				}
				got := s.postStream("p", 2, ownheaders.LastEvent, "2", ownheaders.Resumes, resumes)
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.NotEmpty(t, got.header.Get("Retry-After"))
				require.Len(t, versionsOfStreams(versionOf, targets...)["p"], 1)
			})
		}
	}
}

// A version that is not stored in time is stored later, so that the stream can continue.
func TestVersionNotStoredInTimeIsStoredLater(t *testing.T) {
	s, lost, targets, versionOf := newSystemWithLostVersions(t)
	list(s.host, versionOf, targets...)
	lost.Store(false)
	n := 1
	require.Eventually(t, func() bool {
		n++
		return s.postStream("p", n, ownheaders.LastEvent, "2", ownheaders.Resumes, "p-1").status == http.StatusOK
	}, harnessTimeout, 10*time.Millisecond)
	require.Len(t, versionsOfStreams(versionOf, targets...)["p"], 1)
}

// A stream of unknown version continues if the targets have had one version for longer than any stream lasts.
func TestStreamOfUnknownVersionContinuesAtLoneVersion(t *testing.T) {
	targets, versionOf := versionedTargets(t, stallThenResume, "v1", "v1")
	s := newSystem(t)
	list(s.host, versionOf, targets...)
	require.Equal(t, http.StatusServiceUnavailable, s.takeUpOutsideProgram("a stream", "unknown").status)
	s.host.versions.Observe("s", []string{"v1"}, -maxRequestTimeout)
	s.host.targetList.confirmed.confirm(time.Hour)
	got := s.takeUpOutsideProgram("a stream", "unknown")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "id: 3\ndata: c\n\n", got.body)
}

// A caller may name the attempt that took its stream up last. That attempt must be known by its version as soon
// as it has brought an event, also if its host ended then.
func TestStreamTakenUpAgainKeepsItsSoftwareVersion(t *testing.T) {
	answer := func(_ int, r received, id string) (string, bool) {
		switch r.LastEvent {
		case "":
			return streamHead(id) + eventChunks(1, "a", "b"), false
		case "2":
			return streamHead(id) + eventChunks(3, "c"), false
		}
		return okStream(id, 4, "d"), false
	}
	for _, program := range []string{"p", ""} {
		for name, c := range map[string]struct {
			listed []string
			want   int
		}{"old version stays": {[]string{"v2", "v1"}, http.StatusOK}, "old version has left": {[]string{"v2"}, http.StatusServiceUnavailable}} {
			t.Run(name+" "+program, func(t *testing.T) {
				targets, versionOf := versionedTargets(t, answer, append([]string{"v1"}, c.listed...)...)
				s := newSystem(t)
				list(s.host, versionOf, targets[0])
				s.openStream("body", ownheaders.ID, "1", ownheaders.Program, program)
				s.addHost()
				list(s.host, versionOf, targets[0])
				s.openStream("body", ownheaders.ID, "2", ownheaders.Program, program, ownheaders.LastEvent, "2", ownheaders.Resumes, "1")
				s.addHost()
				list(s.host, versionOf, targets[1:]...)
				got := s.post("/quick/", "body", ownheaders.ID, "3", ownheaders.Program, program, ownheaders.LastEvent, "3", ownheaders.Resumes, "2")
				require.Equal(t, c.want, got.status)
				require.Len(t, versionsOfStreams(versionOf, targets...)["body"], 1)
			})
		}
	}
}
