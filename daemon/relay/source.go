package relay

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// Peers reaches the members that relay.
type Peers interface {
	// Relays returns the members to ask, the same at all entry hosts as long as
	// they see the same members alive.
	Relays() []string
	// Ask sends a request whose answer may take wait. The error says that the
	// member did not answer, or that its view is not sound.
	Ask(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error)
}

const (
	// avoidFor is how long a relay that failed is not asked: long enough that calls fail
	// over once and not at each watch, short against the outages that make relays fail
	// (seconds). A watch made at the platform itself ends by then, so that the host goes
	// back to a relay.
	avoidFor = 3 * time.Second
	// startPatience is how long a host that has just started waits for the first relays
	// to be known: a list of the members takes some 10 ms, 300 while the platform is slow.
	// relayPoll is how often it looks. With 171 hosts that start together 684 of 6,300
	// calls of a day were made because relays were not known yet.
	startPatience = 400 * time.Millisecond
	relayPoll     = 20 * time.Millisecond
	// askTimeout bounds one call to a relay beside the wait that it was asked for:
	// a round trip between data centres and a busy process.
	askTimeout = 500 * time.Millisecond
)

// Source reads one kind of objects through a relay, or from the platform itself.
// It is an objects.Reader for one goroutine.
type Source struct {
	direct objects.Reader
	peers  Peers
	logger *log.Logger
	// place spreads entry hosts over relays.
	place uint32
	// patience is what is left to wait for the first relays.
	patience time.Duration
	// seen is the newest revision returned.
	seen uint64
	// failed is when each relay that is avoided failed.
	failed map[string]time.Time
	// from is the relay in use, empty for the platform.
	from string
}

// NewSource returns the source of the entry host of that name.
func NewSource(host string, direct objects.Reader, peers Peers, logger *log.Logger) *Source {
	h := fnv.New32a()
	h.Write([]byte(host))
	return &Source{direct: direct, peers: peers, place: h.Sum32(), logger: logger, failed: map[string]time.Time{}}
}

// Patient makes the source wait for the first relays to be known before it asks the
// platform. The source by which they become known must not wait.
func (s *Source) Patient() *Source {
	s.patience = startPatience
	return s
}

// awaitRelays returns the relays, after a wait for the first ones.
func (s *Source) awaitRelays(ctx context.Context) []string {
	relays := s.peers.Relays()
	for len(relays) == 0 && s.patience > 0 && ctx.Err() == nil {
		s.patience -= relayPoll
		time.Sleep(relayPoll)
		relays = s.peers.Relays()
	}
	s.patience = 0
	return relays
}

// List implements objects.Reader.
func (s *Source) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	reply, err := s.ask(ctx, kind, 0, &historypb.Request{Call: &historypb.Request_ListObjects{
		ListObjects: &historypb.ListObjects{Kind: kind, Revision: s.seen},
	}})
	if err == nil {
		snapshot := objects.Snapshot{Revision: reply.Revision}
		for _, o := range reply.Objects {
			snapshot.Items = append(snapshot.Items, decode(o).Object)
		}
		s.seen = max(s.seen, reply.Revision)
		return snapshot, nil
	}
	snapshot, err := s.direct.List(ctx, kind)
	s.seen = max(s.seen, snapshot.Revision)
	return snapshot, err
}

// Watch implements objects.Reader.
func (s *Source) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	reply, err := s.ask(ctx, kind, wait, &historypb.Request{Call: &historypb.Request_WatchObjects{
		WatchObjects: &historypb.WatchObjects{Kind: kind, Revision: revision, WaitMs: uint32(wait.Milliseconds())},
	}})
	if failure.Is(err, failure.HistoryGone) {
		return objects.Changes{}, err
	}
	if err == nil {
		changes := objects.Changes{Revision: max(revision, reply.Revision)}
		for _, o := range reply.Objects {
			changes.Events = append(changes.Events, decode(o))
		}
		s.seen = max(s.seen, reply.Revision)
		return changes, nil
	}
	changes, err := s.direct.Watch(ctx, kind, revision, min(wait, avoidFor))
	s.seen = max(s.seen, changes.Revision)
	return changes, err
}

// ask sends a request to the host's relay, and to the next ones if it fails: with one of
// three relays cut off from the platform, a third of all hosts would else ask the platform
// themselves, and again at each change.
func (s *Source) ask(ctx context.Context, kind string, wait time.Duration, req *historypb.Request) (*historypb.Reply, error) {
	relays := s.awaitRelays(ctx)
	var err error = failure.New(failure.PeerUnavailable, "no relay is known, or all failed a moment ago")
	for i := range relays {
		member := relays[(int(s.place%uint32(len(relays)))+i)%len(relays)]
		if time.Since(s.failed[member]) < avoidFor {
			continue
		}
		var reply *historypb.Reply
		if reply, err = s.askOne(ctx, kind, member, wait, req); err == nil || failure.Is(err, failure.HistoryGone) {
			return reply, err
		}
	}
	return nil, err
}

func (s *Source) askOne(ctx context.Context, kind, member string, wait time.Duration, req *historypb.Request) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	reply, err := s.peers.Ask(ctx, member, req, wait)
	switch {
	case err == nil:
		delete(s.failed, member)
		s.use(kind, member)
	case !failure.Is(err, failure.HistoryGone):
		s.failed[member] = time.Now()
		s.leave(kind, member, err)
	}
	return reply, err
}

// use notes the relay that answers.
func (s *Source) use(kind, member string) {
	if s.from != member {
		s.logger.Info("platform followed through a relay", "kind", kind, "member", member)
	}
	s.from = member
}

// leave notes that a relay does not answer.
func (s *Source) leave(kind, member string, err error) {
	if s.from != "" {
		s.logger.Warn("relay lost", "kind", kind, "member", member, "revision", s.seen, "error", err.Error())
	}
	s.from = ""
}

func decode(o *historypb.Object) objects.Event {
	return objects.Event{Object: objects.Object{Name: o.Name, Revision: o.Revision, Spec: o.Spec}, Removed: o.Removed}
}
