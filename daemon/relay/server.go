package relay

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// Server answers entry hosts from what it follows of the platform. Safe for
// concurrent use.
type Server struct {
	views map[string]*view // by kind
}

// Kind is a kind of objects to relay, and how long one watch of the platform for it
// waits: each is a priced call, and one that hangs delays changes by that time.
type Kind struct {
	Name         string
	WatchTimeout time.Duration
	// ForwardConfirmations makes each answer of the platform known at once, also one that tells no change:
	// followers need to know how new their word is.
	ForwardConfirmations bool
	// MinWatchInterval is the least time between two reads of changes.
	MinWatchInterval time.Duration
	// GroupOf is set where entry hosts hold parts of the kind.
	GroupOf GroupFunc
}

// NewServer returns a server for some kinds of the store's objects. source makes the
// reader by which it follows one kind. Nothing is followed after the context ends.
func NewServer(ctx context.Context, source func() objects.Reader, logger *log.Logger, kinds ...Kind) *Server {
	s := &Server{views: make(map[string]*view, len(kinds))}
	for _, kind := range kinds {
		s.views[kind.Name] = newView(ctx, source(), kind, logger)
	}
	return s
}

// Handle answers ListObjects and WatchObjects; it is an rpc.Handler.
func (s *Server) Handle(req *historypb.Request, answer func(*historypb.Reply)) {
	taken := time.Now()
	switch call := req.Call.(type) {
	case *historypb.Request_ListObjects:
		s.list(call.ListObjects, taken, answer)
	case *historypb.Request_WatchObjects:
		s.watch(call.WatchObjects, taken, answer)
	default:
		answer(refusal(historypb.Status_STATUS_UNAVAILABLE))
	}
}

func (s *Server) list(call *historypb.ListObjects, taken time.Time, answer func(*historypb.Reply)) {
	v := s.views[call.Kind]
	if v == nil {
		answer(refusal(historypb.Status_STATUS_UNAVAILABLE))
		return
	}
	v.answer(func(last bool) (*historypb.Reply, <-chan struct{}) {
		return v.list(call, taken, last)
	}, openWait, answer)
}

const (
	// openWait bounds the wait for a view that was not followed before: some answers
	// of the platform (4 ms), and half of what a sender takes for silence.
	openWait = 150 * time.Millisecond
	// maxWait bounds the wait that a sender may ask for.
	maxWait = 30 * time.Second
	// renewSlack lets a sender that waits for as long as this member's own watches hear of the
	// next renewal, which comes an answer of the platform later, in place of the last one:
	// with watches of 0.3 s a word is 0.6 s old at most, not 1.5 (three relays in a row).
	renewSlack = 100 * time.Millisecond
)

func (s *Server) watch(call *historypb.WatchObjects, taken time.Time, answer func(*historypb.Reply)) {
	v := s.views[call.Kind]
	if v == nil {
		answer(refusal(historypb.Status_STATUS_UNAVAILABLE))
		return
	}
	wait := min(time.Duration(call.WaitMs)*time.Millisecond, maxWait)
	if v.kind.ForwardConfirmations {
		wait += renewSlack
	}
	v.answer(v.changes(call, taken), wait, answer)
}
