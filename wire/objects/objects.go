// Package objects is the interface to the platform's object store, as the rest of
// the daemon sees it. Errors are Failures: NotFound, Conflict, HistoryGone,
// RateLimited or PlatformUnavailable; the last says nothing about whether a
// write was done.
package objects

import (
	"context"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is that of the object's last change.
	Revision uint64
	// Spec and Status are the encoded halves of the object.
	Spec, Status []byte
}

// Event is one change of a kind.
type Event struct {
	Object  Object
	Removed bool
}

// Snapshot is all objects of a kind at a revision of the store.
type Snapshot struct {
	Items    []Object
	Revision uint64
	// AsOf is an instant, by the monotonic clock of this process, at which the platform
	// surely held nothing newer; zero if none is known.
	AsOf time.Time
}

// Changes is what a watch returned.
type Changes struct {
	Events []Event
	// Revision is where to watch from next.
	Revision uint64
	// AsOf is as in Snapshot, with all changes up to these applied.
	AsOf time.Time
}

// Reader reads kinds of objects of the platform's store.
type Reader interface {
	List(ctx context.Context, kind string) (Snapshot, error)
	// Watch waits up to wait for changes after a revision; it may return none.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Changes, error)
}

// Store is the platform's object store.
type Store interface {
	Reader
	Get(ctx context.Context, kind, name string) (Object, error)
	Create(ctx context.Context, kind, name string, spec []byte) (Object, error)
	// Update replaces the spec if the object is still at the revision.
	Update(ctx context.Context, kind, name string, revision uint64, spec []byte) (Object, error)
	UpdateStatus(ctx context.Context, kind, name string, status []byte) error
	Delete(ctx context.Context, kind, name string) error
}
