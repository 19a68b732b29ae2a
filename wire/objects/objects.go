// Package objects defines the interface of the daemon to the platform's object store.
// Errors are Failures of kind NotFound, Conflict, HistoryGone, RateLimited or
// PlatformUnavailable. After PlatformUnavailable a write may or may not have been
// applied.
package objects

import (
	"context"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name string
	// Revision is the store revision of the last change of the object.
	Revision uint64
	// Spec and Status are the encoded desired and reported state of the object.
	Spec, Status []byte
}

// Event is one change of an object.
type Event struct {
	Object  Object
	Removed bool
}

// Snapshot contains all objects of a kind at a revision of the store.
type Snapshot struct {
	Items    []Object
	Revision uint64
	// AsOf is a time on the monotonic clock of this process at which the platform held
	// nothing newer than this snapshot; zero if no such time is known.
	AsOf time.Time
}

// Changes is the result of one watch.
type Changes struct {
	// Events are in the order of the changes.
	Events []Event
	// Revision is the revision that the next watch starts from.
	Revision uint64
	// AsOf is the time as in Snapshot for the state after all changes up to these.
	AsOf time.Time
}

// Reader lists and watches the objects of a kind.
type Reader interface {
	// List returns all objects of the kind.
	List(ctx context.Context, kind string) (Snapshot, error)
	// Watch waits up to wait for changes after revision; the result may have no events.
	// The failure is HistoryGone if the store no longer has the changes since revision.
	Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (Changes, error)
}

// Store is the platform's object store.
type Store interface {
	Reader
	// Get returns an object; the failure is NotFound if it does not exist.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create adds an object; the failure is Conflict if it exists.
	Create(ctx context.Context, kind, name string, spec []byte) (Object, error)
	// Update replaces the spec of an object that is still at revision; otherwise the
	// failure is Conflict.
	Update(ctx context.Context, kind, name string, revision uint64, spec []byte) (Object, error)
	// UpdateStatus replaces the status of an object, whatever its revision.
	UpdateStatus(ctx context.Context, kind, name string, status []byte) error
	// Delete removes an object.
	Delete(ctx context.Context, kind, name string) error
}
