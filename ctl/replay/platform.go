package replay

import (
	"slices"
	"strings"

	"github.com/pistachioarch/pistachioarch/core/host"
)

// objects is the fake of the platform's object API.
type objects struct {
	down     bool
	revision uint64
	all      map[string]*stored
	keys     []string // of all, in order
	watchers []*watcher
	calls    uint64
	// loseReply loses the reply of each n-th write, staleReads answers each
	// n-th read from the past; 0 = never.
	loseReply, staleReads int
	writes, reads         int
}

type stored struct {
	version, revision uint64
	body, before      []byte
	deleted           bool
}

type watcher struct {
	prefix string
	since  uint64
	reply  func(*host.PlatformReply)
}

func newObjects() *objects { return &objects{all: map[string]*stored{}} }

// do carries out an operation; reply is called at once, or for a watch when
// something has changed.
func (o *objects) do(op host.PlatformOp, reply func(*host.PlatformReply)) {
	o.calls++
	r := &host.PlatformReply{ID: op.ID}
	before := o.revision
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
		r.Objects = o.below(op.Key, 0, op.Kind == host.OpList)
	case host.OpWatch:
		o.watchers = append(o.watchers, &watcher{prefix: op.Key, since: op.IfVersion, reply: func(w *host.PlatformReply) {
			w.ID = op.ID
			reply(w)
		}})
		o.notify()
		return
	}
	reply(r)
	if o.revision != before {
		o.notify()
	}
}

func (o *objects) get(op host.PlatformOp, r *host.PlatformReply) {
	s := o.all[op.Key]
	if s == nil || s.deleted {
		r.Status = host.OpNotFound
		return
	}
	r.Version, r.Body = s.version, s.body
	o.reads++
	if o.staleReads > 0 && o.reads%o.staleReads == 0 {
		r.Version, r.Body = s.version-1, s.before
		if r.Version == 0 {
			r.Status = host.OpNotFound
		}
	}
}

func (o *objects) put(op host.PlatformOp, r *host.PlatformReply) {
	s := o.all[op.Key]
	if s == nil {
		s = &stored{deleted: true}
		o.all[op.Key] = s
		at, _ := slices.BinarySearch(o.keys, op.Key)
		o.keys = slices.Insert(o.keys, at, op.Key)
	}
	current := s.version
	if s.deleted {
		current = 0
	}
	if current != op.IfVersion {
		r.Status = host.OpConflict
		return
	}
	o.store(s, op.Body, false)
	r.Version = s.version
	o.writes++
	if o.loseReply > 0 && o.writes%o.loseReply == 0 {
		r.Status = host.OpLost
	}
}

func (o *objects) remove(op host.PlatformOp, r *host.PlatformReply) {
	if s := o.all[op.Key]; s != nil && !s.deleted {
		o.store(s, nil, true)
		return
	}
	r.Status = host.OpNotFound
}

func (o *objects) store(s *stored, body []byte, deleted bool) {
	o.revision++
	s.before = s.body
	s.version++
	s.revision, s.body, s.deleted = o.revision, body, deleted
}

func (o *objects) below(prefix string, since uint64, bodies bool) []host.Object {
	var found []host.Object
	at, _ := slices.BinarySearch(o.keys, prefix)
	for _, key := range o.keys[at:] {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		s := o.all[key]
		if s.deleted || s.revision <= since {
			continue
		}
		one := host.Object{Key: key, Version: s.version}
		if bodies {
			one.Body = s.body
		}
		found = append(found, one)
	}
	return found
}

// notify answers the watches that have something to tell.
func (o *objects) notify() {
	waiting := o.watchers
	o.watchers = nil
	for _, w := range waiting {
		found := o.below(w.prefix, w.since, true)
		if len(found) == 0 || o.down {
			o.watchers = append(o.watchers, w)
			continue
		}
		w.reply(&host.PlatformReply{Objects: found, Revision: o.revision})
	}
}
