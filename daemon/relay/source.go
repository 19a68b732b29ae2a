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

// Peers reaches the relays.
type Peers interface {
	// Relays returns the IDs of the members to call, in order. The result is the same at all
	// hosts as long as the same members answer them. For a member that is a relay itself,
	// it contains only the relays before it.
	Relays() []string
	// IsRelay reports whether this process is a relay itself.
	IsRelay() bool
	// AwaitsSlotAssignment reports whether no relay is known only because the members that
	// start together have no slots yet.
	AwaitsSlotAssignment() bool
	// Call sends a request whose reply may take wait. An error for which IsRefusal holds is the
	// member's answer; with any other error the member did not answer.
	Call(ctx context.Context, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error)
}

const (
	// relayRetryDelay is how long a relay that failed is avoided: long enough that calls fail
	// over once and not at each watch, short compared with the outages that make relays fail
	// (seconds). A direct watch of the platform lasts no longer, so that the host returns to a
	// relay.
	relayRetryDelay = 3 * time.Second
	// StartTimeout is how long a host that has just started waits for the first relay to
	// answer: a process needs some 100 ms until it listens, and all start within 300 ms. Hosts
	// that start together would otherwise all call the platform before any relay is known.
	StartTimeout = 600 * time.Millisecond
	// startRetryInterval separates a host's attempts to reach a relay after its start.
	startRetryInterval = 40 * time.Millisecond
	// MembersStartTimeout is the StartTimeout of kinds that only members can serve, which first
	// have to be known from a slot map. It does not bound the wait for the assignment of slots.
	MembersStartTimeout = 4 * time.Second
)

// Source reads one kind of objects through a relay, or directly from the platform.
// It is an objects.Reader for one goroutine.
type Source struct {
	platform objects.Reader
	peers    Peers
	logger   *log.Logger
	// hostHash spreads hosts over relays.
	hostHash uint32
	// startTimeout is how long to wait for the first answer of a relay, zero once this wait is
	// over. startDeadline is the time at which it ends.
	startTimeout  time.Duration
	startDeadline time.Time
	// lastRevision is the newest revision returned.
	lastRevision uint64
	// failedAt is the time of the last failure of each relay that has not answered since.
	failedAt map[string]time.Time
	// currentRelay is the relay in use, nil for the platform; other goroutines read it too.
	currentRelay  atomic.Pointer[string]
	directLimiter directLimiter
	// directAnswered reports that the platform answered the last direct call, and no relay has
	// answered since.
	directAnswered bool
	// subset is set if the host holds a subset of the kind, deltaBases if it holds all objects.
	subset     *hostSubset
	deltaBases *deltaBases
}

// NewSource returns a source for the host with the given ID, which reads from platform where no
// relay can serve it.
func NewSource(host string, platform objects.Reader, peers Peers, logger *log.Logger) *Source {
	h := fnv.New32a()
	h.Write([]byte(host))
	hostHash := h.Sum32()
	return &Source{platform: platform, peers: peers, hostHash: hostHash, logger: logger, failedAt: map[string]time.Time{}, directLimiter: newDirectLimiter(hostHash), deltaBases: newDeltaBases()}
}

// WithStartTimeout makes the source wait up to timeout for the first relay to answer before it
// calls the platform, and returns the source. The source through which relays become known must
// not wait, unless some relays are known from the start.
func (s *Source) WithStartTimeout(timeout time.Duration) *Source {
	s.startTimeout = timeout
	return s
}

// WithSubset makes the source read only the subset of the kind that a host of a data centre holds,
// and returns the source.
func (s *Source) WithSubset(host, dataCentre string, groupOf GroupFunc) *Source {
	s.subset, s.deltaBases = newHostSubset(host, dataCentre, groupOf), nil
	return s
}

// Halvings returns the halvings of the subset that the host holds, nil if it holds all objects.
// Only the goroutine that reads may call it.
func (s *Source) Halvings() []subset.Halvings {
	if s.subset == nil {
		return nil
	}
	return decodeHalvings(s.subset.holder.Steps)
}

// List implements objects.Reader.
func (s *Source) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	snapshot, err := s.listFromRelay(ctx, &historypb.ListObjects{Kind: kind, Revision: s.lastRevision})
	if err != nil && s.directLimiter.allows(ctx, err, s.lastRevision == 0 || s.peers.IsRelay()) {
		snapshot, err = s.platform.List(ctx, kind)
		s.recordDirectResult(err)
		snapshot = s.subset.filterList(snapshot)
	}
	if err != nil && s.lastRevision == 0 {
		if old, oldErr := s.listFromRelay(ctx, &historypb.ListObjects{Kind: kind, AnyAge: true}); oldErr == nil {
			s.logger.Warn("platform does not answer, a relay's last list is used", "kind", kind, "revision", old.Revision, "error", err.Error())
			snapshot, err = old, nil
		}
	}
	if err == nil {
		s.deltaBases.replace(snapshot)
	}
	s.lastRevision = max(s.lastRevision, snapshot.Revision)
	return snapshot, err
}

// listFromRelay lists through a relay.
func (s *Source) listFromRelay(ctx context.Context, list *historypb.ListObjects) (objects.Snapshot, error) {
	list.Holder = s.subset.encodeHolder()
	snapshot, halvings, err := listSubsetVia(ctx, s.requester(list.Kind, s.lastRevision == 0), list)
	if err == nil {
		s.subset.replaceFromRelay(snapshot, halvings)
	}
	return snapshot, err
}

// Watch implements objects.Reader.
func (s *Source) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	call := &historypb.WatchObjects{Kind: kind, Revision: revision, Holder: s.subset.encodeHolder(), Deltas: s.deltaBases != nil}
	changes, halvings, err := watchSubsetVia(ctx, s.requester(kind, false), call, s.directLimiter.limitWait(wait), s.decodeChange)
	if err == nil {
		changes = s.subset.applyRelayChanges(changes, halvings)
	}
	if err != nil && !failure.Is(err, failure.HistoryGone) && s.directLimiter.allows(ctx, err, s.peers.IsRelay()) {
		changes, err = s.platform.Watch(ctx, kind, revision, s.directWait(wait))
		s.recordDirectResult(err)
		changes = s.subset.filterChanges(changes)
		s.deltaBases.recordChanges(changes)
	}
	s.lastRevision = max(s.lastRevision, changes.Revision)
	return changes, err
}

// pollWait is the wait of a watch that only asks for the changes so far.
const pollWait = time.Millisecond

// directWait returns the wait of the next watch made directly at the platform. After a failure or a
// relay it only polls: a watch that waits would hide for its whole wait that the platform does not
// answer this host either.
func (s *Source) directWait(wait time.Duration) time.Duration {
	switch {
	case !s.directAnswered:
		return pollWait
	case s.peers.IsRelay():
		return wait
	default:
		return min(wait, relayRetryDelay)
	}
}

// recordDirectResult records the result of a direct call to the platform. That it has dropped its
// history is an answer.
func (s *Source) recordDirectResult(err error) {
	s.directAnswered = err == nil || failure.Is(err, failure.HistoryGone)
	s.directLimiter.recordResult(s.directAnswered)
}

// recordRelayAnswer records that a relay answered.
func (s *Source) recordRelayAnswer() {
	s.directAnswered = false
	s.directLimiter.recordRelayAnswer()
}

// decodeChange decodes a change; see deltaBases.decodeChange.
func (s *Source) decodeChange(o *historypb.Object) (objects.Event, error) {
	e, err := s.deltaBases.decodeChange(o)
	if err != nil {
		s.logger.Warn("difference not taken, listing again", "name", o.Name, "revision", o.Revision, "base", o.Base, "error", err.Error())
	}
	return e, err
}

// CurrentRelay returns the relay that answered last, empty if a relay has failed since. Safe for
// concurrent use.
func (s *Source) CurrentRelay() string {
	if member := s.currentRelay.Load(); member != nil {
		return *member
	}
	return ""
}
