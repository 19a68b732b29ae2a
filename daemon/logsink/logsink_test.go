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

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	n, err := w.text.Write(p)
	w.written <- struct{}{}
	return n, err
}

func TestWriteDoesNotBlockOnBlockedWriter(t *testing.T) {
	w := &blockingWriter{open: make(chan struct{}), written: make(chan struct{}, 2*bufferLines)}
	s := New(w)
	for range bufferLines + 100 {
		n, err := s.Write([]byte("{}\n"))
		require.NoError(t, err)
		require.Equal(t, 3, n)
	}
	dropped := s.Dropped()
	require.GreaterOrEqual(t, dropped, int64(99), "one line may be held by the writer")
	close(w.open)
	for range bufferLines + 100 - int(dropped) + 1 {
		<-w.written
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	require.Contains(t, w.text.String(), `"msg":"log lines dropped"`)
	require.Equal(t, bufferLines+100-int(dropped), strings.Count(w.text.String(), "{}\n"))
}

func BenchmarkLine(b *testing.B) {
	logger := log.NewWithOptions(New(io.Discard), log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("request answered", "request", "9c41d07be2a35f68", "program", "3fa81c", "target", "i-7f3a91c2", "sends", 1,
			"first_ms", 120, "after_ms", 300, "events", 11)
	}
}
