package wal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

// record returns a record with a turn of size bytes.
func record(program string, size int) *historypb.Record {
	return &historypb.Record{Program: program, ExpiresMs: 7, Change: &historypb.Record_Turn{
		Turn: &historypb.Turn{Turn: "t-" + program, Content: make([]byte, size)},
	}}
}

// open opens the log and returns the programs of the replayed records, in order.
func open(t *testing.T, dir string) (*Log, []string, []Damage) {
	t.Helper()
	var replayed []string
	l, damage, err := Open(dir, CreateFile, func(r *historypb.Record) { replayed = append(replayed, r.Program) })
	require.NoError(t, err)
	return l, replayed, damage
}

// appendWait appends records and waits until they are durable or the append failed.
func appendWait(l *Log, records ...*historypb.Record) error {
	done := make(chan error, 1)
	l.Append(records, func(err error) { done <- err })
	return <-done
}

func segments(t *testing.T, dir string) []string {
	t.Helper()
	names, err := segmentFiles(dir)
	require.NoError(t, err)
	return names
}

func TestReplayReturnsDurableRecords(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir)
	for i := range 20 {
		require.NoError(t, appendWait(l, record(fmt.Sprintf("p%d", i), 100)))
	}
	l.Close()
	l, replayed, damage := open(t, dir)
	defer l.Close()
	require.Len(t, replayed, 20)
	require.Empty(t, damage)
	require.Equal(t, failure.Suspended, failure.From(func() error {
		closed, _, _ := open(t, t.TempDir())
		closed.Close()
		return appendWait(closed, record("late", 1))
	}()).Kind)
}

func TestTornTailIsReportedAndEarlierRecordsAreReplayed(t *testing.T) {
	for _, tornBytes := range []int{1, 7, 60} {
		dir := t.TempDir()
		l, _, _ := open(t, dir)
		require.NoError(t, appendWait(l, record("intact", 100)))
		require.NoError(t, appendWait(l, record("torn", 100)))
		l.Close()
		name := filepath.Join(dir, segments(t, dir)[0])
		info, err := os.Stat(name)
		require.NoError(t, err)
		require.NoError(t, os.Truncate(name, info.Size()-int64(tornBytes)))

		l, replayed, damage := open(t, dir)
		require.Equal(t, []string{"intact"}, replayed)
		require.Len(t, damage, 1)
		require.NoError(t, appendWait(l, record("after", 10)))
		l.Close()
		l, replayed, _ = open(t, dir)
		l.Close()
		require.Equal(t, []string{"intact", "after"}, replayed, "records after a torn tail are in a new segment")
	}
}

func TestFlippedBitEndsReplayOfItsSegment(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir)
	require.NoError(t, appendWait(l, record("a", 50)))
	require.NoError(t, appendWait(l, record("b", 50)))
	l.Close()
	name := filepath.Join(dir, segments(t, dir)[0])
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	content[len(content)-5] ^= 1
	require.NoError(t, os.WriteFile(name, content, 0o644))
	l, replayed, damage := open(t, dir)
	l.Close()
	require.Equal(t, []string{"a"}, replayed)
	require.Len(t, damage, 1)
}

func TestFailedWriteStartsNewSegment(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir)
	require.NoError(t, appendWait(l, record("a", 10)))
	// Makes the next write fail, as on a disk with errors.
	require.NoError(t, l.file.Close())
	err := appendWait(l, record("failed", 10))
	require.Equal(t, failure.Suspended, failure.From(err).Kind)
	require.NoError(t, appendWait(l, record("b", 10)))
	l.Close()
	require.Len(t, segments(t, dir), 2)
	l, replayed, _ := open(t, dir)
	l.Close()
	require.Equal(t, []string{"a", "b"}, replayed)
}

func TestDroppedSegmentKeepsReappendedRecords(t *testing.T) {
	dir := t.TempDir()
	l, _, _ := open(t, dir)
	require.NoError(t, appendWait(l, record("old", rotationBytes)))
	require.NoError(t, appendWait(l, record("new", 10)))
	programs, expires, ok := l.OldestSegment()
	require.True(t, ok)
	require.Equal(t, []string{"old"}, programs)
	require.EqualValues(t, 7, expires)
	require.NoError(t, appendWait(l, record("old", 20)))
	require.NoError(t, l.DropOldestSegment())
	require.Less(t, l.TotalBytes(), int64(rotationBytes))
	_, _, ok = l.OldestSegment()
	require.False(t, ok, "the segment being written stays")
	l.Close()
	l, replayed, _ := open(t, dir)
	l.Close()
	require.Equal(t, []string{"new", "old"}, replayed)
}

func FuzzReplay(f *testing.F) {
	dir := f.TempDir()
	l, _, err := Open(dir, CreateFile, func(*historypb.Record) {})
	require.NoError(f, err)
	require.NoError(f, appendWait(l, record("seed", 30)))
	l.Close()
	names, err := segmentFiles(dir)
	require.NoError(f, err)
	content, err := os.ReadFile(filepath.Join(dir, names[0]))
	require.NoError(f, err)
	f.Add(content)
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, content []byte) {
		path := filepath.Join(t.TempDir(), "x"+segmentSuffix)
		require.NoError(t, os.WriteFile(path, content, 0o644))
		seg := &segment{programs: map[string]bool{}}
		_, err := replay(path, seg, func(*historypb.Record) {})
		require.NoError(t, err, "damage is not an error")
		require.LessOrEqual(t, seg.size, int64(len(content)))
	})
}
