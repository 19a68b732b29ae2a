package relay

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
	"github.com/pistachioarch/pistachioarch/wire/rpc"
)

// asker sends one request to whoever relays, and returns a reply whose status is OK.
type asker func(ctx context.Context, req *historypb.Request, wait time.Duration) (*historypb.Reply, error)

// listBy reads a list through an asker.
func listBy(ctx context.Context, ask asker, list *historypb.ListObjects) (objects.Snapshot, error) {
	snapshot, _, err := listPart(ctx, ask, list)
	return snapshot, err
}

// listPart is listBy that also returns the steps of the holder's part. It begins again where
// these change from one page to the next.
func listPart(ctx context.Context, ask asker, list *historypb.ListObjects) (objects.Snapshot, []*historypb.Step, error) {
	var all objects.Snapshot
	var steps []*historypb.Step
	page := proto.CloneOf(list)
	for {
		asked := time.Now()
		reply, err := ask(ctx, &historypb.Request{Call: &historypb.Request_ListObjects{ListObjects: page}}, 0)
		if err != nil {
			return objects.Snapshot{}, nil, err
		}
		switch {
		case page.After == "":
			all = objects.Snapshot{Revision: reply.Revision, AsOf: asOf(reply, asked)}
			steps = reply.Steps
		case !slices.Equal(stepsOf(steps), stepsOf(reply.Steps)):
			page = proto.CloneOf(list)
			continue
		}
		for _, o := range reply.Objects {
			all.Items = append(all.Items, decode(o).Object)
		}
		if !reply.More || len(reply.Objects) == 0 {
			return all, steps, nil
		}
		page = proto.CloneOf(page) // the one before may still be on its way out
		page.After, page.Revision = all.Items[len(all.Items)-1].Name, all.Revision
	}
}

// watchBy waits for changes through an asker.
func watchBy(ctx context.Context, ask asker, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	whole := func(o *historypb.Object) (objects.Event, error) { return decode(o), nil }
	changes, _, err := watchPart(ctx, ask, &historypb.WatchObjects{Kind: kind, Revision: revision}, wait, whole)
	return changes, err
}

// watchPart is watchBy for any call, which also returns the steps of the holder's part. Objects
// are decoded by restore.
func watchPart(ctx context.Context, ask asker, watch *historypb.WatchObjects, wait time.Duration, restore func(*historypb.Object) (objects.Event, error)) (objects.Changes, []*historypb.Step, error) {
	watch.WaitMs = uint32(wait.Milliseconds())
	asked := time.Now()
	reply, err := ask(ctx, &historypb.Request{Call: &historypb.Request_WatchObjects{WatchObjects: watch}}, wait)
	if err != nil {
		return objects.Changes{}, nil, err
	}
	changes := objects.Changes{Revision: max(watch.Revision, reply.Revision), AsOf: asOf(reply, asked)}
	for _, o := range reply.Objects {
		e, err := restore(o)
		if err != nil {
			return objects.Changes{}, nil, err
		}
		changes.Events = append(changes.Events, e)
	}
	return changes, reply.Steps, nil
}

// date notes in a reply when its state was surely the newest, for a request taken at taken.
func date(reply *historypb.Reply, state, taken time.Time) {
	if !state.IsZero() {
		reply.AsOfUs = proto.Int64(state.Sub(taken).Microseconds() - 1)
	}
}

// asOf is the instant that date noted, as the sender of a request may count it: the
// request was taken after it was asked, so the sender's instant is never later.
//
// asked is before any relay that failed was asked first.
func asOf(reply *historypb.Reply, asked time.Time) time.Time {
	if reply.AsOfUs == nil {
		return time.Time{}
	}
	return asked.Add(time.Duration(reply.GetAsOfUs()) * time.Microsecond)
}

// Call sends a request about the platform's objects to the member that client reaches; it
// is the common part of Peers.Call.
func Call(ctx context.Context, client *rpc.Client, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	own := proto.CloneOf(req) // one that was sent before may still be on its way out
	own.Member = member
	reply, err := client.CallWaiting(ctx, own, wait)
	if err != nil {
		return nil, err
	}
	return reply, refused(reply.Status, member)
}

// refused is the failure that a status means, nil for OK.
func refused(status historypb.Status, member string) error {
	switch status {
	case historypb.Status_STATUS_OK:
		return nil
	case historypb.Status_STATUS_HISTORY_GONE:
		return failure.New(failure.HistoryGone, "member %s", member)
	case historypb.Status_STATUS_LIST_PENDING:
		return failure.New(failure.ListPending, "member %s: its list is on its way", member)
	case historypb.Status_STATUS_UNAVAILABLE:
		return failure.New(failure.PlatformUnavailable, "member %s: the platform does not answer it", member)
	default:
		return failure.New(failure.PeerUnavailable, "member %s: %s", member, status)
	}
}

// IsRefusal reports whether err is a member's answer that it cannot tell what it was asked for, and
// not a sign that it is gone.
func IsRefusal(err error) bool {
	return failure.Is(err, failure.PlatformUnavailable) || failure.Is(err, failure.HistoryGone) || failure.Is(err, failure.ListPending)
}

func refusal(status historypb.Status) *historypb.Reply { return &historypb.Reply{Status: status} }

func encode(e objects.Event) *historypb.Object {
	return &historypb.Object{Name: e.Object.Name, Revision: e.Object.Revision, Spec: e.Object.Spec, Removed: e.Removed}
}

func decode(o *historypb.Object) objects.Event {
	return objects.Event{Object: objects.Object{Name: o.Name, Revision: o.Revision, Spec: o.Spec}, Removed: o.Removed}
}
