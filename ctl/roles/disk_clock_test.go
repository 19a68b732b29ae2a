package roles

import (
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pistachioarch/pistachioarch/daemon/wal"
)

// disk is the disk of a history host; faults make it slow or full.
type disk struct {
	syncDelay atomic.Int64 // nanoseconds
	full      atomic.Bool
}

func (d *disk) create(name string) (wal.File, error) {
	if d.full.Load() {
		return nil, syscall.ENOSPC
	}
	f, err := wal.CreateFile(name)
	if err != nil {
		return nil, err
	}
	return &diskFile{f, d}, nil
}

type diskFile struct {
	wal.File
	disk *disk
}

func (f *diskFile) Write(b []byte) (int, error) {
	if f.disk.full.Load() {
		n, _ := f.File.Write(b[:len(b)/2]) // a torn write
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *diskFile) Sync() error {
	time.Sleep(time.Duration(f.disk.syncDelay.Load()))
	return f.File.Sync()
}

// clock is the wall clock of a host, with an offset in nanoseconds that faults change.
type clock struct{ offset atomic.Int64 }

func (c *clock) now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }
