package relay

import (
	"time"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// query evaluates a request against a view. It returns the reply, or a channel that is closed
// when the query should be evaluated again.
//
// With last set it always returns a reply, made from the state that it has examined. A reply made
// from a later state would carry the newest revision without the changes that led to it, and
// the sender would miss these changes permanently.
type query func(last bool) (*historypb.Reply, <-chan struct{})

// refuseOrWait handles a request while the view is not current: it returns a refusal, or the
// channel to wait on. The caller holds mu. Requests are refused at once when the source is lost, so
// that the senders call another relay. A sender that calls later has found no other relay: it waits,
// and gets the reply at once when the source is back with changes or a list.
func (v *view) refuseOrWait(last bool) (*historypb.Reply, <-chan struct{}) {
	if last && v.loading {
		return refusalReply(historypb.Status_STATUS_LIST_PENDING), nil
	}
	if v.loading {
		return nil, v.changed
	}
	if last || time.Since(v.lostAt) < refusalWindow {
		return refusalReply(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	return nil, v.changed
}

// list returns the objects in the holder's subset, unless the view is older than the requested
// revision.
func (v *view) list(call *historypb.ListObjects, receivedAt time.Time, last bool) (*historypb.Reply, <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ensureFollowing()
	switch {
	case call.AnyAge && v.items != nil && v.revision >= call.Revision: // even if the view is not current
		return v.listPage(call, receivedAt), nil
	case call.AnyAge, !v.isCurrentLocked():
		return v.refuseOrWait(last)
	case v.revision < call.Revision:
		return refusalReply(historypb.Status_STATUS_UNAVAILABLE), nil
	}
	return v.listPage(call, receivedAt), nil
}

const (
	// maxPageBytes bounds a page of a list. A relay that sends thousands of targets at once is
	// silent meanwhile for all its followers, which then treat it as failed.
	maxPageBytes = 128 << 10
	// objectOverheadBytes is the size of an encoded object without its spec.
	objectOverheadBytes = 64
)

// listPage returns a reply with the next objects in the holder's subset, as many as a page holds,
// to a request received at receivedAt. The caller holds mu.
func (v *view) listPage(call *historypb.ListObjects, receivedAt time.Time) *historypb.Reply {
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: v.revision, Steps: v.subsets.halvings(call.Holder)}
	setAsOf(reply, v.asOf, receivedAt)
	size := 0
	v.items.Ascend(call.After, func(name string, o objects.Object) bool {
		if name == call.After || !v.subsets.holds(call.Holder, name) {
			return true
		}
		size += len(o.Spec) + objectOverheadBytes
		if reply.More = size > maxPageBytes && len(reply.Objects) > 0; !reply.More {
			reply.Objects = append(reply.Objects, encode(objects.Event{Object: o}))
		}
		return !reply.More
	})
	return reply
}

// changesQuery returns a query for the changes after call.Revision. It replies once there are
// changes that affect the holder's subset or, for kinds that forward confirmations, once the
// source has answered again.
func (v *view) changesQuery(call *historypb.WatchObjects, receivedAt time.Time) query {
	var startAsOf time.Time
	started := false
	after := call.Revision
	return func(last bool) (*historypb.Reply, <-chan struct{}) {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.ensureFollowing()
		if !v.isCurrentLocked() {
			return v.refuseOrWait(last)
		}
		if after < v.oldestRevision || !v.subsets.hasWholeSubset(call.Holder) {
			return refusalReply(historypb.Status_STATUS_HISTORY_GONE), nil
		}
		if !started {
			startAsOf, started = v.asOf, true
		}
		reply := v.changesSince(after, call)
		if !last && len(reply.Objects) == 0 && !(v.kind.ForwardConfirmations && v.asOf.After(startAsOf)) {
			after = reply.Revision // changes up to here have been examined
			return nil, v.changed
		}
		setAsOf(reply, v.asOf, receivedAt)
		return reply, nil
	}
}

// changesSince returns a reply with the changes after a revision that affect the holder's subset.
// The caller holds mu.
func (v *view) changesSince(after uint64, call *historypb.WatchObjects) *historypb.Reply {
	holder := call.Holder
	reply := &historypb.Reply{Status: historypb.Status_STATUS_OK, Revision: max(after, v.revision), Steps: v.subsets.halvings(holder)}
	for _, b := range v.batches {
		if b.revision <= after {
			continue
		}
		for i := range b.events {
			if e := &b.events[i]; v.subsets.affects(holder, *e) {
				reply.Objects = append(reply.Objects, v.encodeChange(e, call.Deltas))
			}
		}
	}
	return reply
}
