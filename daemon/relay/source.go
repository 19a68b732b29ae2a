package relay

import (
	"context"
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/core/subset"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// Peers reaches the members that relay.
type Peers interface {
	// Relays returns the members to ask, the same at all hosts as long as they see the
	// same members alive; a member that relays itself asks those before it.
	Relays() []string
	// IsRelay reports whether this process is a relay itself.
	IsRelay() bool
	// AwaitsSlotAssignment reports whether no relay is known only because the members that start together
	// have no slots yet.
	AwaitsSlotAssignment() bool
	// Call sends a request whose answer may take wait. An error for which Refused holds is the
	// member's answer; with any other one it did not answer.
	Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error)
}

const (
	// avoidFor is how long a relay that failed is not asked: long enough that calls fail
	// over once and not at each watch, short against the outages that make relays fail
	// (seconds). A watch made at the platform itself ends by then, so that the host goes
	// back to a relay.
	avoidFor = 3 * time.Second
	// StartTimeout is how long a host that has just started waits for the first relay to
	// answer: a process needs some 100 ms until it listens, and all start within 300 ms.
	// relayPoll is how often it tries. Hosts that start together would else all ask the
	// platform, before any relay is known.
	StartTimeout = 600 * time.Millisecond
	relayPoll    = 40 * time.Millisecond
	// MembersStartTimeout is the same for what is asked of members only, which a slot map has to
	// name first. It does not count while the members gather.
	MembersStartTimeout = 4 * time.Second
)

// Source reads one kind of objects through a relay, or from the platform itself.
// It is an objects.Reader for one goroutine.
type Source struct {
	direct objects.Reader
	peers  Peers
	logger *log.Logger
	// place spreads hosts over relays.
	place uint32
	// patience is how long the first answer of a relay is waited for, zero once that is
	// over; patientUntil is when.
	patience     time.Duration
	patientUntil time.Time
	// seen is the newest revision returned.
	seen uint64
	// failed is when each relay that is avoided failed.
	failed map[string]time.Time
	// from is the relay in use, empty for the platform; others read it too.
	from atomic.Pointer[string]
	pace pace
	// part is set where the host holds a part of the kind, versions where it holds all.
	part     *ownPart
	versions *versions
}

// NewSource returns the source of the host of that name.
func NewSource(host string, direct objects.Reader, peers Peers, logger *log.Logger) *Source {
	h := fnv.New32a()
	h.Write([]byte(host))
	place := h.Sum32()
	return &Source{direct: direct, peers: peers, place: place, logger: logger, failed: map[string]time.Time{}, pace: newPace(place), versions: newVersions()}
}

// WithStartTimeout makes the source wait so long for the first relay to answer before it asks the
// platform. The source by which relays become known must not wait, unless some are known
// from the start.
func (s *Source) WithStartTimeout(d time.Duration) *Source {
	s.patience = d
	return s
}

// WithSubset makes the source read only what a host of a data centre holds of the kind.
func (s *Source) WithSubset(host, dataCentre string, groupOf GroupFunc) *Source {
	s.part, s.versions = newOwnPart(host, dataCentre, groupOf), nil
	return s
}

// Halvings are those of the part that the host holds, none where it holds all; for the goroutine
// that reads.
func (s *Source) Halvings() []subset.Halvings {
	if s.part == nil {
		return nil
	}
	return stepsOf(s.part.holder.Steps)
}

// List implements objects.Reader.
func (s *Source) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	snapshot, err := s.listRelayed(ctx, &historypb.ListObjects{Kind: kind, Revision: s.seen})
	if err != nil && s.pace.allows(err, s.seen == 0 || s.peers.IsRelay()) {
		snapshot, err = s.direct.List(ctx, kind)
		s.pace.asked(err)
		snapshot = s.part.ofList(snapshot)
	}
	if err != nil && s.seen == 0 {
		if old, oldErr := s.listRelayed(ctx, &historypb.ListObjects{Kind: kind, AnyAge: true}); oldErr == nil {
			s.logger.Warn("platform does not answer, a relay's last list is used", "kind", kind, "revision", old.Revision, "error", err.Error())
			snapshot, err = old, nil
		}
	}
	if err == nil {
		s.versions.replaced(snapshot)
	}
	s.seen = max(s.seen, snapshot.Revision)
	return snapshot, err
}

// listRelayed lists through a relay.
func (s *Source) listRelayed(ctx context.Context, list *historypb.ListObjects) (objects.Snapshot, error) {
	list.Holder = s.part.holderOf()
	snapshot, steps, err := listPart(ctx, s.asker(list.Kind, s.seen == 0), list)
	if err == nil {
		s.part.listed(snapshot, steps)
	}
	return snapshot, err
}

// Watch implements objects.Reader.
func (s *Source) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	call := &historypb.WatchObjects{Kind: kind, Revision: revision, Holder: s.part.holderOf(), Deltas: s.versions != nil}
	changes, steps, err := watchPart(ctx, s.asker(kind, false), call, s.pace.bound(wait), s.restore)
	if err == nil {
		changes = s.part.told(changes, steps)
	}
	if err != nil && !failure.Is(err, failure.HistoryGone) && s.pace.allows(err, s.peers.IsRelay()) {
		if !s.peers.IsRelay() {
			wait = min(wait, avoidFor)
		}
		changes, err = s.direct.Watch(ctx, kind, revision, wait)
		s.pace.asked(err)
		changes = s.part.ofChanges(changes)
		s.versions.changed(changes)
	}
	s.seen = max(s.seen, changes.Revision)
	return changes, err
}

// restore decodes a change; see versions.restore.
func (s *Source) restore(o *historypb.Object) (objects.Event, error) {
	e, err := s.versions.restore(o)
	if err != nil {
		s.logger.Warn("difference not taken, listing again", "name", o.Name, "revision", o.Revision, "base", o.Base, "error", err.Error())
	}
	return e, err
}

// CurrentRelay is the relay that answered last, empty if none has since one failed. Safe for
// concurrent use.
func (s *Source) CurrentRelay() string {
	if from := s.from.Load(); from != nil {
		return *from
	}
	return ""
}
