package entry

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/balance"
	"github.com/pistachioarch/pistachioarch/wire/ownheaders"
	"github.com/pistachioarch/pistachioarch/wire/rawserver"
)

// upload is more than the buffers of a connection hold.
var upload = strings.Repeat("u", 8<<20)

// withoutLength removes what tells the length of an answer or its coding in chunks.
func withoutLength(answer string) string {
	head, body, _ := strings.Cut(answer, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	return strings.Join(lines[:len(lines)-1], "\r\n") + "\r\n\r\n" + body
}

// addUnreadTarget adds a target that reads only the head of each request, sends answer and ends the connection.
func (s *testSystem) addUnreadTarget(id string, answer func(id string) string, end func(c *net.TCPConn)) {
	address := rawserver.Start(s.t, func(r *http.Request) string { return answer(r.Header.Get(ownheaders.ID)) }, end)
	s.host.registry.SetTarget(balance.TargetInfo{ID: id, Service: "s", Address: address, DataCentre: "dc1", Capacity: 4})
}

// partAnswers are parts of answers without a length, by the route they are for.
var partAnswers = map[string]func(id string) string{
	"/plain/": func(id string) string { return withoutLength(okAnswer(id, "part")) },
	"/once/":  func(id string) string { return withoutLength(okAnswer(id, "part")) },
	"/turn/":  func(id string) string { return withoutLength(streamHead(id)) + "id: 1\ndata: part\n\n" },
	"/quick/": func(id string) string { return withoutLength(streamHead(id)) + "id: 1\ndata: part\n\n" },
}

// The part of an answer without a length that arrived before the target reset the connection, while the upload was
// being sent, must not reach a caller as all of it.
func TestAnswerCutByResetDuringUploadIsNotPassedOnAsWhole(t *testing.T) {
	for path, part := range partAnswers {
		for try := range 6 {
			s := newSystem(t)
			s.host.table.Load().Limits.BodyBytes = int64(len(upload))
			s.addUnreadTarget("t1", part, rawserver.Reset)
			s.addUnreadTarget("t2", part, rawserver.Reset)
			if try%2 == 1 {
				s.enableHedging(5)
			}
			got := s.post(path, upload, ownheaders.ID, "1", ownheaders.MaxTokens, "12")
			require.NotEqual(t, http.StatusServiceUnavailable, got.status, "sent")
			require.False(t, got.status == http.StatusOK && got.err == nil, "%s: %q", path, got.body)
		}
	}
}

// The same answer, if the target ends its side of the connection, is whole.
func TestAnswerWithoutLengthThatEndsDuringUploadIsPassedOn(t *testing.T) {
	for path, whole := range partAnswers {
		s := newSystem(t)
		s.host.table.Load().Limits.BodyBytes = int64(len(upload))
		s.addUnreadTarget("t1", whole, rawserver.End)
		got := s.post(path, upload, ownheaders.ID, "1", ownheaders.MaxTokens, "12")
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, path)
		require.Contains(t, got.body, "part")
	}
}
