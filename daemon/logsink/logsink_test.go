package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// blockingWriter blocks each write until open is closed.
type blockingWriter struct {
	open    chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	n, err := g.text.Write(p)
	g.written <- struct{}{}
	return n, err
}

func TestWriteDoesNotBlockOnBlockedWriter(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{}), written: make(chan struct{}, 2*bufferLines)}
	s := New(g)
	for range bufferLines + 100 {
		n, err := s.Write([]byte("{}\n"))
		require.NoError(t, err)
		require.Equal(t, 3, n)
	}
	lost := s.Dropped()
	require.GreaterOrEqual(t, lost, int64(99), "one line may be held by the writer")
	close(g.open)
	for range bufferLines + 100 - int(lost) + 1 {
		<-g.written
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	require.Contains(t, g.text.String(), `"msg":"log lines dropped"`)
	require.Equal(t, bufferLines+100-int(lost), strings.Count(g.text.String(), "{}\n"))
}

func BenchmarkLine(b *testing.B) {
	logger := log.NewWithOptions(New(io.Discard), log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("request answered", "request", "9c41d07be2a35f68", "program", "3fa81c", "target", "i-7f3a91c2", "sends", 1,
			"first_ms", 120, "after_ms", 300, "events", 11)
	}
}
