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

// PlatformCopyKind is where records of guarded slots lie in the platform's store, while one
// disk alone holds them.
const PlatformCopyKind = "history-kept"

const (
	// keptBytes bounds the records of one object: with the encoding, well under the
	// platform's megabyte.
	keptBytes = 256 << 10
	// keptPause is between two objects: 25 writes a second at most of the hundreds that the
	// platform takes.
	keptPause = 40 * time.Millisecond
	// keptTries bounds the writes of one object whose answer is lost or refused; the
	// writers wait for less than a second.
	keptTries = 3
)

// keptObject is the spec of an object: an encoded Write message, and the epoch of the
// slot map by which it was kept. Once no slot is guarded under that epoch or a later
// one, the object is of no use.
type keptObject struct {
	Epoch uint64 `json:"epoch"`
	Write []byte `json:"write"`
}

// keptWrite is a write that waits to be kept.
type keptWrite struct {
	records []*historypb.Record
	size    int
	done    wal.DoneFunc
}

// kept puts records into the platform's store, many writes in one object.
type kept struct {
	store  objects.Store
	prefix string // of the names of this start's objects
	epoch  func() uint64
	logger *log.Logger

	mu    sync.Mutex
	queue []keptWrite
	busy  bool
	next  int
	// made is true once objects were made that have not been removed.
	made bool
}

func newKept(store objects.Store, member string, now time.Time, epoch func() uint64, logger *log.Logger) *kept {
	return &kept{store: store, prefix: fmt.Sprintf("%s-%x", member, now.UnixNano()), epoch: epoch, logger: logger}
}

// write keeps records; done is called once they are in the store.
func (k *kept) write(records []*historypb.Record, done wal.DoneFunc) {
	w := keptWrite{records: records, done: done}
	for _, r := range records {
		w.size += proto.Size(r)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue = append(k.queue, w)
	if !k.busy {
		k.busy = true
		go k.flush()
	}
}

// take returns the writes of the next object; none ends the flushing.
func (k *kept) take() (batch []keptWrite, name string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	size, n := 0, 0
	for n < len(k.queue) && (n == 0 || size+k.queue[n].size <= keptBytes) {
		size += k.queue[n].size
		n++
	}
	batch, k.queue = k.queue[:n:n], k.queue[n:]
	k.busy = n > 0
	k.next++
	return batch, fmt.Sprintf("%s-%d", k.prefix, k.next)
}

func (k *kept) flush() {
	for {
		batch, name := k.take()
		if len(batch) == 0 {
			return
		}
		err := k.put(batch, name)
		k.mu.Lock()
		k.made = true
		k.mu.Unlock()
		if err != nil {
			k.logger.Warn("records not kept at the platform", "object", name, "writes", len(batch), "error", err.Error())
		}
		for _, w := range batch {
			w.done(err)
		}
		time.Sleep(keptPause)
	}
}

func (k *kept) put(batch []keptWrite, name string) error {
	all := &historypb.Write{}
	for _, w := range batch {
		all.Records = append(all.Records, w.records...)
	}
	body, err := proto.Marshal(all)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode records")
	}
	spec, err := json.Marshal(keptObject{Epoch: k.epoch(), Write: body})
	if err != nil {
		return failure.Wrap(err, failure.Internal, "encode records")
	}
	for range keptTries {
		if err = k.create(name, spec); err == nil {
			return nil
		}
	}
	return err
}

// create makes the object. One that exists is this one, whose answer was lost.
func (k *kept) create(name string, spec []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	_, err := k.store.Create(ctx, PlatformCopyKind, name, spec)
	if failure.Is(err, failure.Conflict) {
		return nil
	}
	return err
}

// untidy reports whether objects were made since it was last asked.
func (k *kept) untidy() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	made := k.made
	k.made = false
	return made
}

// loadKept returns all records that are kept at the platform.
func loadKept(ctx context.Context, store objects.Store) ([]*historypb.Record, error) {
	list, err := store.List(ctx, PlatformCopyKind)
	if err != nil {
		return nil, err
	}
	var records []*historypb.Record
	for _, o := range list.Items {
		spec, err := decodeKept(o)
		if err != nil {
			return nil, err
		}
		w := &historypb.Write{}
		if err := proto.Unmarshal(spec.Write, w); err != nil {
			return nil, failure.Wrap(err, failure.Internal, "kept records %s", o.Name)
		}
		records = append(records, w.Records...)
	}
	return records, nil
}

func decodeKept(o objects.Object) (spec keptObject, err error) {
	err = json.Unmarshal(o.Spec, &spec)
	return spec, failure.Wrap(err, failure.Internal, "kept records %s", o.Name)
}

// dropKept removes what was kept under epochs up to one at which no slot is guarded;
// it reports how many objects. A member with an old map must not remove what is kept
// under a newer one.
func dropKept(ctx context.Context, store objects.Store, epoch uint64) (removed int, err error) {
	list, err := store.List(ctx, PlatformCopyKind)
	if err != nil {
		return 0, err
	}
	for _, o := range list.Items {
		spec, err := decodeKept(o)
		if err != nil {
			return removed, err
		}
		if spec.Epoch > epoch {
			continue
		}
		if err := store.Delete(ctx, PlatformCopyKind, o.Name); err != nil && !failure.Is(err, failure.NotFound) {
			return removed, err
		}
		removed++
	}
	return removed, nil
}
