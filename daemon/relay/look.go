package relay

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// look is a question to a view: it returns the reply, or what to wait for.
//
// The last look always returns a reply, made of the state that it looked at: one made of
// a later state would tell the newest revision without the changes that led to it, and the
// sender would miss them for good.
type look func(last bool) (*historypb.Reply, <-chan struct{})

// unsound refuses, or waits for the view to become sound; the caller holds mu. Senders
// are refused at once when the source is lost, so that they ask another relay. Those that
// still ask later have found no other: they wait and are told at once when it is back.
func (v *view) unsound(last bool) (*historypb.Reply, <-chan struct{}) {
	if last && v.opening {
		return refusal(historypb.Status_STATUS_LIST_PENDING), nil
	}
	if v.opening {
		return nil, v.changed
	}
	if last || time.Since(v.lost) < refuseFor {
		return refusal(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	return nil, v.changed
}

// list returns all objects that a holder wants, unless the view is older than a revision.
func (v *view) list(call *historypb.ListObjects, taken time.Time, last bool) (*historypb.Reply, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ask()
	switch {
	case call.AnyAge && v.items != nil && v.revision >= call.Revision: // however long ago that was
		return v.page(call, taken), nil
	case call.AnyAge, !v.sound():
		return v.unsound(last)
	case v.revision < call.Revision:
		return refusal(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	return v.page(call, taken), nil
}

const (
	// pageBytes bounds a page of a list: a relay that sends thousands of targets at once is
	// silent meanwhile for all that follow it, and is taken for lost.
	pageBytes = 128 << 10
	// objectBytes is what an object takes beside its spec.
	objectBytes = 64
)

// page is the reply with the objects that the sender of a call wants, as many as a page holds, to
// a request taken at taken; the caller holds mu.
func (v *view) page(call *historypb.ListObjects, taken time.Time) *historypb.Reply {
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: v.revision, Steps: v.parts.steps(call.Holder)}
	date(reply, v.asOf, taken)
	size := 0
	v.items.Ascend(call.After, func(name string, o objects.Object) bool {
		if name == call.After || !v.parts.holds(call.Holder, name) {
			return true
		}
		size += len(o.Spec) + objectBytes
		if reply.More = size > pageBytes && len(reply.Objects) > 0; !reply.More {
			reply.Objects = append(reply.Objects, encode(objects.Event{Object: o}))
		}
		return !reply.More
	})
	return reply
}

// changes returns a look for the changes after a revision. It replies once there are any
// that the holder wants, or, where renewals are told, once the source has answered again.
func (v *view) changes(call *historypb.WatchObjects, taken time.Time) look {
	var known time.Time
	looked := false
	after := call.Revision
	return func(last bool) (*historypb.Reply, <-chan struct{}) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.ask()
		if !v.sound() {
			return v.unsound(last)
		}
		if after < v.oldest || !v.parts.covered(call.Holder) {
			return refusal(historypb.Status_STATUS_HISTORY_GONE), nil
		}
		if !looked {
			known, looked = v.asOf, true
		}
		reply := v.since(after, call)
		if !last && len(reply.Objects) == 0 && !(v.kind.ForwardConfirmations && v.asOf.After(known)) {
			after = reply.Revision // what came until now need not be looked at again
			return nil, v.changed
		}
		date(reply, v.asOf, taken)
		return reply, nil
	}
}

// since is the reply with the changes after a revision that the sender of a call wants; the caller
// holds mu.
func (v *view) since(after uint64, call *historypb.WatchObjects) *historypb.Reply {
	holder := call.Holder
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: max(after, v.revision), Steps: v.parts.steps(holder)}
	for _, b := range v.batches {
		if b.upTo <= after {
			continue
		}
		for i := range b.events {
			if e := &b.events[i]; v.parts.concerns(holder, *e) {
				reply.Objects = append(reply.Objects, v.tell(e, call.Deltas))
			}
		}
	}
	return reply
}
