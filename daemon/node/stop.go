package node

import (
	"context"
	"net"

	"github.com/pistachioarch/pistachioarch/core/failure"
	"github.com/pistachioarch/pistachioarch/core/host"
)

// Drained returns a channel that is closed once a draining host owns no slots any more,
// also after a drain that an operator requested; Drain then stops the host.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Drain stops the host gracefully: it hands over its programs and answers every
// request that it has accepted. It returns nil when the host has stopped, or a
// Failure if ctx ends first; the host then continues to drain.
func (n *Node) Drain(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)() // Kill ends the wait
	n.log.Info("draining")
	n.connections.stopping.Store(true)
	n.step(&host.Drain{})
	select {
	case <-n.drained:
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.Draining, "drain")
	}
	n.connections.awaitClosed(ctx)
	if err := n.requestsInFlight.awaitIdle(ctx); err != nil {
		return err
	}
	n.flushOutboxes(ctx)
	for _, s := range n.servers {
		_ = s.Shutdown(ctx) // closes idle connections; no request is in flight
	}
	n.Kill()
	n.log.Info("stopped")
	return nil
}

// Kill stops the host immediately, like a crash of its process, and waits for its
// goroutines to end.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	n.cancel()
	for _, l := range []net.Listener{n.options.Callers, n.options.Operators, n.options.Peers} {
		_ = l.Close() // an error changes nothing: no more connections are accepted
	}
	n.client.CloseIdleConnections()
	n.goroutines.Wait()
}
