// Package wal is the write-ahead log of a history host: records in segment files, with checksums
// and group commit.
//
//	Append -> queue -> writer: write, fsync -> done(nil)
//
// After a power loss a segment holds all records that were synced; the data after them may be
// torn or missing. Open replays every segment up to its first damaged record. After a failed
// write or sync nothing more is appended to the segment, and the records of that group count as
// not written.
package wal

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

const (
	// rotationBytes is the size at which a segment is full and a new one is started: small enough
	// that dropping a segment frees space soon, large enough that directory syncs are rare.
	rotationBytes = 4 << 20
	// maxRecordBytes bounds a record on replay; a longer one counts as damaged.
	maxRecordBytes = 32 << 20
	headerBytes    = 8 // length and CRC-32C, big endian, 4 bytes each
	segmentSuffix  = ".log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is a segment open for writing; *os.File implements it.
type File interface {
	io.WriteCloser
	Sync() error
}

// CreateFunc creates a segment file. Tests pass functions that simulate slow or full disks.
type CreateFunc func(name string) (File, error)

// CreateFile is the CreateFunc for the real file system. It fails with os.ErrExist if the file
// exists.
func CreateFile(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o644)
}

// DoneFunc is called once, with nil if all records of a group are durable.
type DoneFunc func(err error)

// group holds the records of one Append call.
type group struct {
	records []*historypb.Record
	done    DoneFunc
}

// Log is an open write-ahead log. Safe for concurrent use.
type Log struct {
	dir    string
	create CreateFunc

	mu      sync.Mutex
	queued  *sync.Cond
	queue   []group
	closed  bool
	stopped chan struct{}

	// Used by the writer goroutine only.
	file       File
	lastNumber uint64
	buffer     []byte

	segMu    sync.Mutex
	segments []*segment
}

// segment describes one segment file.
type segment struct {
	number    uint64
	size      int64
	programs  map[string]bool
	expiresMs int64 // expiry of the longest-lived record, Unix milliseconds
}

// Damage is the place at which the replay of a segment stopped early. Offset is the number of
// intact bytes before it.
type Damage struct {
	File   string
	Offset int64
}

// Open opens the log in dir, which it creates if it is missing. It passes each intact record to
// apply, in the order of writing, and returns the log ready for appends, with the damage found in
// its segments.
func Open(dir string, create CreateFunc, apply func(*historypb.Record)) (*Log, []Damage, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, failure.Wrap(err, failure.Corrupt, "create data directory")
	}
	names, err := segmentFiles(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, create: create, stopped: make(chan struct{})}
	l.queued = sync.NewCond(&l.mu)
	var damage []Damage
	for _, name := range names {
		seg := &segment{programs: map[string]bool{}}
		if _, err := fmt.Sscanf(name, "%d"+segmentSuffix, &seg.number); err != nil {
			return nil, nil, failure.Wrap(err, failure.Corrupt, "parse segment name %q", name)
		}
		intact, err := replay(filepath.Join(dir, name), seg, apply)
		if err != nil {
			return nil, nil, err
		}
		if !intact {
			damage = append(damage, Damage{File: name, Offset: seg.size})
		}
		l.segments = append(l.segments, seg)
		l.lastNumber = max(l.lastNumber, seg.number)
	}
	go l.runWriter()
	return l, damage, nil
}

// segmentFiles returns the names of the segment files in dir, oldest first.
func segmentFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "read data directory")
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), segmentSuffix) {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// replay passes the records of a file to apply up to the first damaged one, and adds them to seg.
// It reports whether the file is intact; damage is not an error.
func replay(path string, seg *segment, apply func(*historypb.Record)) (intact bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return false, failure.Wrap(err, failure.Corrupt, "open segment")
	}
	defer f.Close()
	in := bufio.NewReaderSize(f, 64<<10)
	for {
		record, size, err := readRecord(in)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, nil
		}
		seg.add(record, int64(size))
		apply(record)
	}
}

// readRecord returns a record and its size with the header. The error is io.EOF at a clean end
// and a failure of kind Corrupt otherwise.
func readRecord(in io.Reader) (*historypb.Record, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		if err == io.EOF {
			return nil, 0, io.EOF
		}
		return nil, 0, failure.Wrap(err, failure.Corrupt, "read record header")
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size == 0 || size > maxRecordBytes {
		return nil, 0, failure.New(failure.Corrupt, "invalid record length of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, 0, failure.Wrap(err, failure.Corrupt, "read record body")
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return nil, 0, failure.New(failure.Corrupt, "record checksum mismatch")
	}
	record := &historypb.Record{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, 0, failure.Wrap(err, failure.Corrupt, "decode record")
	}
	return record, headerBytes + int(size), nil
}

func (s *segment) add(r *historypb.Record, size int64) {
	s.size += size
	s.programs[r.Program] = true
	s.expiresMs = max(s.expiresMs, r.ExpiresMs)
}

// Append queues records and returns without waiting. done is called from the writer, or at once
// with a failure of kind Suspended if the log is closed. An empty group is done once all earlier
// groups are.
func (l *Log) Append(records []*historypb.Record, done DoneFunc) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		done(failure.New(failure.Suspended, "log is closed"))
		return
	}
	l.queue = append(l.queue, group{records, done})
	l.mu.Unlock()
	l.queued.Signal()
}

// Close waits until the queued groups are written, then closes the file.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.queued.Signal()
	<-l.stopped
}

// runWriter commits all queued groups at a time until the log is closed.
func (l *Log) runWriter() {
	defer close(l.stopped)
	for {
		l.mu.Lock()
		for len(l.queue) == 0 && !l.closed {
			l.queued.Wait()
		}
		groups := l.queue
		l.queue = nil
		stop := l.closed && len(groups) == 0
		l.mu.Unlock()
		if stop {
			if l.file != nil {
				_ = l.file.Close()
			}
			return
		}
		err := l.commit(groups)
		for _, g := range groups {
			g.done(err)
		}
	}
}

// commit makes groups durable, or closes the segment after a failed write or sync.
func (l *Log) commit(groups []group) error {
	if err := l.rotate(); err != nil {
		return err
	}
	seg := l.currentSegment()
	l.buffer = l.buffer[:0]
	var sizes []int64
	for _, g := range groups {
		for _, r := range g.records {
			before := len(l.buffer)
			if err := l.encode(r); err != nil {
				return err
			}
			sizes = append(sizes, int64(len(l.buffer)-before))
		}
	}
	if _, err := l.file.Write(l.buffer); err != nil {
		return l.closeFailedSegment(err, "write segment")
	}
	if err := l.file.Sync(); err != nil {
		return l.closeFailedSegment(err, "sync segment")
	}
	l.segMu.Lock()
	defer l.segMu.Unlock()
	i := 0
	for _, g := range groups {
		for _, r := range g.records {
			seg.add(r, sizes[i])
			i++
		}
	}
	return nil
}

// encode appends a record with its header to the buffer.
func (l *Log) encode(r *historypb.Record) error {
	start := len(l.buffer)
	l.buffer = append(l.buffer, make([]byte, headerBytes)...)
	out, err := proto.MarshalOptions{}.MarshalAppend(l.buffer, r)
	if err != nil {
		l.buffer = l.buffer[:start]
		return failure.Wrap(err, failure.Internal, "encode record")
	}
	l.buffer = out
	body := out[start+headerBytes:]
	binary.BigEndian.PutUint32(out[start:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[start+4:], crc32.Checksum(body, castagnoli))
	return nil
}

// currentSegment returns the segment being written.
func (l *Log) currentSegment() *segment {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	return l.segments[len(l.segments)-1]
}

// closeFailedSegment closes the current segment after a failed write or sync, since the data that
// the failure left in it cannot be trusted.
func (l *Log) closeFailedSegment(err error, operation string) error {
	_ = l.file.Close()
	l.file = nil
	return failure.Wrap(err, failure.Suspended, "%s", operation)
}

// rotate starts a segment if none is open or the open one is full. The directory is synced before
// any record in the new file counts as durable.
func (l *Log) rotate() error {
	if l.file != nil && l.currentSegment().size < rotationBytes {
		return nil
	}
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
	name := filepath.Join(l.dir, fmt.Sprintf("%016d%s", l.lastNumber+1, segmentSuffix))
	f, err := l.create(name)
	if err != nil {
		if errors.Is(err, os.ErrExist) {
			l.lastNumber++
		}
		return failure.Wrap(err, failure.Suspended, "create segment")
	}
	l.lastNumber++
	if err := SyncDir(l.dir); err != nil {
		_ = f.Close()
		return failure.Wrap(err, failure.Suspended, "sync data directory")
	}
	l.file = f
	l.segMu.Lock()
	l.segments = append(l.segments, &segment{number: l.lastNumber, programs: map[string]bool{}})
	l.segMu.Unlock()
	return nil
}

// SyncDir makes created, renamed and removed names in a directory durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return failure.Wrap(err, failure.Suspended, "open directory")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return failure.Wrap(err, failure.Suspended, "sync directory")
	}
	return nil
}
