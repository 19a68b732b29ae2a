package relay

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// Server answers entry hosts and other relays from its views of the platform's objects. Safe for
// concurrent use.
type Server struct {
	views map[string]*view // by kind
}

// Kind configures how a kind of objects is relayed.
type Kind struct {
	Name string
	// WatchTimeout is how long one watch of the platform waits for changes. Each watch is
	// billed as a call, and one that hangs delays changes by this time.
	WatchTimeout time.Duration
	// ForwardConfirmations forwards each answer of the platform at once, even one without
	// changes, for followers that need to know as of when their state is current.
	ForwardConfirmations bool
	// MinWatchInterval is the minimum time between two reads of changes.
	MinWatchInterval time.Duration
	// GroupOf is set if entry hosts hold subsets of the kind.
	GroupOf GroupFunc
}

// NewServer returns a server for the given kinds of objects. It calls source once per kind for the
// reader by which it follows the kind. It follows nothing after ctx ends.
func NewServer(ctx context.Context, source func() objects.Reader, logger *log.Logger, kinds ...Kind) *Server {
	s := &Server{views: make(map[string]*view, len(kinds))}
	for _, kind := range kinds {
		s.views[kind.Name] = newView(ctx, source(), kind, logger)
	}
	return s
}

// Handle answers ListObjects and WatchObjects; it is an rpc.Handler. Other requests, and those for
// kinds that are not relayed, get STATUS_UNAVAILABLE.
func (s *Server) Handle(req *historypb.Request, respond func(*historypb.Reply)) {
	receivedAt := time.Now()
	switch call := req.Call.(type) {
	case *historypb.Request_ListObjects:
		s.list(call.ListObjects, receivedAt, respond)
	case *historypb.Request_WatchObjects:
		s.watch(call.WatchObjects, receivedAt, respond)
	default:
		respond(refusalReply(historypb.Status_STATUS_UNAVAILABLE))
	}
}

func (s *Server) list(call *historypb.ListObjects, receivedAt time.Time, respond func(*historypb.Reply)) {
	v := s.views[call.Kind]
	if v == nil {
		respond(refusalReply(historypb.Status_STATUS_UNAVAILABLE))
		return
	}
	v.serve(func(last bool) (*historypb.Reply, <-chan struct{}) {
		return v.list(call, receivedAt, last)
	}, maxListWait, respond)
}

const (
	// maxListWait bounds the wait for a view that was not followed before. It covers several
	// answers of the platform (4 ms) and is half of the silence timeout of senders.
	maxListWait = 150 * time.Millisecond
	// maxWatchWait bounds the wait that a sender may request.
	maxWatchWait = 30 * time.Second
	// confirmationGrace extends the wait of a sender whose watch is as long as this member's
	// own, so that it gets the next confirmation, which comes an answer of the platform later,
	// instead of the last one. With watches of 0.3 s and three relays in a row, a host's state
	// is at most 0.6 s old, not 1.5 s.
	confirmationGrace = 100 * time.Millisecond
)

func (s *Server) watch(call *historypb.WatchObjects, receivedAt time.Time, respond func(*historypb.Reply)) {
	v := s.views[call.Kind]
	if v == nil {
		respond(refusalReply(historypb.Status_STATUS_UNAVAILABLE))
		return
	}
	wait := min(time.Duration(call.WaitMs)*time.Millisecond, maxWatchWait)
	if v.kind.ForwardConfirmations {
		wait += confirmationGrace
	}
	v.serve(v.changesQuery(call, receivedAt), wait, respond)
}
