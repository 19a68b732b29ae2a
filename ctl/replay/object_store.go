package replay

import (
	"slices"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/host"
)

// objectStore simulates the platform's object API.
type objectStore struct {
	down     bool
	revision uint64
	byKey    map[string]*storedObject // including deleted ones
	keys     []string                 // of byKey, sorted
	watchers []*watcher
	calls    uint64 // operations so far
	// loseReplyEvery loses the reply of each n-th write, staleReadEvery answers each
	// n-th read with the object as it was before its last write; 0 means never.
	loseReplyEvery, staleReadEvery int
	writes, reads                  int
}

// storedObject is an object, which keeps its version when it is deleted.
type storedObject struct {
	version, revision  uint64
	body, previousBody []byte
	deleted            bool
}

// watcher is a watch of the objects below a prefix that waits for a change.
type watcher struct {
	prefix string
	since  uint64
	reply  func(*host.PlatformReply)
}

func newObjectStore() *objectStore { return &objectStore{byKey: map[string]*storedObject{}} }

// execute executes an operation. It calls reply before it returns, or for a watch as
// soon as an object has changed.
func (o *objectStore) execute(op host.PlatformOp, reply func(*host.PlatformReply)) {
	o.calls++
	r := &host.PlatformReply{ID: op.ID}
	revisionBefore := o.revision
	if o.down {
		r.Status = host.OpUnavailable
		reply(r)
		return
	}
	switch op.Kind {
	case host.OpGet:
		o.get(op, r)
	case host.OpPut:
		o.put(op, r)
	case host.OpDelete:
		o.remove(op, r)
	case host.OpList, host.OpListKeys:
		r.Objects = o.list(op.Key, 0, op.Kind == host.OpList)
	case host.OpWatch:
		o.watchers = append(o.watchers, &watcher{prefix: op.Key, since: op.IfVersion, reply: func(r *host.PlatformReply) {
			r.ID = op.ID
			reply(r)
		}})
		o.notify()
		return
	}
	reply(r)
	if o.revision != revisionBefore {
		o.notify()
	}
}

func (o *objectStore) get(op host.PlatformOp, r *host.PlatformReply) {
	s := o.byKey[op.Key]
	if s == nil || s.deleted {
		r.Status = host.OpNotFound
		return
	}
	r.Version, r.Body = s.version, s.body
	o.reads++
	if o.staleReadEvery > 0 && o.reads%o.staleReadEvery == 0 {
		r.Version, r.Body = s.version-1, s.previousBody
		if r.Version == 0 {
			r.Status = host.OpNotFound
		}
	}
}

func (o *objectStore) put(op host.PlatformOp, r *host.PlatformReply) {
	s := o.byKey[op.Key]
	if s == nil {
		s = &storedObject{deleted: true}
		o.byKey[op.Key] = s
		i, _ := slices.BinarySearch(o.keys, op.Key)
		o.keys = slices.Insert(o.keys, i, op.Key)
	}
	current := s.version
	if s.deleted {
		current = 0
	}
	if current != op.IfVersion {
		r.Status = host.OpConflict
		return
	}
	o.write(s, op.Body, false)
	r.Version = s.version
	o.writes++
	if o.loseReplyEvery > 0 && o.writes%o.loseReplyEvery == 0 {
		r.Status = host.OpLost
	}
}

func (o *objectStore) remove(op host.PlatformOp, r *host.PlatformReply) {
	if s := o.byKey[op.Key]; s != nil && !s.deleted {
		o.write(s, nil, true)
		return
	}
	r.Status = host.OpNotFound
}

// write stores or deletes an object under a new revision.
func (o *objectStore) write(s *storedObject, body []byte, deleted bool) {
	o.revision++
	s.previousBody = s.body
	s.version++
	s.revision, s.body, s.deleted = o.revision, body, deleted
}

// list returns the objects below a prefix that changed after a revision, in order of
// their keys.
func (o *objectStore) list(prefix string, since uint64, bodies bool) []host.Object {
	var changed []host.Object
	i, _ := slices.BinarySearch(o.keys, prefix)
	for _, key := range o.keys[i:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		s := o.byKey[key]
		if s.deleted || s.revision <= since {
			continue
		}
		item := host.Object{Key: key, Version: s.version}
		if bodies {
			item.Body = s.body
		}
		changed = append(changed, item)
	}
	return changed
}

// notify answers the watches whose objects have changed, unless the platform is down.
func (o *objectStore) notify() {
	waiting := o.watchers
	o.watchers = nil
	for _, w := range waiting {
		changed := o.list(w.prefix, w.since, true)
		if len(changed) == 0 || o.down {
			o.watchers = append(o.watchers, w)
			continue
		}
		w.reply(&host.PlatformReply{Objects: changed, Revision: o.revision})
	}
}
