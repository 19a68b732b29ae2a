package node

import (
	"context"
	"net"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
)

// Drained is closed once nothing is owned any more after a graceful stop that an
// operator asked for; Drain then ends the host.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Drain stops the host in good order: it hands its programs over and answers
// every request it has taken. It returns when that is done, or with a Failure
// when ctx ends first; the host then goes on stopping.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)() // killed meanwhile
	n.log.Info("draining")
	n.connections.closing.Store(true)
	n.step(&host.Drain{})
	select {
	case <-n.drained:
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.Draining, "drain")
	}
	n.connections.linger(ctx)
	if err := n.requests.wait(ctx); err != nil {
		return err
	}
	n.flushOutboxes(ctx)
	for _, s := range n.servers {
		_ = s.Shutdown(ctx) // idle connections end; requests were waited for
	}
	n.Kill()
	n.log.Info("stopped")
	return nil
}

// Kill ends the host at once, as when its process dies.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.cancel()
	for _, l := range []net.Listener{n.opt.Callers, n.opt.Operators, n.opt.Peers} {
		_ = l.Close() // nothing more is accepted either way
	}
	n.client.CloseIdleConnections()
	n.work.Wait()
}
