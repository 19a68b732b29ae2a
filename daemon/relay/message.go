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

// requestFunc sends one request to a relay, whichever it selects, and returns a reply whose
// status is OK. wait is how long the relay may delay the reply.
type requestFunc func(ctx context.Context, req *historypb.Request, wait time.Duration) (*historypb.Reply, error)

// listVia reads a list through request.
func listVia(ctx context.Context, request requestFunc, list *historypb.ListObjects) (objects.Snapshot, error) {
	snapshot, _, err := listSubsetVia(ctx, request, list)
	return snapshot, err
}

// listSubsetVia is listVia that also returns the halvings of the holder's subset. It begins again
// if these change from one page to the next.
func listSubsetVia(ctx context.Context, request requestFunc, list *historypb.ListObjects) (objects.Snapshot, []*historypb.Step, error) {
	var snapshot objects.Snapshot
	var halvings []*historypb.Step
	page := proto.CloneOf(list)
	for {
		sentAt := time.Now()
		reply, err := request(ctx, &historypb.Request{Call: &historypb.Request_ListObjects{ListObjects: page}}, 0)
		if err != nil {
			return objects.Snapshot{}, nil, err
		}
		switch {
		case page.After == "":
			snapshot = objects.Snapshot{Revision: reply.Revision, AsOf: replyAsOf(reply, sentAt)}
			halvings = reply.Steps
		case !slices.Equal(decodeHalvings(halvings), decodeHalvings(reply.Steps)):
			page = proto.CloneOf(list)
			continue
		}
		for _, o := range reply.Objects {
			snapshot.Items = append(snapshot.Items, decode(o).Object)
		}
		if !reply.More || len(reply.Objects) == 0 {
			return snapshot, halvings, nil
		}
		page = proto.CloneOf(page) // the previous request may still be in transmission
		page.After, page.Revision = snapshot.Items[len(snapshot.Items)-1].Name, snapshot.Revision
	}
}

// watchVia waits for changes through request.
func watchVia(ctx context.Context, request requestFunc, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	decodeFull := func(o *historypb.Object) (objects.Event, error) { return decode(o), nil }
	changes, _, err := watchSubsetVia(ctx, request, &historypb.WatchObjects{Kind: kind, Revision: revision}, wait, decodeFull)
	return changes, err
}

// watchSubsetVia is watchVia for any call. It also returns the halvings of the holder's subset.
// decodeChange decodes the objects of the reply.
func watchSubsetVia(ctx context.Context, request requestFunc, watch *historypb.WatchObjects, wait time.Duration, decodeChange func(*historypb.Object) (objects.Event, error)) (objects.Changes, []*historypb.Step, error) {
	watch.WaitMs = uint32(wait.Milliseconds())
	sentAt := time.Now()
	reply, err := request(ctx, &historypb.Request{Call: &historypb.Request_WatchObjects{WatchObjects: watch}}, wait)
	if err != nil {
		return objects.Changes{}, nil, err
	}
	changes := objects.Changes{Revision: max(watch.Revision, reply.Revision), AsOf: replyAsOf(reply, sentAt)}
	for _, o := range reply.Objects {
		e, err := decodeChange(o)
		if err != nil {
			return objects.Changes{}, nil, err
		}
		changes.Events = append(changes.Events, e)
	}
	return changes, reply.Steps, nil
}

// setAsOf sets in a reply the time as of which its state was certainly the newest, relative to
// the receipt of the request at receivedAt.
func setAsOf(reply *historypb.Reply, asOf, receivedAt time.Time) {
	if !asOf.IsZero() {
		reply.AsOfUs = proto.Int64(asOf.Sub(receivedAt).Microseconds() - 1)
	}
}

// replyAsOf returns the time that setAsOf set, on the clock of the sender, which sent the request
// at sentAt. The request was received after it was sent, so the result is never later than the
// actual time. It returns the zero time if the reply carries none.
//
// If calls to other relays failed before, sentAt is before the first of them.
func replyAsOf(reply *historypb.Reply, sentAt time.Time) time.Time {
	if reply.AsOfUs == nil {
		return time.Time{}
	}
	return sentAt.Add(time.Duration(reply.GetAsOfUs()) * time.Microsecond)
}

// Call sends a request about the platform's objects to the member that client reaches; it
// is the common part of implementations of Peers.Call. Errors are failures of kind HistoryGone,
// ListPending, PlatformUnavailable or PeerUnavailable for a reply whose status is not OK, and
// those of client.CallWaiting otherwise.
func Call(ctx context.Context, client *rpc.Client, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	clone := proto.CloneOf(req) // req is sent to several relays, and a message in transmission must not change
	clone.Member = member
	reply, err := client.CallWaiting(ctx, clone, wait)
	if err != nil {
		return nil, err
	}
	return reply, statusError(reply.Status, member)
}

// statusError returns the failure for a reply's status, nil for OK.
func statusError(status historypb.Status, member string) error {
	switch status {
	case historypb.Status_STATUS_OK:
		return nil
	case historypb.Status_STATUS_HISTORY_GONE:
		return failure.New(failure.HistoryGone, "member %s", member)
	case historypb.Status_STATUS_LIST_PENDING:
		return failure.New(failure.ListPending, "member %s: first list not loaded yet", member)
	case historypb.Status_STATUS_UNAVAILABLE:
		return failure.New(failure.PlatformUnavailable, "member %s: no current view of the platform", member)
	default:
		return failure.New(failure.PeerUnavailable, "member %s: %s", member, status)
	}
}

// IsRefusal reports whether err is a member's answer that it cannot serve the request, and not a
// sign that the member is gone.
func IsRefusal(err error) bool {
	return failure.Is(err, failure.PlatformUnavailable) || failure.Is(err, failure.HistoryGone) || failure.Is(err, failure.ListPending)
}

func refusalReply(status historypb.Status) *historypb.Reply { return &historypb.Reply{Status: status} }

func encode(e objects.Event) *historypb.Object {
	return &historypb.Object{Name: e.Object.Name, Revision: e.Object.Revision, Spec: e.Object.Spec, Removed: e.Removed}
}

func decode(o *historypb.Object) objects.Event {
	return objects.Event{Object: objects.Object{Name: o.Name, Revision: o.Revision, Spec: o.Spec}, Removed: o.Removed}
}
