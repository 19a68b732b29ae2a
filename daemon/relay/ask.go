package relay

import (
	"context"
	"slices"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
)

const (
	// relayStagger is between two relays that a host asks which has just started: longer than
	// one takes that many hosts ask at once.
	relayStagger = 120 * time.Millisecond
	// askTimeout bounds one call to a relay beside the wait that it was asked for:
	// a round trip between data centres and a busy process.
	askTimeout = 500 * time.Millisecond
)

// asker sends requests to the relays. Where pending is set it waits for a list that is on its way
// to them: hosts and relays that start together would else read all of the platform's pages each.
func (s *Source) asker(kind string, pending bool) asker {
	return func(ctx context.Context, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
		if s.patientUntil.IsZero() {
			s.patientUntil = time.Now().Add(s.patience)
		}
		for tries := 1; ; tries++ {
			ask := s.ask
			if s.patience > 0 {
				ask = s.askAll
			}
			reply, err := ask(ctx, kind, req, wait)
			if err == nil || failure.Is(err, failure.HistoryGone) {
				s.patience = 0
				s.pace.answered()
				return reply, err
			}
			if ctx.Err() != nil || !s.waitsOn(err, pending) {
				s.patience = 0
				return nil, err
			}
			if tries == 1 && failure.Is(err, failure.ListPending) {
				s.logger.Info("list on its way to the relays awaited", "kind", kind)
			}
			time.Sleep(relayPoll)
		}
	}
}

// waitsOn reports whether relays are asked again after they failed with err. While members gather
// no host serves, whatever it knows: however long they take, all hosts that start would else read
// the platform at once.
func (s *Source) waitsOn(err error, pending bool) bool {
	switch {
	case failure.Is(err, failure.ListPending):
		return pending
	case failure.Is(err, failure.PlatformUnavailable):
		return false
	}
	return time.Now().Before(s.patientUntil) || pending && s.peers.AwaitsSlotAssignment()
}

// ask sends a request to the host's relay, and to the next ones if it fails: with one of
// three relays cut off from the platform, a third of all hosts would else ask the platform
// themselves, and again at each change.
func (s *Source) ask(ctx context.Context, kind string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	var err error = failure.New(failure.PeerUnavailable, "no relay is known")
	for _, member := range s.candidates() {
		reply, askErr := s.askOne(ctx, kind, member, req, wait)
		if askErr == nil || failure.Is(askErr, failure.HistoryGone) {
			return reply, askErr
		}
		err = graver(err, askErr)
	}
	return nil, err
}

// graver returns the failure that tells more of what may be hoped for from relays: a list that is
// on its way to one of them, else that the platform answers none.
func graver(a, b error) error {
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

// askAll sends a request to the relays one soon after the other and returns the first answer:
// of a host that has just started, while some relays are still down and connections to them
// hang. Asked all at once, each relay would answer each of the hosts that start together.
func (s *Source) askAll(ctx context.Context, kind string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	relays := s.inTurn(s.peers.Relays())
	answers := make(chan answerOf, len(relays))
	next := time.NewTimer(0)
	defer next.Stop()
	var err error = failure.New(failure.PeerUnavailable, "no relay is known")
	for asked, answered := 0, 0; answered < len(relays); {
		select {
		case <-next.C:
			if asked < len(relays) {
				go s.askInto(ctx, relays[asked], req, wait, answers)
				asked++
				next.Reset(relayStagger)
			}
		case a := <-answers:
			answered++
			if a.err == nil || failure.Is(a.err, failure.HistoryGone) {
				s.use(kind, a.member)
				return a.reply, a.err
			}
			err = graver(err, a.err)
			if !failure.Is(a.err, failure.ListPending) {
				next.Reset(0)
			}
		}
	}
	return nil, err
}

func (s *Source) askInto(ctx context.Context, member string, req *historypb.Request, wait time.Duration, answers chan<- answerOf) {
	reply, err := s.peers.Call(ctx, member, req, wait)
	answers <- answerOf{member, reply, err}
}

// inTurn returns the relays from this host's own on, so that hosts are spread over them. A
// relay takes those before it in their order, so that one of them follows the platform.
func (s *Source) inTurn(relays []string) []string {
	if len(relays) == 0 || s.peers.IsRelay() {
		return relays
	}
	first := int(s.place % uint32(len(relays)))
	return slices.Concat(relays[first:], relays[:first])
}

// answerOf is what one relay answered.
type answerOf struct {
	member string
	reply  *historypb.Reply
	err    error
}

// candidates returns the relays to ask, in order: those that have not failed lately, or
// the one whose failure is the longest ago.
func (s *Source) candidates() []string {
	var sound []string
	longest := ""
	for _, member := range s.inTurn(s.peers.Relays()) {
		failed, did := s.failed[member]
		if !did || time.Since(failed) >= avoidFor {
			sound = append(sound, member)
		}
		if longest == "" || failed.Before(s.failed[longest]) {
			longest = member
		}
	}
	if len(sound) == 0 && longest != "" {
		return []string{longest}
	}
	return sound
}

func (s *Source) askOne(ctx context.Context, kind, member string, req *historypb.Request, wait time.Duration) (*historypb.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+askTimeout)
	defer cancel()
	reply, err := s.peers.Call(ctx, member, req, wait)
	switch {
	case err == nil:
		delete(s.failed, member)
		s.use(kind, member)
	case !failure.Is(err, failure.HistoryGone) && !failure.Is(err, failure.ListPending):
		s.failed[member] = time.Now()
		s.leave(kind, member, err)
	}
	return reply, err
}

// use notes the relay that answers.
func (s *Source) use(kind, member string) {
	if s.CurrentRelay() != member {
		s.logger.Info("platform followed through a relay", "kind", kind, "member", member)
	}
	s.from.Store(&member)
}

// leave notes that a relay does not answer.
func (s *Source) leave(kind, member string, err error) {
	if s.CurrentRelay() != "" {
		s.logger.Warn("relay lost", "kind", kind, "member", member, "revision", s.seen, "error", err.Error())
	}
	s.from.Store(nil)
}
