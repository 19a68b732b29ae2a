package relay

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

const (
	// relayRequestInterval separates the requests that a starting host sends to successive
	// relays. It is longer than a relay takes to answer when that many hosts call it at once.
	relayRequestInterval = 120 * time.Millisecond
	// relayCallTimeout bounds one call to a relay in addition to the requested wait. It covers
	// a round trip between data centres and a busy process.
	relayCallTimeout = 500 * time.Millisecond
)

// requester returns a function that sends requests to the relays. With awaitPending it waits for
// a list that the relays are still loading: otherwise each of the hosts and relays that start
// together would read all of the platform's pages.
func (s *Source) requester(kind string, awaitPending bool) requestFunc {
	return func(ctx context.Context, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
		if s.startDeadline.IsZero() {
			s.startDeadline = time.Now().Add(s.startTimeout)
		}
		for attempt := 1; ; attempt++ {
			request := s.requestInOrder
			if s.startTimeout > 0 {
				request = s.requestStaggered
			}
			reply, err := request(ctx, kind, req, wait)
			if err == nil || failure.Is(err, failure.HistoryGone) {
				s.startTimeout = 0
				s.recordRelayAnswer()
				return reply, err
			}
			if ctx.Err() != nil || !s.shouldRetry(err, awaitPending) {
				s.startTimeout = 0
				return nil, err
			}
			if attempt == 1 && failure.Is(err, failure.ListPending) {
				s.logger.Info("list on its way to the relays awaited", "kind", kind)
			}
			time.Sleep(startRetryInterval)
		}
	}
}

// shouldRetry reports whether to call the relays again after they failed with err. While slots
// await their assignment no host serves, whatever it knows. The wait for the assignment has no
// bound, because all hosts that start would otherwise read the platform at once.
func (s *Source) shouldRetry(err error, awaitPending bool) bool {
	switch {
	case failure.Is(err, failure.ListPending):
		return awaitPending
	case failure.Is(err, failure.PlatformUnavailable):
		return false
	}
	return time.Now().Before(s.startDeadline) || awaitPending && s.peers.AwaitsSlotAssignment()
}

// requestInOrder sends a request to the host's relay, and to the next ones if it fails. With one
// of three relays cut off from the platform, a third of all hosts would otherwise call the
// platform themselves, and again at each change.
func (s *Source) requestInOrder(ctx context.Context, kind string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	var err error = failure.New(failure.PeerUnavailable, "no relay is known")
	for _, member := range s.candidates() {
		reply, callErr := s.requestFrom(ctx, kind, member, req, wait)
		if callErr == nil || failure.Is(callErr, failure.HistoryGone) {
			return reply, callErr
		}
		err = mostInformative(err, callErr)
		req, wait = withoutWait(req), 0 // a relay that cannot serve must not hold the host back either
	}
	return nil, err
}

// withoutWait returns a request that a relay answers at once: the changes so far in place of a watch.
func withoutWait(req *historypb.Request) *historypb.Request {
	call, isWatch := req.Call.(*historypb.Request_WatchObjects)
	if !isWatch {
		return req
	}
	poll := proto.CloneOf(call.WatchObjects)
	poll.WaitMs = 0
	return &historypb.Request{Call: &historypb.Request_WatchObjects{WatchObjects: poll}}
}

// mostInformative returns the failure that says most about what to expect from the relays:
// ListPending, then PlatformUnavailable, and b where neither failure is one of these.
func mostInformative(a, b error) error {
	for _, kind := range []failure.Kind{failure.ListPending, failure.PlatformUnavailable} {
		if failure.Is(a, kind) {
			return a
		}
		if failure.Is(b, kind) {
			return b
		}
	}
	return b
}

// requestStaggered sends a request to the relays at short intervals and returns the first answer.
// A host uses it after its start, while some relays may still be down and connections to them
// hang. If a host called all relays at once, each relay would answer each of the hosts that start
// together.
func (s *Source) requestStaggered(ctx context.Context, kind string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayCallTimeout)
	defer cancel()
	relays := s.relayOrder(s.peers.Relays())
	results := make(chan relayResult, len(relays))
	nextSend := time.NewTimer(0)
	defer nextSend.Stop()
	var err error = failure.New(failure.PeerUnavailable, "no relay is known")
	for sent, received := 0, 0; received < len(relays); {
		select {
		case <-nextSend.C:
			if sent < len(relays) {
				go s.requestAsync(ctx, relays[sent], req, wait, results)
				sent++
				nextSend.Reset(relayRequestInterval)
			}
		case r := <-results:
			received++
			if r.err == nil || failure.Is(r.err, failure.HistoryGone) {
				s.setCurrentRelay(kind, r.member)
				return r.reply, r.err
			}
			err = mostInformative(err, r.err)
			if !failure.Is(r.err, failure.ListPending) {
				nextSend.Reset(0)
			}
		}
	}
	return nil, err
}

func (s *Source) requestAsync(ctx context.Context, member string, req *historypb.Request, wait time.Duration, results chan<- relayResult) {
	reply, err := s.peers.Call(ctx, member, req, wait)
	results <- relayResult{member, reply, err}
}

// relayOrder returns the relays rotated by the host's hash, which spreads hosts over the relays.
// A relay keeps the given order, so that one of the relays follows the platform.
func (s *Source) relayOrder(relays []string) []string {
	if len(relays) == 0 || s.peers.IsRelay() {
		return relays
	}
	first := int(s.hostHash % uint32(len(relays)))
	return slices.Concat(relays[first:], relays[:first])
}

// relayResult is the result of a call to one relay.
type relayResult struct {
	member string
	reply  *historypb.Reply
	err    error
}

// candidates returns the relays to call, in order: those that have not failed within
// relayRetryDelay, or else the one that failed the longest time ago.
func (s *Source) candidates() []string {
	var usable []string
	leastRecent := ""
	for _, member := range s.relayOrder(s.peers.Relays()) {
		failedAt, ok := s.failedAt[member]
		if !ok || time.Since(failedAt) >= relayRetryDelay {
			usable = append(usable, member)
		}
		if leastRecent == "" || failedAt.Before(s.failedAt[leastRecent]) {
			leastRecent = member
		}
	}
	if len(usable) == 0 && leastRecent != "" {
		return []string{leastRecent}
	}
	return usable
}

func (s *Source) requestFrom(ctx context.Context, kind, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayCallTimeout)
	defer cancel()
	reply, err := s.peers.Call(ctx, member, req, wait)
	switch {
	case err == nil:
		delete(s.failedAt, member)
		s.setCurrentRelay(kind, member)
	case !failure.Is(err, failure.HistoryGone) && !failure.Is(err, failure.ListPending):
		s.failedAt[member] = time.Now()
		s.clearCurrentRelay(kind, member, err)
	}
	return reply, err
}

// setCurrentRelay records the relay that answered.
func (s *Source) setCurrentRelay(kind, member string) {
	if s.CurrentRelay() != member {
		s.logger.Info("platform followed through a relay", "kind", kind, "member", member)
	}
	s.currentRelay.Store(&member)
}

// clearCurrentRelay records that a relay failed.
func (s *Source) clearCurrentRelay(kind, member string, err error) {
	if s.CurrentRelay() != "" {
		s.logger.Warn("relay lost", "kind", kind, "member", member, "revision", s.lastRevision, "error", err.Error())
	}
	s.currentRelay.Store(nil)
}
