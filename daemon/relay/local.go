package relay

import (
	"context"
	"time"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/historypb"
	"github.com/pistachioarch/pistachioarch/wire/objects"
)

// Reader returns a reader of the server's views for use within the same process, so that each
// kind is followed once for the process and for all hosts that call it.
func (s *Server) Reader() objects.Reader { return localReader{s} }

type localReader struct{ server *Server }

// List implements objects.Reader.
func (l localReader) List(ctx context.Context, kind string) (objects.Snapshot, error) {
	return listVia(ctx, l.request, &historypb.ListObjects{Kind: kind})
}

// Watch implements objects.Reader.
func (l localReader) Watch(ctx context.Context, kind string, revision uint64, wait time.Duration) (objects.Changes, error) {
	return watchVia(ctx, l.request, kind, revision, wait)
}

// request waits for the server's reply, which comes within the wait that the request asks for.
func (l localReader) request(ctx context.Context, req *historypb.Request, _ time.Duration) (*historypb.Reply, error) {
	replies := make(chan *historypb.Reply, 1)
	l.server.Handle(req, func(r *historypb.Reply) { replies <- r })
	select {
	case reply := <-replies:
		return reply, statusError(reply.Status, "itself")
	case <-ctx.Done():
		return nil, failure.Wrap(ctx.Err(), failure.PlatformUnavailable, "wait for the platform")
	}
}
