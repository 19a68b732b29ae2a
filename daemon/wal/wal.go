// Package wal is the write-ahead log of a history host: records in segment files
// with checksums, synced in groups.
//
//	Append -> queue -> writer: write, fsync -> done(nil)
//
// After a loss of power a segment holds all that was synced; what follows may be
// torn or missing. Open replays every segment up to its first damaged record.
// A failed write or sync poisons its segment: nothing more is appended to it, and
// the records of that group count as not written.
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
	// segmentBytes is the size at which a new segment is begun: small enough that
	// dropping one frees space soon, large enough that directory syncs are rare.
	segmentBytes = 4 << 20
	// maxRecordBytes bounds a record on replay; a longer one is damage.
	maxRecordBytes = 32 << 20
	headerBytes    = 8 // length, CRC-32C
	suffix         = ".log"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// File is a segment that is being written; *os.File is one.
type File interface {
	io.WriteCloser
	Sync() error
}

// CreateFunc makes a new segment file. Tests put in disks that are slow or full.
type CreateFunc func(name string) (File, error)

// CreateFile is Create on the real disk.
func CreateFile(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND, 0o644)
}

// DoneFunc is told once whether a group of records is durable.
type DoneFunc func(err error)

type group struct {
	records []*historypb.Record
	done    DoneFunc
}

// Log is an open write-ahead log. Safe for concurrent use.
type Log struct {
	dir    string
	create CreateFunc

	mu     sync.Mutex
	wake   *sync.Cond
	queue  []group
	closed bool
	ended  chan struct{}

	// Of the writer only.
	file    File
	number  uint64
	scratch []byte

	segMu    sync.Mutex
	segments []*segment
}

// segment is what is known of one file.
type segment struct {
	number    uint64
	size      int64
	programs  map[string]bool
	expiresMs int64 // of the record that is kept longest
}

// Damage is one place at which the replay of a segment stopped early.
type Damage struct {
	File   string
	Offset int64
}

// Open replays the log in dir into apply and returns it ready for appends.
func Open(dir string, create CreateFunc, apply func(*historypb.Record)) (*Log, []Damage, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, nil, failure.Wrap(err, failure.Corrupt, "data folder")
	}
	names, err := segmentFiles(dir)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{dir: dir, create: create, ended: make(chan struct{})}
	l.wake = sync.NewCond(&l.mu)
	var damage []Damage
	for _, name := range names {
		seg := &segment{programs: map[string]bool{}}
		if _, err := fmt.Sscanf(name, "%d"+suffix, &seg.number); err != nil {
			return nil, nil, failure.Wrap(err, failure.Corrupt, "segment name %q", name)
		}
		whole, err := replay(filepath.Join(dir, name), seg, apply)
		if err != nil {
			return nil, nil, err
		}
		if !whole {
			damage = append(damage, Damage{File: name, Offset: seg.size})
		}
		l.segments = append(l.segments, seg)
		l.number = max(l.number, seg.number)
	}
	go l.write()
	return l, damage, nil
}

func segmentFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, failure.Wrap(err, failure.Corrupt, "data folder")
	}
	var names []string
	for _, e := range entries {
		if strings.HasSuffix(e.Name(), suffix) {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// replay applies the records of a file up to the first damaged one.
func replay(path string, seg *segment, apply func(*historypb.Record)) (whole bool, err error) {
	f, err := os.Open(path)
	if err != nil {
		return false, failure.Wrap(err, failure.Corrupt, "segment")
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
		seg.note(record, int64(size))
		apply(record)
	}
}

// readRecord returns io.EOF at a clean end and a Failure of kind Corrupt
// otherwise.
func readRecord(in io.Reader) (*historypb.Record, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		if err == io.EOF {
			return nil, 0, io.EOF
		}
		return nil, 0, failure.Wrap(err, failure.Corrupt, "record header")
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size == 0 || size > maxRecordBytes {
		return nil, 0, failure.New(failure.Corrupt, "record of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(in, body); err != nil {
		return nil, 0, failure.Wrap(err, failure.Corrupt, "record body")
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[4:]) {
		return nil, 0, failure.New(failure.Corrupt, "checksum of a record differs")
	}
	record := &historypb.Record{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, 0, failure.Wrap(err, failure.Corrupt, "record")
	}
	return record, headerBytes + int(size), nil
}

func (s *segment) note(r *historypb.Record, size int64) {
	s.size += size
	s.programs[r.Program] = true
	s.expiresMs = max(s.expiresMs, r.ExpiresMs)
}

// Append queues records and returns at once; done is called from the writer.
func (l *Log) Append(records []*historypb.Record, done DoneFunc) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		done(failure.New(failure.Suspended, "log is closed"))
		return
	}
	l.queue = append(l.queue, group{records, done})
	l.mu.Unlock()
	l.wake.Signal()
}

// Close waits for what is queued and closes the file.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wake.Signal()
	<-l.ended
}

// write is the writer: it takes all that is queued as one group.
func (l *Log) write() {
	defer close(l.ended)
	for {
		l.mu.Lock()
		for len(l.queue) == 0 && !l.closed {
			l.wake.Wait()
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

// commit makes groups durable, or poisons the segment.
func (l *Log) commit(groups []group) error {
	if err := l.rotate(); err != nil {
		return err
	}
	seg := l.current()
	l.scratch = l.scratch[:0]
	var sizes []int64
	for _, g := range groups {
		for _, r := range g.records {
			before := len(l.scratch)
			if err := l.encode(r); err != nil {
				return err
			}
			sizes = append(sizes, int64(len(l.scratch)-before))
		}
	}
	if _, err := l.file.Write(l.scratch); err != nil {
		return l.poison(err, "write segment")
	}
	if err := l.file.Sync(); err != nil {
		return l.poison(err, "sync segment")
	}
	l.segMu.Lock()
	defer l.segMu.Unlock()
	i := 0
	for _, g := range groups {
		for _, r := range g.records {
			seg.note(r, sizes[i])
			i++
		}
	}
	return nil
}

func (l *Log) encode(r *historypb.Record) error {
	start := len(l.scratch)
	l.scratch = append(l.scratch, make([]byte, headerBytes)...)
	out, err := proto.MarshalOptions{}.MarshalAppend(l.scratch, r)
	if err != nil {
		l.scratch = l.scratch[:start]
		return failure.Wrap(err, failure.Internal, "encode record")
	}
	l.scratch = out
	body := out[start+headerBytes:]
	binary.BigEndian.PutUint32(out[start:], uint32(len(body)))
	binary.BigEndian.PutUint32(out[start+4:], crc32.Checksum(body, castagnoli))
	return nil
}

func (l *Log) current() *segment {
	l.segMu.Lock()
	defer l.segMu.Unlock()
	return l.segments[len(l.segments)-1]
}

// poison closes the segment: what a failed write left of it is not trusted.
func (l *Log) poison(err error, what string) error {
	_ = l.file.Close()
	l.file = nil
	return failure.Wrap(err, failure.Suspended, "%s", what)
}

// rotate begins a segment if there is none or it is full. The new name is synced
// before anything in it counts.
func (l *Log) rotate() error {
	if l.file != nil && l.current().size < segmentBytes {
		return nil
	}
	if l.file != nil {
		_ = l.file.Close()
		l.file = nil
	}
	name := filepath.Join(l.dir, fmt.Sprintf("%016d%s", l.number+1, suffix))
	f, err := l.create(name)
	if err != nil {
		if errors.Is(err, os.ErrExist) {
			l.number++
		}
		return failure.Wrap(err, failure.Suspended, "create segment")
	}
	l.number++
	if err := SyncDir(l.dir); err != nil {
		_ = f.Close()
		return failure.Wrap(err, failure.Suspended, "sync data folder")
	}
	l.file = f
	l.segMu.Lock()
	l.segments = append(l.segments, &segment{number: l.number, programs: map[string]bool{}})
	l.segMu.Unlock()
	return nil
}

// SyncDir makes created, renamed and removed names of a folder durable.
func SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return failure.Wrap(err, failure.Suspended, "open folder")
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return failure.Wrap(err, failure.Suspended, "sync folder")
	}
	return nil
}
