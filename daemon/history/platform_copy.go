package history

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/daemon/wal"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// PlatformCopyKind is the kind of the objects in the platform's store that hold copies of records
// of guarded slots while only one disk stores these records.
const PlatformCopyKind = "history-kept"

const (
	// maxPlatformCopyBytes bounds the records of one object: with the encoding, they stay well
	// below the platform's limit of a megabyte.
	maxPlatformCopyBytes = 256 << 10
	// platformCopyInterval is the time between two objects: at most 25 writes a second of the
	// hundreds that the platform can take.
	platformCopyInterval = 40 * time.Millisecond
	// maxCreateAttempts bounds the attempts to create one object if the reply is lost or an
	// error, so that writers wait for less than a second.
	maxCreateAttempts = 3
)

// platformCopyObject is the spec of an object: an encoded Write message, and the epoch of the
// slot map under which it was stored. Once no slot is guarded at that epoch or a later one, the
// object is no longer needed.
type platformCopyObject struct {
	Epoch uint64 `json:"epoch"`
	Write []byte `json:"write"`
}

// pendingWrite is a write that waits to be stored at the platform. size is in bytes.
type pendingWrite struct {
	records []*historypb.Record
	size    int
	done    wal.DoneFunc
}

// platformCopyWriter stores records in the platform's store, many writes in one object. Safe for
// concurrent use.
type platformCopyWriter struct {
	store  objects.Store
	prefix string // of the object names; unique to this member and process start
	epoch  func() uint64
	logger *log.Logger

	mu         sync.Mutex
	queue      []pendingWrite
	flushing   bool
	lastObject int
	// created is true if objects may have been created since the last call of takeCreated.
	created bool
}

func newPlatformCopyWriter(store objects.Store, member string, now time.Time, epoch func() uint64, logger *log.Logger) *platformCopyWriter {
	return &platformCopyWriter{store: store, prefix: fmt.Sprintf("%s-%x", member, now.UnixNano()), epoch: epoch, logger: logger}
}

// write queues records; done is called once they are in the store or could not be stored.
func (w *platformCopyWriter) write(records []*historypb.Record, done wal.DoneFunc) {
	p := pendingWrite{records: records, done: done}
	for _, r := range records {
		p.size += proto.Size(r)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.queue = append(w.queue, p)
	if !w.flushing {
		w.flushing = true
		go w.flush()
	}
}

// nextBatch returns the writes and the name of the next object. An empty batch ends the flush.
func (w *platformCopyWriter) nextBatch() (batch []pendingWrite, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, n := 0, 0
	for n < len(w.queue) && (n == 0 || size+w.queue[n].size <= maxPlatformCopyBytes) {
		size += w.queue[n].size
		n++
	}
	batch, w.queue = w.queue[:n:n], w.queue[n:]
	w.flushing = n > 0
	w.lastObject++
	return batch, fmt.Sprintf("%s-%d", w.prefix, w.lastObject)
}

// flush stores the queued writes, one object at a time, until the queue is empty.
func (w *platformCopyWriter) flush() {
	for {
		batch, name := w.nextBatch()
		if len(batch) == 0 {
			return
		}
		err := w.writeBatch(batch, name)
		w.mu.Lock()
		w.created = true
		w.mu.Unlock()
		if err != nil {
			w.logger.Warn("platform copy not stored", "object", name, "writes", len(batch), "error", err.Error())
		}
		for _, p := range batch {
			p.done(err)
		}
		time.Sleep(platformCopyInterval)
	}
}

// writeBatch stores a batch as one object.
func (w *platformCopyWriter) writeBatch(batch []pendingWrite, name string) error {
	all := &historypb.Write{}
	for _, p := range batch {
		all.Records = append(all.Records, p.records...)
	}
	body, err := proto.Marshal(all)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode records")
	}
	spec, err := json.Marshal(platformCopyObject{Epoch: w.epoch(), Write: body})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode records")
	}
	for range maxCreateAttempts {
		if err = w.create(name, spec); err == nil {
			return nil
		}
	}
	return err
}

// create creates an object. If it exists already, an earlier attempt created it and its reply was
// lost, so that a conflict is a success.
func (w *platformCopyWriter) create(name string, spec []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := w.store.Create(ctx, PlatformCopyKind, name, spec)
	if failure.Is(err, failure.Conflict) {
		return nil
	}
	return err
}

// takeCreated reports whether objects may have been created since its last call.
func (w *platformCopyWriter) takeCreated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	created := w.created
	w.created = false
	return created
}

// platformCopy is an object with records.
type platformCopy struct {
	name    string
	epoch   uint64
	records []*historypb.Record
}

// listPlatformCopies returns the objects with records at the platform. One that cannot be decoded is logged and
// left out: another writer has put it there.
func listPlatformCopies(ctx context.Context, store objects.Store, logger *log.Logger) ([]platformCopy, error) {
	list, err := store.List(ctx, PlatformCopyKind)
	if err != nil {
		return nil, err
	}
	var copies []platformCopy
	for _, o := range list.Items {
		decoded, err := decodePlatformCopy(o)
		if err != nil {
			logger.Error("platform copy not taken", "object", o.Name, "revision", o.Revision, "error", err.Error())
			continue
		}
		copies = append(copies, decoded)
	}
	return copies, nil
}

// decodePlatformCopy decodes an object with records.
func decodePlatformCopy(o objects.Object) (platformCopy, error) {
	var spec platformCopyObject
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		return platformCopy{}, failure.Wrap(err, failure.InvalidDeclaration, "platform copy %s", o.Name)
	}
	w := &historypb.Write{}
	if err := proto.Unmarshal(spec.Write, w); err != nil {
		return platformCopy{}, failure.Wrap(err, failure.InvalidDeclaration, "platform copy %s", o.Name)
	}
	return platformCopy{name: o.Name, epoch: spec.Epoch, records: w.Records}, nil
}

// loadPlatformCopies returns all records stored at the platform.
func loadPlatformCopies(ctx context.Context, store objects.Store, logger *log.Logger) ([]*historypb.Record, error) {
	copies, err := listPlatformCopies(ctx, store, logger)
	var records []*historypb.Record
	for _, c := range copies {
		records = append(records, c.records...)
	}
	return records, err
}

// deletePlatformCopies deletes the objects stored under epochs up to epoch, at which no slot is
// guarded, and returns their number. Objects of later epochs stay: a member with an old map must
// not delete what was stored under a newer one.
func deletePlatformCopies(ctx context.Context, store objects.Store, epoch uint64, logger *log.Logger) (removed int, err error) {
	copies, err := listPlatformCopies(ctx, store, logger)
	if err != nil {
		return 0, err
	}
	for _, c := range copies {
		if c.epoch > epoch {
			continue
		}
		if err := store.Delete(ctx, PlatformCopyKind, c.name); err != nil && !failure.Is(err, failure.NotFound) {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
